// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <optional>

namespace Routing {

/// Decides which requests a process that was told to stop still sends to a backend server, and when it gives up those that are
/// unfinished. The same rule holds however a request came in.
///
/// During the notice callers are still led here, so requests are sent as before. After it a request is sent only if its deadline falls
/// before the answers to what is unfinished: whatever becomes of it, its caller is answered by then. All others are better refused at once.
class StopSchedule {
public:
    /// Times from the signal to stop.
    struct Times {
        /// How long callers may still be led here. Half of the time until the answers at most.
        Core::Duration notice { 0 };
        /// When all that is unfinished is answered.
        Core::Duration until_answers { 0 };
        /// When the process ends even if these answers have not been sent.
        Core::Duration until_exit { 0 };
    };

    /// Has no effect after the first call.
    void begin(Times const&, Core::Time now);

    bool has_begun() const { return m_answers_at.has_value(); }
    bool is_notice_over(Core::Time now) const { return has_begun() && now >= m_notice_ends_at; }
    bool is_out_of_time(Core::Time now) const { return has_begun() && now >= *m_answers_at; }
    bool must_exit(Core::Time now) const { return has_begun() && now >= m_exits_at; }
    /// Time since the signal; 0 before it.
    Core::Duration elapsed(Core::Time now) const { return has_begun() ? now - m_began_at : Core::Duration(0); }
    /// Whether a request with this deadline may be sent to a backend server now.
    bool may_send(Core::Time deadline, Core::Time now) const;

private:
    Core::Time m_began_at { 0 };
    Core::Time m_notice_ends_at { 0 };
    std::optional<Core::Time> m_answers_at;
    Core::Time m_exits_at { 0 };
};

}
