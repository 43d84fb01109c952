// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/RequestFlow.h>
#include <LibSchema/Json.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

using namespace Routing;
using Schema::Repeatability;

namespace {

/// Records what a flow has sent to its caller.
struct Caller {
    size_t finals { 0 };
    std::string received;
    std::optional<AnswerWithError> error_answer;
    bool is_whole { false };
    bool is_broken_off { false };

    void take(FlowActions const& actions)
    {
        for (auto const& action : actions) {
            if (auto const* deliver = std::get_if<Deliver>(&action)) {
                RC_ASSERT(finals == 0u);
                received += deliver->part.data;
            } else if (std::holds_alternative<EndAnswer>(action)) {
                finals += 1;
                is_whole = true;
            } else if (std::holds_alternative<AbortAnswer>(action)) {
                finals += 1;
                is_broken_off = true;
            } else if (auto const* error_action = std::get_if<AnswerWithError>(&action)) {
                finals += 1;
                error_answer = *error_action;
            }
        }
    }
};

/// What an attempt really did at its instance.
struct Attempt {
    std::string id;
    std::string instance;
    int64_t incarnation { 1 };
    bool has_run { false };
    bool is_refused { false };
    std::vector<Schema::Part> parts;
};

bool needs_instance(FlowActions const& actions)
{
    return std::any_of(actions.begin(), actions.end(), [](auto const& action) { return std::holds_alternative<NeedInstance>(action); });
}

}

RC_GTEST_PROP(RequestFlow, ExactlyOneFinalAnswerAndNoSecondRunOfANonRepeatableRequest, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    auto const repeatability = random() % 2 == 0 ? Repeatability::Once : Repeatability::Repeatable;
    RetryBudget budget(0.5);
    Core::Time now { 0 };
    RequestFlow flow(repeatability, Core::Time(10000), {}, budget);
    Caller caller;
    std::vector<Attempt> attempts;
    auto const answer_of = [](std::string const& attempt) { return "<" + attempt + ">whole"; };
    bool wants_instance = needs_instance(flow.start());

    auto handle = [&](FlowActions const& actions) {
        caller.take(actions);
        wants_instance = wants_instance || needs_instance(actions);
    };

    for (int step = 0; step < 400 && !flow.is_over(); ++step) {
        now += Core::Duration(random() % 60);
        if (wants_instance) {
            wants_instance = false;
            auto const instance = "i" + std::to_string(random() % 3);
            auto const luck = random() % 10;
            if (luck == 0) {
                handle(flow.on_no_instance(Schema::Reason::QueueFull, Core::Duration(10)));
            } else if (luck == 1) {
                handle(flow.on_not_dispatched(instance));
            } else {
                for (auto const& earlier : attempts) {
                    // A request that is not repeatable is dispatched again only if no earlier attempt has run or can still run.
                    if (repeatability == Repeatability::Once)
                        RC_ASSERT(earlier.is_refused);
                }
                RC_ASSERT(caller.received.empty());
                Attempt attempt { "a" + std::to_string(attempts.size()), instance, 1, false, false, {} };
                Schema::Part head {};
                head.attempt = attempt.id;
                head.data = "<" + attempt.id + ">";
                Schema::Part tail {};
                tail.attempt = attempt.id;
                tail.sequence = 1;
                tail.data = "whole";
                tail.last = true;
                attempt.parts = { head, tail };
                attempts.push_back(attempt);
                flow.on_dispatched(instance, 1, attempt.id, now);
            }
            continue;
        }
        if (attempts.empty())
            continue;
        // Messages may arrive for any attempt, also for one that was abandoned long ago.
        auto& attempt = attempts[random() % attempts.size()];
        switch (random() % 8) {
        case 0:
            if (!attempt.has_run && !attempt.is_refused) {
                attempt.is_refused = true;
                handle(flow.on_refused(attempt.id, random() % 2 == 0 ? Schema::Reason::InstanceBusy : Schema::Reason::Draining, Core::Duration(0)));
            }
            break;
        case 1:
            if (!attempt.is_refused) {
                attempt.has_run = true;
                handle(flow.on_accepted(attempt.id));
            }
            break;
        case 2:
            if (!attempt.is_refused) {
                attempt.has_run = true;
                handle(flow.on_broken(attempt.id, Schema::Reason::BackendBrokeOff));
            }
            break;
        case 3:
        case 4:
            if (!attempt.is_refused) {
                attempt.has_run = true;
                handle(flow.on_part(attempt.parts[random() % 2]));
            }
            break;
        case 5:
            handle(flow.on_link_down(attempt.instance, now));
            break;
        case 6:
            handle(flow.on_link_up(attempt.instance, random() % 4 == 0 ? 2 : 1));
            break;
        default:
            handle(flow.on_tick(now));
            break;
        }
    }
    now = Core::Time(10000);
    handle(flow.on_tick(now));
    RC_ASSERT(flow.is_over());
    RC_ASSERT(caller.finals == 1u);
    if (caller.is_whole) {
        bool const is_one_attempts = std::any_of(attempts.begin(), attempts.end(), [&](auto const& attempt) { return caller.received == answer_of(attempt.id); });
        RC_ASSERT(is_one_attempts);
    }
    RC_ASSERT(caller.is_broken_off == (!caller.received.empty() && !caller.is_whole));
    if (caller.error_answer) {
        RC_ASSERT(caller.error_answer->retry_after.count() > 0);
        bool const has_run = std::any_of(attempts.begin(), attempts.end(), [](auto const& attempt) { return attempt.has_run; });
        if (has_run)
            RC_ASSERT(caller.error_answer->outcome != Schema::Outcome::NotRun);
    }
}

TEST(RequestFlow, AStreamResumesWhereItStopped)
{
    RetryBudget budget(0);
    RequestFlow flow(Repeatability::Repeatable, Core::Time(10000), {}, budget);
    flow.start();
    flow.on_dispatched("i", 7, "a", Core::Time(0));
    Schema::Part head {};
    head.attempt = "a";
    flow.on_part(head);
    EXPECT_TRUE(flow.on_link_down("i", Core::Time(10)).empty());
    auto const actions = flow.on_link_up("i", 7);
    ASSERT_EQ(actions.size(), 1u);
    EXPECT_EQ(std::get<SendResume>(actions[0]).next_sequence, 1);
}

TEST(RequestFlow, AFailedRequestIsAnsweredAtOnceWithARetryAfterTime)
{
    RetryBudget budget(0);
    RequestFlow flow(Repeatability::Once, Core::Time(10000), {}, budget);
    flow.start();
    flow.on_dispatched("i", 7, "a", Core::Time(0));
    auto const actions = flow.on_broken("a", Schema::Reason::BackendBrokeOff);
    auto const error_action = std::get<AnswerWithError>(actions.back());
    EXPECT_EQ(error_action.outcome, Schema::Outcome::Unknown);
    EXPECT_GT(error_action.retry_after.count(), 0);
}

// Replays recorded traces, with one JSON object per line for each event, and checks the outcomes stated by their `expect` events.

namespace {

void replay(std::string const& path)
{
    std::ifstream file(path);
    std::unique_ptr<RequestFlow> flow;
    RetryBudget budget(0.1);
    std::string last_action;
    auto note = [&](FlowActions const& actions) {
        for (auto const& action : actions) {
            if (std::holds_alternative<NeedInstance>(action))
                last_action = "need_instance";
            else if (std::holds_alternative<EndAnswer>(action))
                last_action = "answered";
            else if (std::holds_alternative<AbortAnswer>(action))
                last_action = "broken_off";
            else if (std::holds_alternative<SendResume>(action))
                last_action = "resume";
            else if (auto const* error_action = std::get_if<AnswerWithError>(&action))
                last_action = Schema::enumerator_name(error_action->outcome) + " " + Schema::enumerator_name(error_action->reason);
        }
    };
    for (std::string line; std::getline(file, line);) {
        auto const step = nlohmann::json::parse(line);
        auto const event = step.at("event").get<std::string>();
        auto const now = Core::Time(step.value("at_ms", 0));
        auto const attempt = step.value("attempt", "");
        auto const instance = step.value("instance", "");
        auto const reason = step.contains("reason") ? step["reason"].get<Schema::Reason>() : Schema::Reason::None;
        if (event == "request") {
            flow = std::make_unique<RequestFlow>(step["repeatability"].get<Repeatability>(), Core::Time(step["deadline_ms"]), FlowSettings(), budget);
            note(flow->start());
        } else if (event == "dispatched") {
            flow->on_dispatched(instance, step.value("incarnation", 1), attempt, now);
        } else if (event == "refused") {
            note(flow->on_refused(attempt, reason, Core::Duration(0)));
        } else if (event == "broken") {
            note(flow->on_broken(attempt, reason));
        } else if (event == "accepted") {
            note(flow->on_accepted(attempt));
        } else if (event == "part") {
            Schema::Part part {};
            part.attempt = attempt;
            part.sequence = step.at("sequence");
            part.last = step.value("last", false);
            note(flow->on_part(part));
        } else if (event == "link_down") {
            note(flow->on_link_down(instance, now));
        } else if (event == "link_up") {
            note(flow->on_link_up(instance, step.value("incarnation", 1)));
        } else if (event == "tick") {
            note(flow->on_tick(now));
        } else if (event == "expect") {
            EXPECT_EQ(last_action, step.at("outcome").get<std::string>()) << path << ": " << line;
        } else {
            FAIL() << path << ": unknown event " << event;
        }
    }
    ASSERT_TRUE(flow);
}

}

TEST(Traces, RequestsEndAsStated)
{
    size_t replayed = 0;
    for (auto const& entry : std::filesystem::directory_iterator(TRACE_DIRECTORY "/requests")) {
        replay(entry.path());
        replayed += 1;
    }
    EXPECT_GE(replayed, 6u);
}
