// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/StagedLoad.h>
#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <optional>
#include <random>
#include <rapidcheck/gtest.h>

using namespace Distribution;

static constexpr int64_t layers = 4;
static constexpr size_t chunks = 6;
static constexpr Core::Duration call_timeout { 1000 };
static constexpr Core::Duration poll_interval { 100 };
static constexpr Core::Duration tick { 10 };
// A load may take a chunk that became corrupt this recently.
static constexpr Core::Duration allowed_corruption { 3000 };

/// An engine that executes calls in its own time, and judges each load when it takes the order.
struct SlowEngine {
    struct Chunk {
        // The version that was written last; 0 if nothing is staged.
        int64_t written_version { 0 };
        std::optional<Core::Time> corrupt_since;
    };

    std::vector<Chunk> staged { chunks };
    int64_t held_version { 0 };
    int64_t first_layer { 0 };
    int64_t end_layer { 0 };
    // Whether each layer was loaded from a wrong chunk.
    std::vector<bool> wrong_layers = std::vector<bool>(layers);
    int64_t sequence { 0 };
    int64_t started_at_ms { 1 };
    Core::Time busy_until { 0 };
    Core::Time stands_still_until { 0 };

    bool holds_all_layers() const { return first_layer == 0 && end_layer == layers; }
    bool is_load_wrong() const { return std::find(wrong_layers.begin(), wrong_layers.end(), true) != wrong_layers.end(); }

    bool is_wrong(int64_t layer, int64_t version, Core::Time now) const
    {
        // Two layers may share a chunk.
        auto const count = static_cast<int64_t>(chunks);
        auto const begin = staged.begin() + layer * count / layers;
        auto const end = staged.begin() + ((layer + 1) * count + layers - 1) / layers;
        return std::any_of(begin, end, [&](auto const& chunk) {
            return chunk.written_version != version || (chunk.corrupt_since && now - *chunk.corrupt_since > allowed_corruption);
        });
    }

    Platform::OrderOutcome take(int64_t version, int64_t first, int64_t end, std::optional<int64_t> expected, Core::Time now)
    {
        if (expected != sequence || now < busy_until)
            return Platform::OrderOutcome::Refused;
        if (held_version == version && first_layer == first && end_layer == end)
            return Platform::OrderOutcome::AlreadyHeld;
        sequence += 1;
        for (int64_t layer = 0; layer < layers; ++layer) {
            bool const is_ordered = first <= layer && layer < end;
            bool const is_kept = held_version == version && first_layer <= layer && layer < end_layer;
            if (!is_ordered || !is_kept)
                wrong_layers[static_cast<size_t>(layer)] = is_ordered && is_wrong(layer, version, now);
        }
        held_version = version;
        first_layer = first;
        end_layer = end;
        busy_until = now + Core::Duration(300) * (end - first) / layers;
        return Platform::OrderOutcome::Accepted;
    }

    void restart(bool has_lost_power)
    {
        held_version = 0;
        sequence = 0;
        started_at_ms += 1;
        busy_until = Core::Time(0);
        if (has_lost_power)
            staged = std::vector<Chunk>(chunks);
    }

    Platform::EngineReport report(bool tells_start, Core::Time now) const
    {
        Platform::EngineReport report;
        if (held_version > 0)
            report.held = { { .end_layer = end_layer, .first_layer = first_layer, .model = "m", .version = held_version } };
        report.is_busy = now < busy_until;
        report.order_sequence = sequence;
        if (tells_start)
            report.started_at_ms = started_at_ms;
        return report;
    }
};

/// Which troubles a simulation has.
struct Troubles {
    bool has_corruption { false };
    bool has_standstills { false };
    bool has_slow_calls { false };
    bool has_pauses { false };
    bool has_kills { false };
    bool has_engine_restarts { false };
    bool names_versions { false };
};

/// An agent with one load at a time, and its engine, in virtual time. The agent may be paused or killed; its calls are executed all the same.
class Simulation {
public:
    Simulation(uint32_t seed, Troubles troubles)
        : m_random(seed)
        , m_troubles(troubles)
        , m_tells_start(chance(0.5))
    {
        begin_process();
    }

    void run(Core::Duration length)
    {
        auto const end = m_now + length;
        for (; m_now < end; m_now += tick) {
            trouble();
            execute_calls();
            if (m_now < m_paused_until)
                continue;
            deliver_answers();
            advance_agent();
        }
    }

    void end_troubles() { m_troubles = {}; }
    void name_version()
    {
        m_version += 1;
        m_named_at = m_now;
    }
    bool is_newest_served() const { return m_load->is_served_whole() && m_load->version() == m_version && m_engine.held_version == m_version; }
    uint64_t wrong_claims() const { return m_wrong_claims; }
    int64_t orders() const { return m_orders; }
    int64_t layer_orders() const { return m_layer_orders; }

private:
    struct Call {
        Core::Time sent_at;
        Core::Time arrives_at;
        Core::Time answer_delay;
        // Returns what the answer does at the agent; it is called with false if no answer came in time.
        std::function<std::function<void(bool)>()> execute;
        int process;
        std::function<void(bool)> on_answer {};
        std::optional<Core::Time> executed_at {};
        bool is_ended { false };
    };

    bool chance(double share) { return std::uniform_real_distribution<>(0, 1)(m_random) < share; }
    int64_t between(int64_t low, int64_t high) { return std::uniform_int_distribution<int64_t>(low, high)(m_random); }

    void begin_process()
    {
        m_process += 1;
        m_is_polling = false;
        m_area.emplace();
        begin_load();
    }

    void begin_load()
    {
        m_load.emplace(m_version, chunks, *m_area, StagedLoadSettings {});
        m_load_number += 1;
        for (size_t i = 0; i < chunks; ++i)
            m_load->on_held(i);
    }

    void trouble()
    {
        if (m_troubles.has_corruption && chance(0.01)) {
            auto& chunk = m_engine.staged[static_cast<size_t>(between(0, chunks - 1))];
            if (!chunk.corrupt_since)
                chunk.corrupt_since = m_now;
        }
        if (m_troubles.has_standstills && m_now >= m_engine.stands_still_until && chance(0.004))
            m_engine.stands_still_until = m_now + Core::Duration(between(500, 4000));
        if (m_troubles.has_pauses && m_now >= m_paused_until && chance(0.003))
            m_paused_until = m_now + Core::Duration(between(500, 4500));
        if (m_troubles.has_kills && chance(0.002))
            begin_process();
        if (m_troubles.has_engine_restarts && chance(0.001)) {
            m_engine.restart(chance(0.5));
            m_engine_restarted_at = m_now;
        }
        // Often soon after another one.
        if (m_troubles.names_versions && chance(m_now < m_named_at + Core::Duration(1500) ? 0.01 : 0.003))
            name_version();
    }

    /// Sends a call whose end without an answer is handled by `on_unanswered`.
    void send(std::function<std::function<void(bool)>()> execute, std::function<void()> on_unanswered)
    {
        m_unanswered.push_back(std::move(on_unanswered));
        auto const delay = [this] { return m_troubles.has_slow_calls ? Core::Duration(between(0, 950)) : Core::Duration(0); };
        m_calls.push_back({ m_now, m_now + delay(), delay(), std::move(execute), m_process });
    }

    void execute_calls()
    {
        if (m_now < m_engine.stands_still_until)
            return;
        for (size_t i = 0; i < m_calls.size(); ++i) {
            auto& call = m_calls[i];
            if (call.executed_at || m_now < call.arrives_at)
                continue;
            call.executed_at = m_now;
            call.on_answer = call.execute();
        }
    }

    void deliver_answers()
    {
        for (size_t i = 0; i < m_calls.size(); ++i) {
            if (m_calls[i].is_ended)
                continue;
            bool const is_answered = m_calls[i].executed_at && m_now >= *m_calls[i].executed_at + m_calls[i].answer_delay;
            // A paused process finds the answer and the end of the timeout at once, and reads what has arrived.
            bool const is_late = !is_answered && m_now - m_calls[i].sent_at >= call_timeout;
            if (!is_answered && !is_late)
                continue;
            m_calls[i].is_ended = true;
            if (m_calls[i].process != m_process)
                continue;
            if (is_answered)
                m_calls[i].on_answer(true);
            else
                m_unanswered[i]();
        }
    }

    void advance_agent()
    {
        bool const must_wait = m_load->has_open_order() || m_load->is_checking();
        if (m_load->version() < m_version && !must_wait)
            begin_load();
        if (m_now >= m_next_poll && !m_is_polling)
            poll();
        for (auto const& action : m_load->step(m_now))
            perform(action);
    }

    void poll()
    {
        m_is_polling = true;
        m_next_poll = m_now + poll_interval;
        auto const requested_at = m_now;
        send([this, requested_at] {
            auto const report = m_engine.report(m_tells_start, m_now);
            auto const executed_at = m_now;
            return [this, report, requested_at, executed_at](bool) {
                m_is_polling = false;
                m_area->on_report(report, m_now);
                m_load->on_report(report, layers, requested_at, m_now);
                note_claim(executed_at, report);
            }; }, [this] {
            m_is_polling = false;
            m_area->on_unreachable();
            m_load->on_unreachable(); });
    }

    /// A claim is judged by the load that the report showed, if the engine has taken no other since.
    void note_claim(Core::Time executed_at, Platform::EngineReport const& report)
    {
        bool const is_same_load = m_engine.sequence == report.order_sequence && m_engine_restarted_at < executed_at;
        bool const is_claimed = m_load->is_served_whole() && m_engine.holds_all_layers() && m_engine.held_version == m_load->version();
        if (is_claimed && is_same_load && m_engine.is_load_wrong())
            m_wrong_claims += 1;
    }

    /// Returns `on_answer` if the load that sent the call is still the present one, otherwise nothing to do.
    std::function<void(bool)> for_load(uint64_t load, std::function<void()> on_answer)
    {
        return [this, load, on_answer = std::move(on_answer)](bool) {
            if (load == m_load_number)
                on_answer();
        };
    }

    void perform(LoadAction const& action)
    {
        auto const load = m_load_number;
        auto const version = m_load->version();
        if (auto const* stage = std::get_if<StageChunk>(&action)) {
            m_area->on_write_sent(m_now);
            auto const chunk = stage->chunk;
            auto const end = [this, load, chunk](bool is_done) {
                m_area->on_write_ended(is_done, m_now);
                if (load == m_load_number)
                    m_load->on_staged(chunk, is_done, m_now);
            };
            send([this, chunk, version, end] {
                m_engine.staged[chunk] = { version, {} };
                return std::function<void(bool)>(end); }, [end] { end(false); });
        } else if (auto const* back = std::get_if<ReadBackChunk>(&action)) {
            auto const chunk = back->chunk;
            auto const end = [this, load, chunk](ReadBack result) {
                if (load == m_load_number)
                    m_load->on_read_back(chunk, result, m_now);
            };
            send([this, chunk, version, end] {
                auto const& staged = m_engine.staged[chunk];
                auto const is_right = staged.written_version == version && !staged.corrupt_since;
                auto const result = staged.written_version == 0 ? ReadBack::Absent : is_right ? ReadBack::Right : ReadBack::Wrong;
                return [end, result](bool) { end(result); }; }, [end] { end(ReadBack::Unanswered); });
        } else if (auto const* order = std::get_if<OrderLoad>(&action)) {
            m_orders += 1;
            send([this, load, version, expected = order->expected_sequence] {
                auto const outcome = m_engine.take(version, 0, layers, expected, m_now);
                return for_load(load, [this, outcome] { m_load->on_ordered(outcome, m_now); }); }, [this, load] {
                if (load == m_load_number)
                    m_load->on_ordered(Platform::OrderOutcome::Unknown, m_now); });
        } else if (auto const* hold = std::get_if<OrderHoldLayer>(&action)) {
            m_layer_orders += 1;
            send([this, load, version, layer = hold->layer, expected = hold->expected_sequence] {
                auto const outcome = m_engine.take(version, layer, layer + 1, expected, m_now);
                return for_load(load, [this, outcome] { m_load->on_hold_layer_ordered(outcome, m_now); }); }, [this, load] {
                if (load == m_load_number)
                    m_load->on_hold_layer_ordered(Platform::OrderOutcome::Unknown, m_now); });
        }
    }

    std::mt19937 m_random;
    Troubles m_troubles;
    bool m_tells_start;
    Core::Time m_now { 1 };
    SlowEngine m_engine;
    Core::Time m_engine_restarted_at { 0 };
    std::vector<Call> m_calls;
    std::vector<std::function<void()>> m_unanswered;
    int m_process { 0 };
    int64_t m_version { 2 };
    Core::Time m_named_at { 0 };
    std::optional<StagingArea> m_area;
    std::optional<StagedLoad> m_load;
    uint64_t m_load_number { 0 };
    Core::Time m_paused_until { 0 };
    Core::Time m_next_poll { 0 };
    bool m_is_polling { false };
    uint64_t m_wrong_claims { 0 };
    int64_t m_orders { 0 };
    int64_t m_layer_orders { 0 };
};

static constexpr Core::Duration trouble_time { 40000 };
// Long enough for a standstill, a pause and a few loads.
static constexpr Core::Duration quiet_time { 15000 };

static void check_simulation(uint32_t seed, Troubles const& troubles)
{
    Simulation simulation(seed, troubles);
    simulation.run(trouble_time);
    RC_ASSERT(simulation.wrong_claims() == 0);
    simulation.end_troubles();
    simulation.run(quiet_time);
    RC_ASSERT(simulation.wrong_claims() == 0);
    RC_ASSERT(simulation.is_newest_served());
}

// Guards against requests on layers that were loaded from missing, corrupt or mixed chunks.
RC_GTEST_PROP(LoadVerification, AVersionCountsAsServedOnlyIfItsLoadIsWhole, (uint32_t seed))
{
    auto const has = [&seed](int bit) { return ((seed >> bit) & 1) != 0; };
    check_simulation(seed, { has(0), has(1), has(2), has(3), has(4), has(5), has(6) });
}

RC_GTEST_PROP(LoadVerification, AVersionCountsAsServedOnlyIfItsLoadIsWholeUnderAllTroublesTogether, (uint32_t seed))
{
    check_simulation(seed, { true, true, true, true, true, true, true });
}

RC_GTEST_PROP(LoadVerification, OrdersThatStandingEnginesTakeLateAreNotServedUnchecked, (uint32_t seed))
{
    check_simulation(seed, { .has_corruption = true, .has_standstills = true, .names_versions = true });
}

RC_GTEST_PROP(LoadVerification, LoadsOfAgentsThatWereKilledAreNotServedUnchecked, (uint32_t seed))
{
    check_simulation(seed, { .has_corruption = true, .has_standstills = true, .has_kills = true });
}

TEST(LoadVerification, WithoutTroubleOneOrderServesAVersion)
{
    Simulation simulation(1, {});
    simulation.run(Core::Duration(5000));
    EXPECT_TRUE(simulation.is_newest_served());
    EXPECT_EQ(simulation.orders(), 1);
    simulation.name_version();
    simulation.run(Core::Duration(5000));
    EXPECT_TRUE(simulation.is_newest_served());
    EXPECT_EQ(simulation.orders(), 2);
    EXPECT_EQ(simulation.layer_orders(), 0);
}

// A version is reached while chunks keep turning bad.
TEST(LoadVerification, CorruptionAloneHoldsNoVersionUp)
{
    for (uint32_t seed = 1; seed <= 50; ++seed) {
        Simulation simulation(seed, { .has_corruption = true });
        simulation.run(Core::Duration(8000));
        EXPECT_TRUE(simulation.is_newest_served()) << seed;
    }
}
