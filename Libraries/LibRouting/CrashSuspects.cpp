// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/CrashSuspects.h>

#include <LibRouting/PromptParts.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace Routing {

// The rules of the users' platform allow three terminated servers before a request must be refused everywhere.
static constexpr size_t terminations_to_run_alone = 2;
static constexpr size_t terminations_to_blame = 3;
// A request that crashes its server can run beside a sound one that runs alone, and a part that is blamed by mistake stops many requests.
static constexpr std::ptrdiff_t alone_terminations_to_blame_part = 2;
// Further terminations add no information about one request.
static constexpr size_t max_recorded_terminations = 32;
// A suspect takes some 300 bytes.
static constexpr size_t max_suspects = 4096;
static constexpr size_t max_announced_suspects = 256;
static constexpr Core::Duration kept_for { std::chrono::hours(24) };
// A request with a single termination that has not been sent again most likely only ran beside the request that crashed the server.
static constexpr Core::Duration single_termination_kept_for { std::chrono::minutes(10) };
static constexpr Core::Duration first_blame_duration { std::chrono::hours(1) };
// The first blames of a part of prompts: one that is blamed by mistake stops many requests, so it is tried again soon.
static constexpr std::array<Core::Duration, 2> first_blame_durations_of_part { std::chrono::seconds(10), std::chrono::minutes(1) };
static constexpr int64_t blame_growth_factor = 4;
static constexpr int64_t max_growths = 2;
// Twice the longest time that a caller waits: if another entry has not announced the end of a run by then, it will not do so.
static constexpr Core::Duration max_peer_run { 60000 };

static Core::Duration blame_duration(std::string const& key, int64_t times_blamed)
{
    if (is_prompt_part_key(key)) {
        auto const index = static_cast<size_t>(std::max<int64_t>(times_blamed - 1, 0));
        if (index < first_blame_durations_of_part.size())
            return first_blame_durations_of_part[index];
        times_blamed -= static_cast<int64_t>(first_blame_durations_of_part.size());
    }
    auto const growths = std::clamp<int64_t>(times_blamed - 1, 0, max_growths);
    return first_blame_duration * static_cast<int64_t>(std::pow(blame_growth_factor, growths));
}

static std::ptrdiff_t alone_terminations_to_blame(std::string const& key)
{
    return is_prompt_part_key(key) ? alone_terminations_to_blame_part : 1;
}

CrashStanding CrashSuspects::standing(std::string const& digest, Core::Time now) const
{
    auto const found = m_suspects.find(digest);
    if (found == m_suspects.end())
        return CrashStanding::Clear;
    auto const& suspect = found->second;
    if (suspect.blamed_at && now - *suspect.blamed_at < blame_duration(digest, suspect.known.times_blamed))
        return CrashStanding::Blamed;
    if (suspect.unattributed.size() >= terminations_to_run_alone)
        return CrashStanding::RunsAlone;
    return suspect.unattributed.empty() || is_prompt_part_key(digest) ? CrashStanding::Clear : CrashStanding::Suspected;
}

CrashStanding CrashSuspects::standing(std::vector<std::string> const& keys, Core::Time now) const
{
    auto strictest = CrashStanding::Clear;
    for (auto const& key : keys)
        strictest = std::max(strictest, standing(key, now));
    if (strictest == CrashStanding::RunsAlone && has_blamed_group(keys))
        return CrashStanding::Blamed;
    return strictest;
}

/// Whether the keys include all of several suspects that ran alone together when a server terminated.
bool CrashSuspects::has_blamed_group(std::vector<std::string> const& keys) const
{
    std::set<std::string> const names(keys.begin(), keys.end());
    auto const is_included = [&](Schema::EndedRun const& end) {
        auto const group = m_alone_groups.find(end.server);
        return end.alone && group != m_alone_groups.end() && group->second.size() > 1
            && std::includes(names.begin(), names.end(), group->second.begin(), group->second.end());
    };
    return std::any_of(keys.begin(), keys.end(), [&](auto const& key) {
        auto const found = m_suspects.find(key);
        if (found == m_suspects.end())
            return false;
        auto const& ends = found->second.unattributed;
        return ends.size() >= terminations_to_blame && std::count_if(ends.begin(), ends.end(), is_included) >= alone_terminations_to_blame(key);
    });
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
    remove_from_groups(least_important->second.known);
    m_suspects.erase(least_important);
    count_blamed();
}

void CrashSuspects::add_to_group(std::string const& digest, Schema::EndedRun const& end)
{
    if (end.alone)
        m_alone_groups[end.server].insert(digest);
}

void CrashSuspects::remove_from_groups(Schema::CrashSuspect const& suspect)
{
    for (auto const& end : suspect.ends) {
        auto const group = m_alone_groups.find(end.server);
        if (group == m_alone_groups.end())
            continue;
        group->second.erase(suspect.digest);
        if (group->second.empty())
            m_alone_groups.erase(group);
    }
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
        add_to_group(suspect.known.digest, *known);
        return is_new;
    }
    suspect.last_termination = now;
    if (ends.size() < max_recorded_terminations) {
        ends.push_back(end);
        add_to_group(suspect.known.digest, end);
        return true;
    }
    // Copies that ran at the same time may have filled the record, and only a termination while it ran alone can lead to blame.
    auto const replaced = std::find_if(ends.begin(), ends.end(), [](auto const& each) { return !each.alone; });
    if (end.alone && replaced != ends.end()) {
        *replaced = end;
        add_to_group(suspect.known.digest, end);
    }
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
    if (suspect.unattributed.size() < terminations_to_blame || !is_sole_cause(suspect))
        return false;
    bool const is_first = !suspect.blamed_at;
    blame(suspect, now, suspect.known.times_blamed + 1);
    return is_first;
}

/// Whether enough of the servers terminated while they ran the suspect alone and no other that can still be the cause.
bool CrashSuspects::is_sole_cause(Suspect const& suspect) const
{
    auto const& digest = suspect.known.digest;
    auto const& ends = suspect.unattributed;
    auto const ran_by_itself = [&](Schema::EndedRun const& end) {
        auto const group = m_alone_groups.find(end.server);
        return end.alone && group != m_alone_groups.end() && group->second == std::set { digest };
    };
    // A part whose blame has expired may have run together with the one that is the cause.
    bool const is_renewed = is_prompt_part_key(digest) && suspect.blamed_at;
    if (is_renewed && !ran_by_itself(ends.back()))
        return false;
    return std::count_if(ends.begin(), ends.end(), ran_by_itself) >= alone_terminations_to_blame(digest);
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

std::vector<std::string> CrashSuspects::merge(std::vector<Schema::CrashSuspect> const& announced, Core::Time now)
{
    std::vector<std::string> blamed;
    // Evaluated once all are merged: each of several suspects that ran alone together would be taken for the only one.
    std::vector<std::string> changed;
    for (auto const& each : announced) {
        if (auto const key = merge_record(each, now, changed))
            blamed.push_back(*key);
    }
    for (auto const& key : changed) {
        if (evaluate(key, now))
            blamed.push_back(key);
    }
    return blamed;
}

/// Merges one announced record. Adds it to `changed` if it is to be evaluated.
/// @return its key if the announcement blames it and it was not blamed here.
std::optional<std::string> CrashSuspects::merge_record(Schema::CrashSuspect const& announced, Core::Time now, std::vector<std::string>& changed)
{
    auto& suspect = this->suspect(announced.digest, now);
    bool is_new = false;
    for (auto const& end : announced.ends)
        is_new = add_termination(suspect, end, now) || is_new;
    bool const was_blamed = suspect.blamed_at.has_value();
    if (!announced.blamed_ms_ago || (was_blamed && is_new)) {
        if (is_new)
            changed.push_back(announced.digest);
        return {};
    }
    auto const since = now - std::max(Core::Duration(0), Core::Duration(*announced.blamed_ms_ago));
    blame(suspect, std::max(suspect.blamed_at.value_or(since), since), std::max<int64_t>({ 1, suspect.known.times_blamed, announced.times_blamed }));
    return was_blamed ? std::nullopt : std::optional(announced.digest);
}

// A termination that is attributed to a blamed suspect is no evidence against those that ran beside it.

bool CrashSuspects::is_attributed_to_others(Suspect const& suspect, Schema::EndedRun const& end) const
{
    bool const is_part = is_prompt_part_key(suspect.known.digest);
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&](auto const& entry) {
        auto const& other = entry.second;
        if (!other.blamed_at || &other == &suspect)
            return false;
        // One request can be blamed for what a part of its prompt does, and the part then runs in others.
        if (is_part && !is_prompt_part_key(entry.first))
            return false;
        return std::any_of(other.known.ends.begin(), other.known.ends.end(), [&](auto const& each) { return each.server == end.server; });
    });
}

void CrashSuspects::update_unattributed(Suspect& suspect) const
{
    suspect.unattributed = suspect.known.ends;
    // A sound part that is blamed by mistake is in most prompts, and would hide the part that is the cause.
    if (m_blamed > 0 && !is_prompt_part_key(suspect.known.digest))
        std::erase_if(suspect.unattributed, [&](auto const& end) { return is_attributed_to_others(suspect, end); });
}

void CrashSuspects::update_all_unattributed()
{
    for (auto& [digest, suspect] : m_suspects)
        update_unattributed(suspect);
}

/// Releases blamed suspects whose terminations are all in the records of other blamed ones: they only ran beside those.
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
    remove_from_groups(cleared.mapped().known);
    if (cleared.mapped().blamed_at) {
        count_blamed();
        update_all_unattributed();
    }
    return true;
}

std::vector<std::string> CrashSuspects::blame_last_of_group(Core::Time now)
{
    std::vector<std::string> last;
    for (auto const& [server, group] : m_alone_groups) {
        if (group.size() == 1)
            last.push_back(*group.begin());
    }
    std::vector<std::string> blamed;
    for (auto const& key : last) {
        // An expired blame is renewed by a further termination only.
        auto const found = m_suspects.find(key);
        if (found != m_suspects.end() && !found->second.blamed_at && evaluate(key, now))
            blamed.push_back(key);
    }
    return blamed;
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
        bool const is_expired = now - suspect.last_termination >= (is_single ? single_termination_kept_for : kept_for);
        if (is_expired)
            remove_from_groups(suspect.known);
        return is_expired;
    });
    std::erase_if(m_peer_runs, [&](auto const& entry) { return now - entry.second.since >= max_peer_run; });
    count_blamed();
}

}
