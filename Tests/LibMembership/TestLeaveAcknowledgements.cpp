// SPDX-License-Identifier: BSD-2-Clause
#include <LibMembership/LeaveAcknowledgements.h>
#include <gtest/gtest.h>

using namespace Membership;

TEST(LeaveAcknowledgements, OnlyAPongOfAPingSentAfterTheNoticeAcknowledgesIt)
{
    LeaveAcknowledgements notice;
    notice.begin({ "entry-0", "entry-1" }, Core::Time(1000));
    notice.on_pong("entry-0", Core::Time(999));
    notice.on_pong("entry-0", Core::Time(1000));
    EXPECT_EQ(notice.unacknowledged_peers(), 2U);
    notice.on_pong("entry-0", Core::Time(1001));
    EXPECT_FALSE(notice.is_acknowledged_by_all());
    notice.on_pong("entry-1", Core::Time(1020));
    EXPECT_TRUE(notice.is_acknowledged_by_all());
}

TEST(LeaveAcknowledgements, APeerWhoseLinkEndedIsNotWaitedFor)
{
    LeaveAcknowledgements notice;
    notice.begin({ "entry-0" }, Core::Time(1000));
    notice.on_peer_link_ended("entry-0");
    EXPECT_TRUE(notice.is_acknowledged_by_all());
    // The peer may connect again; this process then sends it the notice first.
    notice.on_pong("entry-0", Core::Time(2000));
    EXPECT_TRUE(notice.is_acknowledged_by_all());
}

TEST(LeaveAcknowledgements, WithoutPeersNoAcknowledgementIsAwaited)
{
    LeaveAcknowledgements notice;
    notice.begin({}, Core::Time(1000));
    EXPECT_TRUE(notice.is_acknowledged_by_all());
}
