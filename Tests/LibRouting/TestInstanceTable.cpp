// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/InstanceTable.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Routing;

static Schema::Report report(int64_t in_flight, int64_t capacity, std::string const& version = "1")
{
    Schema::Report result {};
    result.in_flight = in_flight;
    result.capacity = capacity;
    result.serving.emplace();
    result.serving->model = "m";
    result.serving->version = version;
    return result;
}

static InstanceTable table_of(std::vector<std::string> const& ids, InstanceTableSettings settings = {}, int64_t capacity = 8)
{
    InstanceTable table(settings, 1);
    for (auto const& id : ids) {
        table.set_listed(id, "s", false);
        table.on_link_up(id);
        table.on_report(id, report(0, capacity));
    }
    return table;
}

static InstanceRequirements requirements(std::string const& prefix = {})
{
    InstanceRequirements result;
    result.service = "s";
    result.model = "m";
    result.prefix = prefix;
    return result;
}

RC_GTEST_PROP(InstanceTable, NoInstanceThatIsLeavingDownDrainingFullOrOnOtherWeightsIsChosen, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    std::vector<std::string> const ids { "a", "b", "c", "d", "e" };
    auto table = table_of(ids);
    struct InstanceState {
        bool leaving { false };
        bool linked { true };
        bool draining { false };
        std::string version { "1" };
        size_t own { 0 };
    };
    std::map<std::string, InstanceState> states;
    for (auto const& id : ids)
        states[id] = {};
    for (int step = 0; step < 200; ++step) {
        auto const& id = ids[random() % ids.size()];
        auto& state = states[id];
        auto send_report = [&] {
            auto message = report(static_cast<int64_t>(state.own), 3, state.version);
            message.draining = state.draining;
            table.on_report(id, message);
        };
        switch (random() % 7) {
        case 0:
            state.leaving = random() % 3 == 0;
            table.set_listed(id, "s", state.leaving);
            break;
        case 1:
            state.linked = !state.linked;
            if (state.linked) {
                table.on_link_up(id);
                send_report();
            } else {
                table.on_link_down(id);
            }
            break;
        case 2:
            state.draining = random() % 4 == 0;
            state.version = std::to_string(1 + random() % 2);
            if (state.linked)
                send_report();
            break;
        case 3:
            if (state.own > 0) {
                state.own -= 1;
                table.on_finished(id, random() % 3 == 0 ? InstanceOutcome::Failure : InstanceOutcome::Success, Core::Time(step));
            }
            break;
        default: {
            auto request_requirements = requirements(random() % 2 == 0 ? "p" : "");
            request_requirements.version = "1";
            auto const chosen = table.choose(request_requirements, Core::Time(step));
            if (!chosen.has_value())
                break;
            auto& picked = states[*chosen];
            RC_ASSERT(!picked.leaving && picked.linked && !picked.draining);
            RC_ASSERT(picked.version == "1");
            RC_ASSERT(picked.own < 8u);
            table.on_started(*chosen);
            picked.own += 1;
        }
        }
    }
}

TEST(InstanceTable, AnInstanceThatFailsFastAttractsNoTraffic)
{
    auto table = table_of({ "bad", "good" });
    size_t at_bad = 0;
    for (int64_t now = 0; now < 10000; now += 10) {
        auto const chosen = table.choose(requirements(), Core::Time(now));
        ASSERT_TRUE(chosen.has_value());
        table.on_started(*chosen);
        at_bad += *chosen == "bad" ? 1 : 0;
        table.on_finished(*chosen, *chosen == "bad" ? InstanceOutcome::Failure : InstanceOutcome::Success, Core::Time(now));
    }
    EXPECT_LT(at_bad, 12u);
}

TEST(InstanceTable, APromptGoesWhereItsPrefixIsCachedUnlessThatInstanceIsOverloaded)
{
    auto table = table_of({ "a", "b", "c" });
    auto warm = report(0, 8);
    warm.warm_prefixes = { "p" };
    table.on_report("b", warm);
    EXPECT_EQ(*table.choose(requirements("p"), Core::Time(0)), "b");
    for (int i = 0; i < 6; ++i)
        table.on_started("b");
    EXPECT_NE(*table.choose(requirements("p"), Core::Time(0)), "b");
}

TEST(InstanceTable, FullInstancesGiveInstanceBusyAndMissingOnesNoInstance)
{
    auto table = table_of({ "a" }, {}, 1);
    table.on_started("a");
    EXPECT_EQ(table.choose(requirements(), Core::Time(0)).error(), Schema::Reason::InstanceBusy);
    table.on_link_down("a");
    EXPECT_EQ(table.choose(requirements(), Core::Time(0)).error(), Schema::Reason::NoInstance);
}

TEST(InstanceTable, OutdatedLoadOfOtherEntriesLeavesNoFreeSlotUnused)
{
    auto table = table_of({ "a" }, {}, 2);
    table.on_report("a", report(2, 2));
    EXPECT_TRUE(table.choose(requirements(), Core::Time(0)).has_value());
    table.on_started("a");
    table.on_refused("a", Schema::Reason::InstanceBusy);
    EXPECT_EQ(table.choose(requirements(), Core::Time(0)).error(), Schema::Reason::InstanceBusy);
    // A request of this entry ended there, so a slot is free.
    table.on_finished("a", InstanceOutcome::Success, Core::Time(0));
    EXPECT_TRUE(table.choose(requirements(), Core::Time(0)).has_value());
}

TEST(InstanceTable, ARefusalAppliesUntilTheNextReport)
{
    auto table = table_of({ "a" });
    table.on_refused("a", Schema::Reason::InstanceBusy);
    EXPECT_EQ(table.choose(requirements(), Core::Time(0)).error(), Schema::Reason::InstanceBusy);
    table.on_report("a", report(0, 8));
    EXPECT_TRUE(table.choose(requirements(), Core::Time(0)).has_value());
    table.on_refused("a", Schema::Reason::Draining);
    EXPECT_FALSE(table.choose(requirements(), Core::Time(0)).has_value());
}
