// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/DemandShares.h>
#include <LibRouting/Limits.h>
#include <LibRouting/RequestQueue.h>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

using namespace Routing;

static Schema::CustomerSpec limits(double rate, double burst, int64_t concurrency)
{
    Schema::CustomerSpec spec {};
    spec.requests_per_second = rate;
    spec.burst = burst;
    spec.concurrency = concurrency;
    return spec;
}

RC_GTEST_PROP(CustomerLimits, NoMoreRequestsAreAdmittedThanRateBurstAndConcurrencyAllow, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    CustomerLimits customers;
    customers.set_customers({ { "c", limits(20, 10, 5) }, { "other", limits(1, 1, 1) } });
    customers.set_share("c", 0.5);
    size_t passed = 0;
    size_t running = 0;
    Core::Time now { 0 };
    for (int i = 0; i < 500; ++i) {
        now += Core::Duration(random() % 20);
        if (running > 0 && random() % 2 == 0) {
            customers.finish("c");
            running -= 1;
        }
        auto const refusal = customers.start("c", now);
        if (refusal) {
            RC_ASSERT(refusal->retry_after.count() > 0);
            continue;
        }
        passed += 1;
        running += 1;
        RC_ASSERT(running <= 3u);
        RC_ASSERT(static_cast<double>(passed) <= 5 + 10 * static_cast<double>(now.count()) / 1000 + 1e-6);
    }
}

TEST(CustomerLimits, AnUnknownCustomerIsRefusedOnceAnyIsConfigured)
{
    CustomerLimits customers;
    EXPECT_FALSE(customers.start("anybody", Core::Time(0)).has_value());
    customers.set_customers({ { "c", limits(1, 1, 1) } });
    EXPECT_EQ(customers.start("anybody", Core::Time(0))->reason, Schema::Reason::NoSuchCustomer);
}

RC_GTEST_PROP(RetryBudget, RetriesStayWithinTheRatioOfRequests, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    RetryBudget budget(0.1);
    double requests = 0;
    double retries = 0;
    for (int i = 0; i < 2000; ++i) {
        if (random() % 3 != 0) {
            budget.on_request();
            requests += 1;
        } else if (budget.try_acquire()) {
            retries += 1;
        }
        RC_ASSERT(retries <= RetryBudget::max_saved_retries + 0.1 * requests + 1e-6);
    }
}

RC_GTEST_PROP(RetryAfter, RefusedCallersAreSpreadOut, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    for (int i = 0; i < 50; ++i) {
        auto const wait = spread_retry_after(Core::Duration(100), random);
        RC_ASSERT(wait >= Core::Duration(100) && wait <= Core::Duration(200));
    }
}

TEST(RequestQueue, ACustomerWithManyRequestsDoesNotDelayOthers)
{
    RequestQueue queue(100);
    for (uint64_t i = 0; i < 10; ++i)
        queue.push(i, "large", 4, Core::Time(10000), Core::Time(0));
    queue.push(100, "small", 4, Core::Time(10000), Core::Time(0));
    std::vector<uint64_t> order;
    queue.offer([&](uint64_t id) {
        order.push_back(id);
        return true;
    });
    EXPECT_EQ(order[1], 100u);
    EXPECT_EQ(queue.size(), 0u);
}

TEST(RequestQueue, AMoreUrgentRequestGoesFirstAndAFullQueueRefuses)
{
    RequestQueue queue(2);
    queue.push(1, "c", 4, Core::Time(10000), Core::Time(0));
    queue.push(2, "c", 0, Core::Time(10000), Core::Time(0));
    EXPECT_EQ(queue.push(3, "c", 0, Core::Time(10000), Core::Time(0)), RequestQueue::PushResult::Full);
    std::vector<uint64_t> order;
    queue.offer([&](uint64_t id) {
        order.push_back(id);
        return true;
    });
    EXPECT_EQ(order, (std::vector<uint64_t> { 2, 1 }));
}

TEST(RequestQueue, ARequestThatCannotMakeItsDeadlineIsRefusedAtOnce)
{
    RequestQueue queue(100);
    for (int64_t now = 0; now <= 10000; now += 100)
        queue.on_completed(Core::Time(now), Core::Duration(100));
    for (uint64_t i = 0; i < 10; ++i)
        queue.push(i, "c", 4, Core::Time(100000), Core::Time(10000));
    EXPECT_EQ(queue.push(50, "c", 4, Core::Time(10500), Core::Time(10000)), RequestQueue::PushResult::TooLate);
    EXPECT_EQ(queue.push(51, "c", 4, Core::Time(12000), Core::Time(10000)), RequestQueue::PushResult::Queued);
}

RC_GTEST_PROP(RequestQueue, EveryRequestIsOfferedOnceOrRemoved, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    RequestQueue queue(1000);
    std::set<uint64_t> waiting;
    for (uint64_t id = 0; id < 200; ++id) {
        if (queue.push(id, "c" + std::to_string(random() % 5), static_cast<int>(random() % 3), Core::Time(100000), Core::Time(0)) == RequestQueue::PushResult::Queued)
            waiting.insert(id);
        if (random() % 4 == 0) {
            auto const gone = random() % (id + 1);
            queue.remove(gone);
            waiting.erase(gone);
        }
        if (random() % 6 == 0) {
            queue.offer([&](uint64_t offered) {
                RC_ASSERT(waiting.contains(offered));
                if (random() % 2 == 0)
                    return false;
                waiting.erase(offered);
                return true;
            });
        }
        RC_ASSERT(queue.size() == waiting.size());
    }
}

RC_GTEST_PROP(DemandShares, SharesOfEntriesThatReceiveAllDemandsAddUpToOne, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    auto const entries = *rc::gen::inRange<size_t>(1, 8);
    std::vector<DemandShares> shares(entries);
    for (int second = 0; second < 20; ++second) {
        for (auto& entry : shares) {
            for (auto count = random() % 50; count > 0; --count)
                entry.on_request_offered("c");
            entry.end_interval();
        }
    }
    Core::Time const now { 1000 };
    for (size_t i = 0; i < entries; ++i) {
        for (size_t j = 0; j < entries; ++j) {
            // Some announcements are lost.
            if (i != j && random() % 4 != 0)
                shares[i].on_peer_demand("e" + std::to_string(j), shares[j].local_demand(), now);
        }
    }
    double least = 1;
    for (auto const& entry : shares)
        least = std::min(least, entry.share("c", entries, now));
    RC_ASSERT(least > 0);
    for (size_t i = 0; i < entries; ++i) {
        for (size_t j = 0; j < entries; ++j) {
            if (i != j)
                shares[i].on_peer_demand("e" + std::to_string(j), shares[j].local_demand(), now);
        }
    }
    double sum = 0;
    for (auto const& entry : shares)
        sum += entry.share("c", entries, now);
    RC_ASSERT(std::abs(sum - 1) < 1e-6);
}

TEST(DemandShares, AnEntryWithAllTheDemandGetsMostOfTheLimitAndOldDemandsExpire)
{
    DemandShares busy;
    for (int second = 0; second < 20; ++second) {
        for (int i = 0; i < 98; ++i)
            busy.on_request_offered("c");
        busy.end_interval();
    }
    EXPECT_DOUBLE_EQ(busy.share("c", 2, Core::Time(0)), 0.5);
    busy.on_peer_demand("idle", {}, Core::Time(0));
    EXPECT_GT(busy.share("c", 2, Core::Time(0)), 0.97);
    EXPECT_DOUBLE_EQ(busy.share("c", 2, Core::Time(5000)), 0.5);
}
