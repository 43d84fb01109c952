// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "EngineSharing.h"
#include "WeightsCache.h"
#include <LibConfiguration/FactReplica.h>
#include <LibRouting/FollowedEngines.h>
#include <LibRouting/ServerTable.h>
#include <LibTransport/LinkHub.h>
#include <set>
#include <string>

namespace DirectEntry {

/// What of the entry the keeping of weights goes by. All of it outlives the keeper.
struct EntryWeightsContext {
    Schema::DirectEntrySettings const& settings;
    Transport::LinkHub& hub;
    Configuration::FactReplica const& facts;
    Routing::ServerTable const& servers;
    EngineSharing const& sharing;
    Routing::FollowedEngines const& followed;
};

/// The copies that this entry keeps for agents: decides whether a version is still wanted and who is told of its chunks.
class EntryWeights {
public:
    EntryWeights(Core::EventLoop&, EntryWeightsContext, Core::Metrics&, Platform::WeightOrigin&);

    void set_goal(Schema::WeightsGoal const& goal, Core::Time named_at) { m_cache.set_goal(goal, named_at); }
    /// Whether the service has engines that this entry follows, and none of them serves the version or a newer one.
    bool is_lost(Schema::WeightsGoal const&) const;
    void update_sources() { m_cache.update_sources(); }
    void on_peer_pieces(std::string const& peer, Schema::PieceMap const& map) { m_cache.on_peer_pieces(peer, map); }
    void on_peer_down(std::string const& peer) { m_cache.on_peer_down(peer); }

    /// Tells a peer that has just come what is held here, if it is one that reads here.
    void tell_held(Schema::Hello const& peer);

    /// Answers a request for a chunk or a manifest. @return false if it is for neither.
    bool serve(std::shared_ptr<Transport::HttpExchange> const& exchange) { return m_cache.serve(exchange); }

private:
    WeightsCache::Callbacks callbacks();
    bool is_in_region(std::string const& failure_domain) const;
    /// Whether an engine that this entry follows lacks the version; the others are known to entries nearer to them.
    bool is_wanted(std::string const& service, int64_t version) const;
    /// The engines of a service that this entry follows and that stay.
    std::vector<Schema::BackendServer const*> followed_servers(std::string const& service) const;
    Weights::CopySources sources() const;
    /// Identities of the agents in this region that this entry follows.
    std::set<std::string> near_agents() const;
    bool is_near(std::string const& entry) const;
    void announce(Schema::PieceMap const&);
    void announce_to_other_regions(Schema::PieceMap const&);

    EntryWeightsContext m_context;
    WeightsCache m_cache;
};

}
