// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/CrashSuspects.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Routing {

// The rules of the users' platform allow three terminated servers before a request must be refused everywhere.
static constexpr size_t ends_to_run_alone = 2;
static constexpr size_t ends_to_blame = 3;
// Further terminations add no information about one request.
static constexpr size_t most_ends = 8;
// A suspect takes some 300 bytes.
static constexpr size_t most_suspects = 4096;
static constexpr size_t most_told = 256;
static constexpr Core::Duration remembered_for { std::chrono::hours(24) };
// A request with a single termination that has not been sent again most likely only ran beside the request that crashed the server.
static constexpr Core::Duration single_end_remembered_for { std::chrono::minutes(10) };
static constexpr Core::Duration first_blame { std::chrono::hours(1) };
static constexpr int64_t blame_growth = 4;
static constexpr int64_t most_growths = 2;
// Twice the longest time that a caller waits: if another entry has not announced the end of a run by then, it will not do so.
static constexpr Core::Duration longest_peer_run { 60000 };

static Core::Duration blame_lasts(int64_t times_blamed)
{
    auto const growths = std::clamp<int64_t>(times_blamed - 1, 0, most_growths);
    return first_blame * static_cast<int64_t>(std::pow(blame_growth, growths));
}

CrashStanding CrashSuspects::standing(std::string const& digest, Core::Time now) const
{
    auto const found = m_suspects.find(digest);
    if (found == m_suspects.end())
        return CrashStanding::Clear;
    auto const& suspect = found->second;
    if (suspect.blamed_at && now - *suspect.blamed_at < blame_lasts(suspect.known.times_blamed))
        return CrashStanding::Blamed;
    if (suspect.unexplained.empty())
        return CrashStanding::Clear;
    return suspect.unexplained.size() >= ends_to_run_alone ? CrashStanding::RunsAlone : CrashStanding::Suspected;
}

Schema::CrashSuspect const* CrashSuspects::find(std::string const& digest) const
{
    auto const found = m_suspects.find(digest);
    return found == m_suspects.end() ? nullptr : &found->second.known;
}

CrashSuspects::Suspect& CrashSuspects::suspect(std::string const& digest, Core::Time now)
{
    auto const found = m_suspects.find(digest);
    if (found != m_suspects.end())
        return found->second;
    make_room();
    auto& made = m_suspects[digest];
    made.known.digest = digest;
    made.last_end = now;
    return made;
}

void CrashSuspects::make_room()
{
    if (m_suspects.size() < most_suspects)
        return;
    // Evicts the least important suspect: not blamed if possible, then with the fewest terminations, then the oldest.
    auto const least = std::min_element(m_suspects.begin(), m_suspects.end(), [](auto const& a, auto const& b) {
        auto const weight = [](Suspect const& each) { return std::tuple(each.blamed_at.has_value(), each.known.ends.size(), each.last_end); };
        return weight(a.second) < weight(b.second);
    });
    m_suspects.erase(least);
    count_blamed();
}

/// Adds a termination to a suspect's record.
/// @return whether it is new: of another server incarnation, or the first report that the suspect ran alone there.
bool CrashSuspects::take_end(Suspect& suspect, Schema::EndedRun const& end, Core::Time now)
{
    auto& ends = suspect.known.ends;
    auto const known = std::find_if(ends.begin(), ends.end(), [&](auto const& each) { return each.server == end.server; });
    if (known != ends.end()) {
        bool const is_news = end.alone && !known->alone;
        known->alone = known->alone || end.alone;
        return is_news;
    }
    suspect.last_end = now;
    if (ends.size() < most_ends) {
        ends.push_back(end);
        return true;
    }
    // Copies that ran at the same time may have filled the record, and only a termination while it ran alone can lead to blame.
    auto const replaced = std::find_if(ends.begin(), ends.end(), [](auto const& each) { return !each.alone; });
    if (end.alone && replaced != ends.end())
        *replaced = end;
    return true;
}

/// Blames the request if its record requires it.
/// @return true if it is blamed now and never was since it was last cleared.
bool CrashSuspects::judge(std::string const& digest, Core::Time now)
{
    auto const found = m_suspects.find(digest);
    if (found == m_suspects.end())
        return false;
    auto& suspect = found->second;
    if (standing(digest, now) == CrashStanding::Blamed) {
        weigh_others();
        return false;
    }
    explain(suspect);
    auto const& ends = suspect.unexplained;
    bool const was_alone = std::any_of(ends.begin(), ends.end(), [](auto const& end) { return end.alone; });
    if (ends.size() < ends_to_blame || !was_alone)
        return false;
    bool const is_first = !suspect.blamed_at;
    blame(suspect, now, suspect.known.times_blamed + 1);
    return is_first;
}

void CrashSuspects::blame(Suspect& suspect, Core::Time since, int64_t times)
{
    suspect.blamed_at = since;
    suspect.known.times_blamed = times;
    weigh_others();
}

void CrashSuspects::weigh_others()
{
    release_explained();
    explain_all();
}

std::vector<std::string> CrashSuspects::on_server_ended(std::string const& incarnation, std::vector<Run> const& runs, Core::Time now)
{
    forget_old(now);
    std::vector<std::string> suspected;
    for (auto const& run : runs) {
        if (take_end(suspect(run.digest, now), { .alone = run.was_alone, .server = incarnation }, now))
            suspected.push_back(run.digest);
    }
    std::vector<std::string> blamed;
    for (auto const& digest : suspected) {
        if (judge(digest, now))
            blamed.push_back(digest);
    }
    return blamed;
}

std::vector<std::string> CrashSuspects::merge(Schema::CrashSuspect const& told, Core::Time now)
{
    auto& suspect = this->suspect(told.digest, now);
    bool is_news = false;
    for (auto const& end : told.ends)
        is_news = take_end(suspect, end, now) || is_news;
    bool const was_blamed = suspect.blamed_at.has_value();
    if (!told.blamed_ms_ago || (was_blamed && is_news))
        return is_news && judge(told.digest, now) ? std::vector { told.digest } : std::vector<std::string> {};
    auto const since = now - std::max(Core::Duration(0), Core::Duration(*told.blamed_ms_ago));
    blame(suspect, std::max(suspect.blamed_at.value_or(since), since), std::max<int64_t>({ 1, suspect.known.times_blamed, told.times_blamed }));
    return was_blamed ? std::vector<std::string> {} : std::vector { told.digest };
}

// A termination that is attributed to a blamed request is no evidence against the requests that ran beside it.

bool CrashSuspects::is_explained_by_others(Suspect const& suspect, Schema::EndedRun const& end) const
{
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&](auto const& entry) {
        auto const& other = entry.second;
        if (!other.blamed_at || &other == &suspect)
            return false;
        return std::any_of(other.known.ends.begin(), other.known.ends.end(), [&](auto const& each) { return each.server == end.server; });
    });
}

void CrashSuspects::explain(Suspect& suspect) const
{
    suspect.unexplained = suspect.known.ends;
    if (m_blamed > 0)
        std::erase_if(suspect.unexplained, [&](auto const& end) { return is_explained_by_others(suspect, end); });
}

void CrashSuspects::explain_all()
{
    for (auto& [digest, suspect] : m_suspects)
        explain(suspect);
}

/// Releases blamed requests whose terminations are all in the records of other blamed requests: they only ran beside those.
void CrashSuspects::release_explained()
{
    count_blamed();
    for (auto& entry : m_suspects) {
        auto& suspect = entry.second;
        auto const& ends = suspect.known.ends;
        bool const is_beside_others = !ends.empty() && std::all_of(ends.begin(), ends.end(), [&](auto const& end) { return is_explained_by_others(suspect, end); });
        if (suspect.blamed_at && is_beside_others) {
            suspect.blamed_at.reset();
            count_blamed();
        }
    }
}

bool CrashSuspects::clear(std::string const& digest)
{
    auto const cleared = m_suspects.extract(digest);
    if (!cleared)
        return false;
    if (cleared.mapped().blamed_at) {
        count_blamed();
        explain_all();
    }
    return true;
}

void CrashSuspects::count_blamed()
{
    m_blamed = static_cast<size_t>(std::count_if(m_suspects.begin(), m_suspects.end(), [](auto const& entry) { return entry.second.blamed_at.has_value(); }));
}

// Runs.

bool CrashSuspects::may_send(std::string const& digest, Core::Time now) const
{
    auto const standing = this->standing(digest, now);
    if (standing == CrashStanding::Clear)
        return true;
    if (standing == CrashStanding::Blamed || m_own.contains(digest))
        return false;
    bool const runs_elsewhere = std::any_of(m_peers.begin(), m_peers.end(), [&](auto const& entry) {
        return entry.first.second == digest && now - entry.second.since < longest_peer_run;
    });
    return standing == CrashStanding::Suspected || !runs_elsewhere;
}

CrashSend CrashSuspects::on_sent(std::string const& digest, std::string const& server, Core::Time now)
{
    auto const standing = this->standing(digest, now);
    if (standing == CrashStanding::Clear)
        return CrashSend::Free;
    bool const is_alone = standing == CrashStanding::RunsAlone;
    m_own[digest] = { server, is_alone, now };
    return is_alone ? CrashSend::Alone : CrashSend::Suspect;
}

void CrashSuspects::on_peer_run(std::string const& entry, Schema::SuspectRun const& run, Core::Time now)
{
    std::pair const key { entry, run.digest };
    if (run.is_over)
        m_peers.erase(key);
    else
        m_peers[key] = { run.server, run.alone, now };
}

void CrashSuspects::on_peer_gone(std::string const& entry)
{
    std::erase_if(m_peers, [&](auto const& run) { return run.first.first == entry; });
}

std::set<std::string> CrashSuspects::servers_with_suspects(Among among, Core::Time now) const
{
    std::set<std::string> servers;
    auto const add = [&](SuspectRun const& run) {
        if (run.is_alone || among == Among::AllRuns)
            servers.insert(run.server);
    };
    for (auto const& [digest, run] : m_own)
        add(run);
    for (auto const& [key, run] : m_peers) {
        if (now - run.since < longest_peer_run)
            add(run);
    }
    return servers;
}

// Announcements.

Schema::CrashSuspect CrashSuspects::to_tell(std::string const& digest, Core::Time now) const
{
    auto const found = m_suspects.find(digest);
    if (found == m_suspects.end()) {
        Schema::CrashSuspect none {};
        none.digest = digest;
        return none;
    }
    auto told = found->second.known;
    if (found->second.blamed_at)
        told.blamed_ms_ago = (now - *found->second.blamed_at).count();
    return told;
}

std::vector<Schema::CrashSuspect> CrashSuspects::worth_telling(Core::Time now) const
{
    auto told = all(now);
    auto const weight = [](Schema::CrashSuspect const& suspect) { return std::pair(suspect.blamed_ms_ago.has_value(), suspect.ends.size()); };
    std::sort(told.begin(), told.end(), [&](auto const& a, auto const& b) { return weight(a) > weight(b); });
    told.resize(std::min(told.size(), most_told));
    return told;
}

std::vector<Schema::SuspectRun> CrashSuspects::own_runs() const
{
    std::vector<Schema::SuspectRun> runs;
    for (auto const& [digest, run] : m_own)
        runs.push_back({ .alone = run.is_alone, .digest = digest, .is_over = false, .server = run.server });
    return runs;
}

std::vector<Schema::CrashSuspect> CrashSuspects::all(Core::Time now) const
{
    std::vector<Schema::CrashSuspect> suspects;
    for (auto const& [digest, suspect] : m_suspects)
        suspects.push_back(to_tell(digest, now));
    return suspects;
}

void CrashSuspects::forget_old(Core::Time now)
{
    std::erase_if(m_suspects, [&](auto const& entry) {
        auto const& suspect = entry.second;
        bool const is_single = suspect.known.ends.size() < ends_to_run_alone && !suspect.blamed_at;
        return now - suspect.last_end >= (is_single ? single_end_remembered_for : remembered_for);
    });
    std::erase_if(m_peers, [&](auto const& entry) { return now - entry.second.since >= longest_peer_run; });
    count_blamed();
}

}
