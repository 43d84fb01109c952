// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Routing {

/// The complete answer to a request that ran with an idempotency key.
struct StoredAnswer {
    int64_t status { 0 };
    std::vector<Schema::Header> headers;
    std::string body;
};

/// The idempotency keys that this agent owns, each with the state of the request that ran with it and, where known, its answer.
/// No other request may run with a key that is in the table.
class IdempotencyTable {
public:
    enum class State {
        /// The request runs now.
        Running,
        /// The request ran, and its answer is stored.
        Answered,
        /// The request ran, or may have run, and its answer is not stored.
        Unknown,
    };

    struct Entry {
        State state { State::Running };
        /// The customer that the key belongs to.
        std::string customer;
        StoredAnswer answer;
    };

    /// `max_bytes`: limit on estimated_bytes(). `lifetime`: how long a key is kept after begin().
    IdempotencyTable(size_t max_bytes, Core::Duration lifetime);

    /// @return nullptr if the key is not in the table.
    Entry const* find(std::string const& key) const;

    /// Adds a key as Running, before the first byte of its request is sent to the backend server.
    /// @return false if the table is full or holds the key already: the request must then be refused as not run. No key is ever evicted
    /// to make room for another.
    bool begin(std::string const& key, std::string customer, Core::Time now);

    /// Removes a key because no byte of its request reached the backend server: a request with the key may run again.
    void remove(std::string const& key);
    /// Stores the complete answer. If it is too large to store, the key becomes Unknown, which still prevents a second run.
    void record_answer(std::string const& key, StoredAnswer);
    /// Marks a key as Unknown, because its request ran or may have run and there is no complete answer to store.
    void unknown(std::string const& key);

    /// Removes keys older than the lifetime, except those that are Running. A request with a removed key must be refused by the age
    /// of its key, which the code that calls begin() has to check.
    void expire(Core::Time now);

    size_t size() const { return m_entries.size(); }
    /// Estimated memory use: bytes_per_key for each key, and the bodies of stored answers.
    size_t estimated_bytes() const { return m_bytes; }

    /// Largest body of an answer that is stored, in bytes.
    static constexpr size_t max_stored_body_bytes = 64 * 1024;
    /// Bytes counted for a key in addition to the body of its answer.
    static constexpr size_t bytes_per_key = 256;

private:
    size_t m_max_bytes;
    Core::Duration m_lifetime;
    std::unordered_map<std::string, Entry> m_entries;
    std::deque<std::pair<Core::Time, std::string>> m_by_age;
    size_t m_bytes { 0 };
};

}
