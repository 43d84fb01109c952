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

/// The parts of the entry that EntryWeights uses. All of them must outlive it.
struct EntryWeightsContext {
    Schema::DirectEntrySettings const& settings;
    Transport::LinkHub& hub;
    Configuration::FactReplica const& facts;
    Routing::ServerTable const& servers;
    EngineSharing const& sharing;
    Routing::FollowedEngines const& followed;
};

/// Connects the entry's weights cache with its links and engines: decides whether a version is still needed by engines, and announces
/// the cached chunks to agents in this region and to other entries.
///
/// An entry follows an engine while it keeps a link to the engine's agent; it knows the versions of followed engines only.
class EntryWeights {
public:
    EntryWeights(Core::EventLoop&, EntryWeightsContext, Core::Metrics&, Platform::WeightOrigin&);

    /// Brings the cached copy to the goal's version, which was named at `named_at`.
    void set_goal(Schema::WeightsGoal const& goal, Core::Time named_at) { m_cache.set_goal(goal, named_at); }
    /// Whether this entry follows engines of the goal's service, and none of them serves the goal's version or a newer one.
    bool is_missing_at_all_engines(Schema::WeightsGoal const&) const;
    /// Reads again which entries a copy may be fetched from. To be called when entries come or go.
    void update_sources() { m_cache.update_sources(); }
    /// A peer announced which chunks it holds.
    void on_peer_pieces(std::string const& peer, Schema::PieceMap const& map) { m_cache.on_peer_pieces(peer, map); }
    void on_peer_down(std::string const& peer) { m_cache.on_peer_down(peer); }

    /// Announces the chunks held here to a newly linked peer if it may fetch them: any entry, or a followed agent in this region.
    void announce_held_to(Schema::Hello const& peer);

    /// Answers an HTTP request for a chunk or a manifest. @return false if it is for neither and was not answered.
    bool serve(std::shared_ptr<Transport::HttpExchange> const& exchange) { return m_cache.serve(exchange); }

private:
    WeightsCache::Callbacks callbacks();
    bool is_in_region(std::string const& failure_domain) const;
    /// Whether an engine that this entry follows does not serve the version or a newer one. Other engines are followed by entries nearer
    /// to them.
    bool is_wanted(std::string const& service, int64_t version) const;
    /// The engines of a service that this entry follows and that are not draining.
    std::vector<Schema::BackendServer const*> followed_servers(std::string const& service) const;
    Weights::CopySources sources() const;
    /// Identities of the agents in this region that this entry follows.
    std::set<std::string> agents_in_region() const;
    bool is_entry_in_region(std::string const& entry) const;
    /// Sends to the entries and followed agents in this region.
    void announce(Schema::PieceMap const&);
    /// Sends to the entries of other regions.
    void announce_to_other_regions(Schema::PieceMap const&);

    EntryWeightsContext m_context;
    WeightsCache m_cache;
};

}
