// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>

namespace Routing {

/// Whether an answer begins within the route's objective for the time to the answer or to a stream's first event, and ends before the
/// caller stops waiting.
enum class Timeliness {
    /// The answer begins within the objective, which is counted from the caller's first request.
    InTime,
    /// The answer begins after the objective, but ends while the caller still waits.
    Late,
    /// The answer ends after the caller has stopped waiting.
    TooLate,
};

/// The moments by which the answer to one request must begin and end.
struct AnswerDeadlines {
    /// The last moment at which an answer may begin and still meet the objective.
    Core::Time in_time_until { 0 };
    /// When the caller stops waiting, or when the route's timeout ends.
    Core::Time deadline { 0 };

    /// Classifies an answer that begins at `begins` and ends at `ends`.
    Timeliness classify(Core::Time begins, Core::Time ends) const
    {
        if (ends > deadline)
            return Timeliness::TooLate;
        return begins <= in_time_until ? Timeliness::InTime : Timeliness::Late;
    }
};

}
