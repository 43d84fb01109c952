// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/FactReplica.h>
#include <LibCore/Error.h>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace Platform {

/// Why a read of the platform's log brought nothing.
enum class FactLogFault {
    /// No answer, or one that is no answer.
    Unavailable,
    /// The platform turned the call away.
    Refused,
    /// The records asked for are no longer kept: read the newest of each key.
    HistoryGone,
};

/// A record that could not be read. Of the operator's, what was in force stays in force; of a backend server's, no new work
/// goes to the server until a record of it can be read.
struct BadRecord {
    std::string key;
    int64_t revision { 0 };
    Core::Error error;
};

struct FactPage {
    std::vector<Configuration::Fact> facts;
    std::vector<BadRecord> bad;
    /// Offset behind the last record of the page.
    int64_t end { 0 };
    /// Offset behind the last record that the log held then: where that is more, the page is a part of what there is.
    int64_t log_end { 0 };
};

/// How long a read may take.
struct ReadPatience {
    /// How long the log may hold the answer back for want of a record.
    Core::Duration wait { 0 };
    /// What the way there and back may take beside that; past it the connection is taken to be dead.
    Core::Duration answer { 0 };
};

/// The platform's log of what the operator and the backend servers say. Answers come later, on the loop.
class FactLog {
public:
    virtual ~FactLog() = default;

    using Callback = std::function<void(tl::expected<FactPage, FactLogFault>)>;

    /// Reads the records from an offset on.
    virtual void read(Configuration::FactTopic, int64_t from, ReadPatience, Callback) = 0;

    /// Reads the newest record of every key, at once.
    virtual void read_newest(Configuration::FactTopic, ReadPatience, Callback) = 0;

    /// Reads records before an offset that later ones of the same keys have replaced: the last ones, as far as they are kept and are
    /// not too large together. A log that keeps no history brings none.
    virtual void read_history(Configuration::FactTopic, int64_t /*end*/, ReadPatience, Callback callback)
    {
        auto const answer = std::move(callback);
        answer(FactPage {});
    }
};

}
