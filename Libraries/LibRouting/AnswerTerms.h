// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>

namespace Routing {

/// What an answer is worth to its caller, by when it begins.
enum class Timeliness {
    /// Within the objective, counted from the caller's first try.
    InTime,
    /// The caller still waits for it.
    Late,
    /// The caller will have gone before it ends.
    TooLate,
};

/// Until when the answer to a request is worth what.
struct AnswerTerms {
    /// Last moment at which an answer that begins is in time.
    Core::Time in_time_until { 0 };
    /// The caller's end of waiting, or the route's.
    Core::Time deadline { 0 };

    /// `ends`: the end of an answer that begins at `begins`.
    Timeliness of(Core::Time begins, Core::Time ends) const
    {
        if (ends > deadline)
            return Timeliness::TooLate;
        return begins <= in_time_until ? Timeliness::InTime : Timeliness::Late;
    }
};

}
