// SPDX-License-Identifier: BSD-2-Clause
#include <LibConfiguration/FactReplica.h>
#include <LibConfiguration/HeldVersion.h>
#include <LibConfiguration/LogPosition.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Configuration;

/// A read directly after the preceding records, so that new records were written now.
static ReadTime read_directly(Core::Time now)
{
    return { now, now };
}

/// Facts received from a peer by a process that has not read the log itself.
static ReadTime received_at(Core::Time now)
{
    return { now, {} };
}

static Fact configuration_fact(int64_t version, int64_t revision)
{
    auto configuration = std::make_shared<Schema::RoutingConfiguration>();
    configuration->version = version;
    return { Schema::FactKind::Configuration, "config", revision, configuration };
}

static Fact version_fact(int64_t version, int64_t revision)
{
    return { Schema::FactKind::ModelVersion, "version/m", revision, Schema::ModelVersion { .model = "m", .version = version } };
}

static Fact server_fact(std::string const& id, bool is_draining, int64_t revision)
{
    Schema::BackendServer server {};
    server.id = id;
    server.is_draining = is_draining;
    return { Schema::FactKind::BackendServer, id, revision, server };
}

static Fact server_at(std::string const& address, std::string const& id, int64_t revision)
{
    auto fact = server_fact(id, false, revision);
    std::get<Schema::BackendServer>(fact.value).address = address;
    return fact;
}

static std::vector<std::string> ids(FactReplica const& replica)
{
    std::vector<std::string> ids;
    for (auto const* server : replica.servers())
        ids.push_back(server->id);
    return ids;
}

static Fact removed_fact(std::string const& id, int64_t revision)
{
    return { Schema::FactKind::BackendServer, id, revision, Removed {} };
}

RC_GTEST_PROP(FactReplica, NoUpdateInAnyOrderLowersAVersion, ())
{
    FactReplica replica;
    int64_t configuration = 0;
    int64_t version = 0;
    auto const steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        auto const number = *rc::gen::inRange<int64_t>(1, 20);
        std::vector<Fact> const facts { configuration_fact(number, number * 2), version_fact(number, number * 2 + 1) };
        if (*rc::gen::arbitrary<bool>()) {
            replica.on_records(FactTopic::Configuration, facts, number * 2 + 2, read_directly(Core::Time(step)));
        } else {
            Schema::FactBatch batch {};
            for (auto const& fact : facts)
                batch.facts.push_back(to_message(fact));
            replica.on_peer(batch, received_at(Core::Time(step)));
        }
        RC_ASSERT(replica.configuration()->version >= configuration);
        RC_ASSERT(replica.versions().at("m").newest() >= version);
        configuration = replica.configuration()->version;
        version = replica.versions().at("m").newest();
    }
}

RC_GTEST_PROP(FactReplica, FactsOfAPeerThatReadFurtherBringAReplicaUpToDate, ())
{
    FactReplica ahead;
    FactReplica behind;
    int64_t end = 0;
    auto const count = *rc::gen::inRange<int64_t>(1, 40);
    auto const split = *rc::gen::inRange<int64_t>(0, count);
    for (int64_t i = 0; i < count; ++i) {
        auto const id = "s" + std::to_string(*rc::gen::inRange(0, 4));
        auto const fact = *rc::gen::inRange(0, 3) == 0 ? removed_fact(id, i) : server_fact(id, *rc::gen::arbitrary<bool>(), i);
        ahead.on_records(FactTopic::BackendServers, { fact }, i + 1, read_directly(Core::Time(i)));
        if (i < split)
            behind.on_records(FactTopic::BackendServers, { fact }, i + 1, read_directly(Core::Time(i)));
        end = i + 1;
    }
    Schema::FactRequest request {};
    request.servers_from = behind.end(FactTopic::BackendServers);
    request.configuration_from = behind.end(FactTopic::Configuration);
    behind.on_peer(ahead.facts_since(request, {}, Core::Time(100)), received_at(Core::Time(100)));
    RC_ASSERT(behind.end(FactTopic::BackendServers) == end);
    auto names = [](FactReplica const& replica) {
        std::map<std::string, bool> result;
        for (auto const* server : replica.servers())
            result[server->id] = server->is_draining;
        return result;
    };
    RC_ASSERT(names(behind) == names(ahead));
}

RC_GTEST_PROP(FactReplica, FactsOfAPeerThatStartedLaterHideNoRemoval, ())
{
    std::vector<Fact> log;
    std::map<std::string, Fact> listed;
    auto const count = *rc::gen::inRange<int64_t>(1, 40);
    for (int64_t i = 0; i < count; ++i) {
        auto const id = "s" + std::to_string(*rc::gen::inRange(0, 4));
        bool const is_removal = *rc::gen::inRange(0, 3) == 0;
        log.push_back(is_removal ? removed_fact(id, i) : server_fact(id, *rc::gen::arbitrary<bool>(), i));
    }
    auto const split = *rc::gen::inRange<int64_t>(0, count);
    auto const restart = *rc::gen::inRange<int64_t>(split, count);
    // The servers that are listed at the end write on, which shows each reader that a removed one has returned.
    std::map<std::string, Fact> last;
    for (auto const& fact : log)
        last[fact.key] = fact;
    for (int heartbeats = 0; heartbeats < 4; ++heartbeats) {
        for (auto& [key, fact] : last) {
            fact.revision = static_cast<int64_t>(log.size());
            if (!std::holds_alternative<Configuration::Removed>(fact.value))
                log.push_back(fact);
        }
    }
    auto const end = static_cast<int64_t>(log.size());
    FactReplica behind;
    behind.on_records(FactTopic::BackendServers, std::vector<Fact>(log.begin(), log.begin() + split), split, read_directly(Core::Time(0)));
    for (int64_t i = 0; i < restart; ++i) {
        if (std::holds_alternative<Configuration::Removed>(log[i].value))
            listed.erase(log[i].key);
        else
            listed[log[i].key] = log[i];
    }
    std::vector<Fact> newest;
    newest.reserve(listed.size());
    for (auto const& [key, fact] : listed)
        newest.push_back(fact);
    FactReplica started_later;
    started_later.on_listing(FactTopic::BackendServers, newest, restart, read_directly(Core::Time(1)));
    Schema::FactRequest request {};
    request.servers_from = behind.end(FactTopic::BackendServers);
    behind.on_peer(started_later.facts_since(request, {}, Core::Time(2)), received_at(Core::Time(2)));
    auto const rest = behind.end(FactTopic::BackendServers);
    behind.on_records(FactTopic::BackendServers, std::vector<Fact>(log.begin() + rest, log.end()), end, read_directly(Core::Time(3)));
    FactReplica complete;
    complete.on_records(FactTopic::BackendServers, log, end, read_directly(Core::Time(3)));
    RC_ASSERT(ids(behind) == ids(complete));
}

TEST(FactReplica, ARemovalBeforeAPeersListingIsStillReadFromTheLog)
{
    FactReplica behind;
    behind.on_records(FactTopic::BackendServers, { server_fact("a", false, 0), server_fact("b", false, 1) }, 2, read_directly(Core::Time(0)));
    FactReplica started_later;
    started_later.on_listing(FactTopic::BackendServers, { server_fact("b", true, 3) }, 4, read_directly(Core::Time(1)));
    Schema::FactRequest request {};
    request.servers_from = behind.end(FactTopic::BackendServers);
    behind.on_peer(started_later.facts_since(request, {}, Core::Time(2)), received_at(Core::Time(2)));
    EXPECT_TRUE(behind.server("b")->is_draining);
    EXPECT_EQ(behind.end(FactTopic::BackendServers), 2);
}

TEST(FactReplica, AListingRemovesWhatItDoesNotName)
{
    FactReplica replica;
    replica.on_records(FactTopic::BackendServers, { server_fact("a", false, 0), server_fact("b", false, 1) }, 2, read_directly(Core::Time(0)));
    auto const changes = replica.on_listing(FactTopic::BackendServers, { server_fact("b", true, 7) }, 8, read_directly(Core::Time(1)));
    EXPECT_EQ(replica.server("a"), nullptr);
    EXPECT_TRUE(replica.server("b")->is_draining);
    EXPECT_EQ(changes.servers.size(), 2u);
    EXPECT_EQ(replica.end(FactTopic::BackendServers), 8);
}

TEST(FactReplica, AnUnchangedHeartbeatIsNotReportedAsAChange)
{
    FactReplica replica;
    replica.on_records(FactTopic::BackendServers, { server_fact("a", false, 0) }, 1, read_directly(Core::Time(0)));
    EXPECT_FALSE(replica.on_records(FactTopic::BackendServers, { server_fact("a", false, 1) }, 2, read_directly(Core::Time(1))).has_any());
}

TEST(FactReplica, ANewerVersionDoesNotPostponeTheDeadlineOfAnOlderOne)
{
    FactReplica replica;
    replica.on_records(FactTopic::Configuration, { version_fact(2, 0) }, 1, read_directly(Core::Time(1000)));
    replica.on_records(FactTopic::Configuration, { version_fact(3, 1) }, 2, read_directly(Core::Time(5000)));
    auto const& versions = replica.versions().at("m");
    auto const late = Core::Time(9000);
    EXPECT_EQ(versions.newest_of(Core::Time(999), late), 0);
    EXPECT_EQ(versions.newest_of(Core::Time(1000), late), 2);
    EXPECT_EQ(versions.newest_of(Core::Time(4999), late), 2);
    EXPECT_EQ(versions.newest_of(Core::Time(5000), late), 3);
}

/// Returns everything that a peer with this replica sends to a process that has read nothing.
static Schema::FactBatch all_facts_of(FactReplica const& peer, Core::Time now)
{
    return peer.facts_since({ .configuration_era = {}, .configuration_from = 0, .requested_at_ms = {}, .servers_era = {}, .servers_from = 0 }, {}, now);
}

TEST(FactReplica, APeerSendsTheNamingTimeNotTheTimeOfItsMessage)
{
    FactReplica peer;
    peer.on_records(FactTopic::Configuration, { version_fact(2, 0) }, 1, read_directly(Core::Time(1000)));
    FactReplica replica;
    replica.on_peer(all_facts_of(peer, Core::Time(6000)), received_at(Core::Time(6010)));
    auto const& versions = replica.versions().at("m");
    EXPECT_EQ(versions.newest_of(Core::Time(1010), Core::Time(6010)), 2);
    EXPECT_EQ(versions.newest_of(Core::Time(1009), Core::Time(6010)), 0);
    // The peer knew the version by then, so it was certainly named, however late this process found it.
    EXPECT_EQ(versions.newest_of(Core::Time(1010), Core::Time(0)), 2);
}

TEST(FactReplica, APeerWithoutANamingTimeSendsNone)
{
    FactReplica peer;
    peer.on_records(FactTopic::Configuration, { version_fact(2, 0) }, 1, { Core::Time(1000), {} });
    FactReplica replica;
    replica.on_peer(all_facts_of(peer, Core::Time(6000)), received_at(Core::Time(6010)));
    EXPECT_TRUE(replica.versions().at("m").has_undated());
    EXPECT_EQ(replica.versions().at("m").newest_of(Core::Time(0), Core::Time(6010)), 2);
}

TEST(FactReplica, AVersionWithoutANamingTimeWasNamedAfterTheLastReadWithoutIt)
{
    FactReplica peer;
    // If the peer had known the version for longer, this process's last read of the log would have been incomplete.
    peer.on_records(FactTopic::Configuration, { version_fact(2, 0) }, 1, { Core::Time(5950), {} });
    FactReplica replica;
    replica.on_peer(all_facts_of(peer, Core::Time(6000)), { Core::Time(6000), Core::Time(5900) });
    EXPECT_FALSE(replica.versions().at("m").has_undated());
    EXPECT_EQ(replica.versions().at("m").newest_of(Core::Time(5899), Core::Time(9000)), 0);
    EXPECT_EQ(replica.versions().at("m").newest_of(Core::Time(5900), Core::Time(9000)), 2);
}

TEST(FactReplica, TheLaterOfTwoNamingTimesIsKept)
{
    FactReplica peer;
    peer.on_records(FactTopic::Configuration, { version_fact(2, 0) }, 1, read_directly(Core::Time(5000)));
    FactReplica replica;
    replica.on_records(FactTopic::Configuration, { version_fact(2, 0) }, 1, { Core::Time(5200), Core::Time(3000) });
    replica.on_peer(all_facts_of(peer, Core::Time(6000)), received_at(Core::Time(6000)));
    EXPECT_EQ(replica.versions().at("m").newest_of(Core::Time(4999), Core::Time(9000)), 0);
    EXPECT_EQ(replica.versions().at("m").newest_of(Core::Time(5000), Core::Time(9000)), 2);
}

TEST(FactReplica, APeerAlsoSendsTheOlderVersionWithTheEarlierDeadline)
{
    FactReplica peer;
    peer.on_records(FactTopic::Configuration, { version_fact(2, 0) }, 1, read_directly(Core::Time(1000)));
    peer.on_records(FactTopic::Configuration, { version_fact(3, 1) }, 2, read_directly(Core::Time(7000)));
    FactReplica replica;
    EXPECT_TRUE(replica.on_peer(all_facts_of(peer, Core::Time(8000)), received_at(Core::Time(8000))).has_versions);
    auto const& versions = replica.versions().at("m");
    EXPECT_EQ(versions.newest_of(Core::Time(1000), Core::Time(8000)), 2);
    EXPECT_EQ(versions.newest_of(Core::Time(7000), Core::Time(8000)), 3);
    EXPECT_EQ(versions.newest(), 3);
}

TEST(FactReplica, AMissingNamingTimeIsTakenFromAPeer)
{
    FactReplica peer;
    peer.on_records(FactTopic::Configuration, { version_fact(2, 0) }, 1, read_directly(Core::Time(1000)));
    FactReplica replica;
    replica.on_listing(FactTopic::Configuration, { version_fact(2, 0) }, 1, { Core::Time(2000), {} });
    EXPECT_TRUE(replica.has_undated_versions());
    EXPECT_FALSE(replica.on_peer(all_facts_of(peer, Core::Time(2500)), received_at(Core::Time(2500))).has_any());
    EXPECT_FALSE(replica.has_undated_versions());
    EXPECT_EQ(replica.versions().at("m").newest_of(Core::Time(999), Core::Time(9000)), 0);
    EXPECT_EQ(replica.versions().at("m").newest_of(Core::Time(1000), Core::Time(9000)), 2);
}

TEST(FactReplica, ARepeatedRecordOfAVersionChangesNoNamingTime)
{
    FactReplica replica;
    replica.on_records(FactTopic::Configuration, { version_fact(2, 0) }, 1, read_directly(Core::Time(1000)));
    replica.on_records(FactTopic::Configuration, { version_fact(3, 1) }, 2, read_directly(Core::Time(5000)));
    // Both writes were repeated, and the one of the older version reached the log last.
    replica.on_records(FactTopic::Configuration, { version_fact(3, 2) }, 3, read_directly(Core::Time(6000)));
    replica.on_records(FactTopic::Configuration, { version_fact(2, 3) }, 4, read_directly(Core::Time(7000)));
    auto const& versions = replica.versions().at("m");
    EXPECT_EQ(versions.newest(), 3);
    EXPECT_EQ(versions.newest_of(Core::Time(1000), Core::Time(9000)), 2);
    EXPECT_EQ(versions.newest_of(Core::Time(5000), Core::Time(9000)), 3);
}

TEST(FactReplica, ARecordedVersionIsNotReplacedByAnOlderRecordOfTheLog)
{
    FactReplica replica;
    replica.on_known_versions({ { .model = "m", .version = 3, .known = Core::Time(1000) } }, Core::Time(9000));
    EXPECT_FALSE(replica.on_listing(FactTopic::Configuration, { version_fact(2, 7) }, 8, { Core::Time(9010), {} }).has_versions);
    auto const& versions = replica.versions().at("m");
    EXPECT_EQ(versions.newest(), 3);
    // Version 3 was known to an earlier process long before this process found it.
    EXPECT_EQ(versions.newest_of(Core::Time(999), Core::Time(0)), 0);
    EXPECT_EQ(versions.newest_of(Core::Time(1000), Core::Time(0)), 3);
}

TEST(FactReplica, APeerSendsAVersionForWhichTheLogHasAnOlderRecord)
{
    FactReplica peer;
    peer.on_records(FactTopic::Configuration, { version_fact(3, 1) }, 2, read_directly(Core::Time(1000)));
    peer.on_records(FactTopic::Configuration, { version_fact(2, 2) }, 3, read_directly(Core::Time(2000)));
    FactReplica replica;
    replica.on_listing(FactTopic::Configuration, { version_fact(2, 2) }, 3, { Core::Time(9000), {} });
    auto const answer = peer.facts_since({ .configuration_era = {}, .configuration_from = replica.end(FactTopic::Configuration), .requested_at_ms = {}, .servers_era = {}, .servers_from = 0 }, {}, Core::Time(9010));
    EXPECT_TRUE(replica.on_peer(answer, received_at(Core::Time(9010))).has_versions);
    EXPECT_EQ(replica.versions().at("m").newest(), 3);
    EXPECT_EQ(replica.versions().at("m").newest_of(Core::Time(1000), Core::Time(0)), 3);
    // The replica sends the version on to others, although it read no record of it in the log.
    FactReplica third;
    third.on_peer(all_facts_of(replica, Core::Time(9020)), received_at(Core::Time(9020)));
    EXPECT_EQ(third.versions().at("m").newest(), 3);
}

TEST(FactReplica, APeersNewerConfigurationReplacesAnOlderRecordOfADelayedWrite)
{
    FactReplica peer;
    peer.on_records(FactTopic::Configuration, { configuration_fact(6, 1) }, 2, read_directly(Core::Time(1000)));
    peer.on_records(FactTopic::Configuration, { configuration_fact(3, 2) }, 3, read_directly(Core::Time(2000)));
    EXPECT_EQ(peer.configuration()->version, 6);
    FactReplica replica;
    replica.on_listing(FactTopic::Configuration, { configuration_fact(3, 2) }, 3, { Core::Time(9000), {} });
    EXPECT_TRUE(replica.on_peer(all_facts_of(peer, Core::Time(9010)), received_at(Core::Time(9010))).has_configuration);
    EXPECT_EQ(replica.configuration()->version, 6);
    EXPECT_EQ(replica.end(FactTopic::Configuration), 3);
}

TEST(FactReplica, AnEstimatedNamingTimeYieldsToAPeersEarlierKnowledge)
{
    FactReplica peer;
    peer.on_records(FactTopic::Configuration, { version_fact(2, 0) }, 1, read_directly(Core::Time(1000)));
    // A process that was cut off estimates that the version was named after its last failed read.
    FactReplica cut_off;
    cut_off.on_records(FactTopic::Configuration, { version_fact(2, 0) }, 1, { Core::Time(20000), Core::Time(19000) });
    EXPECT_EQ(cut_off.versions().at("m").newest_of(Core::Time(13500), Core::Time(20000)), 0);
    cut_off.on_peer(all_facts_of(peer, Core::Time(20500)), received_at(Core::Time(20500)));
    EXPECT_EQ(cut_off.versions().at("m").newest_of(Core::Time(1000), Core::Time(0)), 2);
    // A third process that requests facts from the process that estimated gets the correct time.
    FactReplica third;
    third.on_peer(all_facts_of(cut_off, Core::Time(21000)), received_at(Core::Time(21000)));
    EXPECT_EQ(third.versions().at("m").newest_of(Core::Time(1000), Core::Time(0)), 2);
}

TEST(FactReplica, APeerSendsAConfigurationForWhichTheLogHasAnOlderRecord)
{
    FactReplica peer;
    peer.on_records(FactTopic::Configuration, { configuration_fact(6, 1) }, 2, read_directly(Core::Time(1000)));
    // The delayed write of an older configuration reached the log.
    peer.on_records(FactTopic::Configuration, { configuration_fact(3, 2) }, 3, read_directly(Core::Time(2000)));
    ASSERT_EQ(peer.configuration()->version, 6);
    FactReplica started_later;
    started_later.on_listing(FactTopic::Configuration, { configuration_fact(3, 2) }, 3, { Core::Time(9000), {} });
    auto const answer = peer.facts_since({ .configuration_era = {}, .configuration_from = started_later.end(FactTopic::Configuration), .requested_at_ms = {}, .servers_era = {}, .servers_from = 0 }, {}, Core::Time(9010));
    started_later.on_peer(answer, received_at(Core::Time(9010)));
    EXPECT_EQ(started_later.configuration()->version, 6);
}

TEST(FactReplica, ADelayedHeartbeatDoesNotMakeADrainingServerReady)
{
    auto heartbeat = [](bool is_draining, int64_t revision) {
        auto fact = server_fact("s", is_draining, revision);
        // Without a start time only the order of the records tells a late one from a server that is ready again.
        std::get<Schema::BackendServer>(fact.value).started_at_ms = 1000;
        return fact;
    };
    FactReplica replica;
    replica.on_records(FactTopic::BackendServers, { heartbeat(false, 0), heartbeat(true, 1) }, 2, read_directly(Core::Time(1000)));
    ASSERT_TRUE(replica.server("s")->is_draining);
    replica.on_records(FactTopic::BackendServers, { heartbeat(false, 2) }, 3, read_directly(Core::Time(2000)));
    EXPECT_TRUE(replica.server("s")->is_draining);
}

RC_GTEST_PROP(FactReplica, TheNewestVersionNeverDecreasesAndKnownTimesNeverIncrease, ())
{
    FactReplica replica;
    int64_t newest = 0;
    std::map<int64_t, Core::Time> known_before;
    auto const steps = *rc::gen::inRange(1, 40);
    for (int step = 1; step <= steps; ++step) {
        auto const now = Core::Time(step * 1000);
        auto const version = *rc::gen::inRange<int64_t>(2, 6);
        auto const known = now - Core::Duration(*rc::gen::inRange(0, 9000));
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            replica.on_records(FactTopic::Configuration, { version_fact(version, step) }, step + 1, { now, known });
            break;
        case 1:
            replica.on_known_versions({ { .model = "m", .version = version, .known = known } }, now);
            break;
        default: {
            FactReplica peer;
            peer.on_records(FactTopic::Configuration, { version_fact(version, step) }, step + 1, { known, known });
            replica.on_peer(all_facts_of(peer, now), { now, known });
        }
        }
        auto const& versions = replica.versions().at("m");
        RC_ASSERT(versions.newest() >= newest);
        newest = versions.newest();
        for (auto const& each : versions.versions) {
            // `known` is certain, so it can only move back. `remembered` comes from wall clocks and yields to a better time.
            auto const [before, is_new] = known_before.try_emplace(each.version, each.known);
            RC_ASSERT(is_new || each.known <= before->second);
            RC_ASSERT(each.known <= now);
            RC_ASSERT(!each.named || *each.named <= each.known);
            before->second = each.known;
        }
    }
}

TEST(FactReplica, AFactThatCannotBeReadChangesNothing)
{
    FactReplica replica;
    replica.on_records(FactTopic::Configuration, { configuration_fact(3, 0) }, 1, read_directly(Core::Time(0)));
    Schema::FactBatch batch {};
    batch.facts = { { .body = "{\"version\":9}", .era = {}, .key = "config", .kind = Schema::FactKind::Configuration, .left_revision = {}, .returned_revision = {}, .revision = 9, .versions = {} } };
    EXPECT_FALSE(replica.on_peer(batch, received_at(Core::Time(1))).has_any());
    EXPECT_EQ(replica.configuration()->version, 3);
}

TEST(HeldVersion, OnlyAVersionWithEveryLayerIsComplete)
{
    EXPECT_EQ(highest_complete_version({}, 16), 0);
    EXPECT_EQ(highest_complete_version({ { .end_layer = 16, .first_layer = 0, .model = "m", .version = 2 } }, 16), 2);
    EXPECT_EQ(highest_complete_version({ { .end_layer = 16, .first_layer = 1, .model = "m", .version = 2 } }, 16), 0);
    EXPECT_EQ(highest_complete_version({ { .end_layer = 8, .first_layer = 0, .model = "m", .version = 2 }, { .end_layer = 16, .first_layer = 8, .model = "m", .version = 3 } }, 16), 0);
    EXPECT_EQ(highest_complete_version({ { .end_layer = 16, .first_layer = 8, .model = "m", .version = 2 }, { .end_layer = 8, .first_layer = 0, .model = "m", .version = 2 } }, 16), 2);
}

TEST(FactReplica, OnlyTheLaterOfTwoServersAtOneAddressIsReturned)
{
    FactReplica replica;
    replica.on_records(FactTopic::BackendServers, { server_at("a:1", "z-old", 10), server_at("b:1", "other", 11) }, 12, read_directly(Core::Time(0)));
    auto const changes = replica.on_records(FactTopic::BackendServers, { server_at("a:1", "new", 20) }, 21, read_directly(Core::Time(0)));
    EXPECT_EQ(changes.servers, (std::vector<std::string> { "new", "z-old" }));
    EXPECT_EQ(ids(replica), (std::vector<std::string> { "new", "other" }));
    EXPECT_EQ(replica.server("z-old"), nullptr);
    // A late heartbeat of the earlier incarnation, and then its removal, change nothing.
    replica.on_records(FactTopic::BackendServers, { server_at("a:1", "z-old", 30) }, 31, read_directly(Core::Time(0)));
    EXPECT_EQ(ids(replica), (std::vector<std::string> { "new", "other" }));
    replica.on_records(FactTopic::BackendServers, { removed_fact("z-old", 40) }, 41, read_directly(Core::Time(0)));
    EXPECT_EQ(ids(replica), (std::vector<std::string> { "new", "other" }));
}

TEST(FactReplica, AListingOfTwoServersAtOneAddressKeepsTheLaterOneWhateverItsKey)
{
    FactReplica replica;
    replica.on_listing(FactTopic::BackendServers, { server_at("a:1", "a-new", 20), server_at("a:1", "z-old", 10) }, 30, read_directly(Core::Time(0)));
    EXPECT_EQ(ids(replica), (std::vector<std::string> { "a-new" }));
}

TEST(FactReplica, AServerThatWasRemovedBeforeItsAddressWasReusedDoesNotReturn)
{
    FactReplica replica;
    replica.on_records(FactTopic::BackendServers, { server_at("a:1", "old", 10), removed_fact("old", 15), server_at("a:1", "new", 20) }, 21, read_directly(Core::Time(0)));
    replica.on_records(FactTopic::BackendServers, { server_at("a:1", "old", 30) }, 31, read_directly(Core::Time(0)));
    EXPECT_EQ(ids(replica), (std::vector<std::string> { "new" }));
}

static Fact with_start(int64_t started_at_ms, Fact fact)
{
    std::get<Schema::BackendServer>(fact.value).started_at_ms = started_at_ms;
    return fact;
}

static FactChanges apply_server_record(FactReplica& replica, Fact const& fact)
{
    return replica.on_records(FactTopic::BackendServers, { fact }, fact.revision + 1, read_directly(Core::Time(0)));
}

TEST(FactReplica, ALateRecordOfAnOlderIncarnationChangesNothing)
{
    FactReplica replica;
    apply_server_record(replica, with_start(1000, server_at("a:1", "s", 1)));
    EXPECT_EQ(apply_server_record(replica, with_start(2000, server_at("a:1", "s", 2))).servers, std::vector<std::string> { "s" });
    EXPECT_FALSE(apply_server_record(replica, with_start(1000, server_at("a:2", "s", 3))).has_any());
    EXPECT_EQ(replica.server("s")->started_at_ms, 2000);
    EXPECT_EQ(replica.server("s")->address, "a:1");
    // A later record of the current incarnation is applied despite the ignored one.
    EXPECT_TRUE(apply_server_record(replica, with_start(2000, server_fact("s", true, 4))).has_any());
}

// Another writer's record with a number too large as the server's start must not make all that the server writes count as older.
TEST(FactReplica, ARecordThatStatesAStartInTheFutureDoesNotOutliveTheServersOwn)
{
    static constexpr int64_t largest_number = int64_t { 1 } << 53;
    for (bool is_draining : { false, true }) {
        FactReplica replica;
        apply_server_record(replica, with_start(1000, server_fact("s", false, 1)));
        apply_server_record(replica, with_start(largest_number, server_fact("s", is_draining, 2)));
        EXPECT_TRUE(apply_server_record(replica, with_start(1000, server_at("a:2", "s", 3))).has_any());
        ASSERT_TRUE(replica.server("s"));
        EXPECT_EQ(replica.server("s")->address, "a:2");
        EXPECT_FALSE(replica.server("s")->is_draining);
        EXPECT_TRUE(apply_server_record(replica, with_start(1000, server_fact("s", true, 4))).has_any());
        EXPECT_TRUE(replica.server("s")->is_draining);
    }
}

TEST(FactReplica, WithinOneIncarnationADrainingServerDoesNotBecomeReady)
{
    FactReplica replica;
    apply_server_record(replica, with_start(1000, server_fact("s", false, 1)));
    apply_server_record(replica, with_start(1000, server_fact("s", true, 2)));
    EXPECT_FALSE(apply_server_record(replica, with_start(1000, server_fact("s", false, 3))).has_any());
    EXPECT_TRUE(replica.server("s")->is_draining);
    // The next incarnation is ready.
    apply_server_record(replica, with_start(2000, server_fact("s", false, 4)));
    EXPECT_FALSE(replica.server("s")->is_draining);
}

TEST(FactReplica, AServerWithAnUnreadableStateMayBecomeReadyAgain)
{
    FactReplica replica;
    auto unreadable = with_start(1000, server_fact("s", true, 1));
    std::get<Schema::BackendServer>(unreadable.value).unreadable_fields = { "state" };
    apply_server_record(replica, unreadable);
    apply_server_record(replica, with_start(1000, server_fact("s", false, 2)));
    EXPECT_FALSE(replica.server("s")->is_draining);
}

TEST(FactReplica, WithoutAStartTimeDrainingIsFinalUntilTheServerHasReturned)
{
    FactReplica replica;
    apply_server_record(replica, server_fact("s", true, 1));
    apply_server_record(replica, server_fact("s", false, 2));
    EXPECT_TRUE(replica.server("s")->is_draining);
    apply_server_record(replica, with_start(1000, server_fact("s", true, 3)));
    apply_server_record(replica, server_fact("s", false, 4));
    EXPECT_TRUE(replica.server("s")->is_draining);
    for (int64_t revision = 5; revision < 8; ++revision)
        replica.on_records(FactTopic::BackendServers, { server_fact("s", false, revision) }, revision + 1, read_directly(Core::Time(7000)));
    EXPECT_FALSE(replica.server("s")->is_draining);
}

TEST(FactReplica, AfterARemovalAnEarlierStartTimeIsAccepted)
{
    FactReplica replica;
    apply_server_record(replica, with_start(2000, server_fact("s", true, 1)));
    apply_server_record(replica, removed_fact("s", 2));
    // Up to three such records may be of the incarnation before the one that was removed.
    for (int64_t revision = 3; revision < 6; ++revision)
        apply_server_record(replica, with_start(1000, server_fact("s", false, revision)));
    EXPECT_EQ(replica.server("s"), nullptr);
    apply_server_record(replica, with_start(1000, server_fact("s", false, 6)));
    ASSERT_NE(replica.server("s"), nullptr);
    EXPECT_FALSE(replica.server("s")->is_draining);
    // A record that was written before the removal is ignored, however late it arrives.
    Schema::FactBatch batch {};
    batch.facts = { to_message(with_start(2000, server_fact("s", true, 1))) };
    replica.on_peer(batch, received_at(Core::Time(1)));
    EXPECT_EQ(replica.server("s")->started_at_ms, 1000);
}

TEST(FactReplica, ASupersededServerReturnsWithItsNextIncarnation)
{
    FactReplica replica;
    apply_server_record(replica, with_start(1000, server_at("a:1", "s", 1)));
    apply_server_record(replica, with_start(2000, server_at("a:1", "other", 2)));
    EXPECT_EQ(ids(replica), (std::vector<std::string> { "other" }));
    apply_server_record(replica, with_start(1000, server_at("a:1", "s", 3)));
    EXPECT_EQ(ids(replica), (std::vector<std::string> { "other" }));
    EXPECT_TRUE(apply_server_record(replica, with_start(3000, server_at("a:2", "s", 4))).has_any());
    EXPECT_EQ(ids(replica), (std::vector<std::string> { "other", "s" }));
    // The restarted server can itself take over an address.
    apply_server_record(replica, with_start(4000, server_at("a:1", "s", 5)));
    EXPECT_EQ(ids(replica), (std::vector<std::string> { "s" }));
}

TEST(FactReplica, APeersNewerIncarnationReplacesALateRecordOfAListing)
{
    FactReplica peer;
    apply_server_record(peer, with_start(1000, server_fact("s", false, 1)));
    apply_server_record(peer, with_start(2000, server_fact("s", false, 2)));
    apply_server_record(peer, with_start(1000, server_fact("s", true, 3)));
    FactReplica replica;
    replica.on_listing(FactTopic::BackendServers, { with_start(1000, server_fact("s", true, 3)) }, 4, read_directly(Core::Time(1)));
    EXPECT_TRUE(replica.on_peer(all_facts_of(peer, Core::Time(2)), received_at(Core::Time(2))).has_any());
    EXPECT_EQ(replica.server("s")->started_at_ms, 2000);
    EXPECT_FALSE(replica.server("s")->is_draining);
    // A peer that has read less of the log does not undo the correction.
    Schema::FactBatch behind {};
    behind.facts = { to_message(with_start(1000, server_fact("s", true, 3))) };
    EXPECT_FALSE(replica.on_peer(behind, received_at(Core::Time(3))).has_any());
}

RC_GTEST_PROP(FactReplica, WithoutARemovalStartTimesNeverDecreaseAndDrainingIsFinal, ())
{
    FactReplica replica;
    int64_t newest = 0;
    bool was_leaving = false;
    auto const steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
        auto const started = *rc::gen::inRange<int64_t>(1, 5);
        bool const is_leaving = *rc::gen::arbitrary<bool>();
        auto const fact = with_start(started, server_fact("s", is_leaving, *rc::gen::inRange<int64_t>(0, 40)));
        if (*rc::gen::arbitrary<bool>()) {
            apply_server_record(replica, fact);
        } else {
            Schema::FactBatch batch {};
            batch.facts = { to_message(fact) };
            replica.on_peer(batch, received_at(Core::Time(step)));
        }
        was_leaving = (started > newest ? false : was_leaving) || (started >= newest && is_leaving);
        newest = std::max(newest, started);
        RC_ASSERT(replica.server("s")->started_at_ms == newest);
        RC_ASSERT(replica.server("s")->is_draining == was_leaving);
    }
}

TEST(FactReplica, HistoryRestoresANewerVersionThatAnOlderRecordFollowed)
{
    FactReplica replica;
    Core::Time const now { 1000 };
    replica.on_listing(FactTopic::Configuration, { configuration_fact(4, 8), version_fact(2, 9) }, 10, received_at(now));
    auto const changes = replica.on_history({ configuration_fact(4, 2), version_fact(3, 6), configuration_fact(7, 7), version_fact(1, 1) }, received_at(now));
    EXPECT_TRUE(changes.has_configuration);
    EXPECT_TRUE(changes.has_versions);
    EXPECT_EQ(changes.keys_with_older_records.size(), 2u);
    EXPECT_EQ(replica.configuration()->version, 7);
    EXPECT_EQ(replica.versions().at("m").newest(), 3);
    EXPECT_EQ(replica.end(FactTopic::Configuration), 10) << "what comes next is read from behind the listing";
}

TEST(FactReplica, HistoryInAscendingOrderChangesNothing)
{
    FactReplica replica;
    Core::Time const now { 1000 };
    replica.on_listing(FactTopic::Configuration, { configuration_fact(7, 8), version_fact(3, 9) }, 10, received_at(now));
    auto const changes = replica.on_history({ configuration_fact(4, 2), version_fact(2, 6) }, received_at(now));
    EXPECT_FALSE(changes.has_any());
    EXPECT_EQ(replica.configuration()->version, 7);
    EXPECT_EQ(replica.versions().at("m").newest(), 3);
}

// In whatever order the records of versions and configurations were written, a starting process uses the highest that the log holds.
RC_GTEST_PROP(FactReplica, AStartingReplicaUsesTheHighestVersionsOfTheLog, ())
{
    auto const numbers = *rc::gen::nonEmpty(rc::gen::container<std::vector<int64_t>>(rc::gen::inRange<int64_t>(1, 50)));
    std::vector<Fact> history;
    for (size_t i = 0; i < numbers.size(); ++i) {
        history.push_back(configuration_fact(numbers[i], static_cast<int64_t>(2 * i)));
        history.push_back(version_fact(numbers[i], static_cast<int64_t>(2 * i + 1)));
    }
    FactReplica replica;
    Core::Time const now { 1000 };
    std::vector<Fact> const newest { history[history.size() - 2], history.back() };
    replica.on_listing(FactTopic::Configuration, newest, static_cast<int64_t>(history.size()), received_at(now));
    replica.on_history(history, received_at(now));
    auto const highest = *std::max_element(numbers.begin(), numbers.end());
    RC_ASSERT(replica.configuration()->version == highest);
    RC_ASSERT(replica.versions().at("m").newest() == highest);
}

TEST(FactReplica, ABatchStatesTheAgeOfEachTopic)
{
    FactReplica replica;
    auto const batch = replica.facts_since({}, { .configuration = Core::Duration(20), .servers = Core::Duration(7000) }, Core::Time(9000));
    EXPECT_EQ(batch.age_ms, 7000);
    EXPECT_EQ(ages_of(batch, Core::Time(9000)).configuration, Core::Duration(20));
    EXPECT_EQ(ages_of(batch, Core::Time(9000)).servers, Core::Duration(7000));
}

TEST(FactReplica, ABatchOfAnOlderBuildStatesTheAgeOfTheOlderTopicForBoth)
{
    Schema::FactBatch batch {};
    batch.age_ms = 7000;
    EXPECT_EQ(ages_of(batch, Core::Time(9000)).configuration, Core::Duration(7000));
    EXPECT_EQ(ages_of(batch, Core::Time(9000)).servers, Core::Duration(7000));
}

// Guards against facts that count as fresher than they are by the time for which the answer waited on the way.
TEST(FactReplica, ABatchIsOlderByTheTimeSinceItWasRequested)
{
    FactReplica replica;
    Schema::FactRequest request {};
    request.requested_at_ms = 8000;
    auto const batch = replica.facts_since(request, { .configuration = Core::Duration(20), .servers = Core::Duration(7000) }, Core::Time(500));
    EXPECT_EQ(ages_of(batch, Core::Time(9400)).configuration, Core::Duration(1420));
    EXPECT_EQ(ages_of(batch, Core::Time(9400)).servers, Core::Duration(8400));
    EXPECT_EQ(ages_of(batch, Core::Time(7000)).configuration, Core::Duration(20)) << "no request is from the future";
}

// The log comes back from an older copy of itself, and gives out offsets again.

namespace {

class LogReturnTest : public testing::Test {
protected:
    static constexpr int64_t end_before = 100;

    static int64_t before(int64_t offset) { return log_position(1, offset); }
    static int64_t after(int64_t offset) { return log_position(2, offset); }

    void read(std::vector<Fact> const& facts, int64_t end) { m_replica.on_records(FactTopic::BackendServers, facts, end, read_directly(Core::Time(1))); }
    void list(std::vector<Fact> const& facts, int64_t end) { m_replica.on_listing(FactTopic::BackendServers, facts, end, read_directly(Core::Time(2))); }
    bool is_draining(std::string const& id) const { return m_replica.server(id)->is_draining; }

    FactReplica m_replica;
};

}

// Guards against a leaving server that gets work on, as the record of its leaving stands at an offset below those read before.
TEST_F(LogReturnTest, ARecordAtAReusedOffsetIsNewer)
{
    read({ server_fact("s", false, before(90)) }, before(end_before));
    list({ server_fact("s", true, after(60)) }, after(61));
    EXPECT_TRUE(is_draining("s"));
    EXPECT_EQ(m_replica.end(FactTopic::BackendServers), after(61));
}

// Guards against a named version that is never in force, as its record stands at an offset below those read before.
TEST_F(LogReturnTest, AVersionAtAReusedOffsetIsNewer)
{
    m_replica.on_records(FactTopic::Configuration, { version_fact(1, before(90)) }, before(end_before), read_directly(Core::Time(1)));
    m_replica.on_listing(FactTopic::Configuration, { version_fact(2, after(60)) }, after(61), read_directly(Core::Time(2)));
    EXPECT_EQ(m_replica.versions().at("m").newest(), 2);
    m_replica.on_listing(FactTopic::Configuration, { version_fact(1, log_position(3, 10)) }, log_position(3, 11), read_directly(Core::Time(3)));
    EXPECT_EQ(m_replica.versions().at("m").newest(), 2) << "what the copy holds undoes no version";
}

TEST_F(LogReturnTest, TheCopyBringsBackNoServerThatLeft)
{
    read({ server_fact("draining", true, before(80)), server_fact("removed", false, before(81)) }, before(82));
    m_replica.on_records(FactTopic::BackendServers, { removed_fact("removed", before(82)) }, before(end_before), read_directly(Core::Time(4000)));
    std::vector<Fact> const copy { server_fact("draining", false, after(50)), server_fact("removed", false, after(51)) };
    list(copy, after(60));
    EXPECT_TRUE(is_draining("draining"));
    EXPECT_EQ(m_replica.server("removed"), nullptr);
    list(copy, after(60));
    EXPECT_TRUE(is_draining("draining"));
    read({ server_fact("draining", false, after(61)), server_fact("removed", false, after(62)) }, after(63));
    EXPECT_TRUE(is_draining("draining")) << "a heartbeat from before it said that it leaves, written again";
    EXPECT_NE(m_replica.server("removed"), nullptr) << "it had lapsed, and has written its record since";
}

TEST_F(LogReturnTest, AServerThatTheCopyLacksStaysUntilTheListIsReadAgain)
{
    read({ server_fact("s", false, before(90)), server_fact("t", false, before(91)) }, before(end_before));
    list({ server_fact("t", false, after(10)) }, after(60));
    EXPECT_NE(m_replica.server("s"), nullptr);
    list({ server_fact("t", false, after(10)) }, after(70));
    EXPECT_EQ(m_replica.server("s"), nullptr);
    EXPECT_NE(m_replica.server("t"), nullptr);
}

TEST_F(LogReturnTest, APeerThatTheLogTurnsAwayLearnsOfTheNewEra)
{
    FactReplica turned_away;
    for (auto* replica : { &m_replica, &turned_away })
        replica->on_records(FactTopic::BackendServers, { server_fact("s", false, before(90)), server_fact("t", true, before(91)) }, before(end_before), read_directly(Core::Time(1)));
    list({ server_fact("s", false, after(50)), server_fact("t", false, after(51)) }, after(60));
    read({ server_fact("s", true, after(60)) }, after(61));
    Schema::FactRequest request {};
    request.servers_era = era_of(turned_away.end(FactTopic::BackendServers));
    request.servers_from = offset_of(turned_away.end(FactTopic::BackendServers));
    turned_away.on_peer(m_replica.facts_since(request, {}, Core::Time(3)), received_at(Core::Time(3)));
    EXPECT_TRUE(turned_away.server("s")->is_draining);
    EXPECT_TRUE(turned_away.server("t")->is_draining);
}

// Guards against a leaving server that gets work again, as an entry that started after the return knows only what the copy says of it.
TEST_F(LogReturnTest, APeerThatKnowsOnlyTheCopyBringsBackNoServerThatLeft)
{
    read({ server_fact("draining", true, before(80)), server_fact("removed", false, before(81)), removed_fact("removed", before(82)) }, before(end_before));
    FactReplica started_later;
    started_later.on_listing(FactTopic::BackendServers, { server_fact("draining", false, after(50)), server_fact("removed", false, after(51)) }, after(60), read_directly(Core::Time(2)));
    started_later.on_records(FactTopic::BackendServers, { server_fact("draining", false, after(60)) }, after(61), read_directly(Core::Time(2)));
    Schema::FactRequest request {};
    request.servers_era = era_of(m_replica.end(FactTopic::BackendServers));
    request.servers_from = offset_of(m_replica.end(FactTopic::BackendServers));
    for (int i = 0; i < 2; ++i) {
        m_replica.on_peer(started_later.facts_since(request, {}, Core::Time(3)), received_at(Core::Time(3)));
        EXPECT_TRUE(is_draining("draining"));
        EXPECT_EQ(m_replica.server("removed"), nullptr);
    }
    EXPECT_EQ(m_replica.end(FactTopic::BackendServers), before(end_before)) << "it has not read the list itself";
}

// Guards against an end of before that is taken for one of the new era: the log has no such offset, so nothing more would be read.
TEST_F(LogReturnTest, AnOlderBuildThatStatesNoEraMovesNothing)
{
    read({ server_fact("s", false, before(90)) }, before(end_before));
    list({ server_fact("s", false, after(50)) }, after(60));
    Schema::FactBatch batch {};
    batch.servers_end = end_before;
    batch.facts.push_back(to_message(server_fact("s", true, before(95))));
    batch.facts.back().era.reset();
    m_replica.on_peer(batch, received_at(Core::Time(3)));
    EXPECT_EQ(m_replica.end(FactTopic::BackendServers), after(60));
    EXPECT_FALSE(is_draining("s"));
}
