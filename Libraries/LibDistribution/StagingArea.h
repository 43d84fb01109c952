// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/EngineApi.h>
#include <cstddef>
#include <optional>

namespace Distribution {

/// Limits of a StagingArea. Durations are in milliseconds.
struct StagingAreaSettings {
    /// Once the engine has answered for this long without a break, calls that an earlier process sent, and writes whose answers are
    /// missing, have been executed or never will be.
    Core::Duration settle_time { 2000 };
};

/// What may still write to an engine's staging area, or load it, although nobody waits for its answer any more.
///
/// The engine has one staging area, while versions and processes of the agent follow each other: a call of an earlier one may be
/// executed late, for example because the engine stood still. All loads of a process share this object.
class StagingArea {
public:
    explicit StagingArea(StagingAreaSettings = {});

    void on_write_sent(Core::Time now);
    /// A write without an answer may be executed later.
    void on_write_ended(bool is_answered, Core::Time now);
    /// Number of writes that wait for an answer, of whichever load.
    size_t writes_in_flight() const { return m_writes_in_flight; }

    /// Records that an order sent at this time ended without an answer: the engine may take it later.
    void on_order_unanswered(Core::Time sent_at);
    /// Records that the engine has accepted an order that expected this sequence number. It then takes no other one that expects it.
    void on_order_accepted(std::optional<int64_t> expected_sequence);

    /// Applies an answer of the engine: its report.
    void on_report(Platform::EngineReport const&, Core::Time now);
    /// Records that the engine gave no report.
    void on_unreachable();

    /// Whether a write that nobody waits for may still change a staged chunk.
    bool can_change_unseen() const { return m_unsettled_since.has_value(); }
    /// Whether a chunk was written while the engine may have taken an order unseen. What such an order loaded is unknown.
    bool has_written_beside_open_order() const;

private:
    StagingAreaSettings m_settings;
    size_t m_writes_in_flight { 0 };
    std::optional<Core::Time> m_last_write_at;
    // When a write ended without an answer. At the start an earlier process may have sent one.
    std::optional<Core::Time> m_unsettled_since { Core::Time(0) };
    // When the oldest order of this process was sent that the engine may take, or may have taken, unseen.
    std::optional<Core::Time> m_order_open_since;
    // An earlier process may have sent an order that the engine may take, or may have taken, unseen.
    bool m_may_have_earlier_order { true };
    // The engine has taken an order unseen, and chunks were written while it may have done so.
    bool m_has_written_beside_taken_order { false };
    std::optional<int64_t> m_order_sequence;
    std::optional<Core::Time> m_answering_since;
};

}
