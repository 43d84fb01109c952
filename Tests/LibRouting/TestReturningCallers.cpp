// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/ReturningCallers.h>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <rapidcheck/gtest.h>

using Core::Duration;
using Core::Time;
using Routing::RefusedRequests;
using Routing::ReturningCallers;

namespace {

/// Entries that are linked to each other; messages arrive without delay.
struct Entries {
    explicit Entries(size_t count)
    {
        for (size_t i = 0; i < count; ++i)
            names.push_back("entry-" + std::to_string(i));
        for (auto const& name : names) {
            ReturningCallers::Callbacks callbacks;
            callbacks.entries = [this, name] {
                auto others = names;
                std::erase(others, name);
                return others;
            };
            callbacks.send = [this, name](std::string const& to, Schema::Message const& message) {
                announced += message.refusals->digests.size();
                callers.at(to).on_announcement(name, *message.refusals, now);
            };
            callers.emplace(name, ReturningCallers(std::move(callbacks)));
        }
    }

    ReturningCallers& at(size_t i) { return callers.at(names[i]); }

    std::vector<std::string> names;
    std::map<std::string, ReturningCallers> callers;
    Time now { 100000 };
    size_t announced { 0 };
};

std::function<std::string()> digest_is(std::string const& digest)
{
    return [digest] { return digest; };
}

std::string digest_of(size_t caller)
{
    auto const number = std::to_string(caller);
    return std::string(32 - number.size(), '0').replace(0, number.size(), number) + std::string(number.size(), 'f');
}

}

TEST(RefusedRequests, ACallerIsRecognisedByItsRequestAndTheEndOfItsWait)
{
    RefusedRequests refused;
    refused.add({ "a", Time(1000), Time(7000) }, Time(1100));
    EXPECT_FALSE(refused.take_first_request_time("b", Time(7000), Time(1500)));
    EXPECT_FALSE(refused.take_first_request_time("a", Time(7500), Time(1500))) << "another caller with the same request";
    EXPECT_EQ(refused.take_first_request_time("a", Time(7004), Time(1500)), Time(1000));
    EXPECT_FALSE(refused.take_first_request_time("a", Time(7000), Time(1600))) << "each refusal leads to one retry";
}

TEST(RefusedRequests, ARefusalIsRemovedWhenItsCallerStopsWaiting)
{
    RefusedRequests refused;
    refused.add({ "late", Time(0), Time(900) }, Time(1000));
    EXPECT_EQ(refused.size(), 0u);
    refused.add({ "a", Time(1000), Time(2000) }, Time(1000));
    refused.remove_expired(Time(2000));
    EXPECT_EQ(refused.size(), 0u);
}

TEST(RefusedRequests, ManyRefusalsTakeBoundedMemory)
{
    RefusedRequests refused;
    for (size_t i = 0; i < 20000; ++i)
        refused.add({ digest_of(i), Time(1000), Time(7000) }, Time(1000));
    EXPECT_LE(refused.size(), 4096u);
}

// Timeouts vary by 15 % from caller to caller, so the remaining time does not show whether a caller has sent earlier requests.
TEST(ReturningCallers, CallersOfVariedTimeoutsCountAsNewUntilTheyRetry)
{
    Entries entries(3);
    for (size_t caller = 0; caller < 100; ++caller) {
        auto const remaining_wait = Duration(5100 + static_cast<int64_t>(caller * 37 % 1800));
        EXPECT_EQ(entries.at(caller % 3).first_request_time("r", remaining_wait, digest_is(digest_of(caller)), entries.now), entries.now);
    }
}

TEST(ReturningCallers, CallersOfTwoTimeoutsOnOneRouteAllCountAsNewWhileNoneIsRefused)
{
    Entries entries(1);
    for (size_t caller = 0; caller < 300; ++caller) {
        auto const remaining_wait = Duration(caller % 2 == 0 ? 6000 : 4000);
        EXPECT_EQ(entries.at(0).first_request_time("r", remaining_wait, digest_is(digest_of(caller)), entries.now), entries.now);
    }
}

// All entries lost power: callers' connections were refused, and no entry has a record of their requests.
TEST(ReturningCallers, AfterAnOutageTheFirstRequestIsEstimatedFromTheRemainingWait)
{
    Entries entries(1);
    entries.at(0).on_outage(entries.now);
    for (size_t caller = 0; caller < 200; ++caller) {
        auto const remaining_wait = Duration(caller % 5 == 0 ? 6000 : 2500 + static_cast<int64_t>(caller * 37 % 2000));
        entries.at(0).first_request_time("r", remaining_wait, digest_is(digest_of(caller)), entries.now);
    }
    EXPECT_EQ(entries.at(0).first_request_time("r", Duration(4000), digest_is("x"), entries.now), entries.now - Duration(2000));
    EXPECT_EQ(entries.at(0).first_request_time("r", Duration(6000), digest_is("x"), entries.now), entries.now);
    entries.now += Duration(10000);
    EXPECT_EQ(entries.at(0).first_request_time("r", Duration(4000), digest_is("x"), entries.now), entries.now);
}

// Callers that were refused together retry at any entry, each with the rest of its own timeout.
TEST(ReturningCallers, ACallerThatRetriesAtAnotherEntryIsRecognisedThere)
{
    Entries entries(3);
    auto const first = entries.now;
    std::vector<Time> deadlines;
    for (size_t caller = 0; caller < 30; ++caller) {
        deadlines.push_back(first + Duration(5100 + static_cast<int64_t>(caller * 37 % 1800)));
        entries.at(0).on_refused({ digest_of(caller), first, deadlines.back() }, entries.now);
    }
    entries.at(0).tell(entries.now);
    entries.now += Duration(700);
    for (size_t caller = 0; caller < 30; ++caller)
        EXPECT_EQ(entries.at(caller % 3).first_request_time("r", deadlines[caller] + Duration(6) - entries.now, digest_is(digest_of(caller)), entries.now), first) << caller;
}

TEST(ReturningCallers, AnnouncementsStayWithinTheRateLimitHoweverManyAreRefused)
{
    Entries entries(40);
    for (int iteration = 0; iteration < 500; ++iteration) {
        for (size_t caller = 0; caller < 20; ++caller)
            entries.at(0).on_refused({ digest_of(static_cast<size_t>(iteration) * 20 + caller), entries.now, entries.now + Duration(6000) }, entries.now);
        entries.at(0).tell(entries.now);
        entries.now += Duration(20);
    }
    // Ten seconds at 8,000 bytes a second, plus a burst of two seconds' worth.
    EXPECT_LE(entries.announced * 24, 12u * 8000u);
    EXPECT_GE(entries.announced * 24, 9u * 8000u);
}

RC_GTEST_PROP(ReturningCallers, AnnouncementsNeverPlaceAFirstRequestInTheFuture, (std::vector<std::string> const& digests, std::vector<int64_t> const& asked, std::vector<int64_t> const& left))
{
    ReturningCallers callers({ .entries = [] { return std::vector<std::string> {}; }, .send = [](auto const&, auto const&) {} });
    Schema::RefusalNews news;
    news.digests = digests;
    news.asked_ms_ago = asked;
    news.left_ms = left;
    Time const now { 5'000'000 };
    callers.on_announcement("other", news, now);
    for (size_t i = 0; i < std::min(digests.size(), left.size()); ++i) {
        if (left[i] < 0 || left[i] > 4'000'000)
            continue;
        RC_ASSERT(callers.first_request_time("r", Duration(left[i]), digest_is(digests[i]), now) <= now);
    }
}
