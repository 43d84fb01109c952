// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/CrashSuspects.h>
#include <LibRouting/RequestDigest.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

using namespace Routing;

static constexpr Core::Duration hour { std::chrono::hours(1) };

class CrashSuspectsTest : public testing::Test {
protected:
    std::vector<std::string> end(std::string const& server, std::vector<CrashSuspects::Run> const& runs) { return m_suspects.on_server_terminated(server, runs, m_now); }

    void blame(std::string const& digest)
    {
        end("1", { { digest, false } });
        end("2", { { digest, false } });
        end("3", { { digest, true } });
    }

    CrashStanding standing(std::string const& digest) { return m_suspects.standing(digest, m_now); }

    CrashSuspects m_suspects;
    Core::Time m_now { 1000 };
};

TEST_F(CrashSuspectsTest, AllRequestsOnATerminatedServerAreSuspectedUntilTheyComplete)
{
    end("1", { { "a" }, { "b" } });
    EXPECT_EQ(standing("a"), CrashStanding::Suspected);
    EXPECT_EQ(standing("b"), CrashStanding::Suspected);
    EXPECT_EQ(standing("c"), CrashStanding::Clear);
    EXPECT_TRUE(m_suspects.clear("a"));
    EXPECT_EQ(standing("a"), CrashStanding::Clear);
    EXPECT_FALSE(m_suspects.clear("a"));
}

TEST_F(CrashSuspectsTest, OnlyATerminationWhileRunningAloneBlames)
{
    end("1", { { "a" } });
    end("2", { { "a" } });
    EXPECT_EQ(standing("a"), CrashStanding::RunsAlone);
    EXPECT_EQ(end("3", { { "a", true } }), std::vector<std::string> { "a" });
    EXPECT_EQ(standing("a"), CrashStanding::Blamed);
    EXPECT_EQ(m_suspects.blamed_count(), 1u);
}

TEST_F(CrashSuspectsTest, ServersThatTerminateTogetherBlameNoRequest)
{
    for (auto const* server : { "1", "2", "3", "4", "5" })
        EXPECT_TRUE(end(server, { { "often asked for" } }).empty());
    EXPECT_EQ(standing("often asked for"), CrashStanding::RunsAlone);
}

// Guards against a crashing request that is never blamed: many copies that ran at the same time had filled its record of
// terminations before one of them ran alone.
TEST_F(CrashSuspectsTest, ATerminationWhileRunningAloneBlamesAfterAnyNumberOfOthers)
{
    for (int i = 0; i < 20; ++i)
        EXPECT_TRUE(end(std::to_string(i), { { "a" } }).empty());
    EXPECT_EQ(end("20", { { "a", true } }), std::vector<std::string> { "a" });
    EXPECT_EQ(standing("a"), CrashStanding::Blamed);
}

TEST_F(CrashSuspectsTest, AnAnnouncedTerminationWhileRunningAloneBlamesAlsoWithAFullRecord)
{
    for (int i = 0; i < 20; ++i)
        end(std::to_string(i), { { "a" } });
    Schema::CrashSuspect announced {};
    announced.digest = "a";
    announced.ends.push_back({ .alone = true, .server = "20" });
    EXPECT_EQ(m_suspects.merge(announced, m_now), std::vector<std::string> { "a" });
    EXPECT_EQ(standing("a"), CrashStanding::Blamed);
}

TEST_F(CrashSuspectsTest, OneTerminationCountsOnceHoweverOftenItIsReported)
{
    for (int i = 0; i < 5; ++i)
        end("1", { { "a" } });
    EXPECT_EQ(standing("a"), CrashStanding::Suspected);
}

TEST_F(CrashSuspectsTest, TerminationsOfABlamedRequestDoNotCountAgainstOthers)
{
    end("1", { { "guilty" }, { "a" } });
    end("2", { { "guilty" }, { "a" }, { "b" } });
    end("9", { { "b" } });
    EXPECT_EQ(standing("a"), CrashStanding::RunsAlone);
    end("3", { { "guilty", true } });
    EXPECT_EQ(standing("a"), CrashStanding::Clear);
    EXPECT_EQ(standing("b"), CrashStanding::Suspected);
    EXPECT_EQ(standing("guilty"), CrashStanding::Blamed);
}

TEST_F(CrashSuspectsTest, AWrongBlameEndsWhenItsTerminationsAreAttributedToOthers)
{
    end("1", { { "harmless" }, { "guilty" } });
    end("2", { { "harmless" } });
    end("3", { { "harmless", true }, { "guilty" } });
    EXPECT_EQ(standing("harmless"), CrashStanding::Blamed);
    // Terminations in the record of the wrongly blamed request don't count against the guilty ones.
    end("4", { { "guilty" } });
    end("5", { { "guilty" } });
    end("6", { { "guilty", true } });
    EXPECT_EQ(standing("guilty"), CrashStanding::Blamed);
    EXPECT_EQ(standing("harmless"), CrashStanding::Blamed) << "no other blamed request ran on server 2";
    end("2", { { "another" } });
    end("7", { { "another" } });
    end("8", { { "another" } });
    end("9", { { "another", true } });
    EXPECT_EQ(standing("another"), CrashStanding::Blamed);
    EXPECT_EQ(standing("harmless"), CrashStanding::Clear);
}

TEST_F(CrashSuspectsTest, ABlamedRequestRunsAloneWhenTheBlameHasExpired)
{
    blame("a");
    m_now += hour;
    EXPECT_EQ(standing("a"), CrashStanding::RunsAlone);
    EXPECT_TRUE(end("4", { { "a", true } }).empty()) << "it was blamed before, so this is not its first blame";
    m_now += hour;
    EXPECT_EQ(standing("a"), CrashStanding::Blamed) << "the second blame lasts four hours";
    m_now += 3 * hour;
    EXPECT_EQ(standing("a"), CrashStanding::RunsAlone);
}

TEST_F(CrashSuspectsTest, OneCopyOfASuspectIsSentAtATime)
{
    EXPECT_EQ(m_suspects.on_sent("a", "s1", m_now), CrashRestriction::Free);
    end("1", { { "a" } });
    EXPECT_TRUE(m_suspects.can_send("a", m_now));
    EXPECT_EQ(m_suspects.on_sent("a", "s2", m_now), CrashRestriction::Suspect);
    EXPECT_FALSE(m_suspects.can_send("a", m_now));
    EXPECT_TRUE(m_suspects.servers_with_suspects(CrashSuspects::RunFilter::AloneRuns, m_now).empty());
    m_suspects.on_attempt_over("a");
    EXPECT_TRUE(m_suspects.can_send("a", m_now));
}

TEST_F(CrashSuspectsTest, ASuspectOfTwoTerminationsRunsOnceInTheWholeFleet)
{
    end("1", { { "a" } });
    end("2", { { "a" } });
    Schema::SuspectRun run {};
    run.alone = true;
    run.digest = "a";
    run.server = "s3";
    m_suspects.on_peer_run("entry", run, m_now);
    EXPECT_FALSE(m_suspects.can_send("a", m_now));
    EXPECT_EQ(m_suspects.servers_with_suspects(CrashSuspects::RunFilter::AloneRuns, m_now), std::set<std::string> { "s3" });
    run.is_over = true;
    m_suspects.on_peer_run("entry", run, m_now);
    EXPECT_TRUE(m_suspects.can_send("a", m_now));
    run.is_over = false;
    m_suspects.on_peer_run("entry", run, m_now);
    m_suspects.on_peer_gone("entry");
    EXPECT_TRUE(m_suspects.can_send("a", m_now));
    EXPECT_EQ(m_suspects.on_sent("a", "s4", m_now), CrashRestriction::Alone);
    EXPECT_EQ(m_suspects.servers_with_suspects(CrashSuspects::RunFilter::AloneRuns, m_now), std::set<std::string> { "s4" });
}

TEST_F(CrashSuspectsTest, SingleTerminationsExpireSoonAndTheRestWithinADay)
{
    end("1", { { "a" } });
    blame("b");
    m_now += std::chrono::minutes(11);
    m_suspects.remove_expired(m_now);
    EXPECT_EQ(m_suspects.find("a"), nullptr);
    EXPECT_NE(m_suspects.find("b"), nullptr);
    m_now += 25 * hour;
    m_suspects.remove_expired(m_now);
    EXPECT_TRUE(m_suspects.is_empty());
}

TEST_F(CrashSuspectsTest, BlamedRequestsAreKeptWhenSuspectsAreEvicted)
{
    blame("blamed");
    for (int i = 0; i < 10000; ++i)
        end("x" + std::to_string(i), { { "suspect " + std::to_string(i) } });
    EXPECT_LE(m_suspects.count(), 4096u);
    EXPECT_EQ(standing("blamed"), CrashStanding::Blamed);
    EXPECT_EQ(standing("suspect 9999"), CrashStanding::Suspected);
}

TEST_F(CrashSuspectsTest, AnAnnouncedBlameExpiresWhenTheOriginalDoes)
{
    blame("a");
    m_now += std::chrono::minutes(50);
    CrashSuspects other;
    Core::Time const other_now { 5'000'000'000 };
    EXPECT_EQ(other.merge(m_suspects.to_announce("a", m_now), other_now), std::vector<std::string> { "a" });
    EXPECT_EQ(other.standing("a", other_now), CrashStanding::Blamed);
    EXPECT_EQ(other.standing("a", other_now + std::chrono::minutes(11)), CrashStanding::RunsAlone);
    EXPECT_TRUE(other.merge(m_suspects.to_announce("a", m_now), other_now).empty());
}

TEST(RequestDigest, PartsAreDistinguished)
{
    RequestContent const content { "POST", "host", "/path?query", "customer", "body" };
    auto const digest = request_digest(content);
    EXPECT_EQ(digest, request_digest(content));
    EXPECT_EQ(digest.size(), 32u);
    for (auto const& other : { RequestContent { "PUT", "host", "/path?query", "customer", "body" }, RequestContent { "POST", "hosts", "/path?query", "customer", "body" },
             RequestContent { "POST", "host", "/path", "customer", "body" }, RequestContent { "POST", "host", "/path?query", "custome", "rbody" },
             RequestContent { "POST", "host", "/path?query", "customer", "" } })
        EXPECT_NE(digest, request_digest(other));
}

// Two entries that announce every termination to each other blame the same requests, whichever entry detected it.
RC_GTEST_PROP(CrashSuspectsProperty, EntriesThatReceiveAllTerminationsBlameTheSameRequests, ())
{
    CrashSuspects first;
    CrashSuspects second;
    Core::Time now { 1000 };
    auto const ends = *rc::gen::inRange(1, 40);
    for (int i = 0; i < ends; ++i) {
        auto& detector = *rc::gen::arbitrary<bool>() ? first : second;
        auto& receiver = &detector == &first ? second : first;
        CrashSuspects::Run const run { std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 6))), *rc::gen::arbitrary<bool>() };
        detector.on_server_terminated(std::to_string(*rc::gen::inRange(0, 12)), { run }, now);
        receiver.merge(detector.to_announce(run.digest, now), now);
        now += Core::Duration(10);
        for (char digest = 'a'; digest < 'g'; ++digest) {
            std::string const name(1, digest);
            bool const is_blamed = first.standing(name, now) == CrashStanding::Blamed;
            RC_ASSERT(is_blamed == (second.standing(name, now) == CrashStanding::Blamed));
        }
    }
}

namespace {

/// Simulates, in steps of 20 ms, engines with harmless streams, and callers that keep retrying a stream that crashes its engine.
class Fleet {
public:
    Fleet(int engines, int guilty, uint64_t seed)
        : m_engines(static_cast<size_t>(engines))
        , m_guilty(guilty)
        , m_random(seed)
    {
    }

    void step()
    {
        m_now += Core::Duration(20);
        for (size_t i = 0; i < m_engines.size(); ++i)
            run(i);
        for (int i = 0; i < m_guilty; ++i) {
            auto const digest = "guilty " + std::to_string(i);
            if (!m_in_flight.contains(digest) && m_now >= m_retries_at[digest])
                request({ .digest = digest, .left = 4 });
        }
        for (int i = 0; i < 4; ++i)
            request({ .digest = "harmless " + std::to_string(m_count++), .left = 60 });
    }

    int terminations_caused_by(int guilty) const { return m_terminations.contains(guilty) ? m_terminations.at(guilty) : 0; }
    /// Number of harmless streams that were ever blamed; harmless_refused() counts those that still are.
    int harmless_blamed() const { return m_harmless_blamed; }
    int harmless_refused() const
    {
        auto const all = m_suspects.all(m_now);
        return static_cast<int>(std::count_if(all.begin(), all.end(), [&](auto const& suspect) { return suspect.digest.starts_with("harmless") && m_suspects.standing(suspect.digest, m_now) == CrashStanding::Blamed; }));
    }

private:
    struct Stream {
        std::string digest;
        int left { 0 };
        CrashRestriction sent { CrashRestriction::Free };
        bool is_guilty() const { return digest.starts_with("guilty"); }
    };

    struct Engine {
        std::vector<Stream> streams;
        int down_for { 0 };
        int start { 0 };
    };

    void run(size_t number)
    {
        auto& engine = m_engines[number];
        if (engine.down_for > 0) {
            engine.down_for -= 1;
            return;
        }
        for (auto& stream : engine.streams)
            stream.left -= 1;
        auto const crashing_stream = std::find_if(engine.streams.begin(), engine.streams.end(), [](auto const& stream) { return stream.is_guilty() && stream.left <= 0; });
        if (crashing_stream != engine.streams.end()) {
            m_terminations[std::stoi(crashing_stream->digest.substr(7))] += 1;
            end(number);
            return;
        }
        for (auto const& stream : engine.streams) {
            if (stream.left <= 0)
                on_attempt_ended(stream, true);
        }
        std::erase_if(engine.streams, [](auto const& stream) { return stream.left <= 0; });
    }

    void request(Stream const& stream)
    {
        if (send(stream))
            m_in_flight.insert(stream.digest);
        else
            on_refused(stream);
    }

    /// The caller retries 100 to 800 ms later.
    void on_refused(Stream const& stream)
    {
        m_in_flight.erase(stream.digest);
        m_retries_at[stream.digest] = m_now + Core::Duration(100 + m_random() % 700);
    }

    void on_attempt_ended(Stream const& stream, bool ran_to_end)
    {
        if (stream.sent != CrashRestriction::Free)
            m_suspects.on_attempt_over(stream.digest);
        if (ran_to_end)
            m_suspects.clear(stream.digest);
    }

    void end(size_t number)
    {
        auto& engine = m_engines[number];
        auto const streams = std::exchange(engine.streams, {});
        engine.down_for = 150;
        std::vector<CrashSuspects::Run> runs;
        runs.reserve(streams.size());
        for (auto const& stream : streams)
            runs.push_back({ stream.digest, stream.sent == CrashRestriction::Alone });
        for (auto const& digest : m_suspects.on_server_terminated(std::to_string(number) + "@" + std::to_string(engine.start++), runs, m_now))
            m_harmless_blamed += digest.starts_with("harmless") ? 1 : 0;
        for (auto const& stream : streams)
            on_attempt_ended(stream, false);
        for (auto stream : streams) {
            // A stream resumes on another engine, for its remaining steps.
            stream.left = stream.is_guilty() ? 4 : std::max(stream.left, 2);
            if (!send(stream))
                on_refused(stream);
        }
    }

    bool send(Stream stream)
    {
        if (!m_suspects.can_send(stream.digest, m_now))
            return false;
        auto const standing = m_suspects.standing(stream.digest, m_now);
        auto const among = standing == CrashStanding::RunsAlone ? CrashSuspects::RunFilter::AllRuns : CrashSuspects::RunFilter::AloneRuns;
        auto const closed = m_suspects.servers_with_suspects(among, m_now);
        bool const is_suspect = standing != CrashStanding::Clear;
        std::vector<size_t> open;
        for (size_t i = 0; i < m_engines.size(); ++i) {
            if (m_engines[i].down_for == 0 && !(is_suspect && closed.contains(std::to_string(i))))
                open.push_back(i);
        }
        if (open.empty())
            return false;
        auto const chosen = open[m_random() % open.size()];
        stream.sent = m_suspects.on_sent(stream.digest, std::to_string(chosen), m_now);
        m_engines[chosen].streams.push_back(stream);
        return true;
    }

    std::vector<Engine> m_engines;
    int m_guilty;
    std::mt19937_64 m_random;
    CrashSuspects m_suspects;
    Core::Time m_now { 1000 };
    int m_count { 0 };
    std::set<std::string> m_in_flight;
    std::map<std::string, Core::Time> m_retries_at;
    std::map<int, int> m_terminations;
    int m_harmless_blamed { 0 };
};

}

// The worst required case, and its limits on terminated engines (5 for one crashing request, 12 for several): several crashing requests
// at once, on engines that each run many other requests.
RC_GTEST_PROP(CrashSuspectsProperty, CrashingRequestsAreStoppedWithinTheLimitAndNoHarmlessOneStaysBlamed, ())
{
    auto const guilty = *rc::gen::inRange(1, 4);
    Fleet fleet(*rc::gen::inRange(8, 20), guilty, *rc::gen::arbitrary<uint64_t>());
    for (int i = 0; i < 1000; ++i)
        fleet.step();
    int ends = 0;
    for (int i = 0; i < guilty; ++i)
        ends += fleet.terminations_caused_by(i);
    RC_ASSERT(ends <= (guilty == 1 ? 5 : 12));
    RC_ASSERT(fleet.harmless_refused() == 0);
}
