// SPDX-License-Identifier: BSD-2-Clause
#include <LibDistribution/Transfer.h>

#include <algorithm>
#include <bit>

namespace Distribution {

// At the end a slow read is doubled once, and this part of the missing chunks and one more may cost bytes twice: a version
// is not read twice because a machine or a link is slow as a whole.
static constexpr size_t reads_per_chunk = 2;
static constexpr size_t missing_chunks_per_duplicate = 16;
// Where chunks come within milliseconds, twice the mean says nothing: a busy machine holds one read up for longer. A read
// is not slow before this part of the silence that would end it.
static constexpr int64_t slow_reads_per_stall = 8;

// An instance that stands in for others waits up to this often twice as long while the origin fails it.
static constexpr int64_t most_patience_doublings = 3;

/// How often its patience an instance of a rank waits before it does what those before it should have done: each time
/// twice as many may have begun, so that among hundreds of lost ones the first that is left acts after a few waits, and
/// seldom more than a few act at once.
static int64_t patience_steps(size_t rank)
{
    return static_cast<int64_t>(std::bit_width(rank));
}

Transfer::Transfer(Schema::VersionSpec const& version, std::string self, std::vector<std::string> targets, std::vector<int64_t> const& held, TransferSettings settings, uint64_t seed, Core::Time now)
    : m_ranks(version, std::move(self), std::move(targets), settings.seeders)
    , m_settings(settings)
    , m_random(seed)
    , m_faults(settings.longest_fault_wait)
    , m_last_useful(now)
{
    m_chunks.resize(version.chunks.size());
    for (auto& chunk : m_chunks)
        chunk.without_holder_since = now;
    for (auto number : held) {
        m_chunks[static_cast<size_t>(number)].is_held = true;
        m_held_count += 1;
    }
    m_duplicates_left = 1 + (m_chunks.size() - m_held_count) / missing_chunks_per_duplicate;
}

void Transfer::set_targets(std::vector<std::string> targets)
{
    m_ranks.set_targets(std::move(targets));
}

void Transfer::set_near(std::vector<std::string> const& near)
{
    m_ranks.set_near(near);
    for (auto& chunk : m_chunks)
        chunk.near_holders = 0;
    for (auto const& [id, peer] : m_peers) {
        for (auto chunk : peer.chunks)
            m_chunks[chunk].near_holders += m_ranks.is_near(id) ? 1 : 0;
    }
}

void Transfer::set_caches(std::vector<std::string> caches)
{
    m_ranks.set_caches(std::move(caches));
}

void Transfer::on_peer_chunks(std::string const& peer, std::vector<int64_t> const& chunks)
{
    auto& state = m_peers[peer];
    for (auto number : chunks) {
        auto const chunk = static_cast<size_t>(number);
        // A peer may name anything: what the version does not have is not believed.
        if (number < 0 || chunk >= m_chunks.size())
            continue;
        if (!state.chunks.insert(chunk).second)
            continue;
        if (m_chunks[chunk].holders == 0 && !m_chunks[chunk].is_held)
            join_stand_ins(peer);
        m_chunks[chunk].holders += 1;
        m_chunks[chunk].near_holders += m_ranks.is_near(peer) ? 1 : 0;
    }
}

/// The first holder of a chunk has most likely read it from the origin: where it stands in for others, so do those of its group.
void Transfer::join_stand_ins(std::string const& reader)
{
    if (m_ranks.stands_in_beside(reader))
        m_origin_steps_waited = std::max(m_origin_steps_waited, patience_steps(m_ranks.best_origin_rank()));
}

void Transfer::on_peer_lost(std::string const& peer)
{
    auto found = m_peers.find(peer);
    if (found == m_peers.end())
        return;
    for (auto chunk : found->second.chunks) {
        m_chunks[chunk].holders -= 1;
        m_chunks[chunk].near_holders -= m_ranks.is_near(peer) ? 1 : 0;
        if (m_chunks[chunk].holders == 0)
            m_chunks[chunk].without_holder_since = m_last_useful;
    }
    m_peers.erase(found);
    m_faults.forget(peer);
}

void Transfer::on_progress(uint64_t fetch, Core::Time now)
{
    auto found = m_running.find(fetch);
    if (found == m_running.end())
        return;
    found->second.last_progress = now;
    if (!found->second.first_bytes)
        found->second.first_bytes = now;
}

void Transfer::end_fetch(uint64_t id)
{
    auto found = m_running.find(id);
    m_chunks[found->second.chunk].fetches -= 1;
    auto peer = m_peers.find(found->second.source.peer);
    if (peer != m_peers.end() && peer->second.fetches > 0)
        peer->second.fetches -= 1;
    m_running.erase(found);
}

void Transfer::on_fetched(uint64_t fetch, Core::Time now)
{
    auto found = m_running.find(fetch);
    if (found == m_running.end())
        return;
    auto const running = found->second;
    auto const bytes_lasted = running.first_bytes ? std::optional(now - *running.first_bytes) : std::nullopt;
    m_times.on_fetched(now - running.started, bytes_lasted, m_running.size());
    m_last_useful = now;
    m_faults.on_fetched(running.source);
    if (running.source.is_origin())
        m_origin_failures = 0;
    end_fetch(fetch);
    auto& chunk = m_chunks[running.chunk];
    if (chunk.is_held)
        return;
    chunk.is_held = true;
    m_held_count += 1;
}

void Transfer::on_failed(uint64_t fetch, FetchFailure failure, Core::Time now)
{
    auto found = m_running.find(fetch);
    if (found == m_running.end())
        return;
    auto const running = found->second;
    end_fetch(fetch);
    if (failure == FetchFailure::Missing) {
        auto peer = m_peers.find(running.source.peer);
        if (peer != m_peers.end() && peer->second.chunks.erase(running.chunk) > 0) {
            m_chunks[running.chunk].holders -= 1;
            m_chunks[running.chunk].near_holders -= m_ranks.is_near(running.source.peer) ? 1 : 0;
            m_chunks[running.chunk].without_holder_since = now;
        }
        if (!running.source.is_origin())
            return;
    }
    punish(running.source, failure, now);
}

void Transfer::punish(Source const& source, FetchFailure failure, Core::Time now)
{
    if (source.is_origin() && failure == FetchFailure::Unreachable) {
        // While the origin fails nobody reads it, whoever is there: those that come first try it again first, or all would
        // read it at once when it is back.
        m_origin_failed_at = now;
        m_origin_steps_waited = 0;
        m_origin_failures += 1;
    }
    // A peer that is gone begins anew when it comes back.
    if (source.is_origin() || m_peers.contains(source.peer))
        m_faults.on_failed(source, failure, now);
}

Core::Duration Transfer::stall_of(Source const& source) const
{
    bool const is_slower = source.is_origin() && m_settings.origin_stall.count() > 0;
    return is_slower ? m_settings.origin_stall : m_settings.stall;
}

void Transfer::give_up_stalled(Core::Time now, std::vector<TransferAction>& actions)
{
    std::vector<uint64_t> ended;
    for (auto const& [id, running] : m_running) {
        bool const is_stalled = now - running.last_progress >= stall_of(running.source);
        if (is_stalled || m_chunks[running.chunk].is_held)
            ended.push_back(id);
    }
    for (auto id : ended) {
        auto const running = m_running.at(id);
        end_fetch(id);
        actions.push_back(CancelFetch { id });
        refund_duplicate(running);
        if (!m_chunks[running.chunk].is_held)
            punish(running.source, FetchFailure::Unreachable, now);
    }
}

void Transfer::refund_duplicate(Running const& ended)
{
    // A peer that sent nothing cost no bytes. Of the origin's bytes nothing is told before the last.
    auto& chunk = m_chunks[ended.chunk];
    bool const has_cost_bytes = ended.first_bytes.has_value() || ended.source.is_origin();
    if (!chunk.is_doubled || has_cost_bytes)
        return;
    chunk.is_doubled = false;
    m_duplicates_left += 1;
}

size_t Transfer::origin_fetch_limit() const
{
    // Those that stand in may be many, and what the origin sends to all at once comes late to each.
    return m_ranks.best_origin_rank() > 0 ? std::min<size_t>(1, m_settings.origin_fetches_in_flight) : m_settings.origin_fetches_in_flight;
}

size_t Transfer::running_from_origin() const
{
    return static_cast<size_t>(std::count_if(m_running.begin(), m_running.end(), [](auto const& entry) { return entry.second.source.is_origin(); }));
}

bool Transfer::owes_origin_chunks() const
{
    if (m_settings.strategy != Schema::Strategy::Swarm)
        return false;
    return unheld().own > 0;
}

bool Transfer::has_stocked_cache() const
{
    return std::any_of(m_ranks.caches().begin(), m_ranks.caches().end(), [&](auto const& cache) {
        auto const peer = m_peers.find(cache);
        return peer != m_peers.end() && !peer->second.chunks.empty();
    });
}

size_t Transfer::fetch_limit() const
{
    bool const is_link_slow = m_settings.slow_link.count() > 0 && m_times.is_link_slower_than(m_settings.slow_link);
    if (is_link_slow)
        return 1;
    if (m_settings.fetches_with_caches > 0 && has_stocked_cache())
        return m_settings.fetches_with_caches;
    bool const is_seeding = m_settings.peer_fetches_while_seeding > 0 && owes_origin_chunks();
    if (!is_seeding)
        return m_settings.fetches_in_flight;
    return std::min(m_settings.fetches_in_flight, m_settings.origin_fetches_in_flight + m_settings.peer_fetches_while_seeding);
}

Fetch Transfer::begin(size_t chunk, Source source, Core::Time now)
{
    auto const id = m_next_fetch++;
    m_chunks[chunk].fetches += 1;
    if (!source.is_origin())
        m_peers[source.peer].fetches += 1;
    m_running[id] = { chunk, source, now, now, {} };
    return { id, chunk, std::move(source), false };
}

std::string Transfer::choose_peer(size_t chunk, Core::Time now, std::string const& except)
{
    std::string best;
    // Whether it is no cache, then the reads that it has in hand for this instance.
    std::pair<bool, size_t> best_load;
    uint64_t ties = 0;
    for (auto const& [id, peer] : m_peers) {
        if (id == except || m_faults.is_avoided(Source { id }, now) || !peer.chunks.contains(chunk))
            continue;
        if (!may_ask_peer(chunk, id, now))
            continue;
        auto const load = std::pair(!m_ranks.is_cache(id), peer.fetches);
        if (!best.empty() && load > best_load)
            continue;
        bool const is_better = best.empty() || load < best_load;
        ties = is_better ? 1 : ties + 1;
        // Among equals each has the same chance.
        if (is_better || m_random() % ties == 0) {
            best = id;
            best_load = load;
        }
    }
    return best;
}

bool Transfer::start_from_peer(Core::Time now, std::vector<TransferAction>& actions)
{
    std::vector<size_t> candidates;
    for (size_t i = 0; i < m_chunks.size(); ++i) {
        auto const& chunk = m_chunks[i];
        bool const is_open = !chunk.is_held && chunk.fetches == 0 && chunk.holders > 0;
        if (is_open && !choose_peer(i, now, {}).empty())
            candidates.push_back(i);
    }
    if (candidates.empty())
        return false;
    // Among equals each has the same chance.
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    if (m_settings.rarity_sample > 0 && candidates.size() > m_settings.rarity_sample)
        candidates.resize(m_settings.rarity_sample);
    auto const chunk = *std::min_element(candidates.begin(), candidates.end(), [&](auto a, auto b) { return m_chunks[a].holders < m_chunks[b].holders; });
    actions.push_back(begin(chunk, Source { choose_peer(chunk, now, {}) }, now));
    return true;
}

bool Transfer::may_ask_peer(size_t chunk, std::string const& peer, Core::Time now) const
{
    auto const& state = m_chunks[chunk];
    if (m_ranks.are_all_near() || m_ranks.is_near(peer))
        return true;
    if (state.near_holders > 0)
        return false;
    auto const rank = m_ranks.far_rank(chunk);
    auto const since = std::max(state.without_holder_since, m_last_useful);
    return now - since >= m_settings.far_patience * patience_steps(rank);
}

bool Transfer::may_ask_origin(size_t chunk, Core::Time now) const
{
    auto const& state = m_chunks[chunk];
    if (state.is_held || state.fetches > 0)
        return false;
    switch (m_settings.strategy) {
    case Schema::Strategy::OriginOnly:
        return true;
    case Schema::Strategy::Chain:
        return m_ranks.is_first_target();
    case Schema::Strategy::Swarm:
        break;
    }
    if (state.holders > 0)
        return false;
    auto const steps = patience_steps(m_ranks.origin_rank(chunk));
    if (steps <= m_origin_steps_waited)
        return true;
    // One that has found the origin failing itself has no reason to think that those before it are gone.
    auto const doublings = std::min(m_origin_failures, most_patience_doublings);
    auto const since = std::max({ state.without_holder_since, m_last_useful, m_origin_failed_at });
    return now - since >= m_settings.origin_patience * (steps << doublings);
}

bool Transfer::start_from_origin(Core::Time now, std::vector<TransferAction>& actions)
{
    if (m_faults.is_avoided(Source {}, now) || running_from_origin() >= origin_fetch_limit())
        return false;
    std::vector<size_t> candidates;
    for (size_t i = 0; i < m_chunks.size(); ++i) {
        if (may_ask_origin(i, now))
            candidates.push_back(i);
    }
    if (candidates.empty())
        return false;
    auto const chunk = candidates[m_random() % candidates.size()];
    // Those before it are gone: what they left is read without another wait.
    m_origin_steps_waited = std::max(m_origin_steps_waited, patience_steps(m_ranks.origin_rank(chunk)));
    actions.push_back(begin(chunk, Source {}, now));
    return true;
}

bool Transfer::is_slow(Running const& running, Core::Time now) const
{
    auto const lasted = now - running.started;
    return lasted >= m_settings.stall / slow_reads_per_stall && m_times.is_slow(lasted);
}

bool Transfer::start_duplicate(Core::Time now, std::vector<TransferAction>& actions)
{
    if (m_duplicates_left == 0)
        return false;
    for (auto const& [id, running] : m_running) {
        if (m_chunks[running.chunk].fetches >= reads_per_chunk || !is_slow(running, now))
            continue;
        auto peer = choose_peer(running.chunk, now, running.source.peer);
        if (peer.empty())
            continue;
        auto duplicate = begin(running.chunk, Source { peer }, now);
        duplicate.is_duplicate = true;
        m_duplicates_left -= 1;
        m_chunks[running.chunk].is_doubled = true;
        actions.push_back(std::move(duplicate));
        return true;
    }
    return false;
}

std::vector<TransferAction> Transfer::step(Core::Time now)
{
    std::vector<TransferAction> actions;
    give_up_stalled(now, actions);
    if (is_complete())
        return actions;
    bool has_started = true;
    auto const limit = fetch_limit();
    while (has_started && m_running.size() < limit) {
        // What the origin owes to the others goes first: everybody waits for it.
        has_started = start_from_origin(now, actions);
        if (!has_started)
            has_started = start_from_peer(now, actions);
        if (!has_started)
            has_started = start_duplicate(now, actions);
    }
    return actions;
}

Transfer::Unheld Transfer::unheld() const
{
    Unheld unheld;
    for (size_t i = 0; i < m_chunks.size(); ++i) {
        if (m_chunks[i].is_held || m_chunks[i].holders > 0)
            continue;
        unheld.chunks += 1;
        unheld.own += m_ranks.origin_rank(i) == 0 ? 1 : 0;
    }
    return unheld;
}

bool Transfer::is_starved(Core::Time now) const
{
    return !is_complete() && m_running.empty() && now - m_last_useful >= m_settings.stall / 2;
}

}
