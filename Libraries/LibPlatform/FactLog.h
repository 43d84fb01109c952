// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/FactReplica.h>
#include <LibCore/Error.h>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace Platform {

/// Why a read of the platform's log failed.
enum class FactLogFault {
    /// No answer arrived in time, or the answer could not be understood.
    Unavailable,
    /// The platform refused the call.
    Refused,
    /// The log no longer stores the requested records, or has come back from a copy that lacks some that were read; read the newest record of
    /// each key instead.
    HistoryGone,
};

/// A record of the log that could not be decoded. If it is a record of the operator, the previous value stays in force. If it is the
/// record of a backend server, the server gets no new requests until a record of it can be decoded.
struct BadRecord {
    std::string key;
    int64_t revision { 0 };
    Core::Error error;
};

/// The answer to one read of the log: the decoded records, and those that could not be decoded.
/// Facts are the configuration, the versions that the operator named, and the list of backend servers.
struct FactPage {
    std::vector<Configuration::Fact> facts;
    std::vector<BadRecord> bad;
    /// Position that follows the last record of the page; the next read starts there. See LibConfiguration/LogPosition.h.
    int64_t end { 0 };
    /// Position that followed the last record of the log at the time of the read. If it is greater than `end`, more pages follow.
    int64_t log_end { 0 };
};

/// How long a read of the log may take, in milliseconds.
struct ReadTimeouts {
    /// Longest time that the log may delay its answer until a record arrives (long polling). 0: it answers at once.
    Core::Duration wait { 0 };
    /// Time allowed for the round trip in addition to `wait`. After both, the connection is treated as dead.
    Core::Duration answer { 0 };
};

/// Interface to the platform's log, in which the operator and the backend servers write their records.
/// Callbacks run later, from the event loop.
class FactLog {
public:
    virtual ~FactLog() = default;

    using Callback = std::function<void(tl::expected<FactPage, FactLogFault>)>;

    /// Reads the records of a topic from a position on. Waits up to `ReadTimeouts::wait` if there is none yet.
    virtual void read(Configuration::FactTopic, int64_t from, ReadTimeouts, Callback) = 0;

    /// Reads the newest record of each key of a topic, without waiting for new ones.
    virtual void read_newest(Configuration::FactTopic, ReadTimeouts, Callback) = 0;

    /// Reads records before the position `end` that later records of the same keys have replaced. Returns only the most recent ones that the
    /// log still stores, because their total size is limited. The default is for a log without history: an empty page.
    virtual void read_history(Configuration::FactTopic, int64_t /*end*/, ReadTimeouts, Callback callback)
    {
        auto const answer = std::move(callback);
        answer(FactPage {});
    }
};

}
