// SPDX-License-Identifier: BSD-2-Clause
#include <LibMembership/IdempotencyKeyOwner.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Membership;

namespace {

Schema::Members members(int64_t version, std::vector<std::string> const& agents)
{
    Schema::Members list;
    list.version = version;
    for (auto const& id : agents) {
        Schema::Instance instance {};
        instance.id = id;
        instance.role = Schema::Role::Agent;
        instance.service = "s";
        instance.state = Schema::InstanceState::Live;
        list.instances.push_back(instance);
    }
    return list;
}

InstanceList list_of(int64_t version, std::vector<std::string> const& agents)
{
    InstanceList list;
    list.update(members(version, agents));
    return list;
}

std::string key_created_at(Core::WallTime time, uint64_t seed)
{
    std::mt19937_64 random(seed);
    return make_uuid_v7(time, random);
}

constexpr Core::WallTime epoch { 1700000000000 };

}

RC_GTEST_PROP(Keys, AUuidContainsItsCreationTime, (uint64_t seed))
{
    auto const time = Core::WallTime(*rc::gen::inRange<int64_t>(0, int64_t { 1 } << 47));
    RC_ASSERT(uuid_creation_time(key_created_at(time, seed)) == time);
}

RC_GTEST_PROP(Keys, TextOfAnotherLengthIsRefusedAndNoTextCrashes, (std::string const& text))
{
    if (text.size() != 36)
        RC_ASSERT(!uuid_creation_time(text).has_value());
    else
        uuid_creation_time(text);
}

TEST(Keys, AUuidOfAnotherVersionIsRefused)
{
    EXPECT_FALSE(uuid_creation_time("f81d4fae-7dec-11d0-a765-00a0c91e6bf6").has_value());
    EXPECT_TRUE(uuid_creation_time("017f22e2-79b0-7cc3-98c4-dc0c0c07398f").has_value());
}

namespace {

class IdempotencyKeyOwnerTest : public testing::Test {
protected:
    IdempotencyKeyOwnerSettings settings;
    IdempotencyKeyOwner owner { "a", "s", settings, epoch };
    Core::Time now { 1000000 };
    Core::WallTime wall { epoch + Core::Duration(1000000) };
    std::string key = key_created_at(wall, 1);

    void SetUp() override
    {
        owner.on_list(list_of(1, { "a" }), epoch);
        owner.on_pong(now, 1, true);
    }
};

}

TEST_F(IdempotencyKeyOwnerTest, ANewKeyMayRunUnderALease)
{
    EXPECT_EQ(owner.refusal(key, now, wall), std::nullopt);
}

TEST_F(IdempotencyKeyOwnerTest, APongThatWaitedWhileTheAgentWasPausedGrantsNoLease)
{
    auto const resumed_at = now + Core::Duration(60000);
    owner.on_pong(now + Core::Duration(10), 1, true);
    EXPECT_EQ(owner.refusal(key, resumed_at, wall), Schema::Reason::LeaseLapsed);
}

TEST_F(IdempotencyKeyOwnerTest, AnUnconfirmedPongOrOneForAnotherListGrantsNoLease)
{
    auto const later = now + settings.lease;
    owner.on_pong(later, 1, false);
    owner.on_pong(later, 0, true);
    EXPECT_FALSE(owner.has_lease(later));
}

TEST_F(IdempotencyKeyOwnerTest, AKeyFromBeforeTheRestartMayHaveRun)
{
    EXPECT_EQ(owner.refusal(key_created_at(epoch - Core::Duration(1000), 1), now, wall - Core::Duration(900000)), Schema::Reason::KeyBeforeHome);
}

TEST_F(IdempotencyKeyOwnerTest, AKeyFromTheFutureIsRefused)
{
    EXPECT_EQ(owner.refusal(key_created_at(wall + Core::Duration(60000), 1), now, wall), Schema::Reason::KeyFromFuture);
}

TEST_F(IdempotencyKeyOwnerTest, ARestartedAgentNeedNotWaitIfTheListedAgentsAreUnchanged)
{
    auto const restarted = wall;
    IdempotencyKeyOwner restarted_owner("a", "s", settings, restarted);
    restarted_owner.on_list(list_of(1, { "a" }), restarted);
    restarted_owner.on_pong(now, 1, true);
    auto const soon = restarted + settings.max_clock_difference + Core::Duration(1);
    EXPECT_EQ(restarted_owner.refusal(key_created_at(soon, 1), now, soon), Schema::Reason::KeyBeforeHome);
    restarted_owner.on_pong(now, 1, true, epoch);
    EXPECT_EQ(restarted_owner.refusal(key_created_at(soon, 1), now, soon), std::nullopt);
    // The restarted agent does not know which requests ran before the restart.
    EXPECT_EQ(restarted_owner.refusal(key_created_at(restarted, 1), now, soon), Schema::Reason::KeyBeforeHome);
}

TEST_F(IdempotencyKeyOwnerTest, ASkippedListMayHaveNamedAnotherOwner)
{
    // Version 2 of the list was skipped; it may have left out "a" for a while.
    owner.on_list(list_of(3, { "a" }), wall);
    owner.on_pong(now, 3, true);
    EXPECT_EQ(owner.refusal(key, now, wall), Schema::Reason::KeyBeforeHome);
}

namespace {

/// Simulates agents that pause and restart, and entries that see outdated lists, with the class under test. Time is virtual; one step is
/// 100 ms.
struct Simulation {
    static constexpr Core::Duration step { 100 };
    struct Entry {
        int64_t version { 1 };
        Core::Time read_at { 0 };
        bool is_cut_off { false };
        AgentSetHistory history;
    };
    struct Agent {
        std::string id;
        std::unique_ptr<IdempotencyKeyOwner> owner;
        int64_t version { 0 };
        Core::Duration skew { 0 };
        bool is_paused { false };
        struct Pong {
            Core::Time sent_at;
            int64_t version;
            bool is_confirmed;
            std::optional<Core::WallTime> agents_unchanged_since;
        };
        std::optional<Pong> late_pong;
    };

    IdempotencyKeyOwnerSettings settings;
    Core::Time now { 0 };
    std::vector<std::pair<Core::Time, std::vector<std::string>>> published;
    std::vector<Entry> entries { 2 };
    std::vector<Agent> agents;

    Core::WallTime wall(Agent const& agent) const { return epoch + now + agent.skew; }

    void publish()
    {
        std::vector<std::string> listed;
        for (auto const& agent : agents) {
            if (*rc::gen::inRange(0, 4) != 0)
                listed.push_back(agent.id);
        }
        published.emplace_back(now, listed);
    }

    void entry_reads(Entry& entry)
    {
        if (entry.is_cut_off)
            return;
        // The platform may return any list that was current within the lag.
        for (size_t i = published.size(); i-- > 0;) {
            bool const may_be_shown = i + 1 == published.size() || published[i + 1].first + settings.max_list_lag > now;
            if (!may_be_shown)
                break;
            if (static_cast<int64_t>(i) + 1 < entry.version)
                break;
            if (i + 1 == published.size() || *rc::gen::inRange(0, 2) == 0) {
                entry.version = static_cast<int64_t>(i) + 1;
                entry.read_at = now;
                entry.history.on_list(list_of(entry.version, published[i].second), epoch + now);
                break;
            }
        }
    }

    void agent_talks(Agent& agent, Entry const& entry)
    {
        if (agent.is_paused)
            return;
        if (entry.version > agent.version) {
            agent.version = entry.version;
            agent.owner->on_list(list_of(entry.version, published[static_cast<size_t>(entry.version) - 1].second), wall(agent));
        }
        bool const is_confirmed = now < entry.read_at + settings.lease;
        Agent::Pong const pong { now, entry.version, is_confirmed, entry.history.since("s") };
        if (*rc::gen::inRange(0, 2) == 0)
            agent.late_pong = pong;
        else
            agent.owner->on_pong(pong.sent_at, pong.version, pong.is_confirmed, pong.agents_unchanged_since);
    }

    void pong_arrives_late(Agent& agent)
    {
        if (!agent.late_pong || agent.is_paused)
            return;
        auto const& pong = *agent.late_pong;
        agent.owner->on_pong(pong.sent_at, pong.version, pong.is_confirmed, pong.agents_unchanged_since);
        agent.late_pong.reset();
    }

    void restart(Agent& agent)
    {
        agent.owner = std::make_unique<IdempotencyKeyOwner>(agent.id, "s", settings, wall(agent));
        agent.version = 0;
        agent.late_pong.reset();
    }
};

}

RC_GTEST_PROP(IdempotencyKeyOwner, NoKeyRunsAtTwoAgentsWhicheverListsTheySee, ())
{
    Simulation simulation;
    for (auto const* id : { "a", "b", "c" }) {
        simulation.agents.push_back({ id, nullptr, 0, Core::Duration(*rc::gen::inRange(-250, 251)), false, {} });
        simulation.restart(simulation.agents.back());
    }
    simulation.published.emplace_back(Core::Time(0), std::vector<std::string> { "a", "b", "c" });
    std::map<std::string, std::string> ran_at;
    std::map<std::string, std::set<std::string>> known_at;
    std::vector<std::string> keys;
    size_t runs = 0;
    for (int i = 0; i < 400; ++i) {
        simulation.now += Simulation::step;
        auto& entry = simulation.entries[*rc::gen::inRange<size_t>(0, 2)];
        auto& agent = simulation.agents[*rc::gen::inRange<size_t>(0, 3)];
        auto const event = *rc::gen::inRange(0, 1000);
        // Changes are rare enough for leases to be renewed between them, and frequent enough for several to overlap.
        if (event < 6)
            simulation.publish();
        else if (event < 16)
            entry.is_cut_off = !entry.is_cut_off;
        else if (event < 26)
            agent.is_paused = !agent.is_paused;
        else if (event < 28) {
            // The outcomes of its requests are lost with the process.
            simulation.restart(agent);
            known_at[agent.id].clear();
        } else if (event < 120) {
            auto const skew = Core::Duration(*rc::gen::inRange(-250, 251));
            keys.push_back(key_created_at(epoch + simulation.now + skew, static_cast<uint64_t>(i)));
        }
        for (auto& reading : simulation.entries)
            simulation.entry_reads(reading);
        simulation.agent_talks(agent, entry);
        simulation.pong_arrives_late(agent);
        // Callers send every key again in each step, to any agent.
        for (auto const& key : keys) {
            auto& target = simulation.agents[*rc::gen::inRange<size_t>(0, 3)];
            if (target.is_paused || known_at[target.id].contains(key))
                continue;
            if (target.owner->refusal(key, simulation.now, simulation.wall(target)))
                continue;
            RC_ASSERT(!ran_at.contains(key));
            ran_at[key] = target.id;
            known_at[target.id].insert(key);
            runs += 1;
        }
    }
    RC_TAG(runs > 0 ? "ran some keys" : "ran no key");
}
