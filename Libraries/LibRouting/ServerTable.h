// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibRouting/EngineOwners.h>
#include <LibRouting/EngineTimes.h>
#include <LibSchema/Generated.h>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace Routing {

/// What a request asks of a backend server.
struct ServerNeeds {
    std::string service;
    /// The oldest version that the engine may serve; nothing while any whole version will do.
    std::optional<int64_t> required_version {};
    /// The newest version that is named of the model; 0 if none is. While an engine has yet to reach it, only its agent
    /// knows whether it is about to load, or is still there.
    int64_t newest_version { 0 };
    int64_t prompt_tokens { 0 };
    /// Incarnations that were tried already.
    std::set<std::string> excluded {};
    /// Servers that may not be chosen now, and may be soon.
    std::set<std::string> closed {};
    /// Servers that are chosen only where the others are far worse: they may end.
    std::set<std::string> avoided {};
    /// Goes where the fewest run: the server may end.
    bool wants_idle { false };
    /// The first event must be expected within this; nothing if it may come at any time.
    std::optional<Core::Duration> begins_within {};
    /// Longest pause between events that the streams of the service may see; 0 if there is no bound.
    Core::Duration longest_pause { 0 };
    /// Takes only places that no request which can still be in time is likely to need.
    bool takes_leftover { false };
};

/// Why no backend server can be had now.
enum class NoServer {
    /// The list has none of the service that could serve.
    NoneUsable,
    /// Those that could serve are full.
    AllFull,
    /// Those that have room would begin later than asked.
    NoneInTime,
};

struct ServerChoice {
    std::string id;
    /// Predicted time to the answer, or to a stream's first event.
    Core::Duration predicted { 0 };
};

/// How a send ended, as far as it says something about the backend server.
enum class ServerOutcome {
    Success,
    /// The connection never stood, or the server fell silent.
    Unreachable,
    /// It failed the request, or its answer was broken.
    Failure,
    /// It had no room.
    Full,
    /// It is another incarnation, or holds another version, than it was taken for.
    Misdirected,
    /// Says nothing.
    Neutral,
};

struct ServerTableSettings {
    Schema::ServerChoice choice { Schema::ServerChoice::Predicted };
    std::string failure_domain;
    std::string region;
    std::map<std::string, std::string> regions;
    /// Requests that may wait inside a full engine of this entry's own.
    int64_t allowed_queue { 1 };
    /// Places of another entry's engine that are left to its owner.
    int64_t reserve { 4 };
    /// Places of an engine that requests which are late already leave to others.
    int64_t leftover_reserve { 2 };
    /// Reading that may be due at an engine that is given such a request, milliseconds.
    double leftover_unread_ms { 0 };
    /// Entries that do not fill an engine share the places that its last report showed free.
    bool shares_reported_room { true };
    /// An engine is given no prompt that would make those it runs pause for longer than they may.
    bool bounds_pauses { true };
};

/// What an entry knows of the backend servers that it sends requests to itself, and its choice among them.
///
/// The list says which exist and which are leaving; the agent beside an engine says, sooner, what it holds and how
/// many run there; the entry's own calls say who answers. Others' load is what the agent reports less what this
/// entry had there, so that entries share engines without a coordinator.
class ServerTable {
public:
    ServerTable(ServerTableSettings, uint64_t seed);

    /// Adds or changes a server; nothing else that is known of it changes, unless it has started again: then what was known of
    /// the incarnation before is forgotten.
    void set_server(Schema::BackendServer const&, Core::Time now);
    void remove_server(std::string const& id);
    void set_timing(std::string const& service, Schema::EngineTiming const&);
    /// The number of entries that share the servers, this one included.
    void set_entries(size_t count) { m_entries = std::max<size_t>(1, count); }

    /// The engines that may be chosen, by IP number; the others are passed over before anything is looked up of them, so that
    /// a choice costs as much as there are engines in reach. Until it is called all are in reach.
    void set_reach(std::set<std::string> const& ips);

    /// What this entry is to the engines; see engine_roles(). Until it is called no engine has an owner.
    void set_roles(std::map<std::string, EngineRole> roles);

    /// Whether this entry may send requests to the server as its role is: an engine that it neither fills nor helps to fill
    /// has places for it only where those that are left to all who see it are at least one for each entry.
    bool is_of_use(std::string const& id) const;

    /// What the agent at an IP number read at its engine. What is told of an earlier incarnation than is known counts only once
    /// nothing else was heard of the engine for a while.
    void on_engine_state(std::string const& ip, Schema::EngineState const&, Core::Time now);
    void on_agent_gone(std::string const& ip);

    tl::expected<ServerChoice, NoServer> choose(ServerNeeds const&, Core::Time now);

    /// Whether any server of the service has room for some request.
    bool has_place(std::string const& service, Core::Time now) const;

    /// A request was sent; it holds a place until `on_ended`.
    void on_sent(std::string const& request, ServerChoice const&, int64_t prompt_tokens, Core::Time now);
    /// Its first event came: the prompt is read.
    void on_first_event(std::string const& id, std::string const& request, Core::Time now);
    void on_ended(std::string const& id, std::string const& request, ServerOutcome, Core::Time now);
    /// It says nothing of the request, which holds no place there any more, and may be answered later all the same.
    void on_silent(std::string const& id, std::string const& request, Core::Time now);
    /// Some bytes of an answer came from the server, to whichever request.
    void on_received(std::string const& id, Core::Time now);
    /// The server has answered some request just now: one that hears nothing there waits behind others.
    bool is_answering(std::string const& id, Core::Time now) const;

    /// Start of the latest incarnation of the server that was listed or reported; nothing if none was told.
    std::optional<int64_t> started_at_ms(std::string const& id) const;

    /// The server, or null.
    Schema::BackendServer const* find(std::string const& id) const;
    /// The whole version that the server holds; 0 if none, or if it serves no model.
    int64_t version_of(std::string const& id, Core::Time now) const;
    /// The version that the agent at an IP number reports; 0 if none, or if it is silent.
    int64_t version_at(std::string const& ip, Core::Time now) const;
    /// An order is before the engine, or about to be: what it breaks off is no fault of its own.
    bool is_switching(std::string const& id, Core::Time now) const;
    /// What is known of the server has been wrong more than once in a row: the list may be behind.
    bool is_doubtful(std::string const& id) const;

    /// Mean time between places that become free at one server of a service, when it is full.
    Core::Duration turnover(std::string const& service) const;
    /// Mean time between places that become free at any of the engines that this entry fills, when they are full.
    Core::Duration place_interval(std::string const& service, Core::Time now) const;
    /// Least time to the first event of a prompt at an engine that is in use; 0 for a plain service.
    Core::Duration least_first_event(std::string const& service, int64_t prompt_tokens) const;
    /// Time that a request of a size takes at a full engine; 0 for a plain service.
    Core::Duration service_time(std::string const& service, int64_t prompt_tokens, int64_t answer_tokens) const;
    /// Time after which an engine that does not serve now may serve; nothing if none is about to.
    std::optional<Core::Duration> next_engine(std::string const& service, Core::Time now) const;

private:
    struct Pending {
        int64_t prompt_tokens { 0 };
        Core::Time sent_at { 0 };
        Core::Duration predicted { 0 };
        bool has_first_event { false };
    };

    /// A service whose backend servers are engines.
    struct EngineService {
        Schema::EngineTiming timing;
        EngineTimes times;
        /// Layers of the model; 0 if unknown.
        int64_t layers { 0 };
    };

    struct Reported {
        Schema::EngineState state;
        Core::Time at { 0 };
        int64_t own_in_flight { 0 };
        /// Requests that this entry has sent there since.
        int64_t own_sent { 0 };
    };

    struct Server {
        Schema::BackendServer entry;
        std::string ip;
        // Of an engine: its agent is followed. All others are always in reach.
        bool is_in_reach { true };
        int64_t listed_version { 0 };
        /// Start of the latest incarnation that was listed or reported, and when it was first heard of here.
        std::optional<int64_t> started_at_ms;
        Core::Time known_since { 0 };
        std::map<std::string, Pending> pending;
        // Requests that were sent to earlier incarnations and have not ended: how they end says nothing of this one.
        std::set<std::string> sent_before;
        std::optional<Core::Time> heard_at;
        Core::Time suspended_until { 0 };
        /// It is suspended for its silence alone: the next bytes from it end that.
        bool is_suspended_as_silent { false };
        /// When it last became unreachable.
        std::optional<Core::Time> unreachable_at;
        Core::Time full_until { 0 };
        int64_t faults_in_a_row { 0 };
        int64_t misdirected_in_a_row { 0 };
        double failure_rate { 0 };
    };

    /// What an engine has to do, as far as is known.
    struct Load {
        double running { 0 };
        /// Requests that wait for a place in front of the next one.
        double ahead { 0 };
        /// Reading of the prompts whose first event has not come, milliseconds.
        double unread_ms { 0 };
    };

    /// Forgets what an incarnation leaves behind, if this start is later than the one known.
    static void note_start(Server&, std::optional<int64_t> started_at_ms, Core::Time now);
    static void begin_incarnation(Server&);
    /// What an end, or a silence, of a request that was sent at `sent_at` says of the server.
    static void note_outcome(Server&, std::optional<Core::Time> sent_at, ServerOutcome, Core::Time now);
    /// Null where the agent is silent, or told of an earlier incarnation.
    Reported const* reported(Server const&, Core::Time now) const;
    /// Whether a report is of an earlier incarnation than the known one, by which it was overtaken.
    static bool is_overtaken(Server const&, Reported const&);
    /// Null for a plain service.
    EngineService const* engine_service(std::string const& service) const;
    int64_t version_of(Server const&, Core::Time now) const;
    bool is_usable(Server const&, ServerNeeds const&, Core::Time now) const;
    int64_t others_in_flight(Server const&, Core::Time now) const;
    int64_t room(Server const&, Core::Time now) const;
    /// Whether this entry has taken its part of the places that the last report showed free at another's engine.
    bool has_taken_its_part(Server const&, Core::Time now) const;
    /// Among how many the places are shared that a report showed free.
    int64_t sharers(EngineRole) const;
    bool has_room(Server const&, Core::Time now) const;
    Load load(Server const&, EngineTimes const&, Core::Time now) const;
    /// Whether those that run there would see a longer pause than they may, with one more prompt to read.
    bool would_stall(Server const&, ServerNeeds const&, Core::Time now) const;
    bool has_leftover(Server const&, Core::Time now) const;
    double predicted_ms(Server const&, ServerNeeds const&, Core::Time now) const;
    double distance_ms(Server const&) const;
    EngineRole role(Server const&) const;
    /// What is added to the cost of an engine that another entry fills.
    double role_ms(Server const&) const;
    double cost(Server const&, ServerNeeds const&, Core::Time now);

    ServerTableSettings m_settings;
    std::mt19937_64 m_random;
    size_t m_entries { 1 };
    std::map<std::string, Server> m_servers;
    std::map<std::string, EngineService> m_engine_services;
    // By the IP number that agent and engine share.
    std::map<std::string, Reported> m_reported;
    std::optional<std::map<std::string, EngineRole>> m_roles;
};

}
