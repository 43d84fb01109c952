// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/EngineApi.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace Distribution {

/// Write a verified chunk to the staging area of the engine.
struct StageChunk {
    size_t chunk { 0 };
};

/// Read a chunk back from the engine's staging area, and compare it with its digest.
struct ReadBackChunk {
    size_t chunk { 0 };
};

/// Order the engine to load the staged chunks.
struct OrderLoad {
    /// The engine accepts the order only while its sequence number of orders has this value. Empty if the engine reports no sequence
    /// number.
    std::optional<int64_t> expected_sequence;
    Platform::LoadMode mode { Platform::LoadMode::WaitForRunning };
};

using LoadAction = std::variant<StageChunk, ReadBackChunk, OrderLoad>;

/// Limits and timeouts of a StagedLoad. Durations are in milliseconds.
struct StagedLoadSettings {
    /// Maximum number of stage and read-back calls in flight.
    size_t max_calls_in_flight { 4 };
    /// A read-back older than this no longer counts, since the staged chunk may have become corrupt since then.
    Core::Duration read_back_validity { 1500 };
    /// How long to wait for a report that shows whether an order took effect, counted from the answer to the order, or from its sending
    /// if there was no answer.
    Core::Duration order_result_timeout { 1500 };
    /// Time for the entries to receive the message that an engine accepts no more requests.
    Core::Duration drain_notice_time { 150 };
    /// How long the requests on a draining engine may run to their end before the rest are evicted, if eviction is allowed.
    Core::Duration drain_timeout { 700 };
    /// If at most `few_requests` requests are left, they are evicted after `few_requests_drain_timeout` already.
    int64_t few_requests { 5 };
    Core::Duration few_requests_drain_timeout { 300 };
};

/// Whether and how an engine that serves a version may be taken out of service to load another one.
struct SwitchPermissions {
    /// The engine may be drained.
    bool may_switch { true };
    /// Requests that still run after the drain timeout may be evicted from the engine.
    bool may_evict { false };
};

/// Returns whether a report is from an earlier incarnation of the engine than the last report, that is, whether it arrived late.
/// Returns false if either report lacks the engine's start time.
bool is_of_earlier_incarnation(Platform::EngineReport const&, std::optional<Platform::EngineReport> const& last);

/// Decides which chunks of one version are written to an engine's staging area, and when the engine is ordered to load them.
///
/// An order is sent only when every chunk of the version is staged and was read back with the right digest within the last
/// `read_back_validity`. An order without an answer may have been accepted: the engine's next report shows it, and the sequence number that
/// the next order expects keeps two orders from both taking effect. An engine may restart under its identity: answers from before the
/// restart then no longer count, but the staged chunks may still be there.
class StagedLoad {
public:
    /// @param chunks the number of the version's chunks.
    StagedLoad(int64_t version, size_t chunks, StagedLoadSettings);

    int64_t version() const { return m_version; }

    /// Records that this instance holds the chunk's verified bytes, so that the chunk can be staged.
    void on_held(size_t chunk);
    /// Records the result of a StageChunk action.
    void on_staged(size_t chunk, bool has_succeeded);
    /// Records the result of a ReadBackChunk action: whether the bytes had the right digest. A chunk with a wrong digest is staged again.
    void on_read_back(size_t chunk, bool is_correct, Core::Time now);
    /// Applies an engine's report. `layers` is the number of layers of the model, all of which the engine must hold to serve a version.
    /// A report of an earlier incarnation than the last report is treated like on_unreachable(). The next one is accepted in any case,
    /// since the engine's clock may have been set back.
    void on_report(Platform::EngineReport const&, int64_t layers, Core::Time now);
    /// Discards the last report. No order is sent before the next one.
    void on_unreachable();
    /// Records the result of an OrderLoad action.
    void on_ordered(Platform::OrderOutcome, Core::Time now);

    /// Returns the actions to start now. The caller reports the result of each through on_staged(), on_read_back() or on_ordered().
    std::vector<LoadAction> step(Core::Time now, SwitchPermissions = {});

    /// Whether the engine reports that it holds all layers of this version or of a newer one.
    bool is_serving() const { return m_is_serving; }
    /// Whether no new request should be sent to the engine, because it is being drained for an order or an order is in progress.
    bool is_switching() const { return m_draining_since.has_value() || m_is_ordering || m_order_wait_since.has_value(); }
    /// Number of chunks whose verified bytes this instance holds.
    size_t held_count() const;
    /// Number of read-backs that found a wrong digest.
    uint64_t corrupt_count() const { return m_corrupt_count; }
    /// Number of stage and read-back calls in flight.
    size_t calls_in_flight() const { return m_calls; }
    /// Whether an order is in flight, or may still take effect.
    bool has_open_order() const { return m_is_ordering || m_order_wait_since.has_value(); }
    /// When the oldest of the read-backs that count was asked for, and when it was answered. Empty if some chunk has none.
    std::optional<Core::Time> oldest_read_back_sent_at() const;
    std::optional<Core::Time> oldest_read_back_answered_at() const;

private:
    struct Chunk {
        bool is_held { false };
        bool is_staged { false };
        bool is_in_call { false };
        /// The engine has restarted since the call was sent.
        bool is_call_outdated { false };
        /// When the last read-back was sent.
        Core::Time read_back_sent_at { 0 };
        /// When the chunk was last read back with the right digest.
        std::optional<Core::Time> verified_at;
    };

    /// Whether the report shows that the engine has restarted since its last report.
    bool is_restart(Platform::EngineReport const&) const;
    void begin_incarnation();
    bool is_complete() const;
    bool stage_next(std::vector<LoadAction>&);
    bool read_back_next(Core::Time now, std::vector<LoadAction>&);
    bool are_all_read_back(Core::Time now) const;
    std::optional<Platform::LoadMode> load_mode(Core::Time now, SwitchPermissions const&);

    int64_t m_version;
    StagedLoadSettings m_settings;
    std::vector<Chunk> m_chunks;
    size_t m_calls { 0 };
    std::optional<Platform::EngineReport> m_report;
    // The start time in the engine's last report that had one. It is kept while the engine is unreachable.
    std::optional<int64_t> m_started_at_ms;
    bool m_is_serving { false };
    bool m_is_ordering { false };
    // The engine has restarted since the order in flight was sent.
    bool m_is_order_outdated { false };
    Core::Time m_order_sent_at { 0 };
    // Start of the wait for a report that shows whether the last order took effect; empty if there is no such wait.
    std::optional<Core::Time> m_order_wait_since;
    std::optional<Core::Time> m_draining_since;
    uint64_t m_corrupt_count { 0 };
};

}
