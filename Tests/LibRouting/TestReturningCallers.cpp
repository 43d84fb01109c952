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
                told += message.refusals->digests.size();
                callers.at(to).on_news(name, *message.refusals, now);
            };
            callers.emplace(name, ReturningCallers(std::move(callbacks)));
        }
    }

    ReturningCallers& at(size_t i) { return callers.at(names[i]); }

    std::vector<std::string> names;
    std::map<std::string, ReturningCallers> callers;
    Time now { 100000 };
    size_t told { 0 };
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

TEST(RefusedRequests, ACallerIsKnownByItsRequestAndTheEndOfItsPatience)
{
    RefusedRequests refused;
    refused.add({ "a", Time(1000), Time(7000) }, Time(1100));
    EXPECT_FALSE(refused.take("b", Time(7000), Time(1500)));
    EXPECT_FALSE(refused.take("a", Time(7500), Time(1500))) << "another caller with the same request";
    EXPECT_EQ(refused.take("a", Time(7004), Time(1500)), Time(1000));
    EXPECT_FALSE(refused.take("a", Time(7000), Time(1600))) << "each refusal leads to one retry";
}

TEST(RefusedRequests, ARefusalIsForgottenWhenItsCallerHasGone)
{
    RefusedRequests refused;
    refused.add({ "late", Time(0), Time(900) }, Time(1000));
    EXPECT_EQ(refused.size(), 0u);
    refused.add({ "a", Time(1000), Time(2000) }, Time(1000));
    refused.forget_ended(Time(2000));
    EXPECT_EQ(refused.size(), 0u);
}

TEST(RefusedRequests, AStormOfRefusalsTakesBoundedMemory)
{
    RefusedRequests refused;
    for (size_t i = 0; i < 20000; ++i)
        refused.add({ digest_of(i), Time(1000), Time(7000) }, Time(1000));
    EXPECT_LE(refused.size(), 4096u);
}

// Timeouts vary by 15 % from caller to caller, so the remaining time does not show whether a caller has sent earlier requests.
TEST(ReturningCallers, CallersOfVariedPatienceAreTakenForNewUntilTheyComeBack)
{
    Entries entries(3);
    for (size_t caller = 0; caller < 100; ++caller) {
        auto const patience = Duration(5100 + static_cast<int64_t>(caller * 37 % 1800));
        EXPECT_EQ(entries.at(caller % 3).first_asked("r", patience, digest_is(digest_of(caller)), entries.now), entries.now);
    }
}

TEST(ReturningCallers, CallersOfTwoPatiencesOnOneRouteAreAllNewWhileNobodyIsRefused)
{
    Entries entries(1);
    for (size_t caller = 0; caller < 300; ++caller) {
        auto const patience = Duration(caller % 2 == 0 ? 6000 : 4000);
        EXPECT_EQ(entries.at(0).first_asked("r", patience, digest_is(digest_of(caller)), entries.now), entries.now);
    }
}

// All entries lost power: callers' connections were refused, and no entry has a record of their requests.
TEST(ReturningCallers, AfterAnOutageCallersOfOnePatienceAreKnownByWhatIsLeftOfIt)
{
    Entries entries(1);
    entries.at(0).on_outage(entries.now);
    for (size_t caller = 0; caller < 200; ++caller) {
        auto const patience = Duration(caller % 5 == 0 ? 6000 : 2500 + static_cast<int64_t>(caller * 37 % 2000));
        entries.at(0).first_asked("r", patience, digest_is(digest_of(caller)), entries.now);
    }
    EXPECT_EQ(entries.at(0).first_asked("r", Duration(4000), digest_is("x"), entries.now), entries.now - Duration(2000));
    EXPECT_EQ(entries.at(0).first_asked("r", Duration(6000), digest_is("x"), entries.now), entries.now);
    entries.now += Duration(10000);
    EXPECT_EQ(entries.at(0).first_asked("r", Duration(4000), digest_is("x"), entries.now), entries.now);
}

// Callers that were refused together retry at any entry, each with the rest of its own timeout.
TEST(ReturningCallers, ACallerThatComesBackToAnotherEntryIsKnownThere)
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
        EXPECT_EQ(entries.at(caller % 3).first_asked("r", deadlines[caller] + Duration(6) - entries.now, digest_is(digest_of(caller)), entries.now), first) << caller;
}

TEST(ReturningCallers, WhatIsToldFitsTheLinksHoweverManyAreRefused)
{
    Entries entries(40);
    for (int turn = 0; turn < 500; ++turn) {
        for (size_t caller = 0; caller < 20; ++caller)
            entries.at(0).on_refused({ digest_of(static_cast<size_t>(turn) * 20 + caller), entries.now, entries.now + Duration(6000) }, entries.now);
        entries.at(0).tell(entries.now);
        entries.now += Duration(20);
    }
    // Ten seconds at 8,000 bytes a second, plus a burst of two seconds' worth.
    EXPECT_LE(entries.told * 24, 12u * 8000u);
    EXPECT_GE(entries.told * 24, 9u * 8000u);
}

RC_GTEST_PROP(ReturningCallers, WhateverAnotherEntrySaysNobodyIsDatedIntoTheFuture, (std::vector<std::string> const& digests, std::vector<int64_t> const& asked, std::vector<int64_t> const& left))
{
    ReturningCallers callers({ .entries = [] { return std::vector<std::string> {}; }, .send = [](auto const&, auto const&) {} });
    Schema::RefusalNews news;
    news.digests = digests;
    news.asked_ms_ago = asked;
    news.left_ms = left;
    Time const now { 5'000'000 };
    callers.on_news("other", news, now);
    for (size_t i = 0; i < std::min(digests.size(), left.size()); ++i) {
        if (left[i] < 0 || left[i] > 4'000'000)
            continue;
        RC_ASSERT(callers.first_asked("r", Duration(left[i]), digest_is(digests[i]), now) <= now);
    }
}
