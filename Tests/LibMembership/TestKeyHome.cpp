// SPDX-License-Identifier: BSD-2-Clause
#include <LibMembership/KeyHome.h>
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

std::string key_made_at(Core::WallTime time, uint64_t seed)
{
    std::mt19937_64 random(seed);
    return make_key(time, random);
}

constexpr Core::WallTime epoch { 1700000000000 };

}

RC_GTEST_PROP(Keys, AMadeKeySaysWhenItWasMade, (uint64_t seed))
{
    auto const time = Core::WallTime(*rc::gen::inRange<int64_t>(0, int64_t { 1 } << 47));
    RC_ASSERT(made_at(key_made_at(time, seed)) == time);
}

RC_GTEST_PROP(Keys, NoTextThatIsNoUuidCrashesOrPasses, (std::string const& text))
{
    if (text.size() != 36)
        RC_ASSERT(!made_at(text).has_value());
    else
        made_at(text);
}

TEST(Keys, AUuidOfAnotherVersionIsRefused)
{
    EXPECT_FALSE(made_at("f81d4fae-7dec-11d0-a765-00a0c91e6bf6").has_value());
    EXPECT_TRUE(made_at("017f22e2-79b0-7cc3-98c4-dc0c0c07398f").has_value());
}

namespace {

class KeyHomeTest : public testing::Test {
protected:
    KeyHomeSettings settings;
    KeyHome home { "a", "s", settings, epoch };
    Core::Time now { 1000000 };
    Core::WallTime wall { epoch + Core::Duration(1000000) };
    std::string key = key_made_at(wall, 1);

    void SetUp() override
    {
        home.on_list(list_of(1, { "a" }), epoch);
        home.on_pong(now, 1, true);
    }
};

}

TEST_F(KeyHomeTest, AFreshKeyMayRunUnderALease)
{
    EXPECT_EQ(home.refusal(key, now, wall), std::nullopt);
}

TEST_F(KeyHomeTest, APongThatWaitedWhileTheAgentWasPausedGrantsNothing)
{
    auto const woken = now + Core::Duration(60000);
    home.on_pong(now + Core::Duration(10), 1, true);
    EXPECT_EQ(home.refusal(key, woken, wall), Schema::Reason::LeaseLapsed);
}

TEST_F(KeyHomeTest, AnUnconfirmedPongOrOneForAnotherListGrantsNothing)
{
    auto const later = now + settings.lease;
    home.on_pong(later, 1, false);
    home.on_pong(later, 0, true);
    EXPECT_FALSE(home.has_lease(later));
}

TEST_F(KeyHomeTest, AKeyFromBeforeTheRestartMayHaveRun)
{
    EXPECT_EQ(home.refusal(key_made_at(epoch - Core::Duration(1000), 1), now, wall - Core::Duration(900000)), Schema::Reason::KeyBeforeHome);
}

TEST_F(KeyHomeTest, AKeyFromTheFutureIsRefused)
{
    EXPECT_EQ(home.refusal(key_made_at(wall + Core::Duration(60000), 1), now, wall), Schema::Reason::KeyFromFuture);
}

TEST_F(KeyHomeTest, ARestartedAgentNeedNotWaitWhereTheSetHasLongBeenTheSame)
{
    auto const restarted = wall;
    KeyHome again("a", "s", settings, restarted);
    again.on_list(list_of(1, { "a" }), restarted);
    again.on_pong(now, 1, true);
    auto const soon = restarted + settings.clock_bound + Core::Duration(1);
    EXPECT_EQ(again.refusal(key_made_at(soon, 1), now, soon), Schema::Reason::KeyBeforeHome);
    again.on_pong(now, 1, true, epoch);
    EXPECT_EQ(again.refusal(key_made_at(soon, 1), now, soon), std::nullopt);
    // The restarted agent does not know which requests ran before the restart.
    EXPECT_EQ(again.refusal(key_made_at(restarted, 1), now, soon), Schema::Reason::KeyBeforeHome);
}

TEST_F(KeyHomeTest, AListThatWasSkippedMayHaveNamedAnotherHome)
{
    // Version 2 of the list was skipped; it may have left out "a" for a while.
    home.on_list(list_of(3, { "a" }), wall);
    home.on_pong(now, 3, true);
    EXPECT_EQ(home.refusal(key, now, wall), Schema::Reason::KeyBeforeHome);
}

namespace {

/// Simulates agents that pause and restart, and entries that see outdated lists, with the class under test. Time is virtual; one step is
/// 100 ms.
struct World {
    static constexpr Core::Duration step { 100 };
    struct Entry {
        int64_t version { 1 };
        Core::Time read_at { 0 };
        bool is_cut_off { false };
        SetHistory history;
    };
    struct Agent {
        std::string id;
        std::unique_ptr<KeyHome> home;
        int64_t version { 0 };
        Core::Duration skew { 0 };
        bool is_paused { false };
        struct Pong {
            Core::Time sent_at;
            int64_t version;
            bool is_confirmed;
            std::optional<Core::WallTime> set_since;
        };
        std::optional<Pong> late_pong;
    };

    KeyHomeSettings settings;
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
            bool const may_be_shown = i + 1 == published.size() || published[i + 1].first + settings.list_lag > now;
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
            agent.home->on_list(list_of(entry.version, published[static_cast<size_t>(entry.version) - 1].second), wall(agent));
        }
        bool const is_confirmed = now < entry.read_at + settings.lease;
        Agent::Pong const pong { now, entry.version, is_confirmed, entry.history.since("s") };
        if (*rc::gen::inRange(0, 2) == 0)
            agent.late_pong = pong;
        else
            agent.home->on_pong(pong.sent_at, pong.version, pong.is_confirmed, pong.set_since);
    }

    void pong_arrives_late(Agent& agent)
    {
        if (!agent.late_pong || agent.is_paused)
            return;
        auto const& pong = *agent.late_pong;
        agent.home->on_pong(pong.sent_at, pong.version, pong.is_confirmed, pong.set_since);
        agent.late_pong.reset();
    }

    void restart(Agent& agent)
    {
        agent.home = std::make_unique<KeyHome>(agent.id, "s", settings, wall(agent));
        agent.version = 0;
        agent.late_pong.reset();
    }
};

}

RC_GTEST_PROP(KeyHome, NoKeyRunsAtTwoAgentsWhateverTheirViews, ())
{
    World world;
    for (auto const* id : { "a", "b", "c" }) {
        world.agents.push_back({ id, nullptr, 0, Core::Duration(*rc::gen::inRange(-250, 251)), false, {} });
        world.restart(world.agents.back());
    }
    world.published.emplace_back(Core::Time(0), std::vector<std::string> { "a", "b", "c" });
    std::map<std::string, std::string> ran_at;
    std::map<std::string, std::set<std::string>> known_at;
    std::vector<std::string> keys;
    size_t runs = 0;
    for (int i = 0; i < 400; ++i) {
        world.now += World::step;
        auto& entry = world.entries[*rc::gen::inRange<size_t>(0, 2)];
        auto& agent = world.agents[*rc::gen::inRange<size_t>(0, 3)];
        auto const event = *rc::gen::inRange(0, 1000);
        // Changes are rare enough for leases to be renewed between them, and frequent enough for several to overlap.
        if (event < 6)
            world.publish();
        else if (event < 16)
            entry.is_cut_off = !entry.is_cut_off;
        else if (event < 26)
            agent.is_paused = !agent.is_paused;
        else if (event < 28) {
            // The outcomes of its requests are lost with the process.
            world.restart(agent);
            known_at[agent.id].clear();
        } else if (event < 120) {
            auto const skew = Core::Duration(*rc::gen::inRange(-250, 251));
            keys.push_back(key_made_at(epoch + world.now + skew, static_cast<uint64_t>(i)));
        }
        for (auto& reading : world.entries)
            world.entry_reads(reading);
        world.agent_talks(agent, entry);
        world.pong_arrives_late(agent);
        // Callers send every key again in each step, to any agent.
        for (auto const& key : keys) {
            auto& target = world.agents[*rc::gen::inRange<size_t>(0, 3)];
            if (target.is_paused || known_at[target.id].contains(key))
                continue;
            if (target.home->refusal(key, world.now, world.wall(target)))
                continue;
            RC_ASSERT(!ran_at.contains(key));
            ran_at[key] = target.id;
            known_at[target.id].insert(key);
            runs += 1;
        }
    }
    RC_TAG(runs > 0 ? "ran some keys" : "ran no key");
}
