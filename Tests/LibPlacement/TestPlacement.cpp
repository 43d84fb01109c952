// SPDX-License-Identifier: BSD-2-Clause
#include <LibPlacement/Placement.h>
#include <LibSchema/Json.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

using namespace Placement;

static std::vector<Candidate> candidates()
{
    auto const count = *rc::gen::inRange<size_t>(1, 60);
    auto const domains = *rc::gen::inRange<size_t>(1, 8);
    std::vector<Candidate> result;
    for (size_t i = 0; i < count; ++i)
        result.push_back({ "i" + std::to_string(i), "d" + std::to_string(*rc::gen::inRange<size_t>(0, domains)) });
    return result;
}

static std::map<std::string, size_t> per_domain(std::vector<std::string> const& chosen, std::vector<Candidate> const& all)
{
    std::map<std::string, size_t> counts;
    for (auto const& candidate : all)
        counts[candidate.failure_domain] += static_cast<size_t>(std::count(chosen.begin(), chosen.end(), candidate.id));
    return counts;
}

RC_GTEST_PROP(Place, CopiesAreSpreadEvenlyAsFarAsDomainsAllow, ())
{
    auto const all = candidates();
    auto const replicas = *rc::gen::inRange<size_t>(0, 60);
    auto const chosen = choose_instances("r", replicas, all);
    RC_ASSERT(chosen.size() == std::min(replicas, all.size()));
    RC_ASSERT(std::set<std::string>(chosen.begin(), chosen.end()).size() == chosen.size());
    std::map<std::string, size_t> capacity;
    for (auto const& candidate : all)
        capacity[candidate.failure_domain] += 1;
    auto const counts = per_domain(chosen, all);
    for (auto const& [domain, count] : counts) {
        for (auto const& [other, other_count] : counts) {
            // A domain has two more copies than another only if the other has no free instance left.
            if (count > other_count + 1)
                RC_ASSERT(other_count == capacity[other]);
        }
    }
}

RC_GTEST_PROP(Place, TheOrderOfTheListDoesNotMatter, ())
{
    auto all = candidates();
    auto const chosen = choose_instances("r", 10, all);
    std::reverse(all.begin(), all.end());
    RC_ASSERT(choose_instances("r", 10, all) == chosen);
}

RC_GTEST_PROP(Place, TheLossOfAnInstanceMovesFewCopies, ())
{
    auto all = candidates();
    auto const replicas = *rc::gen::inRange<size_t>(1, 40);
    auto const before = choose_instances("r", replicas, all);
    auto const lost = *rc::gen::elementOf(all);
    std::erase_if(all, [&](auto const& candidate) { return candidate.id == lost.id; });
    auto const after = choose_instances("r", replicas, all);
    std::set<std::string> const old_set(before.begin(), before.end());
    auto const moved = std::count_if(after.begin(), after.end(), [&](auto const& id) { return !old_set.contains(id); });
    // One copy replaces the lost one. If the instance was the last one of its domain, one more copy may move to another domain.
    RC_ASSERT(moved <= 1 + (before.size() == after.size() ? 0 : 1));
}

TEST(Assign, OnlyInstancesInTheNamedPlacesAreAssignedAndEachToOneRollout)
{
    Configuration::ReplayedState replayed_state;
    for (auto const* name : { "first", "second" }) {
        Schema::RolloutSpec spec;
        spec.model = name;
        spec.version = "v";
        spec.services = { "pool" };
        spec.places = { "riga-a", "south" };
        spec.replicas = 2;
        Schema::LogRecord record;
        record.change.emplace();
        record.change->change_id = name;
        record.change->kind = Schema::ChangeKind::Rollout;
        record.change->name = name;
        record.change->operation = Schema::Operation::Put;
        record.change->expected_revision = -1;
        record.change->spec = Schema::to_text(spec);
        replayed_state.apply(Schema::to_text(record));
    }
    Schema::Members members;
    members.version = 1;
    auto add = [&](std::string const& id, std::string const& service, std::string const& domain, std::string const& region, Schema::InstanceState state) {
        Schema::Instance row {};
        row.id = id;
        row.role = Schema::Role::Agent;
        row.service = service;
        row.failure_domain = domain;
        row.region = region;
        row.state = state;
        members.instances.push_back(row);
    };
    using State = Schema::InstanceState;
    add("a", "pool", "riga-a", "north", State::Live);
    add("b", "pool", "vilnius-a", "south", State::Live);
    add("c", "pool", "riga-a", "north", State::Live);
    add("elsewhere", "pool", "tallinn-a", "east", State::Live);
    add("leaving", "pool", "riga-a", "north", State::Leaving);
    add("other-service", "ledger", "riga-a", "north", State::Live);
    Membership::InstanceList list;
    list.update(members);
    auto const assignment = assign(replayed_state, list);
    EXPECT_EQ(assignment.at("first").size(), 2u);
    EXPECT_EQ(assignment.at("second").size(), 1u);
    std::set<std::string> held;
    for (auto const& [name, ids] : assignment)
        held.insert(ids.begin(), ids.end());
    EXPECT_EQ(held, (std::set<std::string> { "a", "b", "c" }));
    EXPECT_EQ(rollout_of(assignment, "elsewhere"), "");
}
