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

/// Lay a verified chunk beside the engine.
struct StageChunk {
    size_t chunk { 0 };
};

/// Read a chunk back from beside the engine, and compare it with its digest.
struct ReadBackChunk {
    size_t chunk { 0 };
};

/// Have the engine load what lies beside it.
struct OrderLoad {
    /// Nothing if the engine does not tell its sequence.
    std::optional<int64_t> expected_sequence;
    Platform::LoadMode manner { Platform::LoadMode::WaitForRunning };
};

using LoadAction = std::variant<StageChunk, ReadBackChunk, OrderLoad>;

struct StagedLoadSettings {
    size_t calls_at_once { 4 };
    /// A chunk that was read back longer ago than this may have turned bad since.
    Core::Duration read_back_holds { 1500 };
    /// Wait for a report that shows what became of an order, from its answer, or from its sending if it had none.
    Core::Duration order_patience { 1500 };
    /// Time that entries are given to hear that an engine takes no more.
    Core::Duration notice { 150 };
    /// Requests at an engine that takes no more may end by themselves for this long, where the rest may be cut.
    Core::Duration drain_patience { 700 };
    /// With so few left, the rest is cut sooner.
    int64_t few_running { 5 };
    Core::Duration few_patience { 300 };
};

/// Whether and how an engine that serves may be taken out of service for a load.
struct SwitchTerms {
    bool may_switch { true };
    bool may_evict { false };
};

/// Whether a report is of an earlier incarnation of the engine than the last one, and thus came late.
bool is_of_earlier_incarnation(Platform::EngineReport const&, std::optional<Platform::EngineReport> const& last);

/// Decides what is laid beside the engine and when the engine is ordered to take it.
///
/// An order goes out only when every chunk of one version lies there and was read back and found right just before.
/// An order that nobody answered may have been taken: the engine's report tells, and the sequence that the next
/// order expects keeps two orders from both taking effect. An engine may start again under its identity: nothing that was
/// answered before says anything then, but what was laid beside it may still lie there.
class StagedLoad {
public:
    StagedLoad(int64_t version, size_t chunks, StagedLoadSettings);

    int64_t version() const { return m_version; }

    /// The chunk's bytes are at hand, verified.
    void on_held(size_t chunk);
    void on_staged(size_t chunk, bool is_done);
    /// The chunk was read back: whether it is the version's.
    void on_read_back(size_t chunk, bool is_right, Core::Time now);
    /// A report of an earlier incarnation than the last one counts as none; one that comes after none is believed in any case,
    /// for the engine's clock may have been set back.
    void on_report(Platform::EngineReport const&, int64_t layers, Core::Time now);
    void on_unreachable();
    void on_ordered(Platform::OrderOutcome, Core::Time now);

    /// What to do now.
    std::vector<LoadAction> step(Core::Time now, SwitchTerms = {});

    /// The engine reports all layers of this version.
    bool is_serving() const { return m_is_serving; }
    /// No new request should reach the engine: it is about to be ordered, or an order is under way.
    bool is_switching() const { return m_draining_since.has_value() || m_is_ordering || m_ordered_at.has_value(); }
    size_t held_count() const;
    /// Chunks that were found bad when they were read back.
    uint64_t bad_count() const { return m_bad; }

private:
    struct Chunk {
        bool is_held { false };
        bool is_staged { false };
        bool is_in_call { false };
        /// The call went to an earlier incarnation.
        bool is_call_overtaken { false };
        std::optional<Core::Time> right_at;
    };

    /// Whether the engine has started again since it was last heard of.
    bool is_restart(Platform::EngineReport const&) const;
    void begin_incarnation();
    bool is_complete() const;
    bool stage_next(std::vector<LoadAction>&);
    bool read_back_next(Core::Time now, std::vector<LoadAction>&);
    bool is_read_back(Core::Time now) const;
    std::optional<Platform::LoadMode> manner(Core::Time now, SwitchTerms const&);

    int64_t m_version;
    StagedLoadSettings m_settings;
    std::vector<Chunk> m_chunks;
    size_t m_calls { 0 };
    std::optional<Platform::EngineReport> m_report;
    // What the engine last told of its start, also where it has not been heard of since.
    std::optional<int64_t> m_started_at_ms;
    bool m_is_serving { false };
    bool m_is_ordering { false };
    // The order that is under way went to an earlier incarnation.
    bool m_is_order_overtaken { false };
    Core::Time m_order_sent_at { 0 };
    std::optional<Core::Time> m_ordered_at;
    std::optional<Core::Time> m_draining_since;
    uint64_t m_bad { 0 };
};

}
