// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/Admission.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Routing;

namespace {

class AdmissionTest : public testing::Test {
protected:
    static constexpr Core::WallTime epoch { 1700000000000 };
    Membership::IdempotencyKeyOwner key_owner { "a", "s", {}, epoch };
    IdempotencyTable table { 1 << 20, Core::Duration(600000) };
    AdmissionView view;
    std::mt19937_64 random { 1 };
    std::string key;
    Schema::Dispatch dispatch {};

    void SetUp() override
    {
        Schema::Members members;
        members.version = 1;
        members.instances.emplace_back();
        members.instances[0].id = "a";
        members.instances[0].role = Schema::Role::Agent;
        members.instances[0].service = "s";
        members.instances[0].state = Schema::InstanceState::Live;
        Membership::InstanceList list;
        list.update(members);
        key_owner.on_list(list, epoch);
        key_owner.on_pong(Core::Time(1000), 1, true);
        view.now = Core::Time(1000);
        view.wall_now = epoch + Core::Duration(100000);
        view.capacity = 2;
        key = Membership::make_uuid_v7(view.wall_now, random);
        dispatch.customer = "c";
        dispatch.deadline_ms = 1000;
        dispatch.key = key;
    }

    AdmissionResult decide() { return admit(dispatch, view, key_owner, table); }

    static Schema::Reason refusal(AdmissionResult const& result) { return std::get<RefuseNotRun>(result).reason; }
};

}

TEST_F(AdmissionTest, AKeyRunsOnceAndItsStoredAnswerIsSentAgain)
{
    EXPECT_TRUE(std::holds_alternative<Admit>(decide()));
    EXPECT_EQ(std::get<RefuseMayHaveRun>(decide()).reason, Schema::Reason::KeyInProgress);
    table.record_answer(key, { 200, {}, "done" });
    // The stored answer is also sent while the agent drains and after its lease has expired.
    view.is_draining = true;
    view.now += Core::Duration(100000);
    EXPECT_EQ(std::get<Replay>(decide()).answer.body, "done");
}

TEST_F(AdmissionTest, AKeyWithUnknownOutcomeNeverRunsAgain)
{
    decide();
    table.unknown(key);
    EXPECT_TRUE(std::holds_alternative<RefuseMayHaveRun>(decide()));
}

TEST_F(AdmissionTest, AKeyWhoseRequestWasNotSentMayRun)
{
    decide();
    table.remove(key);
    EXPECT_TRUE(std::holds_alternative<Admit>(decide()));
}

TEST_F(AdmissionTest, AKeyOfAnotherCustomerIsRefused)
{
    decide();
    table.record_answer(key, { 200, {}, "secret" });
    dispatch.customer = "other";
    EXPECT_EQ(refusal(decide()), Schema::Reason::KeyMalformed);
}

TEST_F(AdmissionTest, AFullTableRefusesInsteadOfEvicting)
{
    IdempotencyTable tiny(IdempotencyTable::bytes_per_key, Core::Duration(600000));
    EXPECT_TRUE(std::holds_alternative<Admit>(admit(dispatch, view, key_owner, tiny)));
    dispatch.key = Membership::make_uuid_v7(view.wall_now, random);
    EXPECT_EQ(refusal(admit(dispatch, view, key_owner, tiny)), Schema::Reason::RecordFull);
    EXPECT_NE(tiny.find(key), nullptr);
}

TEST_F(AdmissionTest, TheVersionIsCheckedAtTheMomentOfDispatch)
{
    dispatch.key.reset();
    dispatch.model = "m";
    dispatch.version = "2";
    EXPECT_EQ(refusal(decide()), Schema::Reason::VersionNotReady);
    view.serving.emplace();
    view.serving->model = "m";
    view.serving->version = "1";
    EXPECT_EQ(refusal(decide()), Schema::Reason::VersionNotReady);
    view.serving->version = "2";
    EXPECT_TRUE(std::holds_alternative<Admit>(decide()));
    view.is_switching = true;
    EXPECT_EQ(refusal(decide()), Schema::Reason::VersionNotReady);
}

TEST_F(AdmissionTest, ADrainingOrFullAgentRefusesNewRequests)
{
    view.in_flight = 2;
    EXPECT_EQ(refusal(decide()), Schema::Reason::InstanceBusy);
    view.is_draining = true;
    EXPECT_EQ(refusal(decide()), Schema::Reason::Draining);
    EXPECT_EQ(table.size(), 0u);
}

TEST_F(AdmissionTest, OutcomesAreKeptForTheirLifetimeAndThenRemoved)
{
    decide();
    table.record_answer(key, { 200, {}, "done" });
    table.expire(view.now + Core::Duration(599999));
    EXPECT_EQ(table.size(), 1u);
    table.expire(view.now + Core::Duration(600000));
    EXPECT_EQ(table.size(), 0u);
    EXPECT_EQ(table.estimated_bytes(), 0u);
}
