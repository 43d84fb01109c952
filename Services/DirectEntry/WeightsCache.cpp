// SPDX-License-Identifier: BSD-2-Clause
#include "WeightsCache.h"

#include "../Weights/TransferDefaults.h"
#include <LibCore/Log.h>
#include <algorithm>
#include <iterator>
#include <utility>

namespace DirectEntry {

static constexpr Core::Duration update_interval { 50 };
// No transfer starts before this time has passed, in which a new entry is linked to the others. Without the wait it would know no
// other entry and read the whole copy from the origin: after a power loss entries read 2.4 copies in all instead of one.
static constexpr Core::Duration entry_link_time { 500 };
static constexpr size_t origin_fetches_in_flight = 2;
// Few instances read from the origin, so that each chunk arrives early and whole.
static constexpr size_t seeders = 4;
static constexpr size_t max_concurrent_uploads = 4;
static constexpr size_t max_waiting_uploads = 128;
static constexpr int status_not_found = 404;

static Weights::CopyFetcherSettings fetcher_settings(WeightsCacheSettings const& settings)
{
    Weights::CopyFetcherSettings result;
    result.identity = settings.identity;
    result.chunk_port = settings.chunk_port;
    result.is_cache = true;
    result.transfer = Weights::transfer_defaults();
    result.transfer.origin_fetches_in_flight = origin_fetches_in_flight;
    result.transfer.seeders = seeders;
    return result;
}

WeightsCache::WeightsCache(Core::EventLoop& loop, WeightsCacheSettings settings, Core::Metrics& metrics, Platform::WeightOrigin& origin, Callbacks callbacks)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_metrics(metrics)
    , m_origin(origin)
    , m_callbacks(std::move(callbacks))
    , m_started_at(Core::monotonic_now())
    , m_update_timer(loop.every(update_interval, [this] { advance_transfers(); }))
{
}

WeightsCache::~WeightsCache() = default;

void WeightsCache::advance_transfers()
{
    m_callbacks.detect_pause();
    auto const now = Core::monotonic_now();
    if (now - m_started_at < entry_link_time)
        return;
    cache_lost_versions();
    for (auto& [model, copy] : m_copies) {
        copy.goal->switch_if_due();
        auto const& goal = copy.goal->current();
        if (goal && is_wanted(copy, goal->version))
            copy.fetcher->advance(now);
        else
            copy.fetcher->drop_older_if_unneeded();
    }
}

bool WeightsCache::is_wanted(Copy const& copy, int64_t version) const
{
    auto const& goal = copy.goal->current();
    return goal && m_callbacks.is_wanted(goal->service, version);
}

WeightsCache::Copy& WeightsCache::copy_of(std::string const& model)
{
    auto& copy = m_copies[model];
    if (copy.fetcher)
        return copy;
    Weights::CopyFetcher::Callbacks callbacks {
        .announce = m_callbacks.announce,
        .announce_to_other_regions = m_callbacks.announce_to_other_regions,
        .manifest_accepted = [&copy] { copy.fetcher->begin(); },
        .chunk_held = [](size_t) {},
        .is_seeking = [this, &copy](int64_t version) { return is_wanted(copy, version); },
        .is_lacked = [this, &copy](int64_t version) { return is_wanted(copy, version); },
        .also_used = [] { return nullptr; },
        .sources = m_callbacks.sources,
    };
    copy.fetcher = std::make_unique<Weights::CopyFetcher>(m_loop, fetcher_settings(m_settings), m_metrics, m_origin, std::move(callbacks));
    copy.goal = std::make_unique<Weights::CopyGoal>(*copy.fetcher, Weights::CopyGoal::Callbacks { .is_seeking = [this, &copy](int64_t version) { return is_wanted(copy, version); }, .before_switch = {} });
    Weights::ChunkServerSettings uploads;
    uploads.bytes_per_second = m_settings.bytes_per_second;
    uploads.max_concurrent_uploads = max_concurrent_uploads;
    uploads.max_waiting_uploads = max_waiting_uploads;
    copy.server = std::make_unique<Weights::ChunkServer>(m_loop, uploads, m_metrics, copy.fetcher->store());
    return copy;
}

void WeightsCache::set_goal(Schema::WeightsGoal const& goal, Core::Time named_at)
{
    std::erase_if(m_initial_goals, [&](auto const& initial) { return initial.second.goal.model == goal.model; });
    copy_of(goal.model).goal->on_version_named(goal, named_at);
}

void WeightsCache::set_initial_goal(Schema::WeightsGoal const& goal, Core::Time named_at)
{
    auto const copy = m_copies.find(goal.model);
    bool const is_cached = copy != m_copies.end() && copy->second.goal->current();
    if (is_cached)
        set_goal(goal, named_at);
    else
        m_initial_goals[goal.service] = { goal, named_at };
}

void WeightsCache::cache_lost_versions()
{
    std::vector<InitialGoal> lost;
    for (auto const& [service, initial] : m_initial_goals) {
        if (m_callbacks.is_lost(initial.goal.service, initial.goal.version))
            lost.push_back(initial);
    }
    for (auto const& initial : lost) {
        Core::log_event(Core::LogLevel::Info, "initial_version_wanted", { { "service", initial.goal.service }, { "model", initial.goal.model }, { "version", std::to_string(initial.goal.version) } });
        set_goal(initial.goal, initial.named_at);
    }
}

void WeightsCache::update_sources()
{
    for (auto& [model, copy] : m_copies)
        copy.fetcher->update_sources();
}

void WeightsCache::on_peer_pieces(std::string const& peer, Schema::PieceMap const& map)
{
    copy_of(map.model).fetcher->on_peer_pieces(peer, map);
}

void WeightsCache::on_peer_down(std::string const& peer)
{
    for (auto& [model, copy] : m_copies)
        copy.fetcher->on_peer_down(peer);
}

std::vector<Schema::PieceMap> WeightsCache::held() const
{
    std::vector<Schema::PieceMap> maps;
    for (auto const& [model, copy] : m_copies) {
        auto held = copy.fetcher->held();
        std::move(held.begin(), held.end(), std::back_inserter(maps));
    }
    return maps;
}

bool WeightsCache::serve_chunk(std::shared_ptr<Transport::HttpExchange> const& exchange, std::string const& digest)
{
    for (auto& [model, copy] : m_copies) {
        if (!copy.fetcher->store().holds(digest))
            continue;
        copy.server->serve(exchange, digest);
        return true;
    }
    exchange->reply(status_not_found, {}, {});
    return true;
}

bool WeightsCache::serve(std::shared_ptr<Transport::HttpExchange> const& exchange)
{
    static std::string const chunk_prefix = "/chunks/";
    auto const& path = exchange->path();
    if (path.starts_with(chunk_prefix))
        return serve_chunk(exchange, path.substr(chunk_prefix.size()));
    if (path != "/manifest")
        return false;
    auto const found = m_copies.find(exchange->query("model").value_or(""));
    if (found == m_copies.end())
        exchange->reply(status_not_found, {}, {});
    else
        found->second.fetcher->serve_manifest(*exchange);
    return true;
}

}
