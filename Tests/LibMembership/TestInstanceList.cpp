// SPDX-License-Identifier: BSD-2-Clause
#include <LibMembership/InstanceList.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Membership;

static Schema::Instance instance(std::string const& id, Schema::Role role, std::string const& service)
{
    Schema::Instance row {};
    row.id = id;
    row.role = role;
    row.service = service;
    row.state = Schema::InstanceState::Live;
    return row;
}

TEST(InstanceList, AnOlderListIsNotTaken)
{
    InstanceList list;
    Schema::Members members;
    members.version = 2;
    EXPECT_TRUE(list.update(members));
    members.version = 1;
    members.instances = { instance("a", Schema::Role::Agent, "s") };
    EXPECT_FALSE(list.update(members));
    EXPECT_EQ(list.find("a"), nullptr);
}

RC_GTEST_PROP(Links, EveryAgentIsLinkedToTheSameSufficientNumberOfEntries, ())
{
    auto const entries = *rc::gen::inRange<size_t>(1, 30);
    auto const agents = *rc::gen::inRange<size_t>(1, 120);
    Schema::Members members;
    members.version = 1;
    for (size_t i = 0; i < entries; ++i)
        members.instances.push_back(instance("e" + std::to_string(i), Schema::Role::Entry, ""));
    for (size_t i = 0; i < agents; ++i)
        members.instances.push_back(instance("a" + std::to_string(i), Schema::Role::Agent, "s"));
    InstanceList list;
    list.update(members);
    std::map<std::string, size_t> links_of_agent;
    size_t total = 0;
    for (size_t i = 0; i < entries; ++i) {
        auto const linked = agents_linked_to("e" + std::to_string(i), list, 16);
        total += linked.size();
        RC_ASSERT(linked.size() >= std::min<size_t>(agents, 1));
        for (auto const& agent : linked)
            links_of_agent[agent] += 1;
    }
    RC_ASSERT(links_of_agent.size() == agents);
    size_t const per_agent = std::min(entries, std::max<size_t>(min_entries_per_agent, (entries * 16 + agents - 1) / agents));
    for (auto const& [agent, count] : links_of_agent)
        RC_ASSERT(count == per_agent);
    RC_ASSERT(total == agents * per_agent);
}
