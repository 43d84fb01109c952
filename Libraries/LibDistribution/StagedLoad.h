// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibDistribution/LoadCheck.h>
#include <LibDistribution/StagingArea.h>
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

/// Order the engine to hold a single layer of the version, so that it gives up the others and loads them anew later.
struct OrderHoldLayer {
    int64_t layer { 0 };
    /// As in OrderLoad.
    std::optional<int64_t> expected_sequence;
};

using LoadAction = std::variant<StageChunk, ReadBackChunk, OrderLoad, OrderHoldLayer>;

/// Limits and timeouts of a StagedLoad. Durations are in milliseconds.
struct StagedLoadSettings {
    /// Maximum number of stage and read-back calls in flight.
    size_t max_calls_in_flight { 4 };
    /// A chunk that was read back earlier than this is read back again before an order. Less than `allowed_corruption` by the time that an
    /// order takes.
    Core::Duration read_back_validity { 2000 };
    /// A loaded chunk may have become corrupt this long before the load.
    Core::Duration allowed_corruption { 2900 };
    /// How long to wait before a call that failed is repeated.
    Core::Duration call_retry { 100 };
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

/// Decides which chunks of one version are written to an engine's staging area, when the engine is ordered to load them, and whether what
/// it loaded is whole.
///
/// An order is sent only when every chunk of the version is staged and was read back with the right digest within the last
/// `read_back_validity`. The engine takes the staged chunks when it takes the order, which may be much later, so the load counts as served
/// only once a LoadCheck has found it whole.
///
/// A load in doubt is replaced layer by layer, since the engine keeps the layers of the version that it holds: it is ordered to hold the first
/// layer alone, then, once all chunks are verified, the last one alone, and then all. A part of the version that an earlier process left behind
/// is replaced in the same way.
///
/// An order without an answer may have been accepted: the engine's next report shows it, and the sequence number that the next order
/// expects keeps two orders from both taking effect. An engine may restart under its identity: answers from before the restart then no
/// longer count, but the staged chunks may still be there.
class StagedLoad {
public:
    /// @param chunks the number of the version's chunks.
    /// @param area the engine's staging area, which this load shares with those of other versions. Must outlive this object.
    StagedLoad(int64_t version, size_t chunks, StagingArea& area, StagedLoadSettings);

    int64_t version() const { return m_version; }

    /// Records that this instance holds the chunk's verified bytes, so that the chunk can be staged.
    void on_held(size_t chunk);
    /// Records that this process found the load of this version which the engine holds whole.
    void on_known_whole() { m_check = LoadCheck::of_whole_load(); }
    /// Records the result of a StageChunk action.
    void on_staged(size_t chunk, bool has_succeeded, Core::Time now);
    /// Records the result of a ReadBackChunk action. A chunk that is wrong or absent is staged again. The result holds for the time at
    /// which the read was sent, since the engine may have answered at any time since then.
    void on_read_back(size_t chunk, ReadBack, Core::Time now);
    /// Applies an engine's report. `layers` is the number of layers of the model, all of which the engine must hold to serve a version.
    /// A report of an earlier incarnation than the last report is treated like on_unreachable(). The next one is accepted in any case,
    /// since the engine's clock may have been set back. A report that was requested before the last order ended is ignored, as it may not
    /// show the order's effect.
    void on_report(Platform::EngineReport const&, int64_t layers, Core::Time requested_at, Core::Time now);
    /// Discards the last report. No order is sent before the next one.
    void on_unreachable();
    /// Records the result of an OrderLoad action.
    void on_ordered(Platform::OrderOutcome, Core::Time now);
    /// Records the result of an OrderHoldLayer action.
    void on_hold_layer_ordered(Platform::OrderOutcome, Core::Time now);

    /// Returns the actions to start now. The caller records writes in the StagingArea, and reports the result of each action through
    /// on_staged(), on_read_back(), on_ordered() or on_hold_layer_ordered().
    std::vector<LoadAction> step(Core::Time now, SwitchPermissions = {});

    /// Whether the engine reports that it holds all layers of this version, and the load was found whole.
    bool is_served_whole() const { return m_held_version == m_version && verdict() == LoadCheck::Verdict::Whole; }
    /// What is known of the load that the engine has taken; empty if it has taken none.
    std::optional<LoadCheck::Verdict> verdict() const { return m_check ? std::optional(m_check->verdict()) : std::nullopt; }
    /// Whether the load that the engine has taken is being checked. Nothing is written or ordered meanwhile.
    bool is_checking() const { return verdict() == LoadCheck::Verdict::Open; }
    /// Whether the engine reports that it holds all layers of this version, but may have loaded a wrong chunk.
    bool is_in_doubt() const { return m_held_version == m_version && verdict() == LoadCheck::Verdict::Doubtful; }
    /// Whether no new request should be sent to the engine, because it is being drained for an order, an order is in progress, or its load
    /// is still being checked.
    bool is_switching() const { return m_draining_since.has_value() || m_is_ordering || m_order_wait_since.has_value() || is_checking(); }
    /// Number of chunks whose verified bytes this instance holds.
    size_t held_count() const;
    /// Number of read-backs that found a wrong digest or no chunk.
    uint64_t corrupt_count() const { return m_corrupt_count; }
    /// Number of stage and read-back calls in flight.
    size_t calls_in_flight() const { return m_calls; }
    /// Whether an order is in flight, or may still take effect.
    bool has_open_order() const { return m_is_ordering || m_order_wait_since.has_value(); }
    /// When the read of the chunk that was verified longest ago was sent. Empty if some chunk is not verified.
    std::optional<Core::Time> oldest_verification() const;

private:
    struct Chunk {
        bool is_held { false };
        bool is_staged { false };
        bool is_in_call { false };
        /// The engine has restarted since the call was sent.
        bool is_call_outdated { false };
        /// When the read-back in flight was sent.
        Core::Time read_back_sent_at { 0 };
        /// When the last read-back that found the right digest was sent.
        std::optional<Core::Time> verified_at;
        /// Earliest time of the next call, after one that failed.
        Core::Time retry_at { 0 };
    };

    /// Whether the report shows that the engine has restarted since its last report.
    bool is_restart(Platform::EngineReport const&) const;
    void begin_incarnation();
    /// Begins the check of a load that the engine has taken by now.
    void begin_check(Core::Time now);
    bool is_complete() const;
    bool stage_next(Core::Time now, std::vector<LoadAction>&);
    template<typename IsDue>
    bool read_back_next(Core::Time now, IsDue const&, std::vector<LoadAction>&);
    bool is_verified(Chunk const&, Core::Time now) const;
    bool are_all_verified(Core::Time now) const;
    std::optional<Platform::LoadMode> load_mode(Core::Time now, SwitchPermissions const&);
    std::vector<LoadAction> check_load(Core::Time now);
    std::vector<LoadAction> begin_replacement(Core::Time now);
    LoadAction order_layer(int64_t layer, Core::Time now);
    /// Returns the first layer of the part of this version that the engine holds; empty if it holds none of it, or all.
    std::optional<int64_t> held_part() const;
    std::vector<LoadAction> prepare_load(Core::Time now, SwitchPermissions const&);
    void begin_order(Core::Time now);
    /// Ends the order in flight. Returns false if its outcome says nothing about the engine's present incarnation.
    bool end_order(Platform::OrderOutcome, Core::Time now);

    int64_t m_version;
    StagingArea& m_area;
    StagedLoadSettings m_settings;
    std::vector<Chunk> m_chunks;
    size_t m_calls { 0 };
    // Number of the calls in flight that write.
    size_t m_writes { 0 };
    std::optional<Platform::EngineReport> m_report;
    // The start time in the engine's last report that had one. It is kept while the engine is unreachable.
    std::optional<int64_t> m_started_at_ms;
    // The highest version of which the engine holds all layers, as last reported; 0 while it is unreachable.
    int64_t m_held_version { 0 };
    bool m_is_ordering { false };
    // The sequence number that the order in flight expects.
    std::optional<int64_t> m_order_sequence;
    // The engine has restarted since the order in flight was sent.
    bool m_is_order_outdated { false };
    Core::Time m_order_sent_at { 0 };
    Core::Time m_order_ended_at { 0 };
    // Whether a late write could change a staged chunk when the last order was sent.
    bool m_could_change_unseen { false };
    // Start of the wait for a report that shows whether the last order took effect; empty if there is no such wait.
    std::optional<Core::Time> m_order_wait_since;
    // Of the load that the engine has taken, if any.
    std::optional<LoadCheck> m_check;
    // The number of layers of the model.
    int64_t m_layers { 0 };
    // The layer in the OrderHoldLayer in flight, and whether all chunks were verified when it was sent.
    int64_t m_ordered_layer { 0 };
    bool m_is_layer_verified { false };
    // The layer that the engine was ordered to hold when all chunks were verified, if nothing was written since.
    std::optional<int64_t> m_verified_layer;
    // Earliest time of the next OrderHoldLayer, after one that was not accepted.
    Core::Time m_hold_layer_retry_at { 0 };
    std::optional<Core::Time> m_draining_since;
    uint64_t m_corrupt_count { 0 };
};

}
