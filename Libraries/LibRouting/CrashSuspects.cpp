// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/CrashSuspects.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Routing {

// The rules of the users' platform allow three terminated servers before a request must be refused everywhere.
static constexpr size_t terminations_to_run_alone = 2;
static constexpr size_t terminations_to_blame = 3;
// Further terminations add no information about one request.
static constexpr size_t max_recorded_terminations = 8;
// A suspect takes some 300 bytes.
static constexpr size_t max_suspects = 4096;
static constexpr size_t max_announced_suspects = 256;
static constexpr Core::Duration kept_for { std::chrono::hours(24) };
// A request with a single termination that has not been sent again most likely only ran beside the request that crashed the server.
static constexpr Core::Duration single_termination_kept_for { std::chrono::minutes(10) };
static constexpr Core::Duration first_blame_duration { std::chrono::hours(1) };
static constexpr int64_t blame_growth_factor = 4;
static constexpr int64_t max_growths = 2;
// Twice the longest time that a caller waits: if another entry has not announced the end of a run by then, it will not do so.
static constexpr Core::Duration max_peer_run { 60000 };

static Core::Duration blame_duration(int64_t times_blamed)
{
    auto const growths = std::clamp<int64_t>(times_blamed - 1, 0, max_growths);
    return first_blame_duration * static_cast<int64_t>(std::pow(blame_growth_factor, growths));
}

CrashStanding CrashSuspects::standing(std::string const& digest, Core::Time now) const
{
    auto const found = m_suspects.find(digest);
    if (found == m_suspects.end())
        return CrashStanding::Clear;
    auto const& suspect = found->second;
    if (suspect.blamed_at && now - *suspect.blamed_at < blame_duration(suspect.known.times_blamed))
        return CrashStanding::Blamed;
    if (suspect.unattributed.empty())
        return CrashStanding::Clear;
    return suspect.unattributed.size() >= terminations_to_run_alone ? CrashStanding::RunsAlone : CrashStanding::Suspected;
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
    evict_least_important();
    auto& created = m_suspects[digest];
    created.known.digest = digest;
    created.last_termination = now;
    return created;
}

void CrashSuspects::evict_least_important()
{
    if (m_suspects.size() < max_suspects)
        return;
    // Evicts the least important suspect: not blamed if possible, then with the fewest terminations, then the oldest.
    auto const least_important = std::min_element(m_suspects.begin(), m_suspects.end(), [](auto const& a, auto const& b) {
        auto const weight = [](Suspect const& each) { return std::tuple(each.blamed_at.has_value(), each.known.ends.size(), each.last_termination); };
        return weight(a.second) < weight(b.second);
    });
    m_suspects.erase(least_important);
    count_blamed();
}

/// Adds a termination to a suspect's record.
/// @return whether it is new: of another server incarnation, or the first report that the suspect ran alone there.
bool CrashSuspects::add_termination(Suspect& suspect, Schema::EndedRun const& end, Core::Time now)
{
    auto& ends = suspect.known.ends;
    auto const known = std::find_if(ends.begin(), ends.end(), [&](auto const& each) { return each.server == end.server; });
    if (known != ends.end()) {
        bool const is_new = end.alone && !known->alone;
        known->alone = known->alone || end.alone;
        return is_new;
    }
    suspect.last_termination = now;
    if (ends.size() < max_recorded_terminations) {
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
/// @return true if it is blamed now and was not before, since it was last cleared or released.
bool CrashSuspects::evaluate(std::string const& digest, Core::Time now)
{
    auto const found = m_suspects.find(digest);
    if (found == m_suspects.end())
        return false;
    auto& suspect = found->second;
    if (standing(digest, now) == CrashStanding::Blamed) {
        reevaluate_others();
        return false;
    }
    update_unattributed(suspect);
    auto const& ends = suspect.unattributed;
    bool const was_alone = std::any_of(ends.begin(), ends.end(), [](auto const& end) { return end.alone; });
    if (ends.size() < terminations_to_blame || !was_alone)
        return false;
    bool const is_first = !suspect.blamed_at;
    blame(suspect, now, suspect.known.times_blamed + 1);
    return is_first;
}

void CrashSuspects::blame(Suspect& suspect, Core::Time since, int64_t times)
{
    suspect.blamed_at = since;
    suspect.known.times_blamed = times;
    reevaluate_others();
}

void CrashSuspects::reevaluate_others()
{
    release_wrongly_blamed();
    update_all_unattributed();
}

std::vector<std::string> CrashSuspects::on_server_terminated(std::string const& incarnation, std::vector<Run> const& runs, Core::Time now)
{
    remove_expired(now);
    std::vector<std::string> suspected;
    for (auto const& run : runs) {
        if (add_termination(suspect(run.digest, now), { .alone = run.was_alone, .server = incarnation }, now))
            suspected.push_back(run.digest);
    }
    std::vector<std::string> blamed;
    for (auto const& digest : suspected) {
        if (evaluate(digest, now))
            blamed.push_back(digest);
    }
    return blamed;
}

std::vector<std::string> CrashSuspects::merge(Schema::CrashSuspect const& announced, Core::Time now)
{
    auto& suspect = this->suspect(announced.digest, now);
    bool is_new = false;
    for (auto const& end : announced.ends)
        is_new = add_termination(suspect, end, now) || is_new;
    bool const was_blamed = suspect.blamed_at.has_value();
    if (!announced.blamed_ms_ago || (was_blamed && is_new))
        return is_new && evaluate(announced.digest, now) ? std::vector { announced.digest } : std::vector<std::string> {};
    auto const since = now - std::max(Core::Duration(0), Core::Duration(*announced.blamed_ms_ago));
    blame(suspect, std::max(suspect.blamed_at.value_or(since), since), std::max<int64_t>({ 1, suspect.known.times_blamed, announced.times_blamed }));
    return was_blamed ? std::vector<std::string> {} : std::vector { announced.digest };
}

// A termination that is attributed to a blamed request is no evidence against the requests that ran beside it.

bool CrashSuspects::is_attributed_to_others(Suspect const& suspect, Schema::EndedRun const& end) const
{
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&](auto const& entry) {
        auto const& other = entry.second;
        if (!other.blamed_at || &other == &suspect)
            return false;
        return std::any_of(other.known.ends.begin(), other.known.ends.end(), [&](auto const& each) { return each.server == end.server; });
    });
}

void CrashSuspects::update_unattributed(Suspect& suspect) const
{
    suspect.unattributed = suspect.known.ends;
    if (m_blamed > 0)
        std::erase_if(suspect.unattributed, [&](auto const& end) { return is_attributed_to_others(suspect, end); });
}

void CrashSuspects::update_all_unattributed()
{
    for (auto& [digest, suspect] : m_suspects)
        update_unattributed(suspect);
}

/// Releases blamed requests whose terminations are all in the records of other blamed requests: they only ran beside those.
void CrashSuspects::release_wrongly_blamed()
{
    count_blamed();
    for (auto& entry : m_suspects) {
        auto& suspect = entry.second;
        auto const& ends = suspect.known.ends;
        bool const has_no_own_termination = !ends.empty() && std::all_of(ends.begin(), ends.end(), [&](auto const& end) { return is_attributed_to_others(suspect, end); });
        if (suspect.blamed_at && has_no_own_termination) {
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
        update_all_unattributed();
    }
    return true;
}

void CrashSuspects::count_blamed()
{
    m_blamed = static_cast<size_t>(std::count_if(m_suspects.begin(), m_suspects.end(), [](auto const& entry) { return entry.second.blamed_at.has_value(); }));
}

// Runs.

bool CrashSuspects::can_send(std::string const& digest, Core::Time now) const
{
    auto const standing = this->standing(digest, now);
    if (standing == CrashStanding::Clear)
        return true;
    if (standing == CrashStanding::Blamed || m_local_runs.contains(digest))
        return false;
    bool const runs_elsewhere = std::any_of(m_peer_runs.begin(), m_peer_runs.end(), [&](auto const& entry) {
        return entry.first.second == digest && now - entry.second.since < max_peer_run;
    });
    return standing == CrashStanding::Suspected || !runs_elsewhere;
}

CrashRestriction CrashSuspects::on_sent(std::string const& digest, std::string const& server, Core::Time now)
{
    auto const standing = this->standing(digest, now);
    if (standing == CrashStanding::Clear)
        return CrashRestriction::Free;
    bool const is_alone = standing == CrashStanding::RunsAlone;
    m_local_runs[digest] = { server, is_alone, now };
    return is_alone ? CrashRestriction::Alone : CrashRestriction::Suspect;
}

void CrashSuspects::on_peer_run(std::string const& entry, Schema::SuspectRun const& run, Core::Time now)
{
    std::pair const key { entry, run.digest };
    if (run.is_over)
        m_peer_runs.erase(key);
    else
        m_peer_runs[key] = { run.server, run.alone, now };
}

void CrashSuspects::on_peer_gone(std::string const& entry)
{
    std::erase_if(m_peer_runs, [&](auto const& run) { return run.first.first == entry; });
}

std::set<std::string> CrashSuspects::servers_with_suspects(RunFilter filter, Core::Time now) const
{
    std::set<std::string> servers;
    auto const add = [&](SuspectRun const& run) {
        if (run.is_alone || filter == RunFilter::AllRuns)
            servers.insert(run.server);
    };
    for (auto const& [digest, run] : m_local_runs)
        add(run);
    for (auto const& [key, run] : m_peer_runs) {
        if (now - run.since < max_peer_run)
            add(run);
    }
    return servers;
}

// Announcements.

Schema::CrashSuspect CrashSuspects::to_announce(std::string const& digest, Core::Time now) const
{
    auto const found = m_suspects.find(digest);
    if (found == m_suspects.end()) {
        Schema::CrashSuspect none {};
        none.digest = digest;
        return none;
    }
    auto announced = found->second.known;
    if (found->second.blamed_at)
        announced.blamed_ms_ago = (now - *found->second.blamed_at).count();
    return announced;
}

std::vector<Schema::CrashSuspect> CrashSuspects::suspects_to_announce(Core::Time now) const
{
    auto announced = all(now);
    auto const weight = [](Schema::CrashSuspect const& suspect) { return std::pair(suspect.blamed_ms_ago.has_value(), suspect.ends.size()); };
    std::sort(announced.begin(), announced.end(), [&](auto const& a, auto const& b) { return weight(a) > weight(b); });
    announced.resize(std::min(announced.size(), max_announced_suspects));
    return announced;
}

std::vector<Schema::SuspectRun> CrashSuspects::local_runs() const
{
    std::vector<Schema::SuspectRun> runs;
    for (auto const& [digest, run] : m_local_runs)
        runs.push_back({ .alone = run.is_alone, .digest = digest, .is_over = false, .server = run.server });
    return runs;
}

std::vector<Schema::CrashSuspect> CrashSuspects::all(Core::Time now) const
{
    std::vector<Schema::CrashSuspect> suspects;
    for (auto const& [digest, suspect] : m_suspects)
        suspects.push_back(to_announce(digest, now));
    return suspects;
}

void CrashSuspects::remove_expired(Core::Time now)
{
    std::erase_if(m_suspects, [&](auto const& entry) {
        auto const& suspect = entry.second;
        bool const is_single = suspect.known.ends.size() < terminations_to_run_alone && !suspect.blamed_at;
        return now - suspect.last_termination >= (is_single ? single_termination_kept_for : kept_for);
    });
    std::erase_if(m_peer_runs, [&](auto const& entry) { return now - entry.second.since >= max_peer_run; });
    count_blamed();
}

}
