// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "EngineSharing.h"
#include "WeightsCache.h"
#include <LibConfiguration/FactReplica.h>
#include <LibRouting/FollowedEngines.h>
#include <LibRouting/ServerTable.h>
#include <LibTransport/LinkHub.h>
#include <functional>
#include <map>
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
    std::function<void()> detect_pause;
};

/// Connects the entry's weights cache with its links and engines: decides whether a version is still needed by engines, and announces
/// the cached chunks to agents in this region and to other entries.
///
/// An entry follows an engine while it keeps a link to the engine's agent; it knows the versions of followed engines only.
class EntryWeights {
public:
    EntryWeights(Core::EventLoop&, EntryWeightsContext const&, Core::Metrics&, Platform::WeightOrigin&);

    /// Brings the cached copy to the goal's version, which was named at `named_at`.
    void set_goal(Schema::WeightsGoal const& goal, Core::Time named_at) { m_cache.set_goal(goal, named_at); }
    /// Sets the goal of a service of whose model no version was named; it is cached once is_lost().
    void set_initial_goal(Schema::WeightsGoal const& goal, Core::Time named_at) { m_cache.set_initial_goal(goal, named_at); }
    /// The agent at this IP address reports which version its engine holds.
    void on_version_reported(std::string const& ip, int64_t version);
    /// This entry follows other engines than before, or has dropped all links itself. That no agent reports a version says nothing about the
    /// engines then.
    void forget_reported_versions();
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
    /// Whether an engine that this entry follows does not serve the version or a newer one, or all of them may have lost it. Other engines are
    /// followed by entries nearer to them.
    bool is_wanted(std::string const& service, int64_t version) const;
    /// Whether an engine that this entry follows is known not to serve the version or a newer one.
    bool is_lacked(std::string const& service, int64_t version) const;
    /// Whether the agent of a followed engine reports that the engine holds the version or a newer one. What the list says does not count: it
    /// may name a version that an engine has lost since, and without its agent an engine passes no chunks on.
    bool is_reported(std::string const& service, int64_t version) const;
    /// Whether the agents of all followed engines reported the version before, and none does now.
    bool is_no_longer_reported(std::string const& service, int64_t version) const;
    /// Whether the version is no longer reported, or some engine lacks it and no agent has reported it for a while.
    bool is_lost(std::string const& service, int64_t version);
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
    // The highest version that the agent at each IP address has reported since forget_reported_versions() was called.
    std::map<std::string, int64_t> m_reported_versions;
    // Since when an engine of a service has lacked a version that no agent reports.
    std::map<std::string, Core::Time> m_lacked_since;
    WeightsCache m_cache;
};

}
