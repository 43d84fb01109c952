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

/// The whole answer of a request that ran under an idempotency key.
struct KeptAnswer {
    int64_t status { 0 };
    std::vector<Schema::Header> headers;
    std::string body;
};

/// What an agent knows of the idempotency keys whose home it is. A key in it is never run again.
class OnceTable {
public:
    enum class State {
        /// It runs now.
        Running,
        /// It ran, and its answer is kept.
        Answered,
        /// It ran, or may have run, and its answer is not known.
        Unknown,
    };

    struct Entry {
        State state { State::Running };
        std::string customer;
        KeptAnswer answer;
    };

    OnceTable(size_t most_bytes, Core::Duration lifetime);

    Entry const* find(std::string const& key) const;

    /// Notes that a key is about to run, before the first byte goes to the backend server.
    /// @return false if there is no room: the request must then be refused as not run. No key is ever dropped for another.
    bool begin(std::string const& key, std::string customer, Core::Time now);

    /// The backend server took no byte of it: the key may run again.
    void forget(std::string const& key);
    /// The answer is whole. One too large to keep leaves the key Unknown, which still bars a second run.
    void answered(std::string const& key, KeptAnswer);
    void unknown(std::string const& key);

    /// Drops keys older than the lifetime; the caller refuses keys that were made that long ago.
    void expire(Core::Time now);

    size_t size() const { return m_entries.size(); }
    size_t bytes() const { return m_bytes; }

    static constexpr size_t largest_kept_answer = 64 * 1024;
    /// What a key costs beside its answer.
    static constexpr size_t bytes_per_key = 256;

private:
    size_t m_most_bytes;
    Core::Duration m_lifetime;
    std::unordered_map<std::string, Entry> m_entries;
    std::deque<std::pair<Core::Time, std::string>> m_by_age;
    size_t m_bytes { 0 };
};

}
