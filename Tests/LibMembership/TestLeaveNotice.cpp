// SPDX-License-Identifier: BSD-2-Clause
#include <LibMembership/LeaveNotice.h>
#include <gtest/gtest.h>

using namespace Membership;

TEST(LeaveNotice, OnlyAPongOfAPingBehindTheNewsShowsThatAPeerKnows)
{
    LeaveNotice notice;
    notice.begin({ "entry-0", "entry-1" }, Core::Time(1000));
    notice.on_pong("entry-0", Core::Time(999));
    notice.on_pong("entry-0", Core::Time(1000));
    EXPECT_EQ(notice.unaware_peers(), 2U);
    notice.on_pong("entry-0", Core::Time(1001));
    EXPECT_FALSE(notice.is_known_to_all());
    notice.on_pong("entry-1", Core::Time(1020));
    EXPECT_TRUE(notice.is_known_to_all());
}

TEST(LeaveNotice, APeerWhoseLinkEndedIsNotWaitedFor)
{
    LeaveNotice notice;
    notice.begin({ "entry-0" }, Core::Time(1000));
    notice.on_gone("entry-0");
    EXPECT_TRUE(notice.is_known_to_all());
    // The peer may connect again; this process then sends it the notice first.
    notice.on_pong("entry-0", Core::Time(2000));
    EXPECT_TRUE(notice.is_known_to_all());
}

TEST(LeaveNotice, WithoutPeersNobodyIsWaitedFor)
{
    LeaveNotice notice;
    notice.begin({}, Core::Time(1000));
    EXPECT_TRUE(notice.is_known_to_all());
}
