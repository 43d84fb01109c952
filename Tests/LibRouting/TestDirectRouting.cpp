// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/AttemptPolicy.h>
#include <LibRouting/EventStreamSplitter.h>
#include <LibRouting/RouteTable.h>
#include <LibRouting/SharedRetryBudget.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Routing;

static Schema::Route route(std::string const& name, std::string const& host, std::string const& prefix)
{
    Schema::Route route {};
    route.name = name;
    route.host = host;
    route.path_prefix = prefix;
    route.targets = { { .service = "s", .weight = 1 } };
    return route;
}

TEST(RouteTable, TheLongestPrefixOfTheHostWins)
{
    auto configuration = std::make_shared<Schema::RoutingConfiguration>();
    configuration->routes = { route("short", "a", "/x/"), route("long", "a", "/x/y/"), route("other", "b", "/") };
    RouteTable const table(configuration);
    EXPECT_EQ(table.find("a", "/x/y/z")->name, "long");
    EXPECT_EQ(table.find("a", "/x/q")->name, "short");
    EXPECT_EQ(table.find("a", "/q"), nullptr);
    EXPECT_EQ(table.find("c", "/x/"), nullptr);
    EXPECT_EQ(table.find("b", "/anything")->name, "other");
}

TEST(RouteTable, ABlockedRouteCoversWhateverItMayBeMeantFor)
{
    auto without_host = route("no-host", "", "/x/y/");
    without_host.is_blocked = true;
    auto without_path = route("no-path", "b", "");
    without_path.is_blocked = true;
    auto configuration = std::make_shared<Schema::RoutingConfiguration>();
    configuration->routes = { route("short", "a", "/x/"), route("longer", "a", "/x/y/z/"), without_host, without_path, route("other", "b", "/p/") };
    RouteTable const table(configuration);
    EXPECT_EQ(table.find("a", "/x/1")->name, "short");
    EXPECT_TRUE(table.find("a", "/x/y/1")->is_blocked);
    EXPECT_EQ(table.find("a", "/x/y/z/1")->name, "longer");
    EXPECT_TRUE(table.find("nowhere", "/x/y/1")->is_blocked);
    EXPECT_TRUE(table.find("b", "/p/1")->is_blocked);
}

TEST(RouteTable, ARequestIsGrantedWhatTheConfigurationAllows)
{
    auto configuration = std::make_shared<Schema::RoutingConfiguration>();
    auto keyed = route("keyed", "a", "/keyed/");
    keyed.priority = 3;
    auto open = route("open", "a", "/open/");
    open.is_public = true;
    auto blocked = route("blocked", "a", "/blocked/");
    blocked.is_blocked = true;
    configuration->routes = { keyed, open, blocked };
    Schema::RoutedCustomer urgent {};
    urgent.name = "urgent";
    urgent.keys = { "k1" };
    urgent.priority = 0;
    configuration->customers = { urgent };
    configuration->has_customers = true;
    RouteTable const table(configuration);
    auto const granted = table.admit("a", "/keyed/x", "k1");
    ASSERT_TRUE(granted.has_value());
    EXPECT_EQ(granted->customer->name, "urgent");
    EXPECT_EQ(granted->priority(), 0);
    EXPECT_EQ(table.admit("a", "/open/x", {})->customer, nullptr);
    EXPECT_EQ(table.admit("a", "/none/", "k1").error(), RouteDenial::NoRoute);
    EXPECT_EQ(table.admit("a", "/keyed/x", "k2").error(), RouteDenial::UnknownKey);
    EXPECT_EQ(table.admit("a", "/keyed/x", {}).error(), RouteDenial::UnknownKey);
    EXPECT_EQ(table.admit("a", "/blocked/x", "k1").error(), RouteDenial::BlockedRoute);
    // The unreadable part of the configuration may name the key.
    EXPECT_EQ(table.admit("a", "/blocked/x", "k2").error(), RouteDenial::UnreadableCustomer);
    configuration->has_unreadable_customers = true;
    EXPECT_EQ(table.admit("a", "/keyed/x", "k2").error(), RouteDenial::UnreadableCustomer);
    EXPECT_TRUE(table.admit("a", "/keyed/x", "k1").has_value());
}

TEST(RouteTable, SplitTargetsAreDrawnByWeight)
{
    auto split = route("r", "a", "/");
    split.targets = { { .service = "most", .weight = 90 }, { .service = "few", .weight = 10 } };
    EXPECT_EQ(RouteTable::pick_service(split, 0), "most");
    EXPECT_EQ(RouteTable::pick_service(split, 0.89), "most");
    EXPECT_EQ(RouteTable::pick_service(split, 0.91), "few");
    EXPECT_EQ(RouteTable::pick_service(split, 0.9999999), "few");
}

TEST(RouteTable, AKeyBelongsToOneCustomer)
{
    auto configuration = std::make_shared<Schema::RoutingConfiguration>();
    Schema::RoutedCustomer customer {};
    customer.name = "c";
    customer.keys = { "k1", "k2" };
    configuration->customers = { customer };
    RouteTable const table(configuration);
    EXPECT_EQ(table.customer_of("k2")->name, "c");
    EXPECT_EQ(table.customer_of("k3"), nullptr);
}

RC_GTEST_PROP(EventStreamSplitter, EventsDoNotDependOnWhereTheBytesAreSplit, ())
{
    static std::vector<std::string> const events { "id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n", ": note\n\n", "id: 3\ndata: c\ndata: d\n\n" };
    std::string bytes;
    for (auto const& event : events)
        bytes += event;
    bytes += "id: 4\ndata: cut";
    EventStreamSplitter stream;
    std::vector<std::string> seen;
    for (size_t begin = 0; begin < bytes.size();) {
        auto const size = *rc::gen::inRange<size_t>(1, 12);
        for (auto& event : stream.feed(std::string_view(bytes).substr(begin, size)))
            seen.push_back(std::move(event));
        begin += size;
    }
    RC_ASSERT(seen == events);
    RC_ASSERT(stream.has_partial_event());
}

static AttemptState any_state()
{
    AttemptState state;
    state.kind = *rc::gen::element(Schema::RouteKind::Once, Schema::RouteKind::Repeatable, Schema::RouteKind::Stream);
    state.is_resumable = *rc::gen::arbitrary<bool>();
    state.may_have_run = *rc::gen::arbitrary<bool>();
    state.has_delivered = state.kind == Schema::RouteKind::Stream && *rc::gen::arbitrary<bool>();
    state.attempts = *rc::gen::inRange<int64_t>(0, 5);
    state.max_attempts = *rc::gen::inRange<int64_t>(1, 4);
    state.attempts_not_run = *rc::gen::inRange<int64_t>(0, 6);
    state.terminated_servers = *rc::gen::inRange<int64_t>(0, 6);
    state.has_budget = *rc::gen::arbitrary<bool>();
    state.remaining = Core::Duration(*rc::gen::inRange(-100, 5000));
    return state;
}

static AttemptOutcome any_outcome()
{
    return *rc::gen::element(AttemptOutcome::NotConnected, AttemptOutcome::NotRun, AttemptOutcome::ServerFailure, AttemptOutcome::BrokenOff, AttemptOutcome::ServerTerminated, AttemptOutcome::Silent, AttemptOutcome::Outdated);
}

static bool may_have_run_now(AttemptOutcome end, AttemptState const& state)
{
    return state.may_have_run || (end != AttemptOutcome::NotConnected && end != AttemptOutcome::NotRun);
}

RC_GTEST_PROP(AttemptPolicy, ANonRepeatableRequestThatMayHaveRunIsNeverSentAgain, ())
{
    auto const state = any_state();
    auto const end = any_outcome();
    RC_PRE(!is_repeatable(state) && may_have_run_now(end, state));
    auto const step = next_step(end, state);
    RC_ASSERT(step != NextStep::RetryFromStart && step != NextStep::Resume);
}

RC_GTEST_PROP(AttemptPolicy, NotRunIsAnsweredOnlyIfNoAttemptMayHaveRun, ())
{
    auto const state = any_state();
    auto const end = any_outcome();
    RC_PRE(may_have_run_now(end, state));
    RC_ASSERT(next_step(end, state) != NextStep::RefuseNotRun);
}

RC_GTEST_PROP(AttemptPolicy, AnAnswerThatHasBegunResumesOrIsAborted, ())
{
    auto state = any_state();
    state.kind = Schema::RouteKind::Stream;
    state.has_delivered = true;
    auto const step = next_step(any_outcome(), state);
    RC_ASSERT(step == NextStep::Resume || step == NextStep::AbortAnswer);
}

RC_GTEST_PROP(AttemptPolicy, NeitherBudgetNorAttemptsNorTimeAreOverspent, ())
{
    auto state = any_state();
    auto const end = any_outcome();
    auto const step = next_step(end, state);
    RC_PRE(step == NextStep::RetryFromStart || step == NextStep::Resume);
    RC_ASSERT(state.has_budget);
    RC_ASSERT(state.remaining.count() > 0);
    RC_ASSERT(end == AttemptOutcome::NotConnected || end == AttemptOutcome::NotRun || state.attempts < state.max_attempts);
    RC_ASSERT(end == AttemptOutcome::NotConnected || end == AttemptOutcome::NotRun || state.terminated_servers <= 3);
}

RC_GTEST_PROP(SharedRetryBudget, AllEntriesTogetherStayWithinTheLimitInEveryWindow, ())
{
    RetryLimit const bound { .ratio = 0.2, .window = Core::Duration(10000), .slack = 50 };
    auto const entries = *rc::gen::inRange<size_t>(1, 6);
    std::vector<SharedRetryBudget> shares;
    for (size_t i = 0; i < entries; ++i) {
        shares.emplace_back(bound, Core::Time(0));
        shares.back().set_entries(entries);
    }
    std::vector<int64_t> requests;
    std::vector<int64_t> retries;
    for (int64_t now = 0; now < 40000; now += 50) {
        auto& share = shares[*rc::gen::inRange<size_t>(0, entries)];
        if (*rc::gen::inRange(0, 4) == 0) {
            share.on_request("s", Core::Time(now));
            requests.push_back(now);
        }
        while (share.try_spend("s", Core::Time(now)))
            retries.push_back(now);
    }
    for (int64_t begin = 0; begin < 40000; begin += 500) {
        auto in_window = [begin](int64_t time) { return time >= begin && time < begin + 10000; };
        auto const asked = static_cast<double>(std::count_if(requests.begin(), requests.end(), in_window));
        auto const before = static_cast<double>(std::count_if(requests.begin(), requests.end(), [begin](int64_t time) { return time >= begin - 10000 && time < begin; }));
        auto const spent = static_cast<double>(std::count_if(retries.begin(), retries.end(), in_window));
        RC_ASSERT(spent <= bound.ratio * std::max(asked, before) + bound.slack);
    }
}

TEST(SharedRetryBudget, ServicesHaveSeparateShares)
{
    SharedRetryBudget share({ .ratio = 0, .window = Core::Duration(10000), .slack = 10 }, Core::Time(0));
    while (share.try_spend("a", Core::Time(0))) { }
    EXPECT_FALSE(share.has_remaining("a", Core::Time(0)));
    EXPECT_TRUE(share.has_remaining("b", Core::Time(0)));
    EXPECT_TRUE(share.has_remaining("a", Core::Time(20000)));
}

TEST(SharedRetryBudget, ARestartOfAllEntriesDuringRetriesStaysWithinTheLimit)
{
    static constexpr size_t entries = 5;
    static constexpr int64_t window = 10000;
    RetryLimit const bound { .ratio = 0.2, .window = Core::Duration(window), .slack = 106 };
    std::vector<SharedRetryBudget> shares;
    auto const start_all = [&](int64_t now) {
        shares.clear();
        for (size_t i = 0; i < entries; ++i) {
            shares.emplace_back(bound, Core::Time(now));
            shares.back().set_entries(entries);
        }
    };
    start_all(0);
    std::vector<int64_t> requests;
    std::vector<int64_t> retries;
    // Requests arrive at a steady rate; from 6 s on, every retry that the share allows is made.
    for (int64_t now = 0; now < 20000; now += 6) {
        if (now == 10002)
            start_all(now);
        auto& share = shares[static_cast<size_t>(now / 6) % entries];
        share.on_request("s", Core::Time(now));
        requests.push_back(now);
        if (now >= 6000 && share.try_spend("s", Core::Time(now)))
            retries.push_back(now);
    }
    for (int64_t begin = 0; begin <= 10000; begin += 250) {
        auto const in_window = [](std::vector<int64_t> const& times, int64_t from) { return static_cast<double>(std::count_if(times.begin(), times.end(), [from](int64_t time) { return time >= from && time < from + window; })); };
        auto const asked = std::max({ in_window(requests, begin), in_window(requests, begin - window / 2), in_window(requests, begin - window) });
        EXPECT_LE(in_window(retries, begin), bound.ratio * asked + bound.slack) << "window from " << begin;
    }
}
