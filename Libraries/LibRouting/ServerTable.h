// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibRouting/EngineOwners.h>
#include <LibRouting/EngineTimingModel.h>
#include <LibRouting/PrefillAllowance.h>
#include <LibRouting/SendPermits.h>
#include <LibRouting/ServerCensus.h>
#include <LibRouting/StatedAvailability.h>
#include <LibSchema/Generated.h>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace Routing {

/// Criteria by which ServerTable::choose() selects the backend server for a request.
struct ServerRequirements {
    std::string service;
    /// The oldest version of the model's weights that the engine may hold; std::nullopt if any completely loaded version will do.
    std::optional<int64_t> required_version {};
    /// The newest version of the model that the operator named in the log records; 0 if none. An engine with an older version is only
    /// chosen while its agent reports, as only the agent knows whether the engine is about to load a version, or still runs.
    int64_t newest_version { 0 };
    int64_t prompt_tokens { 0 };
    /// Length of the answer that the caller expects; 0 if unknown, which stands for the service's usual one, or the longest if that is shorter.
    int64_t answer_tokens { 0 };
    /// Length of the longest answer that the caller accepts; 0 if unknown.
    int64_t max_answer_tokens { 0 };
    /// Longest acceptable predicted time to the end of a streamed answer at an engine that reports that it is slow; std::nullopt if there is no
    /// limit.
    std::optional<Core::Duration> max_time_to_end {};
    /// Ids of servers that must not be chosen, as earlier attempts of the request went to their present incarnations.
    std::set<std::string> excluded {};
    /// Ids of servers that can't be chosen at the moment, and are treated as full.
    std::set<std::string> temporarily_unavailable {};
    /// Ids of servers that may terminate soon. If servers are chosen by predicted time, 250 ms are added to the cost of these, so that
    /// they are chosen only if others are far worse; the predicted time, which max_time_to_first_event limits, is unchanged.
    std::set<std::string> avoided {};
    /// Prefers servers with few requests in flight, as this request may terminate its server.
    bool prefers_idle_servers { false };
    /// Prefill by which max_time_to_first_event and max_event_gap are judged; std::nullopt for that of this request's own prompt.
    std::optional<PrefillAllowance> prefill_allowance {};
    /// Longest acceptable predicted time to the first event of the answer; std::nullopt if there is no limit.
    std::optional<Core::Duration> max_time_to_first_event {};
    /// Longest acceptable pause between two events of a stream of this service; 0 if there is no limit. The prefill of a new prompt
    /// pauses the streams that run at the same engine.
    Core::Duration max_event_gap { 0 };
    /// Whether to use only spare slots, which requests that can still be answered in time are unlikely to need.
    bool uses_only_spare_slots { false };
};

/// Why ServerTable::choose() found no backend server, or why it was not asked: the last four.
enum class NoServer {
    /// No server of the service could serve the request, even if it had a free slot.
    NoneUsable,
    /// Servers that could serve it have no free slot for it.
    AllFull,
    /// Servers with a free slot are there, but are predicted to begin or end the answer too late.
    NoneInTime,
    /// Servers that could serve it are limited, and this entry holds no permit to send to them, or they asked this entry for rest.
    Limited,
    /// The entry resumed after a pause, and has not read the facts again.
    StaleFacts,
    /// The time that the caller allowed has passed.
    DeadlinePassed,
    /// The request is a suspect, of which a copy runs already (see CrashSuspects).
    SuspectRuns,
    /// No retry budget is left to try another server beside a silent one.
    NoRetryBudget,
};

/// The reason's name in logs.
char const* no_server_name(NoServer);

/// The backend server that a request is sent to.
struct ServerChoice {
    std::string id;
    /// Predicted time to the answer, or to the first event of a streamed answer.
    Core::Duration predicted { 0 };
};

/// Outcome of an attempt, as far as it says something about the backend server.
enum class ServerOutcome {
    Success,
    /// The connection could not be established, or the server stopped sending.
    Unreachable,
    /// The server answered with an error, or its answer was cut off or malformed.
    Failure,
    /// The server had no free slot.
    Full,
    /// The server is of another incarnation, or holds another version, than the attempt assumed.
    Misdirected,
    /// Says nothing about the server.
    Neutral,
};

/// What a backend server states about itself in the head of an answer.
struct ServerStatements {
    /// Requests per second that it accepts from all entries together; std::nullopt if it states no limit.
    std::optional<double> max_requests_per_second {};
    /// Whether the answer states a limit that could not be read, so that nothing is known of the limit.
    bool has_unreadable_limit { false };
    /// How long the server wants no requests from this entry.
    std::optional<Core::Duration> rest {};
    /// Whether the server states that it is about to end and takes no new requests.
    bool is_leaving { false };
};

/// Settings of a ServerTable. The domain and region are those of the entry.
struct ServerTableSettings {
    Schema::ServerChoice choice { Schema::ServerChoice::Predicted };
    std::string failure_domain;
    std::string region;
    /// Region of each failure domain.
    std::map<std::string, std::string> regions;
    /// Number of requests that may queue inside a full engine that this entry owns (see EngineRole).
    int64_t owner_queue_limit { 1 };
    /// Number of slots that entries other than the owner leave free at an engine.
    int64_t owner_reserve { 4 };
    /// Number of slots of an owned engine that requests which can't be answered in time any more leave free.
    int64_t leftover_reserve { 2 };
    /// Greatest pending prefill, in milliseconds, of an engine that such a late request is sent to.
    double leftover_unread_ms { 0 };
    /// Whether entries that don't own an engine divide the slots that its last report showed free among them.
    bool shares_reported_slots { true };
    /// Whether to enforce ServerRequirements::max_event_gap.
    bool enforces_max_event_gap { true };
};

/// Keeps the state of the backend servers that an entry sends requests to directly, and chooses the server for each attempt.
///
/// State comes from three sources: the list of backend servers says which exist and which are leaving; the agent beside an engine
/// reports, sooner than the list, which version the engine holds and how many requests run there; and the outcomes of this entry's
/// attempts show which servers answer. The load of other entries is the load that the agent reports less this entry's share of it, so
/// that entries share engines without a coordinator.
///
/// Backend servers of a service for which set_timing() was called are engines; all others are servers of a plain service, without a
/// model. A server's id is its id in the list. An agent is identified by the IP address that it shares with its engine.
class ServerTable {
public:
    ServerTable(ServerTableSettings, uint64_t seed);
    ServerTable(ServerTable const&) = delete;
    ServerTable& operator=(ServerTable const&) = delete;

    /// Adds a server or updates its list record. All other state is kept, unless the list record shows a later start: then the state of
    /// the previous incarnation is dropped.
    void set_server(Schema::BackendServer const&, Core::Time now);
    void remove_server(std::string const& id);
    /// Marks the backend servers of a service as engines, and sets their timing model. Observed times are kept unless the configured timing changes.
    void set_timing(std::string const& service, Schema::EngineTiming const&);
    /// Sets the number of entries that share the servers, including this one.
    void set_entries(size_t count) { m_entries = std::max<size_t>(1, count); }

    /// Restricts the choice to the engines with these IP addresses. choose() skips all others before any further look-up, so that its
    /// cost grows with the number of selectable engines only. Servers of plain services are always selectable, and so are engines that
    /// are added after the last call.
    void set_selectable_engines(std::set<std::string> const& ips);

    /// Sets this entry's role for each engine, by server id, as engine_roles() returns it. An engine that the map lacks has the role
    /// Other. Until the first call no engine has an owner, and this entry uses all engines as if it owned them.
    void set_roles(std::map<std::string, EngineRole> roles);

    /// Whether the role of this entry can ever allow it to send requests to the server. With the role Other it gets slots of an engine
    /// only if those beside the owner's reserve are enough for one per entry. False if the server is unknown.
    bool may_use(std::string const& id) const;

    /// Stores the state that the agent at an IP address read from its engine. A report of an earlier incarnation than the last report's
    /// is ignored, unless the last report is more than 2.5 seconds old. A report of an earlier incarnation than the latest one known, from
    /// the list or a report, is not used for the server if it arrives within 2.5 seconds after that one became known; later it is, as
    /// the instance's clock was then set back.
    ///
    /// An agent that started after the engine loaded its version checks that load first. Until then the version counts unless an agent stated
    /// another one last for the same incarnation: the load has come since, and no agent has checked it.
    void on_engine_state(std::string const& ip, Schema::EngineState const&, Core::Time now);
    /// Drops the agent's last report, after its link has closed.
    void on_agent_disconnected(std::string const& ip);

    /// Chooses the server of the service with the lowest cost, which is the predicted time to the first event plus penalties for
    /// distance, role and failures (or what the setting `choice` says instead). Equal costs are decided at random.
    tl::expected<ServerChoice, NoServer> choose(ServerRequirements const&, Core::Time now);

    /// The states of the service's servers, as far as they matter for a request with these requirements.
    ServerCensus census(ServerRequirements const&, Core::Time now) const;

    /// Whether any usable server of the service has a free slot for this entry, for a request without special criteria.
    bool has_free_slot(std::string const& service, Core::Time now) const;

    /// A request was sent to the chosen server. It holds a slot there until on_ended() or on_no_response().
    void on_sent(std::string const& request, ServerChoice const&, int64_t prompt_tokens, Core::Time now);
    /// The first event of the request's answer arrived, so prefill of its prompt is done. Also corrects the service's timing model.
    void on_first_event(std::string const& id, std::string const& request, Core::Time now);
    /// The attempt ended: frees its slot and evaluates the outcome. An attempt that went to an earlier incarnation says nothing about the
    /// present one.
    void on_ended(std::string const& id, std::string const& request, ServerOutcome, Core::Time now);
    /// The server sends nothing for the request, which counts as Unreachable and frees its slot. The server may still answer it later.
    /// Until its suspension ends or on_received() is called, the server is not chosen.
    void on_no_response(std::string const& id, std::string const& request, Core::Time now);
    /// The head of an answer arrived from the server. What it states holds for the incarnation that the request was sent to.
    /// @param started_at_ms start of that incarnation, in milliseconds of the Unix clock; std::nullopt if unknown.
    /// @param sent_at when the request was sent.
    void on_answer_head(std::string const& id, std::optional<int64_t> started_at_ms, ServerStatements const&, Core::Time sent_at, Core::Time now);
    /// Another entry got an answer from the server, of the incarnation that started then, which states that it leaves.
    void on_peer_saw_leaving(std::string const& id, std::optional<int64_t> started_at_ms, Core::Time now);
    /// Whether the server leaves, by the list or by its own answers.
    bool is_leaving(std::string const& id) const;
    /// The servers whose answers state that they leave, with the start of the incarnation.
    std::map<std::string, std::optional<int64_t>> stated_leaving() const { return m_availability.leaving(); }
    /// Returns the servers of which an answer to this entry stated first that they leave, since the last call.
    std::set<std::string> take_newly_leaving() { return std::exchange(m_newly_leaving, {}); }
    /// Drops what servers stated so long ago that it no longer holds.
    void remove_old_statements(Core::Time now) { m_availability.remove_old(now); }
    /// Bytes of an answer to any request arrived from the server. Ends a suspension that on_no_response() caused.
    void on_received(std::string const& id, Core::Time now);
    /// Whether bytes arrived from the server within the last 600 ms. If so, a request that receives nothing there probably waits behind
    /// other requests.
    bool is_answering(std::string const& id, Core::Time now) const;

    /// Start of the latest incarnation of the server that was listed or reported, in milliseconds of the Unix clock; std::nullopt if
    /// unknown.
    std::optional<int64_t> started_at_ms(std::string const& id) const;

    /// Returns the server's list record, or null if the server is unknown.
    Schema::BackendServer const* find(std::string const& id) const;
    /// Version of its service's model that the server holds completely, as its agent reports or else as listed; 0 if there is none.
    int64_t version_of(std::string const& id, Core::Time now) const;
    /// Whether the agent of an engine that this entry follows has reported within the last 2.5 seconds that the engine holds this version of
    /// the service's model, or a newer one.
    bool is_version_reported(std::string const& service, int64_t version, Core::Time now) const;
    /// Version that the agent at an IP address reports; 0 if none, or if its last report is more than 2.5 seconds old.
    int64_t version_at(std::string const& ip, Core::Time now) const;
    /// Whether the engine's agent reports that the engine executes an order, such as loading a version, or is about to. Requests that
    /// such an engine aborts don't count as its fault.
    bool is_executing_order(std::string const& id, Core::Time now) const;
    /// Whether at least two attempts in a row were Misdirected, so that the list record of the server is probably out of date.
    bool is_repeatedly_misdirected(std::string const& id) const;

    /// Mean time between two slots that become free at one full server of the service.
    Core::Duration server_slot_interval(std::string const& service) const;
    /// Mean time between two slots that become free at any of the engines that this entry owns and that state no limit, when they are full.
    Core::Duration slot_interval(std::string const& service, Core::Time now) const;
    /// Least time to the first event at the fastest usable engine, if its slots are in use and it has no other pending prefill; 0 for a plain
    /// service.
    Core::Duration min_time_to_first_event(std::string const& service, PrefillAllowance const&, Core::Time now) const;
    /// Time that a request with a prompt and an answer of this size takes at the fastest usable engine, if that is full; 0 for a plain service.
    Core::Duration service_time(std::string const& service, int64_t prompt_tokens, int64_t answer_tokens, Core::Time now) const;
    /// Factor by which the server is at present slower than its timing model, at least 1 and at most 10.
    double slowdown(std::string const& id, Core::Time now) const;
    /// Expected time until this entry may have sent `count` requests to limited servers of the service, which it shares with the entries that
    /// wait for permits, or to a resting one after its rest; std::nullopt if no usable server is limited or rests.
    std::optional<Core::Duration> limited_wait(std::string const& service, size_t count, Core::Time now) const;
    /// Time until the first of the usable servers of the service ends its rest; std::nullopt if there is none, or one that does not rest.
    std::optional<Core::Duration> time_until_rest_ends(std::string const& service, Core::Time now) const;
    /// The limits that servers stated, and this entry's permits.
    SendPermits& permits() { return m_permits; }
    /// Expected time until an engine that loads a version or is empty can serve; std::nullopt if there is no such selectable engine.
    std::optional<Core::Duration> time_until_next_engine(std::string const& service, Core::Time now) const;

private:
    /// A request that this entry has in flight at a server.
    struct Pending {
        int64_t prompt_tokens { 0 };
        Core::Time sent_at { 0 };
        Core::Duration predicted { 0 };
        bool has_first_event { false };
    };

    /// A service whose backend servers are engines.
    struct EngineService {
        Schema::EngineTiming timing;
        EngineTimingModel times;
        /// Layers of the model; 0 if unknown.
        int64_t layers { 0 };
    };

    /// The last report of an agent.
    struct Reported {
        Schema::EngineState state;
        Core::Time at { 0 };
        /// Requests that this entry had in flight there when the report arrived.
        int64_t own_in_flight { 0 };
        /// Requests that this entry has sent there since the report arrived.
        int64_t own_sent { 0 };
    };

    /// A version that an incarnation of an engine held.
    struct HeldVersion {
        int64_t version { 0 };
        std::optional<int64_t> started_at_ms;
    };

    struct Server {
        Schema::BackendServer record;
        std::string ip;
        // See set_selectable_engines().
        bool is_selectable { true };
        int64_t listed_version { 0 };
        /// Start of the latest incarnation that was listed or reported, and when this entry first learned of it.
        std::optional<int64_t> started_at_ms;
        Core::Time started_at_known_since { 0 };
        std::map<std::string, Pending> pending;
        // Requests that were sent to earlier incarnations and have not ended. Their outcomes say nothing about the present one.
        std::set<std::string> sent_to_earlier_incarnations;
        std::optional<Core::Time> last_received_at;
        Core::Time suspended_until { 0 };
        /// Whether the only reason of the suspension is that the server stopped sending. The next bytes from it end the suspension.
        bool is_suspended_for_silence { false };
        /// When the server last became unreachable.
        std::optional<Core::Time> unreachable_at;
        Core::Time full_until { 0 };
        int64_t faults_in_a_row { 0 };
        int64_t misdirected_in_a_row { 0 };
        double failure_rate { 0 };
    };

    /// Estimated load of an engine.
    struct Load {
        double running { 0 };
        /// Number of requests that must end before a further one gets a slot.
        double queued_ahead { 0 };
        /// Pending prefill, in milliseconds: that of prompts whose first event has not arrived.
        double pending_prefill_ms { 0 };
    };

    /// Records the start of an incarnation. If it is later than the known start, drops the state of the previous incarnation.
    static void record_start(Server&, std::optional<int64_t> started_at_ms, Core::Time now);
    static void reset_for_new_incarnation(Server&);
    /// Updates the server's failures and suspension by the outcome of an attempt.
    /// @param sent_at when the request was sent; std::nullopt if unknown.
    static void record_outcome(Server&, std::optional<Core::Time> sent_at, ServerOutcome, Core::Time now);
    /// Returns the last report of the server's agent; null if it is more than 2.5 seconds old, or of an earlier incarnation.
    Reported const* reported(Server const&, Core::Time now) const;
    /// Whether a report is outdated, as it is of an earlier incarnation than the latest one known.
    static bool is_outdated_report(Server const&, Reported const&);
    /// Returns null for a plain service.
    EngineService const* engine_service(std::string const& service) const;
    int64_t version_of(Server const&, Core::Time now) const;
    bool is_leaving(Server const&) const;
    /// Whether the server asked this entry for rest, and still rests.
    bool is_resting(Server const&, Core::Time now) const;
    void on_incarnation(Server const&);
    /// Returns the state with the version that its agent has not checked, unless that was loaded since the last statement of an agent.
    Schema::EngineState with_unchecked_version(std::string const& ip, Schema::EngineState) const;
    bool is_usable(Server const&, ServerRequirements const&, Core::Time now) const;
    /// Why a server can't be chosen for a request; the first that applies.
    enum class Obstacle {
        None,
        /// It is of another service, excluded, leaving, suspended, or holds no version that will do.
        Unusable,
        Resting,
        Full,
        /// It is predicted to begin or end the answer too late.
        Slow,
        /// It is limited, and this entry holds no permit.
        NoPermit,
    };
    Obstacle obstacle(Server const&, ServerRequirements const&, Core::Time now) const;
    static NoServer no_server_reason(std::set<Obstacle> const&);
    /// Requests of other entries that the last report showed at an engine; 0 without a report.
    int64_t others_in_flight(Server const&, Core::Time now) const;
    /// Number of slots that are free for this entry; may be negative.
    int64_t free_slots(Server const&, Core::Time now) const;
    /// Whether this entry has used up its share of the slots that the last report showed free at an engine that it doesn't own.
    bool has_used_its_share(Server const&, Core::Time now) const;
    /// Number of entries among which the slots are divided that a report showed free.
    int64_t sharing_entry_count(EngineRole) const;
    bool has_free_slot_at(Server const&, Core::Time now) const;
    Load load(Server const&, EngineTimingModel const&, Core::Time now) const;
    /// Whether prefill of this request's prompt would pause the streams that run there for longer than ServerRequirements::max_event_gap.
    bool would_exceed_max_event_gap(Server const&, ServerRequirements const&, Core::Time now) const;
    /// Whether the server has a spare slot, see ServerRequirements::uses_only_spare_slots.
    bool has_spare_slot(Server const&, Core::Time now) const;
    /// Predicted time to the first event, or to the answer of a plain service, in milliseconds.
    double predicted_ms(Server const&, ServerRequirements const&, Core::Time now) const;
    /// The part of predicted_ms() of an engine that doesn't depend on the request's own prompt.
    double predicted_ms_without_prefill(Server const&, EngineTimingModel const&, Core::Time now) const;
    /// Factor by which the engine is slower at present than its timing model.
    double slowdown(Server const&, EngineTimingModel const&, Core::Time now) const;
    /// Time in milliseconds that the judgements of ServerRequirements::prefill_allowance count for prefill at an engine this much slower than
    /// its timing model.
    static double allowed_prefill_ms(EngineTimingModel const&, ServerRequirements const&, double slowdown);
    /// Whether the answer is predicted to begin within ServerRequirements::max_time_to_first_event.
    bool begins_soon_enough(Server const&, ServerRequirements const&, Core::Time now) const;
    /// Whether the answer is predicted to end within ServerRequirements::max_time_to_end. Always true for an engine at its ordinary pace.
    bool ends_soon_enough(Server const&, ServerRequirements const&, Core::Time now) const;
    /// The least slowdown() of the service's usable engines.
    double least_slowdown(std::string const& service, EngineTimingModel const&, Core::Time now) const;
    /// Added to the cost for the distance between this entry and the server, in milliseconds.
    double distance_penalty_ms(Server const&) const;
    EngineRole role(Server const&) const;
    /// Added to the cost of an engine that this entry doesn't own, in milliseconds.
    double role_penalty_ms(Server const&) const;
    /// The server with the lowest cost is chosen. In milliseconds, if the setting `choice` is Predicted.
    double cost(Server const&, ServerRequirements const&, Core::Time now);

    ServerTableSettings m_settings;
    std::mt19937_64 m_random;
    size_t m_entries { 1 };
    SendPermits m_permits;
    StatedAvailability m_availability;
    std::set<std::string> m_newly_leaving;
    std::map<std::string, Server> m_servers;
    std::map<std::string, EngineService> m_engine_services;
    // By the IP address that agent and engine share.
    std::map<std::string, Reported> m_reported;
    // The version that the agent at each address reported last, kept while the agent is silent.
    std::map<std::string, int64_t> m_stated_versions;
    // What the agent at each address knew last of its engine's version.
    std::map<std::string, HeldVersion> m_held_versions;
    std::optional<std::map<std::string, EngineRole>> m_roles;
};

}
