// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/EngineControl.h>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

using namespace Distribution;

static Schema::Weights weights(std::string const& version)
{
    Schema::Weights result;
    result.model = "m";
    result.version = version;
    result.digest = "digest-" + version;
    return result;
}

namespace {

/// An engine that accepts orders with a higher fence than the last, loads for a while, and may restart.
struct FakeEngine {
    int64_t fence { 0 };
    std::optional<Schema::Weights> serving;
    std::optional<Schema::Weights> loading;

    bool order(EngineControl::Order const& order)
    {
        if (order.fence <= fence)
            return false;
        fence = order.fence;
        serving.reset();
        loading = order.weights;
        return true;
    }

    Schema::EngineStatus status() const
    {
        Schema::EngineStatus status {};
        status.fence = fence;
        status.loading = loading.has_value();
        if (serving) {
            status.serving.emplace();
            status.serving->model = serving->model;
            status.serving->version = serving->version;
            status.serving->digest = serving->digest;
        }
        return status;
    }
};

}

TEST(EngineControl, NoOrderGoesOutForAnIncompleteSetOrAnUnknownEngine)
{
    EngineControl control;
    control.set_wanted(weights("1"), 5);
    EXPECT_FALSE(control.step(Core::Time(0), 0, true).has_value());
    control.set_complete("digest-1", true);
    EXPECT_FALSE(control.step(Core::Time(0), 0, true).has_value());
    control.on_status(FakeEngine().status(), Core::Time(0));
    auto const order = control.step(Core::Time(0), 0, true);
    ASSERT_TRUE(order.has_value());
    EXPECT_EQ(order->weights.digest, "digest-1");
}

TEST(EngineControl, ASwitchWaitsForRequestsInFlightAndAdmitsNoneMeanwhile)
{
    EngineControl control;
    FakeEngine engine;
    engine.serving = weights("1");
    control.on_status(engine.status(), Core::Time(0));
    control.set_wanted(weights("2"), 5);
    control.set_complete("digest-2", true);
    EXPECT_FALSE(control.step(Core::Time(0), 0, false).has_value());
    EXPECT_FALSE(control.is_switching());
    EXPECT_FALSE(control.step(Core::Time(0), 1, true).has_value());
    EXPECT_TRUE(control.is_switching());
    EXPECT_TRUE(control.step(Core::Time(0), 0, true).has_value());
}

TEST(EngineControl, AStatusFromBeforeTheOrderWasAnsweredIsIgnored)
{
    EngineControl control;
    FakeEngine engine;
    control.on_status(engine.status(), Core::Time(0));
    control.set_wanted(weights("1"), 5);
    control.set_complete("digest-1", true);
    auto const order = control.step(Core::Time(10), 0, true);
    engine.serving = weights("0");
    control.on_order_answered(order->fence, true, Core::Time(100));
    control.on_status(engine.status(), Core::Time(99));
    EXPECT_FALSE(control.serving().has_value());
}

RC_GTEST_PROP(EngineControl, ServingMatchesTheEngineAndFencesOnlyGrow, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    auto control = std::make_unique<EngineControl>();
    FakeEngine engine;
    std::optional<EngineControl::Order> sent;
    std::optional<bool> answer;
    std::optional<std::pair<Schema::EngineStatus, Core::Time>> late_status;
    std::set<std::string> complete;
    int64_t offset = 0;
    std::string wanted;
    size_t in_flight = 0;
    for (Core::Time now { 0 }; now < Core::Time(60000); now += Core::Duration(50)) {
        switch (random() % 14) {
        case 0:
            wanted = std::to_string(random() % 3);
            control->set_wanted(weights(wanted), ++offset);
            control->set_complete("digest-" + wanted, complete.contains(wanted));
            break;
        case 1:
            if (!wanted.empty()) {
                complete.insert(wanted);
                control->set_complete("digest-" + wanted, true);
            }
            break;
        case 2:
            late_status = { engine.status(), now };
            break;
        case 3:
            if (late_status)
                control->on_status(late_status->first, late_status->second);
            late_status.reset();
            break;
        case 4:
            if (engine.loading)
                engine.serving = std::exchange(engine.loading, std::nullopt);
            break;
        case 5:
            if (sent && answer)
                control->on_order_answered(sent->fence, *answer, now);
            if (answer) {
                sent.reset();
                answer.reset();
            }
            break;
        case 6:
            // The agent restarts and knows neither fences nor chunks.
            if (random() % 5 == 0) {
                control = std::make_unique<EngineControl>();
                complete.clear();
                wanted.clear();
                sent.reset();
                answer.reset();
                late_status.reset();
            }
            break;
        case 7:
            // The engine restarts. Its agent detects that from the status; until then the engine refuses requests.
            if (random() % 5 == 0) {
                engine = FakeEngine();
                control->on_unreachable();
                late_status.reset();
            }
            break;
        case 8:
            in_flight = random() % 2;
            break;
        default:
            if (!sent)
                control->on_status(engine.status(), now);
            break;
        }
        if (auto order = control->step(now, in_flight, random() % 2 == 0)) {
            RC_ASSERT(in_flight == 0u);
            RC_ASSERT(complete.contains(order->weights.version));
            RC_ASSERT(order->fence > engine.fence);
            sent = order;
            // The order arrives, but its answer may be lost. It is then recorded as not accepted.
            bool const is_taken = engine.order(*order);
            answer = is_taken && random() % 4 != 0;
        }
        if (auto const reported = control->serving()) {
            RC_ASSERT(engine.serving.has_value());
            RC_ASSERT(engine.serving->digest == reported->digest);
        }
    }
}

RC_GTEST_PROP(Switch, AtMostTheAllowedNumberIsOutOfServiceDuringASwitch, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    auto const count = *rc::gen::inRange<size_t>(1, 30);
    auto const max_switching = max_instances_switching(count);
    std::vector<std::string> ranked;
    for (size_t i = 0; i < count; ++i)
        ranked.push_back("i" + std::to_string(i));
    enum class Copy {
        Old,
        Out,
        New,
    };
    std::vector<Copy> copies(count, Copy::Old);
    std::vector<std::string> known_ready;
    for (int step = 0; step < 2000; ++step) {
        auto const i = random() % count;
        // An instance's information on the others may be outdated, but a copy that serves the new version keeps serving it.
        if (random() % 3 == 0) {
            known_ready.clear();
            for (size_t j = 0; j < count; ++j) {
                if (copies[j] == Copy::New)
                    known_ready.push_back(ranked[j]);
            }
        }
        if (copies[i] == Copy::Old && may_switch(ranked[i], ranked, known_ready, max_switching))
            copies[i] = Copy::Out;
        else if (copies[i] == Copy::Out && random() % 2 == 0)
            copies[i] = Copy::New;
        RC_ASSERT(static_cast<size_t>(std::count(copies.begin(), copies.end(), Copy::Out)) <= max_switching);
    }
    RC_ASSERT(static_cast<size_t>(std::count(copies.begin(), copies.end(), Copy::New)) == count);
}
