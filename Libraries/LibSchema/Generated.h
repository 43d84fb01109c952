//  To parse this JSON data, first install
//
//      json.hpp  https://github.com/nlohmann/json
//
//  Then include this file, and then do
//
//     AgentSettings data = nlohmann::json::parse(jsonString);
//     BackendServer data = nlohmann::json::parse(jsonString);
//     DirectEntrySettings data = nlohmann::json::parse(jsonString);
//     EngineAgentSettings data = nlohmann::json::parse(jsonString);
//     EngineFaults data = nlohmann::json::parse(jsonString);
//     EngineStatus data = nlohmann::json::parse(jsonString);
//     EntrySettings data = nlohmann::json::parse(jsonString);
//     KeptBlame data = nlohmann::json::parse(jsonString);
//     KeptVersion data = nlohmann::json::parse(jsonString);
//     LoadOrder data = nlohmann::json::parse(jsonString);
//     LogPage data = nlohmann::json::parse(jsonString);
//     LogPosition data = nlohmann::json::parse(jsonString);
//     LogRecord data = nlohmann::json::parse(jsonString);
//     Message data = nlohmann::json::parse(jsonString);
//     ModelSeed data = nlohmann::json::parse(jsonString);
//     ModelVersion data = nlohmann::json::parse(jsonString);
//     Problem data = nlohmann::json::parse(jsonString);
//     ResourceView data = nlohmann::json::parse(jsonString);
//     RolloutStatus data = nlohmann::json::parse(jsonString);
//     RoutingConfiguration data = nlohmann::json::parse(jsonString);
//     WeightsFaults data = nlohmann::json::parse(jsonString);

#pragma once

#include <optional>
#include <nlohmann/json.hpp>

#include <unordered_map>

#ifndef NLOHMANN_OPT_HELPER
#define NLOHMANN_OPT_HELPER
namespace nlohmann {
    template <typename T>
    struct adl_serializer<std::shared_ptr<T>> {
        static void to_json(json & j, const std::shared_ptr<T> & opt) {
            if (!opt) j = nullptr; else j = *opt;
        }

        static std::shared_ptr<T> from_json(const json & j) {
            if (j.is_null()) return std::shared_ptr<T>(); else return std::make_shared<T>(j.get<T>());
        }
    };
    template <typename T>
    struct adl_serializer<std::optional<T>> {
        static void to_json(json & j, const std::optional<T> & opt) {
            if (!opt) j = nullptr; else j = *opt;
        }

        static std::optional<T> from_json(const json & j) {
            if (j.is_null()) return std::optional<T>(); else return std::make_optional<T>(j.get<T>());
        }
    };
}
#endif

namespace Schema {
    using nlohmann::json;

    #ifndef NLOHMANN_UNTYPED_Schema_HELPER
    #define NLOHMANN_UNTYPED_Schema_HELPER
    inline json get_untyped(const json & j, const char * property) {
        if (j.find(property) != j.end()) {
            return j.at(property).get<json>();
        }
        return json();
    }

    inline json get_untyped(const json & j, std::string property) {
        return get_untyped(j, property.data());
    }
    #endif

    #ifndef NLOHMANN_OPTIONAL_Schema_HELPER
    #define NLOHMANN_OPTIONAL_Schema_HELPER
    template <typename T>
    inline std::shared_ptr<T> get_heap_optional(const json & j, const char * property) {
        auto it = j.find(property);
        if (it != j.end() && !it->is_null()) {
            return j.at(property).get<std::shared_ptr<T>>();
        }
        return std::shared_ptr<T>();
    }

    template <typename T>
    inline std::shared_ptr<T> get_heap_optional(const json & j, std::string property) {
        return get_heap_optional<T>(j, property.data());
    }
    template <typename T>
    inline std::optional<T> get_stack_optional(const json & j, const char * property) {
        auto it = j.find(property);
        if (it != j.end() && !it->is_null()) {
            return j.at(property).get<std::optional<T>>();
        }
        return std::optional<T>();
    }

    template <typename T>
    inline std::optional<T> get_stack_optional(const json & j, std::string property) {
        return get_stack_optional<T>(j, property.data());
    }
    #endif

    /**
     * Kind.
     *
     * What stands behind it.
     */
    enum class BackendKindEnum : int { Engine, Plain };

    /**
     * Least level logged.
     */
    enum class LogLevel : int { Debug, Error, Info, Warn };

    /**
     * How weights spread; all but swarm are baselines.
     */
    enum class Strategy : int { Chain, OriginOnly, Swarm };

    /**
     * Settings of mountbarrow-agent.
     */
    struct AgentSettings {
        /**
         * IP number to listen on.
         */
        std::string address;
        /**
         * IP number of the backend server.
         */
        std::string backend_address;
        /**
         * Kind.
         */
        BackendKindEnum backend_kind;
        /**
         * TCP port of the backend server.
         */
        int64_t backend_port;
        /**
         * Requests admitted at once.
         */
        std::optional<int64_t> capacity;
        /**
         * Largest clock difference assumed, milliseconds.
         */
        std::optional<int64_t> clock_bound_ms;
        /**
         * Limit on weights fetched; 0 for none.
         */
        std::optional<int64_t> download_bytes_per_second;
        /**
         * Longest wait for requests in flight at a stop, milliseconds.
         */
        std::optional<int64_t> drain_ms;
        /**
         * Failure domain.
         */
        std::string failure_domain;
        /**
         * Chunks fetched at once.
         */
        std::optional<int64_t> fetches_in_flight;
        /**
         * TCP port for HTTP; 0 lets the system choose.
         */
        int64_t http_port;
        /**
         * Instance identity.
         */
        std::string identity;
        /**
         * File with the shared link keys, one a line, newest first.
         */
        std::optional<std::string> key_file;
        /**
         * How long an outcome is kept, milliseconds.
         */
        std::optional<int64_t> key_lifetime_ms;
        /**
         * How long a home lease lasts, milliseconds.
         */
        std::optional<int64_t> lease_ms;
        /**
         * TCP port of the WebSocket link.
         */
        int64_t link_port;
        /**
         * How far two readers of the instance list may lie apart, milliseconds.
         */
        std::optional<int64_t> list_lag_ms;
        /**
         * How often the instance list is read, milliseconds.
         */
        std::optional<int64_t> list_poll_ms;
        /**
         * Log file; standard error if absent.
         */
        std::optional<std::string> log_file;
        /**
         * Least level logged.
         */
        std::optional<LogLevel> log_level;
        /**
         * How often the log is read, milliseconds.
         */
        std::optional<int64_t> log_poll_ms;
        /**
         * Peers a transfer talks to.
         */
        std::optional<int64_t> neighbours;
        /**
         * Memory for outcomes of keyed requests, bytes.
         */
        std::optional<int64_t> once_record_bytes;
        /**
         * Wait per rank before the origin is asked, milliseconds.
         */
        std::optional<int64_t> origin_patience_ms;
        /**
         * IP number of the platform.
         */
        std::string platform_address;
        /**
         * TCP port of the platform.
         */
        int64_t platform_port;
        /**
         * Region.
         */
        std::string region;
        /**
         * How long a dropped link may take to come back, milliseconds.
         */
        std::optional<int64_t> resume_ms;
        /**
         * Instances of a rollout that share the reading from the origin.
         */
        std::optional<int64_t> seeders;
        /**
         * Service beside the agent.
         */
        std::string service;
        /**
         * Silence after which a fetch is given up, milliseconds.
         */
        std::optional<int64_t> stall_ms;
        /**
         * How weights spread; all but swarm are baselines.
         */
        std::optional<Strategy> strategy;
        /**
         * Limit on weights sent; 0 for none.
         */
        std::optional<int64_t> upload_bytes_per_second;
        /**
         * Chunks sent to peers at once.
         */
        std::optional<int64_t> uploads_at_once;
        /**
         * Requests for a chunk that may wait for an upload to end.
         */
        std::optional<int64_t> uploads_waiting;
    };

    /**
     * Consecutive layers of one version in an engine's memory.
     */
    struct HeldLayers {
        /**
         * Layer after the last.
         */
        int64_t end_layer;
        /**
         * First layer.
         */
        int64_t first_layer;
        /**
         * Model.
         */
        std::string model;
        /**
         * Version of the weights.
         */
        int64_t version;
    };

    /**
     * A backend server as the platform's list has it.
     */
    struct BackendServer {
        /**
         * IP:PORT.
         */
        std::string address;
        /**
         * Time for which it is still slow, milliseconds.
         */
        int64_t cold_left_ms;
        /**
         * Failure domain.
         */
        std::string failure_domain;
        /**
         * Layers in memory.
         */
        std::vector<HeldLayers> held;
        /**
         * Identity, under which a backend server may start again.
         */
        std::string id;
        /**
         * It is leaving.
         */
        bool is_draining;
        /**
         * Service.
         */
        std::string service;
        /**
         * Requests run at once.
         */
        int64_t slots;
        /**
         * Start of the incarnation, milliseconds of the Unix clock; absent where the platform does
         * not tell it.
         */
        std::optional<int64_t> started_at_ms;
        /**
         * Paths of the fields that could not be read.
         */
        std::vector<std::string> unreadable_fields;
    };

    /**
     * The platform's time bounds, as its settings give them.
     */
    struct DirectEntrySettingsBounds {
        /**
         * An instance is to be in touch with the platform again this long after trouble has ended,
         * milliseconds.
         */
        std::optional<int64_t> contact_ms;
        /**
         * A leaving backend server gets nothing new after this, milliseconds.
         */
        int64_t drain_ms;
        /**
         * Time between the stop signal and the kill, seconds.
         */
        double grace_s;
        /**
         * Interval at which a backend server writes its record, milliseconds; 1,200 without it.
         */
        std::optional<int64_t> heartbeat_ms;
        /**
         * Sends beyond the first of each request, as a share of the requests, all entries together.
         */
        double retry_ratio;
        /**
         * Sends allowed beyond the ratio in a window, all entries together.
         */
        double retry_slack;
        /**
         * Window of the ratio, seconds.
         */
        double retry_window_s;
        /**
         * A named version must be served everywhere after this, milliseconds.
         */
        int64_t version_ms;
    };

    /**
     * How a backend server is chosen.
     */
    enum class ServerChoice : int { LeastLoaded, Predicted, RandomPick };

    /**
     * How requests are ordered and engines chosen. Each member has a default; a deployment sets
     * one only to compare.
     */
    struct RoutingPolicy {
        /**
         * An engine is given no prompt that would make those it runs pause for longer than they may.
         */
        std::optional<bool> bound_pauses;
        /**
         * How much rarer places for late requests are than places, until it was seen.
         */
        std::optional<double> leftover_factor;
        /**
         * Places of an engine that late requests leave to others.
         */
        std::optional<int64_t> leftover_reserve;
        /**
         * Reading that may be due at an engine that is given a late request, milliseconds.
         */
        std::optional<double> leftover_unread_ms;
        /**
         * Requests that can still be in time go before those that can only be late.
         */
        std::optional<bool> order_by_timeliness;
        /**
         * Entries that do not fill an engine share the places that its last report showed free.
         */
        std::optional<bool> share_reported_room;
    };

    /**
     * Settings of mountbarrow-direct-entry.
     */
    struct DirectEntrySettings {
        /**
         * The platform's time bounds, as its settings give them.
         */
        DirectEntrySettingsBounds bounds;
        /**
         * IP:PORT at which callers are served.
         */
        std::string callers_address;
        /**
         * How a backend server is chosen.
         */
        std::optional<ServerChoice> choice;
        /**
         * IP:PORT of the link listener that seeds name.
         */
        std::optional<std::string> control_address;
        /**
         * Failure domain.
         */
        std::string failure_domain;
        /**
         * IP number of this instance: its name among the project's processes.
         */
        std::string identity;
        /**
         * Shared key of the links.
         */
        std::string key;
        /**
         * Bandwidth of the instance's link, megabits per second. Three quarters of it may carry
         * weights to agents; without it, or without a metrics port, the entry keeps no copies for
         * them.
         */
        std::optional<double> link_megabits_per_second;
        /**
         * TCP port of the links between the project's processes, the same on every instance.
         */
        int64_t link_port;
        /**
         * Bound of routine log lines.
         */
        std::optional<int64_t> log_lines_per_second;
        /**
         * Most connections of callers.
         */
        std::optional<int64_t> max_caller_connections;
        /**
         * TCP port of the metrics.
         */
        std::optional<int64_t> metrics_port;
        /**
         * IP:PORT of the platform's store.
         */
        std::string platform_address;
        /**
         * Parts of the platform's interface that are in force on this deployment, by the platform's
         * names. Without them no check rests on any.
         */
        std::optional<std::vector<std::string>> platform_features;
        /**
         * How requests are ordered and engines chosen. Each member has a default; a deployment sets
         * one only to compare.
         */
        std::optional<RoutingPolicy> policy;
        /**
         * IP:PORT at which the balancer asks whether this entry is ready.
         */
        std::string readiness_address;
        /**
         * Region.
         */
        std::string region;
        /**
         * The region of each failure domain.
         */
        std::map<std::string, std::string> regions;
        /**
         * Most that requests of callers and answers that they have not read may take in memory, all
         * connections together, bytes.
         */
        std::optional<int64_t> request_memory_bytes;
        /**
         * IP:PORT of link listeners of entries; they may be stale.
         */
        std::optional<std::vector<std::string>> seeds;
    };

    /**
     * The platform's time bounds, as its settings give them.
     */
    struct EngineAgentSettingsBounds {
        /**
         * A leaving backend server gets nothing new after this, milliseconds.
         */
        int64_t drain_ms;
        /**
         * Time between the stop signal and the kill, seconds.
         */
        double grace_s;
        /**
         * Sends beyond the first of each request, as a share of the requests, all entries together.
         */
        double retry_ratio;
        /**
         * Sends allowed beyond the ratio in a window, all entries together.
         */
        double retry_slack;
        /**
         * Window of the ratio, seconds.
         */
        double retry_window_s;
        /**
         * A named version must be served everywhere after this, milliseconds.
         */
        int64_t version_ms;
    };

    /**
     * Settings of mountbarrow-engine-agent.
     */
    struct EngineAgentSettings {
        /**
         * The platform's time bounds, as its settings give them.
         */
        EngineAgentSettingsBounds bounds;
        /**
         * TCP port at which chunks and metrics are served, the same on every instance.
         */
        int64_t chunk_port;
        /**
         * IP:PORT of the engine beside this agent.
         */
        std::string engine_address;
        /**
         * Failure domain.
         */
        std::string failure_domain;
        /**
         * IP number of this instance: its name among the project's processes.
         */
        std::string identity;
        /**
         * Shared key of the links.
         */
        std::string key;
        /**
         * Bandwidth of the instance's link, megabits per second.
         */
        double link_megabits_per_second;
        /**
         * TCP port of the links between the project's processes, the same on every instance.
         */
        int64_t link_port;
        /**
         * Bound of routine log lines.
         */
        std::optional<int64_t> log_lines_per_second;
        /**
         * IP:PORT of the platform's store.
         */
        std::string platform_address;
        /**
         * Region.
         */
        std::string region;
        /**
         * The region of each failure domain.
         */
        std::map<std::string, std::string> regions;
        /**
         * IP:PORT of link listeners of entries; they may be stale.
         */
        std::optional<std::vector<std::string>> seeds;
        /**
         * Service that the engine serves.
         */
        std::string service;
    };

    /**
     * Faults of the stand-in engine.
     */
    struct EngineFaults {
        /**
         * Break a stream off after so many tokens; 0 for never.
         */
        std::optional<int64_t> break_after_tokens;
        /**
         * Run a request, then close without an answer.
         */
        std::optional<bool> close_after_run;
        /**
         * Share of requests answered with a server error at once, 0 to 1.
         */
        std::optional<double> error_share;
        /**
         * Loads that fail.
         */
        std::optional<int64_t> fail_loads;
        /**
         * Take requests and answer nothing.
         */
        std::optional<bool> stop_answering;
        /**
         * Time between tokens, milliseconds.
         */
        std::optional<int64_t> token_ms;
    };

    /**
     * A model version as an engine knows it.
     */
    struct LoadedWeights {
        /**
         * SHA-256 of the whole set, in hexadecimal.
         */
        std::string digest;
        /**
         * Model name.
         */
        std::string model;
        /**
         * Version name.
         */
        std::string version;
    };

    /**
     * What a backend server says of itself.
     */
    struct EngineStatus {
        /**
         * Highest fence accepted; 0 for none.
         */
        int64_t fence;
        /**
         * Streams open.
         */
        int64_t in_flight;
        /**
         * 0 to 1; lags.
         */
        double load;
        /**
         * True while a load is under way.
         */
        bool loading;
        std::optional<LoadedWeights> serving;
        /**
         * Prefixes cached; late and with gaps.
         */
        std::optional<std::vector<std::string>> warm_prefixes;
    };

    /**
     * How an instance is chosen.
     */
    enum class Choice : int { LeastLoaded, Prefix, Random };

    /**
     * Settings of mountbarrow-entry.
     */
    struct EntrySettings {
        /**
         * Wait for an agent to admit a repeatable request before it is tried elsewhere,
         * milliseconds.
         */
        std::optional<int64_t> accept_wait_ms;
        /**
         * IP number to listen on.
         */
        std::string address;
        /**
         * How an instance is chosen.
         */
        std::optional<Choice> choice;
        /**
         * Largest clock difference assumed, milliseconds.
         */
        std::optional<int64_t> clock_bound_ms;
        /**
         * Deadline where the caller names none, milliseconds.
         */
        std::optional<int64_t> default_deadline_ms;
        /**
         * Longest wait for requests in flight at a stop, milliseconds.
         */
        std::optional<int64_t> drain_ms;
        /**
         * Failure domain.
         */
        std::string failure_domain;
        /**
         * TCP port for HTTP; 0 lets the system choose.
         */
        int64_t http_port;
        /**
         * Instance identity.
         */
        std::string identity;
        /**
         * How long a silent caller is kept, milliseconds.
         */
        std::optional<int64_t> idle_timeout_ms;
        /**
         * File with the shared link keys, one a line, newest first.
         */
        std::optional<std::string> key_file;
        /**
         * How long a home lease lasts, milliseconds.
         */
        std::optional<int64_t> lease_ms;
        /**
         * Agents of a service an entry keeps a link to.
         */
        std::optional<int64_t> links_per_service;
        /**
         * How far two readers of the instance list may lie apart, milliseconds.
         */
        std::optional<int64_t> list_lag_ms;
        /**
         * How often the instance list is read, milliseconds.
         */
        std::optional<int64_t> list_poll_ms;
        /**
         * Log file; standard error if absent.
         */
        std::optional<std::string> log_file;
        /**
         * Least level logged.
         */
        std::optional<LogLevel> log_level;
        /**
         * How often the log is read, milliseconds.
         */
        std::optional<int64_t> log_poll_ms;
        /**
         * Largest body, bytes.
         */
        std::optional<int64_t> max_body_bytes;
        /**
         * Most connections of callers.
         */
        std::optional<int64_t> max_caller_connections;
        /**
         * Largest header block, bytes.
         */
        std::optional<int64_t> max_header_bytes;
        /**
         * IP number of the platform.
         */
        std::string platform_address;
        /**
         * TCP port of the platform.
         */
        int64_t platform_port;
        /**
         * Region.
         */
        std::string region;
        /**
         * Most that requests of callers and answers that they have not read may take in memory, all
         * connections together, bytes.
         */
        std::optional<int64_t> request_memory_bytes;
        /**
         * How long a dropped link may take to come back, milliseconds.
         */
        std::optional<int64_t> resume_ms;
        /**
         * How long the platform keeps records, milliseconds.
         */
        std::optional<int64_t> retention_ms;
        /**
         * Retries allowed per request, 0 to 1.
         */
        std::optional<double> retry_ratio;
        /**
         * JSON file of operators' bearer tokens to roles.
         */
        std::optional<std::string> tokens_file;
    };

    /**
     * What outlives the processes that blamed a request for ending the backend servers which
     * ran it.
     */
    struct KeptBlame {
        /**
         * Time of day at which it was last blamed, milliseconds since the Unix epoch.
         */
        int64_t blamed_at_ms;
        /**
         * Of what makes it the same request, whatever its id.
         */
        std::string digest;
        /**
         * Incarnations of the servers that ended under it.
         */
        std::vector<std::string> servers;
        /**
         * How often it was blamed.
         */
        int64_t times_blamed;
    };

    /**
     * What outlives the processes that knew of a version: that it was named, and by when.
     */
    struct KeptVersion {
        /**
         * A time of day at which it was known, milliseconds since the Unix epoch.
         */
        int64_t known_at_ms;
        /**
         * Model.
         */
        std::string model;
        /**
         * Version.
         */
        int64_t version;
    };

    /**
     * A fenced order to an engine.
     */
    struct LoadOrder {
        /**
         * In order.
         */
        std::vector<std::string> chunks;
        /**
         * Digest of the set.
         */
        std::string digest;
        /**
         * Only grows.
         */
        int64_t fence;
        /**
         * Model.
         */
        std::string model;
        /**
         * IP number that serves the chunks.
         */
        std::string source_address;
        /**
         * TCP port that serves them.
         */
        int64_t source_port;
        /**
         * Version.
         */
        std::string version;
    };

    /**
     * A page of the platform's log.
     */
    struct LogPage {
        /**
         * Consecutive records.
         */
        std::vector<std::string> bodies;
        /**
         * Offset that the next append will get.
         */
        int64_t end;
        /**
         * Oldest offset still kept.
         */
        int64_t first_retained;
        /**
         * Offset of the first body.
         */
        int64_t from;
    };

    /**
     * Where a record was appended.
     */
    struct LogPosition {
        /**
         * Offset.
         */
        int64_t offset;
    };

    /**
     * Resource kind.
     */
    enum class ChangeKind : int { Customer, Rollout, Service, Version };

    /**
     * Operation.
     */
    enum class Operation : int { Delete, Put };

    /**
     * An operator's change.
     */
    struct Change {
        /**
         * Unique id; a second one with the same id folds to nothing.
         */
        std::string change_id;
        /**
         * Revision it replaces; -1 when the resource must not exist.
         */
        int64_t expected_revision;
        /**
         * Resource kind.
         */
        ChangeKind kind;
        /**
         * Resource name.
         */
        std::string name;
        /**
         * Operation.
         */
        Operation operation;
        /**
         * Serialised spec; empty for a delete.
         */
        std::string spec;
    };

    /**
     * Limits of a customer over all entries.
     */
    struct CustomerSpec {
        /**
         * Requests above the rate at once.
         */
        double burst;
        /**
         * Requests in flight.
         */
        int64_t concurrency;
        /**
         * Rate.
         */
        double requests_per_second;
    };

    /**
     * Why it was not applied.
     */
    enum class Failure : int { InvalidSpec, RevisionConflict };

    /**
     * What became of a change.
     */
    struct StoredOutcome {
        /**
         * Change id.
         */
        std::string change_id;
        /**
         * Why it was not applied.
         */
        std::optional<Failure> failure;
        /**
         * Offset of its record.
         */
        int64_t offset;
        /**
         * Revision in force after it; -1 for none.
         */
        int64_t revision;
    };

    /**
     * A resource in a fold.
     */
    struct StoredResource {
        /**
         * Resource kind.
         */
        ChangeKind kind;
        /**
         * Name.
         */
        std::string name;
        /**
         * Offset of the record that last changed it.
         */
        int64_t revision;
        /**
         * Serialised spec.
         */
        std::string spec;
    };

    /**
     * A fold, serialised.
     */
    struct FoldState {
        /**
         * Digest over all records folded.
         */
        std::string chain;
        /**
         * Last offset folded.
         */
        int64_t offset;
        /**
         * Latest outcomes, oldest first.
         */
        std::vector<StoredOutcome> outcomes;
        /**
         * All resources.
         */
        std::vector<StoredResource> resources;
    };

    /**
     * What to save.
     */
    enum class Prefer : int { OriginBytes, Time };

    /**
     * Desired copies of a model version.
     */
    struct RolloutSpec {
        /**
         * Adapters.
         */
        std::optional<std::vector<std::string>> adapters;
        /**
         * Model name.
         */
        std::string model;
        /**
         * Where it must run; empty means anywhere.
         */
        std::optional<std::vector<std::string>> places;
        /**
         * What to save.
         */
        std::optional<Prefer> prefer;
        /**
         * Copies wanted.
         */
        int64_t replicas;
        /**
         * Services whose instances serve it.
         */
        std::vector<std::string> services;
        /**
         * Version name.
         */
        std::string version;
    };

    /**
     * A service that callers name.
     */
    struct ServiceSpec {
        /**
         * What stands behind it.
         */
        BackendKindEnum kind;
        /**
         * Requests one instance admits at once.
         */
        std::optional<int64_t> max_in_flight_per_instance;
        /**
         * Requests an entry queues.
         */
        std::optional<int64_t> queue_limit;
    };

    /**
     * The fold, written again before records lapse.
     */
    struct SnapshotRecord {
        /**
         * Digest over all records folded.
         */
        std::string chain;
        /**
         * Last offset folded.
         */
        int64_t folds_to;
        /**
         * Serialised fold.
         */
        std::string state;
    };

    /**
     * One piece of a version.
     */
    struct Chunk {
        /**
         * Length, bytes.
         */
        int64_t bytes;
        /**
         * SHA-256 in hexadecimal.
         */
        std::string digest;
    };

    /**
     * A model version: what its weights are made of.
     */
    struct VersionSpec {
        /**
         * Adapters whose chunks are included.
         */
        std::optional<std::vector<std::string>> adapters;
        /**
         * In order.
         */
        std::vector<Chunk> chunks;
        /**
         * SHA-256 over the chunks' digests in order, in hexadecimal.
         */
        std::string digest;
        /**
         * Model name.
         */
        std::string model;
        /**
         * Version name.
         */
        std::string version;
    };

    /**
     * One record on the platform's log: exactly one member is set.
     */
    struct LogRecord {
        std::optional<Change> change;
        std::optional<CustomerSpec> customer_spec;
        std::optional<FoldState> fold_state;
        std::optional<RolloutSpec> rollout_spec;
        std::optional<ServiceSpec> service_spec;
        std::optional<SnapshotRecord> snapshot;
        std::optional<VersionSpec> version_spec;
    };

    /**
     * The attempt was admitted and may run from now on.
     */
    struct Accepted {
        /**
         * Attempt id.
         */
        std::string attempt;
    };

    /**
     * All parts below this one arrived.
     */
    struct Acknowledge {
        /**
         * Attempt id.
         */
        std::string attempt;
        /**
         * First part not yet held.
         */
        int64_t next_sequence;
    };

    /**
     * Why a request, an order or a change was not carried out.
     */
    enum class Reason : int { AnswerIncomplete, BackendBrokeOff, BackendTimeout, CallerGone, ConnectFailed, DeadlinePassed, DeadlineTooNear, Draining, Forbidden, InstanceBusy, InstanceLost, KeyBeforeHome, KeyFromFuture, KeyInProgress, KeyMalformed, KeyTooOld, LeaseLapsed, LinkLost, LoadFailed, Malformed, NoInstance, NoSuchCustomer, NoSuchService, NoSuchVersion, None, NotHome, OriginUnavailable, OverConcurrency, OverRate, QueueFull, RecordFull, RetryBudgetSpent, Stopping, TooLarge, Unauthorized, VersionNotReady };

    /**
     * The attempt may have run and its answer will not become whole.
     */
    struct Broken {
        /**
         * Attempt id.
         */
        std::string attempt;
        Reason reason;
    };

    /**
     * The answer is no longer wanted.
     */
    struct Cancel {
        /**
         * Attempt id.
         */
        std::string attempt;
    };

    /**
     * First word of both sides of a link.
     */
    struct Challenge {
        /**
         * Random hexadecimal; the peer's hello is keyed over it.
         */
        std::string nonce;
        /**
         * Protocol version.
         */
        int64_t protocol;
    };

    /**
     * Chunks a peer holds of a version; a delta adds to what was said before.
     */
    struct ChunkMap {
        /**
         * Held.
         */
        std::vector<int64_t> chunks;
        /**
         * Digest of the version.
         */
        std::string digest;
    };

    /**
     * A suspect that runs on a server.
     */
    struct SuspectRun {
        /**
         * No other suspect may go there meanwhile.
         */
        bool alone;
        /**
         * Of the request.
         */
        std::string digest;
        /**
         * It has ended, however it did.
         */
        bool is_over;
        /**
         * Id of the server.
         */
        std::string server;
    };

    /**
     * A run that the server's end cut off.
     */
    struct EndedRun {
        /**
         * The server ran no other suspect.
         */
        bool alone;
        /**
         * Incarnation of the server.
         */
        std::string server;
    };

    /**
     * A request, and the servers that ended while they ran it.
     */
    struct CrashSuspect {
        /**
         * Time since it was last blamed, milliseconds; absent if it is not.
         */
        std::optional<int64_t> blamed_ms_ago;
        /**
         * Of what makes it the same request, whatever its id.
         */
        std::string digest;
        /**
         * Servers that ended under it, without those that another request is blamed for.
         */
        std::vector<EndedRun> ends;
        /**
         * How often it was blamed.
         */
        int64_t times_blamed;
    };

    /**
     * What an entry tells the others of requests that end the backend servers which run them.
     */
    struct CrashNews {
        /**
         * Digests of requests that ran to their end, or that the operator has cleared.
         */
        std::vector<std::string> cleared;
        /**
         * Suspects that begin to run at the sender, or have ended.
         */
        std::vector<SuspectRun> runs;
        /**
         * Requests that ran on servers which ended.
         */
        std::vector<CrashSuspect> suspects;
    };

    /**
     * What a customer asks of one entry.
     */
    struct Demand {
        /**
         * Customer.
         */
        std::string customer;
        /**
         * Requests offered a second, refused ones included.
         */
        double per_second;
    };

    /**
     * What an entry said of its demand.
     */
    struct EntryDemand {
        /**
         * The largest ones.
         */
        std::vector<Demand> customers;
        /**
         * Identity of the entry.
         */
        std::string entry;
    };

    /**
     * Demand at the other entries, passed on by an agent.
     */
    struct Demands {
        /**
         * One for each entry heard of late.
         */
        std::vector<EntryDemand> entries;
    };

    /**
     * Entries that the sender has links with, or has just met.
     */
    struct EntryDirectory {
        /**
         * Identities.
         */
        std::vector<std::string> entries;
    };

    /**
     * One HTTP header.
     */
    struct Header {
        /**
         * Field name.
         */
        std::string name;
        /**
         * Field value.
         */
        std::string value;
    };

    /**
     * Whether a second run does harm.
     */
    enum class Repeatability : int { Once, Repeatable };

    /**
     * One attempt of one request.
     */
    struct Dispatch {
        /**
         * Attempt id, unique.
         */
        std::string attempt;
        /**
         * Request body.
         */
        std::string body;
        /**
         * Customer.
         */
        std::string customer;
        /**
         * Milliseconds left.
         */
        int64_t deadline_ms;
        /**
         * Forwarded headers.
         */
        std::vector<Header> headers;
        /**
         * Idempotency key, a UUIDv7.
         */
        std::optional<std::string> key;
        /**
         * HTTP method.
         */
        std::string method;
        /**
         * Model that must be served.
         */
        std::optional<std::string> model;
        /**
         * Path behind the service's name.
         */
        std::string path;
        /**
         * 0 is most urgent.
         */
        int64_t priority;
        /**
         * Whether a second run does harm.
         */
        Repeatability repeatability;
        /**
         * Version that must be served.
         */
        std::optional<std::string> version;
    };

    /**
     * What an agent reads at its engine.
     */
    struct EngineState {
        /**
         * An order is under way.
         */
        bool is_busy;
        /**
         * Whether the agent knows what the engine holds. Absent from older builds, whose version 0
         * says that it holds none.
         */
        std::optional<bool> is_version_known;
        /**
         * Above 1: slow.
         */
        double pace;
        /**
         * Requests that run.
         */
        int64_t running;
        /**
         * Incarnation of the engine, empty if unknown.
         */
        std::string server_id;
        /**
         * Start of the engine's incarnation, milliseconds of the Unix clock; absent where it does
         * not tell it.
         */
        std::optional<int64_t> started_at_ms;
        /**
         * Version of which the engine held all layers when the agent started, if the agent has not
         * checked that load yet.
         */
        std::optional<int64_t> unchecked_version;
        /**
         * Version of which the engine holds all layers, by a load that the agent found whole; 0 for
         * none.
         */
        int64_t version;
        /**
         * Requests that wait.
         */
        int64_t waiting;
    };

    /**
     * What an entry tells an agent of the use that it makes of the engine. Until it comes the
     * engine is used.
     */
    struct EngineUse {
        /**
         * The entry sends requests there, and wants to know of each change of the load at once.
         */
        bool is_used;
    };

    /**
     * Demand for one service at one entry.
     */
    struct ServiceDemand {
        /**
         * Requests a second.
         */
        double per_second;
        /**
         * Service.
         */
        std::string service;
    };

    /**
     * What an entry tells the others, so that each knows which engines are its own.
     */
    struct EntryLoad {
        /**
         * How far the entry has read the operator's log, as in a ping; absent if it does not say.
         */
        std::optional<int64_t> configuration_end;
        /**
         * The version of the configuration that the entry goes by, as in a ping.
         */
        std::optional<int64_t> configuration_version;
        /**
         * Recent requests of callers by service.
         */
        std::vector<ServiceDemand> demand;
        /**
         * Failure domain of the entry.
         */
        std::string failure_domain;
        /**
         * The entry issues permits for the limited servers whose issuer it is; false just after its
         * start, and once it is about to stop. Absent in older builds, which always count as
         * issuing.
         */
        std::optional<bool> issues_permits;
        /**
         * The entry takes part in the exchange about limits of backend servers; absent in older
         * builds, which do not.
         */
        std::optional<bool> keeps_limits;
    };

    /**
     * Asks for all facts at or above two offsets.
     */
    struct FactRequest {
        /**
         * Era of the log that the offset counts in; absent from older builds.
         */
        std::optional<int64_t> configuration_era;
        /**
         * Offset.
         */
        int64_t configuration_from;
        /**
         * When the request was sent, by the sender's monotonic clock, milliseconds; absent from
         * older builds.
         */
        std::optional<int64_t> requested_at_ms;
        /**
         * Era of the log that the offset counts in; absent from older builds.
         */
        std::optional<int64_t> servers_era;
        /**
         * Offset.
         */
        int64_t servers_from;
    };

    /**
     * What it is about.
     */
    enum class FactKind : int { BackendServer, Configuration, ModelVersion };

    /**
     * A version that was named, and when.
     */
    struct ToldVersion {
        /**
         * Time since some process is known to have known of it, milliseconds: it was named for
         * certain before that.
         */
        int64_t known_ms_ago;
        /**
         * Time since it can have been named at the earliest, milliseconds. Absent where the sender
         * cannot tell.
         */
        std::optional<int64_t> named_ms_ago;
        /**
         * Version.
         */
        int64_t version;
    };

    /**
     * One key's newest value, as the platform's log or a peer gave it.
     */
    struct Fact {
        /**
         * JSON of the value; empty for a removed key.
         */
        std::string body;
        /**
         * Era of the log that the offset counts in; absent from older builds.
         */
        std::optional<int64_t> era;
        /**
         * Key.
         */
        std::string key;
        /**
         * What it is about.
         */
        FactKind kind;
        /**
         * For a backend server that left, if later records of it are left out as delayed: offset of
         * the record by which it left, in the same era. Absent from older builds.
         */
        std::optional<int64_t> left_revision;
        /**
         * For a backend server that left and accepts requests again: offset of the record that
         * showed it, in the same era. Absent from older builds.
         */
        std::optional<int64_t> returned_revision;
        /**
         * Offset of its record.
         */
        int64_t revision;
        /**
         * For a model version: all that the sender knows of the model, oldest first. The bound of
         * each runs by itself.
         */
        std::optional<std::vector<ToldVersion>> versions;
    };

    /**
     * Facts that the receiver may lack.
     */
    struct FactBatch {
        /**
         * Time since the sender read both topics of the platform's log: that of the topic that is
         * further behind, milliseconds.
         */
        int64_t age_ms;
        /**
         * Time since the operator's records were known to be current at the sender, milliseconds.
         * Absent where the sender is of a build that states age_ms only.
         */
        std::optional<int64_t> configuration_age_ms;
        /**
         * All configuration records below this offset are in.
         */
        int64_t configuration_end;
        /**
         * Era of the log that configuration_end counts in; absent from older builds.
         */
        std::optional<int64_t> configuration_era;
        /**
         * Facts.
         */
        std::vector<Fact> facts;
        /**
         * What the request that this answers stated as its requested_at_ms; absent from older
         * builds.
         */
        std::optional<int64_t> requested_at_ms;
        /**
         * Time since the list of backend servers was known to be current at the sender,
         * milliseconds. Absent where the sender is of a build that states age_ms only.
         */
        std::optional<int64_t> servers_age_ms;
        /**
         * All records of backend servers below this offset are in.
         */
        int64_t servers_end;
        /**
         * Era of the log that servers_end counts in; absent from older builds.
         */
        std::optional<int64_t> servers_era;
    };

    /**
     * Role.
     *
     * What runs there.
     */
    enum class Role : int { Agent, Entry };

    /**
     * Identity, proved by an HMAC over the peer's nonce.
     */
    struct Hello {
        /**
         * Instance identity.
         */
        std::string identity;
        /**
         * Start time of the process, milliseconds since the epoch.
         */
        int64_t incarnation;
        /**
         * Version of the instance list held; -1 for none.
         */
        int64_t list_version;
        /**
         * HMAC-SHA-256 in hexadecimal.
         */
        std::string mac;
        /**
         * Highest configuration offset folded; -1 for none.
         */
        int64_t offset;
        /**
         * Role.
         */
        Role role;
    };

    /**
     * An incarnation of a backend server that takes no new requests, and soon ends.
     */
    struct LeavingServer {
        /**
         * Id of the backend server.
         */
        std::string server;
        /**
         * Start of the incarnation, Unix milliseconds; absent if unknown.
         */
        std::optional<int64_t> started_at_ms;
    };

    /**
     * Backend servers that state in their answers that they leave. Entries tell each other, and
     * the agent of the engine.
     */
    struct LeavingServers {
        std::vector<LeavingServer> servers;
    };

    /**
     * How many entries wait for permits of a limited backend server.
     */
    struct PermitDemand {
        /**
         * Id of the backend server.
         */
        std::string server;
        /**
         * Number of entries whose requests for permits the issuer has not met, the receiver among
         * them.
         */
        int64_t waiting_entries;
    };

    /**
     * What a backend server stated of its limit.
     */
    struct LimitStatement {
        /**
         * How long ago the statement held, milliseconds.
         */
        int64_t age_ms;
        /**
         * Requests a second that it accepts from all entries together; absent if it accepts any
         * number.
         */
        std::optional<double> per_second;
        /**
         * Id of the backend server.
         */
        std::string server;
        /**
         * Start of the incarnation that stated it, Unix milliseconds; absent if unknown.
         */
        std::optional<int64_t> started_at_ms;
    };

    /**
     * A number of permits, each to send one request to a backend server.
     */
    struct PermitCount {
        /**
         * Number of permits.
         */
        int64_t count;
        /**
         * Id of the backend server.
         */
        std::string server;
    };

    /**
     * What entries send each other to keep together within the limits that backend servers
     * state on the requests that they accept.
     */
    struct LimitExchange {
        /**
         * Demand for the permits of servers for which the receiver requested some; absent from
         * older builds.
         */
        std::optional<std::vector<PermitDemand>> demands;
        /**
         * Limits that servers stated, or ended.
         */
        std::vector<LimitStatement> limits;
        /**
         * Permits that the sender issues to the receiver.
         */
        std::vector<PermitCount> permits;
        /**
         * Permits that the sender requests.
         */
        std::vector<PermitCount> requests;
    };

    /**
     * As the platform sees it.
     */
    enum class InstanceState : int { Leaving, Live };

    /**
     * One row of the platform's list.
     */
    struct Instance {
        /**
         * IP number.
         */
        std::string address;
        /**
         * Failure domain.
         */
        std::string failure_domain;
        /**
         * TCP port for weights or callers.
         */
        int64_t http_port;
        /**
         * Identity, unique for the life of the instance.
         */
        std::string id;
        /**
         * TCP port of the WebSocket link.
         */
        int64_t link_port;
        /**
         * Region.
         */
        std::string region;
        /**
         * What runs there.
         */
        Role role;
        /**
         * Service served beside the agent; empty for an entry.
         */
        std::string service;
        /**
         * As the platform sees it.
         */
        InstanceState state;
    };

    /**
     * The platform's list.
     */
    struct Members {
        /**
         * All rows.
         */
        std::vector<Instance> instances;
        /**
         * Grows with every change.
         */
        int64_t version;
    };

    /**
     * One piece of an answer.
     */
    struct Part {
        /**
         * Attempt id.
         */
        std::string attempt;
        /**
         * Bytes.
         */
        std::string data;
        /**
         * Answer headers, on part 0.
         */
        std::optional<std::vector<Header>> headers;
        /**
         * True on the final part.
         */
        bool last;
        /**
         * From 0, without gaps.
         */
        int64_t sequence;
        /**
         * HTTP status, on part 0.
         */
        std::optional<int64_t> status;
    };

    /**
     * Chunks that an agent holds verified.
     */
    struct PieceMap {
        /**
         * Chunk numbers.
         */
        std::vector<int64_t> chunks;
        /**
         * The agent brings the missing chunks here; false: its engine serves the version already.
         */
        bool is_seeking;
        /**
         * Model.
         */
        std::string model;
        /**
         * Version.
         */
        int64_t version;
    };

    /**
     * Lease request of an agent.
     */
    struct Ping {
        /**
         * From an entry that follows the platform's log: it holds all configuration records below
         * this offset.
         */
        std::optional<int64_t> configuration_end;
        /**
         * From such an entry: the version of the configuration that it goes by; absent while it has
         * none.
         */
        std::optional<int64_t> configuration_version;
        /**
         * Version of the list the agent holds.
         */
        int64_t list_version;
        /**
         * The sender's own clock, milliseconds.
         */
        int64_t sent_at_ms;
    };

    /**
     * Echo of a ping.
     */
    struct Pong {
        /**
         * True if the answerer's list is known to be current.
         */
        bool confirmed;
        /**
         * Demand at the answerer, for an agent that passes it on.
         */
        std::optional<std::vector<Demand>> demand;
        /**
         * Version of the list the answerer holds.
         */
        int64_t list_version;
        /**
         * As received.
         */
        int64_t sent_at_ms;
        /**
         * Since when, in milliseconds since the epoch, the answerer has seen the same live agents
         * of the peer's service in every list, none skipped.
         */
        std::optional<int64_t> set_since_ms;
    };

    /**
     * One log record.
     */
    struct Record {
        /**
         * Record as published.
         */
        std::string body;
        /**
         * Offset in the log.
         */
        int64_t offset;
    };

    /**
     * Consecutive log records.
     */
    struct Records {
        /**
         * In order of offset.
         */
        std::vector<Record> records;
    };

    /**
     * Requests that an entry refused or failed, so that the others know their callers when they
     * come back. The lists have an element a request each.
     */
    struct RefusalNews {
        /**
         * Time since the caller first asked, milliseconds.
         */
        std::vector<int64_t> asked_ms_ago;
        /**
         * Beginnings of the digests of what makes a request the same, whatever its id.
         */
        std::vector<std::string> digests;
        /**
         * How much longer the caller waits, milliseconds.
         */
        std::vector<int64_t> left_ms;
    };

    /**
     * The attempt was not run and will not be.
     */
    struct Refused {
        /**
         * Attempt id.
         */
        std::string attempt;
        Reason reason;
        /**
         * When to come back, milliseconds; 0 says nothing.
         */
        int64_t retry_after_ms;
    };

    /**
     * State.
     */
    enum class ProgressState : int { Failed, Loading, Ready, Transferring };

    /**
     * A rollout as one instance sees it.
     */
    struct Progress {
        /**
         * Chunks held and verified.
         */
        int64_t chunks_held;
        /**
         * Chunks of the version.
         */
        int64_t chunks_total;
        std::optional<Reason> failure;
        /**
         * Bytes read from the origin for it.
         */
        int64_t origin_bytes;
        /**
         * Bytes read from peers for it.
         */
        int64_t peer_bytes;
        /**
         * Revision of the rollout that is being followed.
         */
        int64_t revision;
        /**
         * Rollout name.
         */
        std::string rollout;
        /**
         * State.
         */
        ProgressState state;
    };

    /**
     * A model version as an engine knows it.
     */
    struct Weights {
        /**
         * SHA-256 of the whole set, in hexadecimal.
         */
        std::string digest;
        /**
         * Model name.
         */
        std::string model;
        /**
         * Version name.
         */
        std::string version;
    };

    /**
     * What an agent says of itself.
     */
    struct Report {
        /**
         * Requests it admits at once.
         */
        int64_t capacity;
        /**
         * True once it admits no new work.
         */
        bool draining;
        /**
         * Load the backend server last reported, 0 to 1; lags.
         */
        double engine_load;
        /**
         * Fence of the load order in force.
         */
        std::optional<int64_t> fence;
        /**
         * Requests admitted and not finished.
         */
        int64_t in_flight;
        /**
         * Configuration offset in force there.
         */
        int64_t offset;
        std::optional<Progress> progress;
        std::optional<Weights> serving;
        /**
         * Prefixes the engine says are cached; late and with gaps.
         */
        std::optional<std::vector<std::string>> warm_prefixes;
    };

    /**
     * The link is back; send on from here.
     */
    struct Resume {
        /**
         * Attempt id.
         */
        std::string attempt;
        /**
         * First part not yet held.
         */
        int64_t next_sequence;
    };

    /**
     * A fold, for a reader whose records have lapsed.
     */
    struct Snapshot {
        /**
         * Last offset folded.
         */
        int64_t folds_to;
        /**
         * Serialised fold.
         */
        std::string state;
    };

    /**
     * Who serves a rollout's version.
     */
    struct Tally {
        /**
         * Instances that report ready.
         */
        std::vector<std::string> ready;
        /**
         * Its revision.
         */
        int64_t revision;
        /**
         * Rollout name.
         */
        std::string rollout;
    };

    /**
     * An instance with an engine of the service.
     */
    struct GoalPeer {
        /**
         * Failure domain.
         */
        std::string failure_domain;
        /**
         * IP number.
         */
        std::string identity;
    };

    /**
     * What the engines of a service are to hold.
     */
    struct WeightsGoal {
        /**
         * Time since the version was learned, milliseconds.
         */
        int64_t age_ms;
        /**
         * Time from the naming of the version within which it must be served, milliseconds.
         */
        int64_t bound_ms;
        /**
         * Chunks.
         */
        int64_t chunks;
        /**
         * Layers.
         */
        int64_t layers;
        /**
         * Every stream of the service may go on at another engine, so those that run may be cut.
         */
        bool may_evict;
        /**
         * Model.
         */
        std::string model;
        /**
         * IP:PORT of the origin.
         */
        std::string origin_address;
        /**
         * Instances.
         */
        std::vector<GoalPeer> peers;
        /**
         * Service.
         */
        std::string service;
        /**
         * Version.
         */
        int64_t version;
    };

    /**
     * One frame between two processes of the system: exactly one member is set.
     */
    struct Message {
        std::optional<Accepted> accepted;
        std::optional<Acknowledge> acknowledge;
        std::optional<Broken> broken;
        std::optional<Cancel> cancel;
        std::optional<Challenge> challenge;
        std::optional<ChunkMap> chunk_map;
        /**
         * What an entry tells the others of requests that end the backend servers which run them.
         */
        std::optional<CrashNews> crash_news;
        std::optional<Demands> demands;
        /**
         * Entries that the sender has links with, or has just met.
         */
        std::optional<EntryDirectory> directory;
        std::optional<Dispatch> dispatch;
        /**
         * What an agent reads at its engine.
         */
        std::optional<EngineState> engine_state;
        /**
         * What an entry tells an agent of the use that it makes of the engine. Until it comes the
         * engine is used.
         */
        std::optional<EngineUse> engine_use;
        /**
         * What an entry tells the others, so that each knows which engines are its own.
         */
        std::optional<EntryLoad> entry_load;
        /**
         * Asks for all facts at or above two offsets.
         */
        std::optional<FactRequest> fact_request;
        /**
         * Facts that the receiver may lack.
         */
        std::optional<FactBatch> facts;
        std::optional<Hello> hello;
        /**
         * Backend servers that state in their answers that they leave. Entries tell each other, and
         * the agent of the engine.
         */
        std::optional<LeavingServers> leaving_servers;
        /**
         * What entries send each other to keep together within the limits that backend servers
         * state on the requests that they accept.
         */
        std::optional<LimitExchange> limit_exchange;
        std::optional<Members> members;
        std::optional<Part> part;
        /**
         * Chunks that an agent holds verified.
         */
        std::optional<PieceMap> pieces;
        std::optional<Ping> ping;
        std::optional<Pong> pong;
        std::optional<Records> records;
        /**
         * Requests that an entry refused or failed, so that the others know their callers when they
         * come back. The lists have an element a request each.
         */
        std::optional<RefusalNews> refusals;
        std::optional<Refused> refused;
        std::optional<Report> report;
        std::optional<Resume> resume;
        std::optional<Snapshot> snapshot;
        std::optional<Tally> tally;
        /**
         * What the engines of a service are to hold.
         */
        std::optional<WeightsGoal> weights_goal;
    };

    /**
     * A synthetic version for the stand-in's origin.
     */
    struct ModelSeed {
        /**
         * Bytes of each.
         */
        int64_t chunk_bytes;
        /**
         * Chunks.
         */
        int64_t chunk_count;
        /**
         * Model.
         */
        std::string model;
        /**
         * Seed of the content.
         */
        int64_t seed;
        /**
         * Leading chunks that come from seed 0 instead, shared by all versions.
         */
        int64_t shared_chunks;
        /**
         * Version.
         */
        std::string version;
    };

    /**
     * A version of a model's weights that the operator has named.
     */
    struct ModelVersion {
        /**
         * Model.
         */
        std::string model;
        /**
         * Version, rising.
         */
        int64_t version;
    };

    /**
     * What is known of the request.
     */
    enum class Outcome : int { NotRun, Rejected, Unknown };

    /**
     * RFC 9457 problem details.
     */
    struct Problem {
        /**
         * Change to ask by, when undecided.
         */
        std::optional<std::string> change_id;
        /**
         * More.
         */
        std::optional<std::string> detail;
        /**
         * What is known of the request.
         */
        Outcome outcome;
        /**
         * When to come back, milliseconds.
         */
        std::optional<int64_t> retry_after_ms;
        /**
         * Revision in force, on a conflict.
         */
        std::optional<int64_t> revision;
        /**
         * HTTP status.
         */
        int64_t status;
        /**
         * Short text.
         */
        std::string title;
        /**
         * Machine-readable type.
         */
        std::string type;
    };

    /**
     * A resource as the API shows it.
     */
    struct ResourceView {
        /**
         * Kind.
         */
        std::string kind;
        /**
         * Name.
         */
        std::string name;
        /**
         * Revision.
         */
        int64_t revision;
        /**
         * The spec.
         */
        nlohmann::json spec;
        /**
         * The status, for a rollout.
         */
        nlohmann::json status;
    };

    /**
     * How far a rollout has come, as one entry sees it.
     */
    struct RolloutStatus {
        /**
         * Chunks held over all instances.
         */
        int64_t chunks_held;
        /**
         * Chunks wanted over all instances.
         */
        int64_t chunks_total;
        /**
         * Instances that gave up.
         */
        int64_t failed;
        /**
         * Reason that the failed ones give.
         */
        std::optional<std::string> failure;
        /**
         * Instances whose engine loads.
         */
        int64_t loading;
        /**
         * Bytes read from the origin.
         */
        int64_t origin_bytes;
        /**
         * Origin bytes in copies of the version.
         */
        double origin_copies;
        /**
         * Bytes read from peers.
         */
        int64_t peer_bytes;
        /**
         * Instances whose engine serves the version.
         */
        int64_t ready;
        /**
         * Revision.
         */
        int64_t revision;
        /**
         * Rollout name.
         */
        std::string rollout;
        /**
         * From acceptance until all wanted copies served, milliseconds.
         */
        std::optional<int64_t> time_to_all_ms;
        /**
         * The same for half of them.
         */
        std::optional<int64_t> time_to_half_ms;
        /**
         * The same for a quarter.
         */
        std::optional<int64_t> time_to_quarter_ms;
        /**
         * Instances that fetch weights.
         */
        int64_t transferring;
        /**
         * Copies wanted.
         */
        int64_t wanted;
    };

    /**
     * A customer and its keys.
     */
    struct RoutedCustomer {
        /**
         * Keys.
         */
        std::vector<std::string> keys;
        /**
         * Name.
         */
        std::string name;
        /**
         * Rank that goes before the route's.
         */
        std::optional<int64_t> priority;
    };

    /**
     * Whether a second run does harm, and the form of the answer.
     */
    enum class RouteKind : int { Once, Repeatable, Stream };

    /**
     * A service that a share of a route's requests go to.
     */
    struct RouteTarget {
        /**
         * Service.
         */
        std::string service;
        /**
         * Share, relative to the other targets.
         */
        double weight;
    };

    /**
     * Where requests of a host below a path go, and how.
     */
    struct Route {
        /**
         * Host that callers name.
         */
        std::string host;
        /**
         * Too little of it could be read: its requests are refused as not run. Without a host it
         * covers every host.
         */
        bool is_blocked;
        /**
         * No key is needed.
         */
        bool is_public;
        /**
         * A stream may go on at another engine.
         */
        bool is_resumable;
        /**
         * Whether a second run does harm, and the form of the answer.
         */
        RouteKind kind;
        /**
         * Backend servers that one request may be sent to.
         */
        int64_t max_attempts;
        /**
         * Name.
         */
        std::string name;
        /**
         * Longest pause between a stream's events, milliseconds; 0 if not a stream.
         */
        int64_t objective_gap_ms;
        /**
         * Time to the answer, or a stream's first event, that earns its full worth, milliseconds.
         */
        int64_t objective_ms;
        /**
         * Prefix of the path; the longest match wins.
         */
        std::string path_prefix;
        /**
         * Rank, 0 first.
         */
        int64_t priority;
        /**
         * Services.
         */
        std::vector<RouteTarget> targets;
        /**
         * Longest time that a request is held, milliseconds.
         */
        int64_t timeout_ms;
    };

    /**
     * The timing model of a service's engines.
     */
    struct EngineTiming {
        /**
         * Bytes of a chunk.
         */
        std::optional<int64_t> chunk_bytes;
        /**
         * Chunks of a copy.
         */
        std::optional<int64_t> chunks;
        /**
         * More per 1,000 tokens of context, milliseconds.
         */
        std::optional<double> context_ms_per_1000;
        /**
         * Layers of the model.
         */
        std::optional<int64_t> layers;
        /**
         * Model that the engines serve.
         */
        std::string model;
        /**
         * Cost of a million token pairs, milliseconds.
         */
        std::optional<double> pairs_ms_per_million;
        /**
         * More per running request, milliseconds.
         */
        std::optional<double> per_sequence_ms;
        /**
         * Rate of reading prompts.
         */
        std::optional<double> prompt_tokens_per_second;
        /**
         * Requests run at once.
         */
        std::optional<int64_t> slots;
        /**
         * Cost of a token step, milliseconds.
         */
        std::optional<double> step_ms;
        /**
         * Tokens of an event.
         */
        std::optional<int64_t> stride;
        /**
         * Mean answer.
         */
        std::optional<double> usual_answer_tokens;
        /**
         * Mean prompt.
         */
        std::optional<double> usual_prompt_tokens;
    };

    /**
     * A service and its backend servers' limits.
     */
    struct RoutedService {
        /**
         * Connections that a backend server accepts; 0 if unknown.
         */
        int64_t max_connections;
        /**
         * Name.
         */
        std::string name;
        /**
         * IP:PORT of the origin of weights, if this service is one.
         */
        std::optional<std::string> origin_address;
        /**
         * The timing model of a service's engines.
         */
        std::optional<EngineTiming> timing;
    };

    /**
     * What the operator wants of routing, whole.
     */
    struct RoutingConfiguration {
        /**
         * Customers.
         */
        std::vector<RoutedCustomer> customers;
        /**
         * Requests need a key.
         */
        bool has_customers;
        /**
         * Some customer or key could not be read: a key that is not known may be good.
         */
        bool has_unreadable_customers;
        /**
         * Longest time a caller may take for a head, milliseconds.
         */
        int64_t header_timeout_ms;
        /**
         * Longest rest of a caller's connection, milliseconds.
         */
        int64_t idle_timeout_ms;
        /**
         * Longest body of a caller's request.
         */
        int64_t max_body_bytes;
        /**
         * Longest head of a caller's request.
         */
        int64_t max_header_bytes;
        /**
         * Routes.
         */
        std::vector<Route> routes;
        /**
         * Services.
         */
        std::vector<RoutedService> services;
        /**
         * Paths of the fields that could not be read; the rest is in force.
         */
        std::vector<std::string> unreadable_fields;
        /**
         * Version of the configuration.
         */
        int64_t version;
    };

    /**
     * Faults of the stand-in platform.
     */
    struct WeightsFaults {
        /**
         * Wait before an append takes effect, milliseconds.
         */
        std::optional<int64_t> append_delay_ms;
        /**
         * Share of chunks sent with a flipped byte, 0 to 1.
         */
        std::optional<double> corrupt_share;
        /**
         * Forget log records below this offset.
         */
        std::optional<int64_t> drop_before;
        /**
         * How far the list lags, milliseconds.
         */
        std::optional<int64_t> list_lag_ms;
        /**
         * The list answers nothing.
         */
        std::optional<bool> list_out;
        /**
         * The log answers nothing.
         */
        std::optional<bool> log_out;
        /**
         * Appends that take effect and lose their answer.
         */
        std::optional<int64_t> lose_append_answers;
        /**
         * The origin answers nothing.
         */
        std::optional<bool> origin_out;
    };
}

namespace Schema {
    void from_json(const json & j, AgentSettings & x);
    void to_json(json & j, const AgentSettings & x);

    void from_json(const json & j, HeldLayers & x);
    void to_json(json & j, const HeldLayers & x);

    void from_json(const json & j, BackendServer & x);
    void to_json(json & j, const BackendServer & x);

    void from_json(const json & j, DirectEntrySettingsBounds & x);
    void to_json(json & j, const DirectEntrySettingsBounds & x);

    void from_json(const json & j, RoutingPolicy & x);
    void to_json(json & j, const RoutingPolicy & x);

    void from_json(const json & j, DirectEntrySettings & x);
    void to_json(json & j, const DirectEntrySettings & x);

    void from_json(const json & j, EngineAgentSettingsBounds & x);
    void to_json(json & j, const EngineAgentSettingsBounds & x);

    void from_json(const json & j, EngineAgentSettings & x);
    void to_json(json & j, const EngineAgentSettings & x);

    void from_json(const json & j, EngineFaults & x);
    void to_json(json & j, const EngineFaults & x);

    void from_json(const json & j, LoadedWeights & x);
    void to_json(json & j, const LoadedWeights & x);

    void from_json(const json & j, EngineStatus & x);
    void to_json(json & j, const EngineStatus & x);

    void from_json(const json & j, EntrySettings & x);
    void to_json(json & j, const EntrySettings & x);

    void from_json(const json & j, KeptBlame & x);
    void to_json(json & j, const KeptBlame & x);

    void from_json(const json & j, KeptVersion & x);
    void to_json(json & j, const KeptVersion & x);

    void from_json(const json & j, LoadOrder & x);
    void to_json(json & j, const LoadOrder & x);

    void from_json(const json & j, LogPage & x);
    void to_json(json & j, const LogPage & x);

    void from_json(const json & j, LogPosition & x);
    void to_json(json & j, const LogPosition & x);

    void from_json(const json & j, Change & x);
    void to_json(json & j, const Change & x);

    void from_json(const json & j, CustomerSpec & x);
    void to_json(json & j, const CustomerSpec & x);

    void from_json(const json & j, StoredOutcome & x);
    void to_json(json & j, const StoredOutcome & x);

    void from_json(const json & j, StoredResource & x);
    void to_json(json & j, const StoredResource & x);

    void from_json(const json & j, FoldState & x);
    void to_json(json & j, const FoldState & x);

    void from_json(const json & j, RolloutSpec & x);
    void to_json(json & j, const RolloutSpec & x);

    void from_json(const json & j, ServiceSpec & x);
    void to_json(json & j, const ServiceSpec & x);

    void from_json(const json & j, SnapshotRecord & x);
    void to_json(json & j, const SnapshotRecord & x);

    void from_json(const json & j, Chunk & x);
    void to_json(json & j, const Chunk & x);

    void from_json(const json & j, VersionSpec & x);
    void to_json(json & j, const VersionSpec & x);

    void from_json(const json & j, LogRecord & x);
    void to_json(json & j, const LogRecord & x);

    void from_json(const json & j, Accepted & x);
    void to_json(json & j, const Accepted & x);

    void from_json(const json & j, Acknowledge & x);
    void to_json(json & j, const Acknowledge & x);

    void from_json(const json & j, Broken & x);
    void to_json(json & j, const Broken & x);

    void from_json(const json & j, Cancel & x);
    void to_json(json & j, const Cancel & x);

    void from_json(const json & j, Challenge & x);
    void to_json(json & j, const Challenge & x);

    void from_json(const json & j, ChunkMap & x);
    void to_json(json & j, const ChunkMap & x);

    void from_json(const json & j, SuspectRun & x);
    void to_json(json & j, const SuspectRun & x);

    void from_json(const json & j, EndedRun & x);
    void to_json(json & j, const EndedRun & x);

    void from_json(const json & j, CrashSuspect & x);
    void to_json(json & j, const CrashSuspect & x);

    void from_json(const json & j, CrashNews & x);
    void to_json(json & j, const CrashNews & x);

    void from_json(const json & j, Demand & x);
    void to_json(json & j, const Demand & x);

    void from_json(const json & j, EntryDemand & x);
    void to_json(json & j, const EntryDemand & x);

    void from_json(const json & j, Demands & x);
    void to_json(json & j, const Demands & x);

    void from_json(const json & j, EntryDirectory & x);
    void to_json(json & j, const EntryDirectory & x);

    void from_json(const json & j, Header & x);
    void to_json(json & j, const Header & x);

    void from_json(const json & j, Dispatch & x);
    void to_json(json & j, const Dispatch & x);

    void from_json(const json & j, EngineState & x);
    void to_json(json & j, const EngineState & x);

    void from_json(const json & j, EngineUse & x);
    void to_json(json & j, const EngineUse & x);

    void from_json(const json & j, ServiceDemand & x);
    void to_json(json & j, const ServiceDemand & x);

    void from_json(const json & j, EntryLoad & x);
    void to_json(json & j, const EntryLoad & x);

    void from_json(const json & j, FactRequest & x);
    void to_json(json & j, const FactRequest & x);

    void from_json(const json & j, ToldVersion & x);
    void to_json(json & j, const ToldVersion & x);

    void from_json(const json & j, Fact & x);
    void to_json(json & j, const Fact & x);

    void from_json(const json & j, FactBatch & x);
    void to_json(json & j, const FactBatch & x);

    void from_json(const json & j, Hello & x);
    void to_json(json & j, const Hello & x);

    void from_json(const json & j, LeavingServer & x);
    void to_json(json & j, const LeavingServer & x);

    void from_json(const json & j, LeavingServers & x);
    void to_json(json & j, const LeavingServers & x);

    void from_json(const json & j, PermitDemand & x);
    void to_json(json & j, const PermitDemand & x);

    void from_json(const json & j, LimitStatement & x);
    void to_json(json & j, const LimitStatement & x);

    void from_json(const json & j, PermitCount & x);
    void to_json(json & j, const PermitCount & x);

    void from_json(const json & j, LimitExchange & x);
    void to_json(json & j, const LimitExchange & x);

    void from_json(const json & j, Instance & x);
    void to_json(json & j, const Instance & x);

    void from_json(const json & j, Members & x);
    void to_json(json & j, const Members & x);

    void from_json(const json & j, Part & x);
    void to_json(json & j, const Part & x);

    void from_json(const json & j, PieceMap & x);
    void to_json(json & j, const PieceMap & x);

    void from_json(const json & j, Ping & x);
    void to_json(json & j, const Ping & x);

    void from_json(const json & j, Pong & x);
    void to_json(json & j, const Pong & x);

    void from_json(const json & j, Record & x);
    void to_json(json & j, const Record & x);

    void from_json(const json & j, Records & x);
    void to_json(json & j, const Records & x);

    void from_json(const json & j, RefusalNews & x);
    void to_json(json & j, const RefusalNews & x);

    void from_json(const json & j, Refused & x);
    void to_json(json & j, const Refused & x);

    void from_json(const json & j, Progress & x);
    void to_json(json & j, const Progress & x);

    void from_json(const json & j, Weights & x);
    void to_json(json & j, const Weights & x);

    void from_json(const json & j, Report & x);
    void to_json(json & j, const Report & x);

    void from_json(const json & j, Resume & x);
    void to_json(json & j, const Resume & x);

    void from_json(const json & j, Snapshot & x);
    void to_json(json & j, const Snapshot & x);

    void from_json(const json & j, Tally & x);
    void to_json(json & j, const Tally & x);

    void from_json(const json & j, GoalPeer & x);
    void to_json(json & j, const GoalPeer & x);

    void from_json(const json & j, WeightsGoal & x);
    void to_json(json & j, const WeightsGoal & x);

    void from_json(const json & j, Message & x);
    void to_json(json & j, const Message & x);

    void from_json(const json & j, ModelSeed & x);
    void to_json(json & j, const ModelSeed & x);

    void from_json(const json & j, ModelVersion & x);
    void to_json(json & j, const ModelVersion & x);

    void from_json(const json & j, Problem & x);
    void to_json(json & j, const Problem & x);

    void from_json(const json & j, ResourceView & x);
    void to_json(json & j, const ResourceView & x);

    void from_json(const json & j, RolloutStatus & x);
    void to_json(json & j, const RolloutStatus & x);

    void from_json(const json & j, RoutedCustomer & x);
    void to_json(json & j, const RoutedCustomer & x);

    void from_json(const json & j, RouteTarget & x);
    void to_json(json & j, const RouteTarget & x);

    void from_json(const json & j, Route & x);
    void to_json(json & j, const Route & x);

    void from_json(const json & j, EngineTiming & x);
    void to_json(json & j, const EngineTiming & x);

    void from_json(const json & j, RoutedService & x);
    void to_json(json & j, const RoutedService & x);

    void from_json(const json & j, RoutingConfiguration & x);
    void to_json(json & j, const RoutingConfiguration & x);

    void from_json(const json & j, WeightsFaults & x);
    void to_json(json & j, const WeightsFaults & x);

    void from_json(const json & j, BackendKindEnum & x);
    void to_json(json & j, const BackendKindEnum & x);

    void from_json(const json & j, LogLevel & x);
    void to_json(json & j, const LogLevel & x);

    void from_json(const json & j, Strategy & x);
    void to_json(json & j, const Strategy & x);

    void from_json(const json & j, ServerChoice & x);
    void to_json(json & j, const ServerChoice & x);

    void from_json(const json & j, Choice & x);
    void to_json(json & j, const Choice & x);

    void from_json(const json & j, ChangeKind & x);
    void to_json(json & j, const ChangeKind & x);

    void from_json(const json & j, Operation & x);
    void to_json(json & j, const Operation & x);

    void from_json(const json & j, Failure & x);
    void to_json(json & j, const Failure & x);

    void from_json(const json & j, Prefer & x);
    void to_json(json & j, const Prefer & x);

    void from_json(const json & j, Reason & x);
    void to_json(json & j, const Reason & x);

    void from_json(const json & j, Repeatability & x);
    void to_json(json & j, const Repeatability & x);

    void from_json(const json & j, FactKind & x);
    void to_json(json & j, const FactKind & x);

    void from_json(const json & j, Role & x);
    void to_json(json & j, const Role & x);

    void from_json(const json & j, InstanceState & x);
    void to_json(json & j, const InstanceState & x);

    void from_json(const json & j, ProgressState & x);
    void to_json(json & j, const ProgressState & x);

    void from_json(const json & j, Outcome & x);
    void to_json(json & j, const Outcome & x);

    void from_json(const json & j, RouteKind & x);
    void to_json(json & j, const RouteKind & x);

    inline void from_json(const json & j, AgentSettings& x) {
        x.address = j.at("address").get<std::string>();
        x.backend_address = j.at("backend_address").get<std::string>();
        x.backend_kind = j.at("backend_kind").get<BackendKindEnum>();
        x.backend_port = j.at("backend_port").get<int64_t>();
        x.capacity = get_stack_optional<int64_t>(j, "capacity");
        x.clock_bound_ms = get_stack_optional<int64_t>(j, "clock_bound_ms");
        x.download_bytes_per_second = get_stack_optional<int64_t>(j, "download_bytes_per_second");
        x.drain_ms = get_stack_optional<int64_t>(j, "drain_ms");
        x.failure_domain = j.at("failure_domain").get<std::string>();
        x.fetches_in_flight = get_stack_optional<int64_t>(j, "fetches_in_flight");
        x.http_port = j.at("http_port").get<int64_t>();
        x.identity = j.at("identity").get<std::string>();
        x.key_file = get_stack_optional<std::string>(j, "key_file");
        x.key_lifetime_ms = get_stack_optional<int64_t>(j, "key_lifetime_ms");
        x.lease_ms = get_stack_optional<int64_t>(j, "lease_ms");
        x.link_port = j.at("link_port").get<int64_t>();
        x.list_lag_ms = get_stack_optional<int64_t>(j, "list_lag_ms");
        x.list_poll_ms = get_stack_optional<int64_t>(j, "list_poll_ms");
        x.log_file = get_stack_optional<std::string>(j, "log_file");
        x.log_level = get_stack_optional<LogLevel>(j, "log_level");
        x.log_poll_ms = get_stack_optional<int64_t>(j, "log_poll_ms");
        x.neighbours = get_stack_optional<int64_t>(j, "neighbours");
        x.once_record_bytes = get_stack_optional<int64_t>(j, "once_record_bytes");
        x.origin_patience_ms = get_stack_optional<int64_t>(j, "origin_patience_ms");
        x.platform_address = j.at("platform_address").get<std::string>();
        x.platform_port = j.at("platform_port").get<int64_t>();
        x.region = j.at("region").get<std::string>();
        x.resume_ms = get_stack_optional<int64_t>(j, "resume_ms");
        x.seeders = get_stack_optional<int64_t>(j, "seeders");
        x.service = j.at("service").get<std::string>();
        x.stall_ms = get_stack_optional<int64_t>(j, "stall_ms");
        x.strategy = get_stack_optional<Strategy>(j, "strategy");
        x.upload_bytes_per_second = get_stack_optional<int64_t>(j, "upload_bytes_per_second");
        x.uploads_at_once = get_stack_optional<int64_t>(j, "uploads_at_once");
        x.uploads_waiting = get_stack_optional<int64_t>(j, "uploads_waiting");
    }

    inline void to_json(json & j, const AgentSettings & x) {
        j = json::object();
        j["address"] = x.address;
        j["backend_address"] = x.backend_address;
        j["backend_kind"] = x.backend_kind;
        j["backend_port"] = x.backend_port;
        j["capacity"] = x.capacity;
        j["clock_bound_ms"] = x.clock_bound_ms;
        j["download_bytes_per_second"] = x.download_bytes_per_second;
        j["drain_ms"] = x.drain_ms;
        j["failure_domain"] = x.failure_domain;
        j["fetches_in_flight"] = x.fetches_in_flight;
        j["http_port"] = x.http_port;
        j["identity"] = x.identity;
        j["key_file"] = x.key_file;
        j["key_lifetime_ms"] = x.key_lifetime_ms;
        j["lease_ms"] = x.lease_ms;
        j["link_port"] = x.link_port;
        j["list_lag_ms"] = x.list_lag_ms;
        j["list_poll_ms"] = x.list_poll_ms;
        j["log_file"] = x.log_file;
        j["log_level"] = x.log_level;
        j["log_poll_ms"] = x.log_poll_ms;
        j["neighbours"] = x.neighbours;
        j["once_record_bytes"] = x.once_record_bytes;
        j["origin_patience_ms"] = x.origin_patience_ms;
        j["platform_address"] = x.platform_address;
        j["platform_port"] = x.platform_port;
        j["region"] = x.region;
        j["resume_ms"] = x.resume_ms;
        j["seeders"] = x.seeders;
        j["service"] = x.service;
        j["stall_ms"] = x.stall_ms;
        j["strategy"] = x.strategy;
        j["upload_bytes_per_second"] = x.upload_bytes_per_second;
        j["uploads_at_once"] = x.uploads_at_once;
        j["uploads_waiting"] = x.uploads_waiting;
    }

    inline void from_json(const json & j, HeldLayers& x) {
        x.end_layer = j.at("end_layer").get<int64_t>();
        x.first_layer = j.at("first_layer").get<int64_t>();
        x.model = j.at("model").get<std::string>();
        x.version = j.at("version").get<int64_t>();
    }

    inline void to_json(json & j, const HeldLayers & x) {
        j = json::object();
        j["end_layer"] = x.end_layer;
        j["first_layer"] = x.first_layer;
        j["model"] = x.model;
        j["version"] = x.version;
    }

    inline void from_json(const json & j, BackendServer& x) {
        x.address = j.at("address").get<std::string>();
        x.cold_left_ms = j.at("cold_left_ms").get<int64_t>();
        x.failure_domain = j.at("failure_domain").get<std::string>();
        x.held = j.at("held").get<std::vector<HeldLayers>>();
        x.id = j.at("id").get<std::string>();
        x.is_draining = j.at("is_draining").get<bool>();
        x.service = j.at("service").get<std::string>();
        x.slots = j.at("slots").get<int64_t>();
        x.started_at_ms = get_stack_optional<int64_t>(j, "started_at_ms");
        x.unreadable_fields = j.at("unreadable_fields").get<std::vector<std::string>>();
    }

    inline void to_json(json & j, const BackendServer & x) {
        j = json::object();
        j["address"] = x.address;
        j["cold_left_ms"] = x.cold_left_ms;
        j["failure_domain"] = x.failure_domain;
        j["held"] = x.held;
        j["id"] = x.id;
        j["is_draining"] = x.is_draining;
        j["service"] = x.service;
        j["slots"] = x.slots;
        j["started_at_ms"] = x.started_at_ms;
        j["unreadable_fields"] = x.unreadable_fields;
    }

    inline void from_json(const json & j, DirectEntrySettingsBounds& x) {
        x.contact_ms = get_stack_optional<int64_t>(j, "contact_ms");
        x.drain_ms = j.at("drain_ms").get<int64_t>();
        x.grace_s = j.at("grace_s").get<double>();
        x.heartbeat_ms = get_stack_optional<int64_t>(j, "heartbeat_ms");
        x.retry_ratio = j.at("retry_ratio").get<double>();
        x.retry_slack = j.at("retry_slack").get<double>();
        x.retry_window_s = j.at("retry_window_s").get<double>();
        x.version_ms = j.at("version_ms").get<int64_t>();
    }

    inline void to_json(json & j, const DirectEntrySettingsBounds & x) {
        j = json::object();
        j["contact_ms"] = x.contact_ms;
        j["drain_ms"] = x.drain_ms;
        j["grace_s"] = x.grace_s;
        j["heartbeat_ms"] = x.heartbeat_ms;
        j["retry_ratio"] = x.retry_ratio;
        j["retry_slack"] = x.retry_slack;
        j["retry_window_s"] = x.retry_window_s;
        j["version_ms"] = x.version_ms;
    }

    inline void from_json(const json & j, RoutingPolicy& x) {
        x.bound_pauses = get_stack_optional<bool>(j, "bound_pauses");
        x.leftover_factor = get_stack_optional<double>(j, "leftover_factor");
        x.leftover_reserve = get_stack_optional<int64_t>(j, "leftover_reserve");
        x.leftover_unread_ms = get_stack_optional<double>(j, "leftover_unread_ms");
        x.order_by_timeliness = get_stack_optional<bool>(j, "order_by_timeliness");
        x.share_reported_room = get_stack_optional<bool>(j, "share_reported_room");
    }

    inline void to_json(json & j, const RoutingPolicy & x) {
        j = json::object();
        j["bound_pauses"] = x.bound_pauses;
        j["leftover_factor"] = x.leftover_factor;
        j["leftover_reserve"] = x.leftover_reserve;
        j["leftover_unread_ms"] = x.leftover_unread_ms;
        j["order_by_timeliness"] = x.order_by_timeliness;
        j["share_reported_room"] = x.share_reported_room;
    }

    inline void from_json(const json & j, DirectEntrySettings& x) {
        x.bounds = j.at("bounds").get<DirectEntrySettingsBounds>();
        x.callers_address = j.at("callers_address").get<std::string>();
        x.choice = get_stack_optional<ServerChoice>(j, "choice");
        x.control_address = get_stack_optional<std::string>(j, "control_address");
        x.failure_domain = j.at("failure_domain").get<std::string>();
        x.identity = j.at("identity").get<std::string>();
        x.key = j.at("key").get<std::string>();
        x.link_megabits_per_second = get_stack_optional<double>(j, "link_megabits_per_second");
        x.link_port = j.at("link_port").get<int64_t>();
        x.log_lines_per_second = get_stack_optional<int64_t>(j, "log_lines_per_second");
        x.max_caller_connections = get_stack_optional<int64_t>(j, "max_caller_connections");
        x.metrics_port = get_stack_optional<int64_t>(j, "metrics_port");
        x.platform_address = j.at("platform_address").get<std::string>();
        x.platform_features = get_stack_optional<std::vector<std::string>>(j, "platform_features");
        x.policy = get_stack_optional<RoutingPolicy>(j, "policy");
        x.readiness_address = j.at("readiness_address").get<std::string>();
        x.region = j.at("region").get<std::string>();
        x.regions = j.at("regions").get<std::map<std::string, std::string>>();
        x.request_memory_bytes = get_stack_optional<int64_t>(j, "request_memory_bytes");
        x.seeds = get_stack_optional<std::vector<std::string>>(j, "seeds");
    }

    inline void to_json(json & j, const DirectEntrySettings & x) {
        j = json::object();
        j["bounds"] = x.bounds;
        j["callers_address"] = x.callers_address;
        j["choice"] = x.choice;
        j["control_address"] = x.control_address;
        j["failure_domain"] = x.failure_domain;
        j["identity"] = x.identity;
        j["key"] = x.key;
        j["link_megabits_per_second"] = x.link_megabits_per_second;
        j["link_port"] = x.link_port;
        j["log_lines_per_second"] = x.log_lines_per_second;
        j["max_caller_connections"] = x.max_caller_connections;
        j["metrics_port"] = x.metrics_port;
        j["platform_address"] = x.platform_address;
        j["platform_features"] = x.platform_features;
        j["policy"] = x.policy;
        j["readiness_address"] = x.readiness_address;
        j["region"] = x.region;
        j["regions"] = x.regions;
        j["request_memory_bytes"] = x.request_memory_bytes;
        j["seeds"] = x.seeds;
    }

    inline void from_json(const json & j, EngineAgentSettingsBounds& x) {
        x.drain_ms = j.at("drain_ms").get<int64_t>();
        x.grace_s = j.at("grace_s").get<double>();
        x.retry_ratio = j.at("retry_ratio").get<double>();
        x.retry_slack = j.at("retry_slack").get<double>();
        x.retry_window_s = j.at("retry_window_s").get<double>();
        x.version_ms = j.at("version_ms").get<int64_t>();
    }

    inline void to_json(json & j, const EngineAgentSettingsBounds & x) {
        j = json::object();
        j["drain_ms"] = x.drain_ms;
        j["grace_s"] = x.grace_s;
        j["retry_ratio"] = x.retry_ratio;
        j["retry_slack"] = x.retry_slack;
        j["retry_window_s"] = x.retry_window_s;
        j["version_ms"] = x.version_ms;
    }

    inline void from_json(const json & j, EngineAgentSettings& x) {
        x.bounds = j.at("bounds").get<EngineAgentSettingsBounds>();
        x.chunk_port = j.at("chunk_port").get<int64_t>();
        x.engine_address = j.at("engine_address").get<std::string>();
        x.failure_domain = j.at("failure_domain").get<std::string>();
        x.identity = j.at("identity").get<std::string>();
        x.key = j.at("key").get<std::string>();
        x.link_megabits_per_second = j.at("link_megabits_per_second").get<double>();
        x.link_port = j.at("link_port").get<int64_t>();
        x.log_lines_per_second = get_stack_optional<int64_t>(j, "log_lines_per_second");
        x.platform_address = j.at("platform_address").get<std::string>();
        x.region = j.at("region").get<std::string>();
        x.regions = j.at("regions").get<std::map<std::string, std::string>>();
        x.seeds = get_stack_optional<std::vector<std::string>>(j, "seeds");
        x.service = j.at("service").get<std::string>();
    }

    inline void to_json(json & j, const EngineAgentSettings & x) {
        j = json::object();
        j["bounds"] = x.bounds;
        j["chunk_port"] = x.chunk_port;
        j["engine_address"] = x.engine_address;
        j["failure_domain"] = x.failure_domain;
        j["identity"] = x.identity;
        j["key"] = x.key;
        j["link_megabits_per_second"] = x.link_megabits_per_second;
        j["link_port"] = x.link_port;
        j["log_lines_per_second"] = x.log_lines_per_second;
        j["platform_address"] = x.platform_address;
        j["region"] = x.region;
        j["regions"] = x.regions;
        j["seeds"] = x.seeds;
        j["service"] = x.service;
    }

    inline void from_json(const json & j, EngineFaults& x) {
        x.break_after_tokens = get_stack_optional<int64_t>(j, "break_after_tokens");
        x.close_after_run = get_stack_optional<bool>(j, "close_after_run");
        x.error_share = get_stack_optional<double>(j, "error_share");
        x.fail_loads = get_stack_optional<int64_t>(j, "fail_loads");
        x.stop_answering = get_stack_optional<bool>(j, "stop_answering");
        x.token_ms = get_stack_optional<int64_t>(j, "token_ms");
    }

    inline void to_json(json & j, const EngineFaults & x) {
        j = json::object();
        j["break_after_tokens"] = x.break_after_tokens;
        j["close_after_run"] = x.close_after_run;
        j["error_share"] = x.error_share;
        j["fail_loads"] = x.fail_loads;
        j["stop_answering"] = x.stop_answering;
        j["token_ms"] = x.token_ms;
    }

    inline void from_json(const json & j, LoadedWeights& x) {
        x.digest = j.at("digest").get<std::string>();
        x.model = j.at("model").get<std::string>();
        x.version = j.at("version").get<std::string>();
    }

    inline void to_json(json & j, const LoadedWeights & x) {
        j = json::object();
        j["digest"] = x.digest;
        j["model"] = x.model;
        j["version"] = x.version;
    }

    inline void from_json(const json & j, EngineStatus& x) {
        x.fence = j.at("fence").get<int64_t>();
        x.in_flight = j.at("in_flight").get<int64_t>();
        x.load = j.at("load").get<double>();
        x.loading = j.at("loading").get<bool>();
        x.serving = get_stack_optional<LoadedWeights>(j, "serving");
        x.warm_prefixes = get_stack_optional<std::vector<std::string>>(j, "warm_prefixes");
    }

    inline void to_json(json & j, const EngineStatus & x) {
        j = json::object();
        j["fence"] = x.fence;
        j["in_flight"] = x.in_flight;
        j["load"] = x.load;
        j["loading"] = x.loading;
        j["serving"] = x.serving;
        j["warm_prefixes"] = x.warm_prefixes;
    }

    inline void from_json(const json & j, EntrySettings& x) {
        x.accept_wait_ms = get_stack_optional<int64_t>(j, "accept_wait_ms");
        x.address = j.at("address").get<std::string>();
        x.choice = get_stack_optional<Choice>(j, "choice");
        x.clock_bound_ms = get_stack_optional<int64_t>(j, "clock_bound_ms");
        x.default_deadline_ms = get_stack_optional<int64_t>(j, "default_deadline_ms");
        x.drain_ms = get_stack_optional<int64_t>(j, "drain_ms");
        x.failure_domain = j.at("failure_domain").get<std::string>();
        x.http_port = j.at("http_port").get<int64_t>();
        x.identity = j.at("identity").get<std::string>();
        x.idle_timeout_ms = get_stack_optional<int64_t>(j, "idle_timeout_ms");
        x.key_file = get_stack_optional<std::string>(j, "key_file");
        x.lease_ms = get_stack_optional<int64_t>(j, "lease_ms");
        x.links_per_service = get_stack_optional<int64_t>(j, "links_per_service");
        x.list_lag_ms = get_stack_optional<int64_t>(j, "list_lag_ms");
        x.list_poll_ms = get_stack_optional<int64_t>(j, "list_poll_ms");
        x.log_file = get_stack_optional<std::string>(j, "log_file");
        x.log_level = get_stack_optional<LogLevel>(j, "log_level");
        x.log_poll_ms = get_stack_optional<int64_t>(j, "log_poll_ms");
        x.max_body_bytes = get_stack_optional<int64_t>(j, "max_body_bytes");
        x.max_caller_connections = get_stack_optional<int64_t>(j, "max_caller_connections");
        x.max_header_bytes = get_stack_optional<int64_t>(j, "max_header_bytes");
        x.platform_address = j.at("platform_address").get<std::string>();
        x.platform_port = j.at("platform_port").get<int64_t>();
        x.region = j.at("region").get<std::string>();
        x.request_memory_bytes = get_stack_optional<int64_t>(j, "request_memory_bytes");
        x.resume_ms = get_stack_optional<int64_t>(j, "resume_ms");
        x.retention_ms = get_stack_optional<int64_t>(j, "retention_ms");
        x.retry_ratio = get_stack_optional<double>(j, "retry_ratio");
        x.tokens_file = get_stack_optional<std::string>(j, "tokens_file");
    }

    inline void to_json(json & j, const EntrySettings & x) {
        j = json::object();
        j["accept_wait_ms"] = x.accept_wait_ms;
        j["address"] = x.address;
        j["choice"] = x.choice;
        j["clock_bound_ms"] = x.clock_bound_ms;
        j["default_deadline_ms"] = x.default_deadline_ms;
        j["drain_ms"] = x.drain_ms;
        j["failure_domain"] = x.failure_domain;
        j["http_port"] = x.http_port;
        j["identity"] = x.identity;
        j["idle_timeout_ms"] = x.idle_timeout_ms;
        j["key_file"] = x.key_file;
        j["lease_ms"] = x.lease_ms;
        j["links_per_service"] = x.links_per_service;
        j["list_lag_ms"] = x.list_lag_ms;
        j["list_poll_ms"] = x.list_poll_ms;
        j["log_file"] = x.log_file;
        j["log_level"] = x.log_level;
        j["log_poll_ms"] = x.log_poll_ms;
        j["max_body_bytes"] = x.max_body_bytes;
        j["max_caller_connections"] = x.max_caller_connections;
        j["max_header_bytes"] = x.max_header_bytes;
        j["platform_address"] = x.platform_address;
        j["platform_port"] = x.platform_port;
        j["region"] = x.region;
        j["request_memory_bytes"] = x.request_memory_bytes;
        j["resume_ms"] = x.resume_ms;
        j["retention_ms"] = x.retention_ms;
        j["retry_ratio"] = x.retry_ratio;
        j["tokens_file"] = x.tokens_file;
    }

    inline void from_json(const json & j, KeptBlame& x) {
        x.blamed_at_ms = j.at("blamed_at_ms").get<int64_t>();
        x.digest = j.at("digest").get<std::string>();
        x.servers = j.at("servers").get<std::vector<std::string>>();
        x.times_blamed = j.at("times_blamed").get<int64_t>();
    }

    inline void to_json(json & j, const KeptBlame & x) {
        j = json::object();
        j["blamed_at_ms"] = x.blamed_at_ms;
        j["digest"] = x.digest;
        j["servers"] = x.servers;
        j["times_blamed"] = x.times_blamed;
    }

    inline void from_json(const json & j, KeptVersion& x) {
        x.known_at_ms = j.at("known_at_ms").get<int64_t>();
        x.model = j.at("model").get<std::string>();
        x.version = j.at("version").get<int64_t>();
    }

    inline void to_json(json & j, const KeptVersion & x) {
        j = json::object();
        j["known_at_ms"] = x.known_at_ms;
        j["model"] = x.model;
        j["version"] = x.version;
    }

    inline void from_json(const json & j, LoadOrder& x) {
        x.chunks = j.at("chunks").get<std::vector<std::string>>();
        x.digest = j.at("digest").get<std::string>();
        x.fence = j.at("fence").get<int64_t>();
        x.model = j.at("model").get<std::string>();
        x.source_address = j.at("source_address").get<std::string>();
        x.source_port = j.at("source_port").get<int64_t>();
        x.version = j.at("version").get<std::string>();
    }

    inline void to_json(json & j, const LoadOrder & x) {
        j = json::object();
        j["chunks"] = x.chunks;
        j["digest"] = x.digest;
        j["fence"] = x.fence;
        j["model"] = x.model;
        j["source_address"] = x.source_address;
        j["source_port"] = x.source_port;
        j["version"] = x.version;
    }

    inline void from_json(const json & j, LogPage& x) {
        x.bodies = j.at("bodies").get<std::vector<std::string>>();
        x.end = j.at("end").get<int64_t>();
        x.first_retained = j.at("first_retained").get<int64_t>();
        x.from = j.at("from").get<int64_t>();
    }

    inline void to_json(json & j, const LogPage & x) {
        j = json::object();
        j["bodies"] = x.bodies;
        j["end"] = x.end;
        j["first_retained"] = x.first_retained;
        j["from"] = x.from;
    }

    inline void from_json(const json & j, LogPosition& x) {
        x.offset = j.at("offset").get<int64_t>();
    }

    inline void to_json(json & j, const LogPosition & x) {
        j = json::object();
        j["offset"] = x.offset;
    }

    inline void from_json(const json & j, Change& x) {
        x.change_id = j.at("change_id").get<std::string>();
        x.expected_revision = j.at("expected_revision").get<int64_t>();
        x.kind = j.at("kind").get<ChangeKind>();
        x.name = j.at("name").get<std::string>();
        x.operation = j.at("operation").get<Operation>();
        x.spec = j.at("spec").get<std::string>();
    }

    inline void to_json(json & j, const Change & x) {
        j = json::object();
        j["change_id"] = x.change_id;
        j["expected_revision"] = x.expected_revision;
        j["kind"] = x.kind;
        j["name"] = x.name;
        j["operation"] = x.operation;
        j["spec"] = x.spec;
    }

    inline void from_json(const json & j, CustomerSpec& x) {
        x.burst = j.at("burst").get<double>();
        x.concurrency = j.at("concurrency").get<int64_t>();
        x.requests_per_second = j.at("requests_per_second").get<double>();
    }

    inline void to_json(json & j, const CustomerSpec & x) {
        j = json::object();
        j["burst"] = x.burst;
        j["concurrency"] = x.concurrency;
        j["requests_per_second"] = x.requests_per_second;
    }

    inline void from_json(const json & j, StoredOutcome& x) {
        x.change_id = j.at("change_id").get<std::string>();
        x.failure = get_stack_optional<Failure>(j, "failure");
        x.offset = j.at("offset").get<int64_t>();
        x.revision = j.at("revision").get<int64_t>();
    }

    inline void to_json(json & j, const StoredOutcome & x) {
        j = json::object();
        j["change_id"] = x.change_id;
        j["failure"] = x.failure;
        j["offset"] = x.offset;
        j["revision"] = x.revision;
    }

    inline void from_json(const json & j, StoredResource& x) {
        x.kind = j.at("kind").get<ChangeKind>();
        x.name = j.at("name").get<std::string>();
        x.revision = j.at("revision").get<int64_t>();
        x.spec = j.at("spec").get<std::string>();
    }

    inline void to_json(json & j, const StoredResource & x) {
        j = json::object();
        j["kind"] = x.kind;
        j["name"] = x.name;
        j["revision"] = x.revision;
        j["spec"] = x.spec;
    }

    inline void from_json(const json & j, FoldState& x) {
        x.chain = j.at("chain").get<std::string>();
        x.offset = j.at("offset").get<int64_t>();
        x.outcomes = j.at("outcomes").get<std::vector<StoredOutcome>>();
        x.resources = j.at("resources").get<std::vector<StoredResource>>();
    }

    inline void to_json(json & j, const FoldState & x) {
        j = json::object();
        j["chain"] = x.chain;
        j["offset"] = x.offset;
        j["outcomes"] = x.outcomes;
        j["resources"] = x.resources;
    }

    inline void from_json(const json & j, RolloutSpec& x) {
        x.adapters = get_stack_optional<std::vector<std::string>>(j, "adapters");
        x.model = j.at("model").get<std::string>();
        x.places = get_stack_optional<std::vector<std::string>>(j, "places");
        x.prefer = get_stack_optional<Prefer>(j, "prefer");
        x.replicas = j.at("replicas").get<int64_t>();
        x.services = j.at("services").get<std::vector<std::string>>();
        x.version = j.at("version").get<std::string>();
    }

    inline void to_json(json & j, const RolloutSpec & x) {
        j = json::object();
        j["adapters"] = x.adapters;
        j["model"] = x.model;
        j["places"] = x.places;
        j["prefer"] = x.prefer;
        j["replicas"] = x.replicas;
        j["services"] = x.services;
        j["version"] = x.version;
    }

    inline void from_json(const json & j, ServiceSpec& x) {
        x.kind = j.at("kind").get<BackendKindEnum>();
        x.max_in_flight_per_instance = get_stack_optional<int64_t>(j, "max_in_flight_per_instance");
        x.queue_limit = get_stack_optional<int64_t>(j, "queue_limit");
    }

    inline void to_json(json & j, const ServiceSpec & x) {
        j = json::object();
        j["kind"] = x.kind;
        j["max_in_flight_per_instance"] = x.max_in_flight_per_instance;
        j["queue_limit"] = x.queue_limit;
    }

    inline void from_json(const json & j, SnapshotRecord& x) {
        x.chain = j.at("chain").get<std::string>();
        x.folds_to = j.at("folds_to").get<int64_t>();
        x.state = j.at("state").get<std::string>();
    }

    inline void to_json(json & j, const SnapshotRecord & x) {
        j = json::object();
        j["chain"] = x.chain;
        j["folds_to"] = x.folds_to;
        j["state"] = x.state;
    }

    inline void from_json(const json & j, Chunk& x) {
        x.bytes = j.at("bytes").get<int64_t>();
        x.digest = j.at("digest").get<std::string>();
    }

    inline void to_json(json & j, const Chunk & x) {
        j = json::object();
        j["bytes"] = x.bytes;
        j["digest"] = x.digest;
    }

    inline void from_json(const json & j, VersionSpec& x) {
        x.adapters = get_stack_optional<std::vector<std::string>>(j, "adapters");
        x.chunks = j.at("chunks").get<std::vector<Chunk>>();
        x.digest = j.at("digest").get<std::string>();
        x.model = j.at("model").get<std::string>();
        x.version = j.at("version").get<std::string>();
    }

    inline void to_json(json & j, const VersionSpec & x) {
        j = json::object();
        j["adapters"] = x.adapters;
        j["chunks"] = x.chunks;
        j["digest"] = x.digest;
        j["model"] = x.model;
        j["version"] = x.version;
    }

    inline void from_json(const json & j, LogRecord& x) {
        x.change = get_stack_optional<Change>(j, "change");
        x.customer_spec = get_stack_optional<CustomerSpec>(j, "customer_spec");
        x.fold_state = get_stack_optional<FoldState>(j, "fold_state");
        x.rollout_spec = get_stack_optional<RolloutSpec>(j, "rollout_spec");
        x.service_spec = get_stack_optional<ServiceSpec>(j, "service_spec");
        x.snapshot = get_stack_optional<SnapshotRecord>(j, "snapshot");
        x.version_spec = get_stack_optional<VersionSpec>(j, "version_spec");
    }

    inline void to_json(json & j, const LogRecord & x) {
        j = json::object();
        j["change"] = x.change;
        j["customer_spec"] = x.customer_spec;
        j["fold_state"] = x.fold_state;
        j["rollout_spec"] = x.rollout_spec;
        j["service_spec"] = x.service_spec;
        j["snapshot"] = x.snapshot;
        j["version_spec"] = x.version_spec;
    }

    inline void from_json(const json & j, Accepted& x) {
        x.attempt = j.at("attempt").get<std::string>();
    }

    inline void to_json(json & j, const Accepted & x) {
        j = json::object();
        j["attempt"] = x.attempt;
    }

    inline void from_json(const json & j, Acknowledge& x) {
        x.attempt = j.at("attempt").get<std::string>();
        x.next_sequence = j.at("next_sequence").get<int64_t>();
    }

    inline void to_json(json & j, const Acknowledge & x) {
        j = json::object();
        j["attempt"] = x.attempt;
        j["next_sequence"] = x.next_sequence;
    }

    inline void from_json(const json & j, Broken& x) {
        x.attempt = j.at("attempt").get<std::string>();
        x.reason = j.at("reason").get<Reason>();
    }

    inline void to_json(json & j, const Broken & x) {
        j = json::object();
        j["attempt"] = x.attempt;
        j["reason"] = x.reason;
    }

    inline void from_json(const json & j, Cancel& x) {
        x.attempt = j.at("attempt").get<std::string>();
    }

    inline void to_json(json & j, const Cancel & x) {
        j = json::object();
        j["attempt"] = x.attempt;
    }

    inline void from_json(const json & j, Challenge& x) {
        x.nonce = j.at("nonce").get<std::string>();
        x.protocol = j.at("protocol").get<int64_t>();
    }

    inline void to_json(json & j, const Challenge & x) {
        j = json::object();
        j["nonce"] = x.nonce;
        j["protocol"] = x.protocol;
    }

    inline void from_json(const json & j, ChunkMap& x) {
        x.chunks = j.at("chunks").get<std::vector<int64_t>>();
        x.digest = j.at("digest").get<std::string>();
    }

    inline void to_json(json & j, const ChunkMap & x) {
        j = json::object();
        j["chunks"] = x.chunks;
        j["digest"] = x.digest;
    }

    inline void from_json(const json & j, SuspectRun& x) {
        x.alone = j.at("alone").get<bool>();
        x.digest = j.at("digest").get<std::string>();
        x.is_over = j.at("is_over").get<bool>();
        x.server = j.at("server").get<std::string>();
    }

    inline void to_json(json & j, const SuspectRun & x) {
        j = json::object();
        j["alone"] = x.alone;
        j["digest"] = x.digest;
        j["is_over"] = x.is_over;
        j["server"] = x.server;
    }

    inline void from_json(const json & j, EndedRun& x) {
        x.alone = j.at("alone").get<bool>();
        x.server = j.at("server").get<std::string>();
    }

    inline void to_json(json & j, const EndedRun & x) {
        j = json::object();
        j["alone"] = x.alone;
        j["server"] = x.server;
    }

    inline void from_json(const json & j, CrashSuspect& x) {
        x.blamed_ms_ago = get_stack_optional<int64_t>(j, "blamed_ms_ago");
        x.digest = j.at("digest").get<std::string>();
        x.ends = j.at("ends").get<std::vector<EndedRun>>();
        x.times_blamed = j.at("times_blamed").get<int64_t>();
    }

    inline void to_json(json & j, const CrashSuspect & x) {
        j = json::object();
        j["blamed_ms_ago"] = x.blamed_ms_ago;
        j["digest"] = x.digest;
        j["ends"] = x.ends;
        j["times_blamed"] = x.times_blamed;
    }

    inline void from_json(const json & j, CrashNews& x) {
        x.cleared = j.at("cleared").get<std::vector<std::string>>();
        x.runs = j.at("runs").get<std::vector<SuspectRun>>();
        x.suspects = j.at("suspects").get<std::vector<CrashSuspect>>();
    }

    inline void to_json(json & j, const CrashNews & x) {
        j = json::object();
        j["cleared"] = x.cleared;
        j["runs"] = x.runs;
        j["suspects"] = x.suspects;
    }

    inline void from_json(const json & j, Demand& x) {
        x.customer = j.at("customer").get<std::string>();
        x.per_second = j.at("per_second").get<double>();
    }

    inline void to_json(json & j, const Demand & x) {
        j = json::object();
        j["customer"] = x.customer;
        j["per_second"] = x.per_second;
    }

    inline void from_json(const json & j, EntryDemand& x) {
        x.customers = j.at("customers").get<std::vector<Demand>>();
        x.entry = j.at("entry").get<std::string>();
    }

    inline void to_json(json & j, const EntryDemand & x) {
        j = json::object();
        j["customers"] = x.customers;
        j["entry"] = x.entry;
    }

    inline void from_json(const json & j, Demands& x) {
        x.entries = j.at("entries").get<std::vector<EntryDemand>>();
    }

    inline void to_json(json & j, const Demands & x) {
        j = json::object();
        j["entries"] = x.entries;
    }

    inline void from_json(const json & j, EntryDirectory& x) {
        x.entries = j.at("entries").get<std::vector<std::string>>();
    }

    inline void to_json(json & j, const EntryDirectory & x) {
        j = json::object();
        j["entries"] = x.entries;
    }

    inline void from_json(const json & j, Header& x) {
        x.name = j.at("name").get<std::string>();
        x.value = j.at("value").get<std::string>();
    }

    inline void to_json(json & j, const Header & x) {
        j = json::object();
        j["name"] = x.name;
        j["value"] = x.value;
    }

    inline void from_json(const json & j, Dispatch& x) {
        x.attempt = j.at("attempt").get<std::string>();
        x.body = j.at("body").get<std::string>();
        x.customer = j.at("customer").get<std::string>();
        x.deadline_ms = j.at("deadline_ms").get<int64_t>();
        x.headers = j.at("headers").get<std::vector<Header>>();
        x.key = get_stack_optional<std::string>(j, "key");
        x.method = j.at("method").get<std::string>();
        x.model = get_stack_optional<std::string>(j, "model");
        x.path = j.at("path").get<std::string>();
        x.priority = j.at("priority").get<int64_t>();
        x.repeatability = j.at("repeatability").get<Repeatability>();
        x.version = get_stack_optional<std::string>(j, "version");
    }

    inline void to_json(json & j, const Dispatch & x) {
        j = json::object();
        j["attempt"] = x.attempt;
        j["body"] = x.body;
        j["customer"] = x.customer;
        j["deadline_ms"] = x.deadline_ms;
        j["headers"] = x.headers;
        j["key"] = x.key;
        j["method"] = x.method;
        j["model"] = x.model;
        j["path"] = x.path;
        j["priority"] = x.priority;
        j["repeatability"] = x.repeatability;
        j["version"] = x.version;
    }

    inline void from_json(const json & j, EngineState& x) {
        x.is_busy = j.at("is_busy").get<bool>();
        x.is_version_known = get_stack_optional<bool>(j, "is_version_known");
        x.pace = j.at("pace").get<double>();
        x.running = j.at("running").get<int64_t>();
        x.server_id = j.at("server_id").get<std::string>();
        x.started_at_ms = get_stack_optional<int64_t>(j, "started_at_ms");
        x.unchecked_version = get_stack_optional<int64_t>(j, "unchecked_version");
        x.version = j.at("version").get<int64_t>();
        x.waiting = j.at("waiting").get<int64_t>();
    }

    inline void to_json(json & j, const EngineState & x) {
        j = json::object();
        j["is_busy"] = x.is_busy;
        j["is_version_known"] = x.is_version_known;
        j["pace"] = x.pace;
        j["running"] = x.running;
        j["server_id"] = x.server_id;
        j["started_at_ms"] = x.started_at_ms;
        j["unchecked_version"] = x.unchecked_version;
        j["version"] = x.version;
        j["waiting"] = x.waiting;
    }

    inline void from_json(const json & j, EngineUse& x) {
        x.is_used = j.at("is_used").get<bool>();
    }

    inline void to_json(json & j, const EngineUse & x) {
        j = json::object();
        j["is_used"] = x.is_used;
    }

    inline void from_json(const json & j, ServiceDemand& x) {
        x.per_second = j.at("per_second").get<double>();
        x.service = j.at("service").get<std::string>();
    }

    inline void to_json(json & j, const ServiceDemand & x) {
        j = json::object();
        j["per_second"] = x.per_second;
        j["service"] = x.service;
    }

    inline void from_json(const json & j, EntryLoad& x) {
        x.configuration_end = get_stack_optional<int64_t>(j, "configuration_end");
        x.configuration_version = get_stack_optional<int64_t>(j, "configuration_version");
        x.demand = j.at("demand").get<std::vector<ServiceDemand>>();
        x.failure_domain = j.at("failure_domain").get<std::string>();
        x.issues_permits = get_stack_optional<bool>(j, "issues_permits");
        x.keeps_limits = get_stack_optional<bool>(j, "keeps_limits");
    }

    inline void to_json(json & j, const EntryLoad & x) {
        j = json::object();
        j["configuration_end"] = x.configuration_end;
        j["configuration_version"] = x.configuration_version;
        j["demand"] = x.demand;
        j["failure_domain"] = x.failure_domain;
        j["issues_permits"] = x.issues_permits;
        j["keeps_limits"] = x.keeps_limits;
    }

    inline void from_json(const json & j, FactRequest& x) {
        x.configuration_era = get_stack_optional<int64_t>(j, "configuration_era");
        x.configuration_from = j.at("configuration_from").get<int64_t>();
        x.requested_at_ms = get_stack_optional<int64_t>(j, "requested_at_ms");
        x.servers_era = get_stack_optional<int64_t>(j, "servers_era");
        x.servers_from = j.at("servers_from").get<int64_t>();
    }

    inline void to_json(json & j, const FactRequest & x) {
        j = json::object();
        j["configuration_era"] = x.configuration_era;
        j["configuration_from"] = x.configuration_from;
        j["requested_at_ms"] = x.requested_at_ms;
        j["servers_era"] = x.servers_era;
        j["servers_from"] = x.servers_from;
    }

    inline void from_json(const json & j, ToldVersion& x) {
        x.known_ms_ago = j.at("known_ms_ago").get<int64_t>();
        x.named_ms_ago = get_stack_optional<int64_t>(j, "named_ms_ago");
        x.version = j.at("version").get<int64_t>();
    }

    inline void to_json(json & j, const ToldVersion & x) {
        j = json::object();
        j["known_ms_ago"] = x.known_ms_ago;
        j["named_ms_ago"] = x.named_ms_ago;
        j["version"] = x.version;
    }

    inline void from_json(const json & j, Fact& x) {
        x.body = j.at("body").get<std::string>();
        x.era = get_stack_optional<int64_t>(j, "era");
        x.key = j.at("key").get<std::string>();
        x.kind = j.at("kind").get<FactKind>();
        x.left_revision = get_stack_optional<int64_t>(j, "left_revision");
        x.returned_revision = get_stack_optional<int64_t>(j, "returned_revision");
        x.revision = j.at("revision").get<int64_t>();
        x.versions = get_stack_optional<std::vector<ToldVersion>>(j, "versions");
    }

    inline void to_json(json & j, const Fact & x) {
        j = json::object();
        j["body"] = x.body;
        j["era"] = x.era;
        j["key"] = x.key;
        j["kind"] = x.kind;
        j["left_revision"] = x.left_revision;
        j["returned_revision"] = x.returned_revision;
        j["revision"] = x.revision;
        j["versions"] = x.versions;
    }

    inline void from_json(const json & j, FactBatch& x) {
        x.age_ms = j.at("age_ms").get<int64_t>();
        x.configuration_age_ms = get_stack_optional<int64_t>(j, "configuration_age_ms");
        x.configuration_end = j.at("configuration_end").get<int64_t>();
        x.configuration_era = get_stack_optional<int64_t>(j, "configuration_era");
        x.facts = j.at("facts").get<std::vector<Fact>>();
        x.requested_at_ms = get_stack_optional<int64_t>(j, "requested_at_ms");
        x.servers_age_ms = get_stack_optional<int64_t>(j, "servers_age_ms");
        x.servers_end = j.at("servers_end").get<int64_t>();
        x.servers_era = get_stack_optional<int64_t>(j, "servers_era");
    }

    inline void to_json(json & j, const FactBatch & x) {
        j = json::object();
        j["age_ms"] = x.age_ms;
        j["configuration_age_ms"] = x.configuration_age_ms;
        j["configuration_end"] = x.configuration_end;
        j["configuration_era"] = x.configuration_era;
        j["facts"] = x.facts;
        j["requested_at_ms"] = x.requested_at_ms;
        j["servers_age_ms"] = x.servers_age_ms;
        j["servers_end"] = x.servers_end;
        j["servers_era"] = x.servers_era;
    }

    inline void from_json(const json & j, Hello& x) {
        x.identity = j.at("identity").get<std::string>();
        x.incarnation = j.at("incarnation").get<int64_t>();
        x.list_version = j.at("list_version").get<int64_t>();
        x.mac = j.at("mac").get<std::string>();
        x.offset = j.at("offset").get<int64_t>();
        x.role = j.at("role").get<Role>();
    }

    inline void to_json(json & j, const Hello & x) {
        j = json::object();
        j["identity"] = x.identity;
        j["incarnation"] = x.incarnation;
        j["list_version"] = x.list_version;
        j["mac"] = x.mac;
        j["offset"] = x.offset;
        j["role"] = x.role;
    }

    inline void from_json(const json & j, LeavingServer& x) {
        x.server = j.at("server").get<std::string>();
        x.started_at_ms = get_stack_optional<int64_t>(j, "started_at_ms");
    }

    inline void to_json(json & j, const LeavingServer & x) {
        j = json::object();
        j["server"] = x.server;
        j["started_at_ms"] = x.started_at_ms;
    }

    inline void from_json(const json & j, LeavingServers& x) {
        x.servers = j.at("servers").get<std::vector<LeavingServer>>();
    }

    inline void to_json(json & j, const LeavingServers & x) {
        j = json::object();
        j["servers"] = x.servers;
    }

    inline void from_json(const json & j, PermitDemand& x) {
        x.server = j.at("server").get<std::string>();
        x.waiting_entries = j.at("waiting_entries").get<int64_t>();
    }

    inline void to_json(json & j, const PermitDemand & x) {
        j = json::object();
        j["server"] = x.server;
        j["waiting_entries"] = x.waiting_entries;
    }

    inline void from_json(const json & j, LimitStatement& x) {
        x.age_ms = j.at("age_ms").get<int64_t>();
        x.per_second = get_stack_optional<double>(j, "per_second");
        x.server = j.at("server").get<std::string>();
        x.started_at_ms = get_stack_optional<int64_t>(j, "started_at_ms");
    }

    inline void to_json(json & j, const LimitStatement & x) {
        j = json::object();
        j["age_ms"] = x.age_ms;
        j["per_second"] = x.per_second;
        j["server"] = x.server;
        j["started_at_ms"] = x.started_at_ms;
    }

    inline void from_json(const json & j, PermitCount& x) {
        x.count = j.at("count").get<int64_t>();
        x.server = j.at("server").get<std::string>();
    }

    inline void to_json(json & j, const PermitCount & x) {
        j = json::object();
        j["count"] = x.count;
        j["server"] = x.server;
    }

    inline void from_json(const json & j, LimitExchange& x) {
        x.demands = get_stack_optional<std::vector<PermitDemand>>(j, "demands");
        x.limits = j.at("limits").get<std::vector<LimitStatement>>();
        x.permits = j.at("permits").get<std::vector<PermitCount>>();
        x.requests = j.at("requests").get<std::vector<PermitCount>>();
    }

    inline void to_json(json & j, const LimitExchange & x) {
        j = json::object();
        j["demands"] = x.demands;
        j["limits"] = x.limits;
        j["permits"] = x.permits;
        j["requests"] = x.requests;
    }

    inline void from_json(const json & j, Instance& x) {
        x.address = j.at("address").get<std::string>();
        x.failure_domain = j.at("failure_domain").get<std::string>();
        x.http_port = j.at("http_port").get<int64_t>();
        x.id = j.at("id").get<std::string>();
        x.link_port = j.at("link_port").get<int64_t>();
        x.region = j.at("region").get<std::string>();
        x.role = j.at("role").get<Role>();
        x.service = j.at("service").get<std::string>();
        x.state = j.at("state").get<InstanceState>();
    }

    inline void to_json(json & j, const Instance & x) {
        j = json::object();
        j["address"] = x.address;
        j["failure_domain"] = x.failure_domain;
        j["http_port"] = x.http_port;
        j["id"] = x.id;
        j["link_port"] = x.link_port;
        j["region"] = x.region;
        j["role"] = x.role;
        j["service"] = x.service;
        j["state"] = x.state;
    }

    inline void from_json(const json & j, Members& x) {
        x.instances = j.at("instances").get<std::vector<Instance>>();
        x.version = j.at("version").get<int64_t>();
    }

    inline void to_json(json & j, const Members & x) {
        j = json::object();
        j["instances"] = x.instances;
        j["version"] = x.version;
    }

    inline void from_json(const json & j, Part& x) {
        x.attempt = j.at("attempt").get<std::string>();
        x.data = j.at("data").get<std::string>();
        x.headers = get_stack_optional<std::vector<Header>>(j, "headers");
        x.last = j.at("last").get<bool>();
        x.sequence = j.at("sequence").get<int64_t>();
        x.status = get_stack_optional<int64_t>(j, "status");
    }

    inline void to_json(json & j, const Part & x) {
        j = json::object();
        j["attempt"] = x.attempt;
        j["data"] = x.data;
        j["headers"] = x.headers;
        j["last"] = x.last;
        j["sequence"] = x.sequence;
        j["status"] = x.status;
    }

    inline void from_json(const json & j, PieceMap& x) {
        x.chunks = j.at("chunks").get<std::vector<int64_t>>();
        x.is_seeking = j.at("is_seeking").get<bool>();
        x.model = j.at("model").get<std::string>();
        x.version = j.at("version").get<int64_t>();
    }

    inline void to_json(json & j, const PieceMap & x) {
        j = json::object();
        j["chunks"] = x.chunks;
        j["is_seeking"] = x.is_seeking;
        j["model"] = x.model;
        j["version"] = x.version;
    }

    inline void from_json(const json & j, Ping& x) {
        x.configuration_end = get_stack_optional<int64_t>(j, "configuration_end");
        x.configuration_version = get_stack_optional<int64_t>(j, "configuration_version");
        x.list_version = j.at("list_version").get<int64_t>();
        x.sent_at_ms = j.at("sent_at_ms").get<int64_t>();
    }

    inline void to_json(json & j, const Ping & x) {
        j = json::object();
        j["configuration_end"] = x.configuration_end;
        j["configuration_version"] = x.configuration_version;
        j["list_version"] = x.list_version;
        j["sent_at_ms"] = x.sent_at_ms;
    }

    inline void from_json(const json & j, Pong& x) {
        x.confirmed = j.at("confirmed").get<bool>();
        x.demand = get_stack_optional<std::vector<Demand>>(j, "demand");
        x.list_version = j.at("list_version").get<int64_t>();
        x.sent_at_ms = j.at("sent_at_ms").get<int64_t>();
        x.set_since_ms = get_stack_optional<int64_t>(j, "set_since_ms");
    }

    inline void to_json(json & j, const Pong & x) {
        j = json::object();
        j["confirmed"] = x.confirmed;
        j["demand"] = x.demand;
        j["list_version"] = x.list_version;
        j["sent_at_ms"] = x.sent_at_ms;
        j["set_since_ms"] = x.set_since_ms;
    }

    inline void from_json(const json & j, Record& x) {
        x.body = j.at("body").get<std::string>();
        x.offset = j.at("offset").get<int64_t>();
    }

    inline void to_json(json & j, const Record & x) {
        j = json::object();
        j["body"] = x.body;
        j["offset"] = x.offset;
    }

    inline void from_json(const json & j, Records& x) {
        x.records = j.at("records").get<std::vector<Record>>();
    }

    inline void to_json(json & j, const Records & x) {
        j = json::object();
        j["records"] = x.records;
    }

    inline void from_json(const json & j, RefusalNews& x) {
        x.asked_ms_ago = j.at("asked_ms_ago").get<std::vector<int64_t>>();
        x.digests = j.at("digests").get<std::vector<std::string>>();
        x.left_ms = j.at("left_ms").get<std::vector<int64_t>>();
    }

    inline void to_json(json & j, const RefusalNews & x) {
        j = json::object();
        j["asked_ms_ago"] = x.asked_ms_ago;
        j["digests"] = x.digests;
        j["left_ms"] = x.left_ms;
    }

    inline void from_json(const json & j, Refused& x) {
        x.attempt = j.at("attempt").get<std::string>();
        x.reason = j.at("reason").get<Reason>();
        x.retry_after_ms = j.at("retry_after_ms").get<int64_t>();
    }

    inline void to_json(json & j, const Refused & x) {
        j = json::object();
        j["attempt"] = x.attempt;
        j["reason"] = x.reason;
        j["retry_after_ms"] = x.retry_after_ms;
    }

    inline void from_json(const json & j, Progress& x) {
        x.chunks_held = j.at("chunks_held").get<int64_t>();
        x.chunks_total = j.at("chunks_total").get<int64_t>();
        x.failure = get_stack_optional<Reason>(j, "failure");
        x.origin_bytes = j.at("origin_bytes").get<int64_t>();
        x.peer_bytes = j.at("peer_bytes").get<int64_t>();
        x.revision = j.at("revision").get<int64_t>();
        x.rollout = j.at("rollout").get<std::string>();
        x.state = j.at("state").get<ProgressState>();
    }

    inline void to_json(json & j, const Progress & x) {
        j = json::object();
        j["chunks_held"] = x.chunks_held;
        j["chunks_total"] = x.chunks_total;
        j["failure"] = x.failure;
        j["origin_bytes"] = x.origin_bytes;
        j["peer_bytes"] = x.peer_bytes;
        j["revision"] = x.revision;
        j["rollout"] = x.rollout;
        j["state"] = x.state;
    }

    inline void from_json(const json & j, Weights& x) {
        x.digest = j.at("digest").get<std::string>();
        x.model = j.at("model").get<std::string>();
        x.version = j.at("version").get<std::string>();
    }

    inline void to_json(json & j, const Weights & x) {
        j = json::object();
        j["digest"] = x.digest;
        j["model"] = x.model;
        j["version"] = x.version;
    }

    inline void from_json(const json & j, Report& x) {
        x.capacity = j.at("capacity").get<int64_t>();
        x.draining = j.at("draining").get<bool>();
        x.engine_load = j.at("engine_load").get<double>();
        x.fence = get_stack_optional<int64_t>(j, "fence");
        x.in_flight = j.at("in_flight").get<int64_t>();
        x.offset = j.at("offset").get<int64_t>();
        x.progress = get_stack_optional<Progress>(j, "progress");
        x.serving = get_stack_optional<Weights>(j, "serving");
        x.warm_prefixes = get_stack_optional<std::vector<std::string>>(j, "warm_prefixes");
    }

    inline void to_json(json & j, const Report & x) {
        j = json::object();
        j["capacity"] = x.capacity;
        j["draining"] = x.draining;
        j["engine_load"] = x.engine_load;
        j["fence"] = x.fence;
        j["in_flight"] = x.in_flight;
        j["offset"] = x.offset;
        j["progress"] = x.progress;
        j["serving"] = x.serving;
        j["warm_prefixes"] = x.warm_prefixes;
    }

    inline void from_json(const json & j, Resume& x) {
        x.attempt = j.at("attempt").get<std::string>();
        x.next_sequence = j.at("next_sequence").get<int64_t>();
    }

    inline void to_json(json & j, const Resume & x) {
        j = json::object();
        j["attempt"] = x.attempt;
        j["next_sequence"] = x.next_sequence;
    }

    inline void from_json(const json & j, Snapshot& x) {
        x.folds_to = j.at("folds_to").get<int64_t>();
        x.state = j.at("state").get<std::string>();
    }

    inline void to_json(json & j, const Snapshot & x) {
        j = json::object();
        j["folds_to"] = x.folds_to;
        j["state"] = x.state;
    }

    inline void from_json(const json & j, Tally& x) {
        x.ready = j.at("ready").get<std::vector<std::string>>();
        x.revision = j.at("revision").get<int64_t>();
        x.rollout = j.at("rollout").get<std::string>();
    }

    inline void to_json(json & j, const Tally & x) {
        j = json::object();
        j["ready"] = x.ready;
        j["revision"] = x.revision;
        j["rollout"] = x.rollout;
    }

    inline void from_json(const json & j, GoalPeer& x) {
        x.failure_domain = j.at("failure_domain").get<std::string>();
        x.identity = j.at("identity").get<std::string>();
    }

    inline void to_json(json & j, const GoalPeer & x) {
        j = json::object();
        j["failure_domain"] = x.failure_domain;
        j["identity"] = x.identity;
    }

    inline void from_json(const json & j, WeightsGoal& x) {
        x.age_ms = j.at("age_ms").get<int64_t>();
        x.bound_ms = j.at("bound_ms").get<int64_t>();
        x.chunks = j.at("chunks").get<int64_t>();
        x.layers = j.at("layers").get<int64_t>();
        x.may_evict = j.at("may_evict").get<bool>();
        x.model = j.at("model").get<std::string>();
        x.origin_address = j.at("origin_address").get<std::string>();
        x.peers = j.at("peers").get<std::vector<GoalPeer>>();
        x.service = j.at("service").get<std::string>();
        x.version = j.at("version").get<int64_t>();
    }

    inline void to_json(json & j, const WeightsGoal & x) {
        j = json::object();
        j["age_ms"] = x.age_ms;
        j["bound_ms"] = x.bound_ms;
        j["chunks"] = x.chunks;
        j["layers"] = x.layers;
        j["may_evict"] = x.may_evict;
        j["model"] = x.model;
        j["origin_address"] = x.origin_address;
        j["peers"] = x.peers;
        j["service"] = x.service;
        j["version"] = x.version;
    }

    inline void from_json(const json & j, Message& x) {
        x.accepted = get_stack_optional<Accepted>(j, "accepted");
        x.acknowledge = get_stack_optional<Acknowledge>(j, "acknowledge");
        x.broken = get_stack_optional<Broken>(j, "broken");
        x.cancel = get_stack_optional<Cancel>(j, "cancel");
        x.challenge = get_stack_optional<Challenge>(j, "challenge");
        x.chunk_map = get_stack_optional<ChunkMap>(j, "chunk_map");
        x.crash_news = get_stack_optional<CrashNews>(j, "crash_news");
        x.demands = get_stack_optional<Demands>(j, "demands");
        x.directory = get_stack_optional<EntryDirectory>(j, "directory");
        x.dispatch = get_stack_optional<Dispatch>(j, "dispatch");
        x.engine_state = get_stack_optional<EngineState>(j, "engine_state");
        x.engine_use = get_stack_optional<EngineUse>(j, "engine_use");
        x.entry_load = get_stack_optional<EntryLoad>(j, "entry_load");
        x.fact_request = get_stack_optional<FactRequest>(j, "fact_request");
        x.facts = get_stack_optional<FactBatch>(j, "facts");
        x.hello = get_stack_optional<Hello>(j, "hello");
        x.leaving_servers = get_stack_optional<LeavingServers>(j, "leaving_servers");
        x.limit_exchange = get_stack_optional<LimitExchange>(j, "limit_exchange");
        x.members = get_stack_optional<Members>(j, "members");
        x.part = get_stack_optional<Part>(j, "part");
        x.pieces = get_stack_optional<PieceMap>(j, "pieces");
        x.ping = get_stack_optional<Ping>(j, "ping");
        x.pong = get_stack_optional<Pong>(j, "pong");
        x.records = get_stack_optional<Records>(j, "records");
        x.refusals = get_stack_optional<RefusalNews>(j, "refusals");
        x.refused = get_stack_optional<Refused>(j, "refused");
        x.report = get_stack_optional<Report>(j, "report");
        x.resume = get_stack_optional<Resume>(j, "resume");
        x.snapshot = get_stack_optional<Snapshot>(j, "snapshot");
        x.tally = get_stack_optional<Tally>(j, "tally");
        x.weights_goal = get_stack_optional<WeightsGoal>(j, "weights_goal");
    }

    inline void to_json(json & j, const Message & x) {
        j = json::object();
        j["accepted"] = x.accepted;
        j["acknowledge"] = x.acknowledge;
        j["broken"] = x.broken;
        j["cancel"] = x.cancel;
        j["challenge"] = x.challenge;
        j["chunk_map"] = x.chunk_map;
        j["crash_news"] = x.crash_news;
        j["demands"] = x.demands;
        j["directory"] = x.directory;
        j["dispatch"] = x.dispatch;
        j["engine_state"] = x.engine_state;
        j["engine_use"] = x.engine_use;
        j["entry_load"] = x.entry_load;
        j["fact_request"] = x.fact_request;
        j["facts"] = x.facts;
        j["hello"] = x.hello;
        j["leaving_servers"] = x.leaving_servers;
        j["limit_exchange"] = x.limit_exchange;
        j["members"] = x.members;
        j["part"] = x.part;
        j["pieces"] = x.pieces;
        j["ping"] = x.ping;
        j["pong"] = x.pong;
        j["records"] = x.records;
        j["refusals"] = x.refusals;
        j["refused"] = x.refused;
        j["report"] = x.report;
        j["resume"] = x.resume;
        j["snapshot"] = x.snapshot;
        j["tally"] = x.tally;
        j["weights_goal"] = x.weights_goal;
    }

    inline void from_json(const json & j, ModelSeed& x) {
        x.chunk_bytes = j.at("chunk_bytes").get<int64_t>();
        x.chunk_count = j.at("chunk_count").get<int64_t>();
        x.model = j.at("model").get<std::string>();
        x.seed = j.at("seed").get<int64_t>();
        x.shared_chunks = j.at("shared_chunks").get<int64_t>();
        x.version = j.at("version").get<std::string>();
    }

    inline void to_json(json & j, const ModelSeed & x) {
        j = json::object();
        j["chunk_bytes"] = x.chunk_bytes;
        j["chunk_count"] = x.chunk_count;
        j["model"] = x.model;
        j["seed"] = x.seed;
        j["shared_chunks"] = x.shared_chunks;
        j["version"] = x.version;
    }

    inline void from_json(const json & j, ModelVersion& x) {
        x.model = j.at("model").get<std::string>();
        x.version = j.at("version").get<int64_t>();
    }

    inline void to_json(json & j, const ModelVersion & x) {
        j = json::object();
        j["model"] = x.model;
        j["version"] = x.version;
    }

    inline void from_json(const json & j, Problem& x) {
        x.change_id = get_stack_optional<std::string>(j, "change_id");
        x.detail = get_stack_optional<std::string>(j, "detail");
        x.outcome = j.at("outcome").get<Outcome>();
        x.retry_after_ms = get_stack_optional<int64_t>(j, "retry_after_ms");
        x.revision = get_stack_optional<int64_t>(j, "revision");
        x.status = j.at("status").get<int64_t>();
        x.title = j.at("title").get<std::string>();
        x.type = j.at("type").get<std::string>();
    }

    inline void to_json(json & j, const Problem & x) {
        j = json::object();
        j["change_id"] = x.change_id;
        j["detail"] = x.detail;
        j["outcome"] = x.outcome;
        j["retry_after_ms"] = x.retry_after_ms;
        j["revision"] = x.revision;
        j["status"] = x.status;
        j["title"] = x.title;
        j["type"] = x.type;
    }

    inline void from_json(const json & j, ResourceView& x) {
        x.kind = j.at("kind").get<std::string>();
        x.name = j.at("name").get<std::string>();
        x.revision = j.at("revision").get<int64_t>();
        x.spec = get_untyped(j, "spec");
        x.status = get_untyped(j, "status");
    }

    inline void to_json(json & j, const ResourceView & x) {
        j = json::object();
        j["kind"] = x.kind;
        j["name"] = x.name;
        j["revision"] = x.revision;
        j["spec"] = x.spec;
        j["status"] = x.status;
    }

    inline void from_json(const json & j, RolloutStatus& x) {
        x.chunks_held = j.at("chunks_held").get<int64_t>();
        x.chunks_total = j.at("chunks_total").get<int64_t>();
        x.failed = j.at("failed").get<int64_t>();
        x.failure = get_stack_optional<std::string>(j, "failure");
        x.loading = j.at("loading").get<int64_t>();
        x.origin_bytes = j.at("origin_bytes").get<int64_t>();
        x.origin_copies = j.at("origin_copies").get<double>();
        x.peer_bytes = j.at("peer_bytes").get<int64_t>();
        x.ready = j.at("ready").get<int64_t>();
        x.revision = j.at("revision").get<int64_t>();
        x.rollout = j.at("rollout").get<std::string>();
        x.time_to_all_ms = get_stack_optional<int64_t>(j, "time_to_all_ms");
        x.time_to_half_ms = get_stack_optional<int64_t>(j, "time_to_half_ms");
        x.time_to_quarter_ms = get_stack_optional<int64_t>(j, "time_to_quarter_ms");
        x.transferring = j.at("transferring").get<int64_t>();
        x.wanted = j.at("wanted").get<int64_t>();
    }

    inline void to_json(json & j, const RolloutStatus & x) {
        j = json::object();
        j["chunks_held"] = x.chunks_held;
        j["chunks_total"] = x.chunks_total;
        j["failed"] = x.failed;
        j["failure"] = x.failure;
        j["loading"] = x.loading;
        j["origin_bytes"] = x.origin_bytes;
        j["origin_copies"] = x.origin_copies;
        j["peer_bytes"] = x.peer_bytes;
        j["ready"] = x.ready;
        j["revision"] = x.revision;
        j["rollout"] = x.rollout;
        j["time_to_all_ms"] = x.time_to_all_ms;
        j["time_to_half_ms"] = x.time_to_half_ms;
        j["time_to_quarter_ms"] = x.time_to_quarter_ms;
        j["transferring"] = x.transferring;
        j["wanted"] = x.wanted;
    }

    inline void from_json(const json & j, RoutedCustomer& x) {
        x.keys = j.at("keys").get<std::vector<std::string>>();
        x.name = j.at("name").get<std::string>();
        x.priority = get_stack_optional<int64_t>(j, "priority");
    }

    inline void to_json(json & j, const RoutedCustomer & x) {
        j = json::object();
        j["keys"] = x.keys;
        j["name"] = x.name;
        j["priority"] = x.priority;
    }

    inline void from_json(const json & j, RouteTarget& x) {
        x.service = j.at("service").get<std::string>();
        x.weight = j.at("weight").get<double>();
    }

    inline void to_json(json & j, const RouteTarget & x) {
        j = json::object();
        j["service"] = x.service;
        j["weight"] = x.weight;
    }

    inline void from_json(const json & j, Route& x) {
        x.host = j.at("host").get<std::string>();
        x.is_blocked = j.at("is_blocked").get<bool>();
        x.is_public = j.at("is_public").get<bool>();
        x.is_resumable = j.at("is_resumable").get<bool>();
        x.kind = j.at("kind").get<RouteKind>();
        x.max_attempts = j.at("max_attempts").get<int64_t>();
        x.name = j.at("name").get<std::string>();
        x.objective_gap_ms = j.at("objective_gap_ms").get<int64_t>();
        x.objective_ms = j.at("objective_ms").get<int64_t>();
        x.path_prefix = j.at("path_prefix").get<std::string>();
        x.priority = j.at("priority").get<int64_t>();
        x.targets = j.at("targets").get<std::vector<RouteTarget>>();
        x.timeout_ms = j.at("timeout_ms").get<int64_t>();
    }

    inline void to_json(json & j, const Route & x) {
        j = json::object();
        j["host"] = x.host;
        j["is_blocked"] = x.is_blocked;
        j["is_public"] = x.is_public;
        j["is_resumable"] = x.is_resumable;
        j["kind"] = x.kind;
        j["max_attempts"] = x.max_attempts;
        j["name"] = x.name;
        j["objective_gap_ms"] = x.objective_gap_ms;
        j["objective_ms"] = x.objective_ms;
        j["path_prefix"] = x.path_prefix;
        j["priority"] = x.priority;
        j["targets"] = x.targets;
        j["timeout_ms"] = x.timeout_ms;
    }

    inline void from_json(const json & j, EngineTiming& x) {
        x.chunk_bytes = get_stack_optional<int64_t>(j, "chunk_bytes");
        x.chunks = get_stack_optional<int64_t>(j, "chunks");
        x.context_ms_per_1000 = get_stack_optional<double>(j, "context_ms_per_1000");
        x.layers = get_stack_optional<int64_t>(j, "layers");
        x.model = j.at("model").get<std::string>();
        x.pairs_ms_per_million = get_stack_optional<double>(j, "pairs_ms_per_million");
        x.per_sequence_ms = get_stack_optional<double>(j, "per_sequence_ms");
        x.prompt_tokens_per_second = get_stack_optional<double>(j, "prompt_tokens_per_second");
        x.slots = get_stack_optional<int64_t>(j, "slots");
        x.step_ms = get_stack_optional<double>(j, "step_ms");
        x.stride = get_stack_optional<int64_t>(j, "stride");
        x.usual_answer_tokens = get_stack_optional<double>(j, "usual_answer_tokens");
        x.usual_prompt_tokens = get_stack_optional<double>(j, "usual_prompt_tokens");
    }

    inline void to_json(json & j, const EngineTiming & x) {
        j = json::object();
        j["chunk_bytes"] = x.chunk_bytes;
        j["chunks"] = x.chunks;
        j["context_ms_per_1000"] = x.context_ms_per_1000;
        j["layers"] = x.layers;
        j["model"] = x.model;
        j["pairs_ms_per_million"] = x.pairs_ms_per_million;
        j["per_sequence_ms"] = x.per_sequence_ms;
        j["prompt_tokens_per_second"] = x.prompt_tokens_per_second;
        j["slots"] = x.slots;
        j["step_ms"] = x.step_ms;
        j["stride"] = x.stride;
        j["usual_answer_tokens"] = x.usual_answer_tokens;
        j["usual_prompt_tokens"] = x.usual_prompt_tokens;
    }

    inline void from_json(const json & j, RoutedService& x) {
        x.max_connections = j.at("max_connections").get<int64_t>();
        x.name = j.at("name").get<std::string>();
        x.origin_address = get_stack_optional<std::string>(j, "origin_address");
        x.timing = get_stack_optional<EngineTiming>(j, "timing");
    }

    inline void to_json(json & j, const RoutedService & x) {
        j = json::object();
        j["max_connections"] = x.max_connections;
        j["name"] = x.name;
        j["origin_address"] = x.origin_address;
        j["timing"] = x.timing;
    }

    inline void from_json(const json & j, RoutingConfiguration& x) {
        x.customers = j.at("customers").get<std::vector<RoutedCustomer>>();
        x.has_customers = j.at("has_customers").get<bool>();
        x.has_unreadable_customers = j.at("has_unreadable_customers").get<bool>();
        x.header_timeout_ms = j.at("header_timeout_ms").get<int64_t>();
        x.idle_timeout_ms = j.at("idle_timeout_ms").get<int64_t>();
        x.max_body_bytes = j.at("max_body_bytes").get<int64_t>();
        x.max_header_bytes = j.at("max_header_bytes").get<int64_t>();
        x.routes = j.at("routes").get<std::vector<Route>>();
        x.services = j.at("services").get<std::vector<RoutedService>>();
        x.unreadable_fields = j.at("unreadable_fields").get<std::vector<std::string>>();
        x.version = j.at("version").get<int64_t>();
    }

    inline void to_json(json & j, const RoutingConfiguration & x) {
        j = json::object();
        j["customers"] = x.customers;
        j["has_customers"] = x.has_customers;
        j["has_unreadable_customers"] = x.has_unreadable_customers;
        j["header_timeout_ms"] = x.header_timeout_ms;
        j["idle_timeout_ms"] = x.idle_timeout_ms;
        j["max_body_bytes"] = x.max_body_bytes;
        j["max_header_bytes"] = x.max_header_bytes;
        j["routes"] = x.routes;
        j["services"] = x.services;
        j["unreadable_fields"] = x.unreadable_fields;
        j["version"] = x.version;
    }

    inline void from_json(const json & j, WeightsFaults& x) {
        x.append_delay_ms = get_stack_optional<int64_t>(j, "append_delay_ms");
        x.corrupt_share = get_stack_optional<double>(j, "corrupt_share");
        x.drop_before = get_stack_optional<int64_t>(j, "drop_before");
        x.list_lag_ms = get_stack_optional<int64_t>(j, "list_lag_ms");
        x.list_out = get_stack_optional<bool>(j, "list_out");
        x.log_out = get_stack_optional<bool>(j, "log_out");
        x.lose_append_answers = get_stack_optional<int64_t>(j, "lose_append_answers");
        x.origin_out = get_stack_optional<bool>(j, "origin_out");
    }

    inline void to_json(json & j, const WeightsFaults & x) {
        j = json::object();
        j["append_delay_ms"] = x.append_delay_ms;
        j["corrupt_share"] = x.corrupt_share;
        j["drop_before"] = x.drop_before;
        j["list_lag_ms"] = x.list_lag_ms;
        j["list_out"] = x.list_out;
        j["log_out"] = x.log_out;
        j["lose_append_answers"] = x.lose_append_answers;
        j["origin_out"] = x.origin_out;
    }

    inline void from_json(const json & j, BackendKindEnum & x) {
        if (j == "engine") x = BackendKindEnum::Engine;
        else if (j == "plain") x = BackendKindEnum::Plain;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"BackendKindEnum\""); }
    }

    inline void to_json(json & j, const BackendKindEnum & x) {
        switch (x) {
            case BackendKindEnum::Engine: j = "engine"; break;
            case BackendKindEnum::Plain: j = "plain"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"BackendKindEnum\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, LogLevel & x) {
        if (j == "debug") x = LogLevel::Debug;
        else if (j == "error") x = LogLevel::Error;
        else if (j == "info") x = LogLevel::Info;
        else if (j == "warn") x = LogLevel::Warn;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"LogLevel\""); }
    }

    inline void to_json(json & j, const LogLevel & x) {
        switch (x) {
            case LogLevel::Debug: j = "debug"; break;
            case LogLevel::Error: j = "error"; break;
            case LogLevel::Info: j = "info"; break;
            case LogLevel::Warn: j = "warn"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"LogLevel\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, Strategy & x) {
        if (j == "chain") x = Strategy::Chain;
        else if (j == "origin_only") x = Strategy::OriginOnly;
        else if (j == "swarm") x = Strategy::Swarm;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"Strategy\""); }
    }

    inline void to_json(json & j, const Strategy & x) {
        switch (x) {
            case Strategy::Chain: j = "chain"; break;
            case Strategy::OriginOnly: j = "origin_only"; break;
            case Strategy::Swarm: j = "swarm"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"Strategy\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, ServerChoice & x) {
        if (j == "least_loaded") x = ServerChoice::LeastLoaded;
        else if (j == "predicted") x = ServerChoice::Predicted;
        else if (j == "random_pick") x = ServerChoice::RandomPick;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"ServerChoice\""); }
    }

    inline void to_json(json & j, const ServerChoice & x) {
        switch (x) {
            case ServerChoice::LeastLoaded: j = "least_loaded"; break;
            case ServerChoice::Predicted: j = "predicted"; break;
            case ServerChoice::RandomPick: j = "random_pick"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"ServerChoice\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, Choice & x) {
        if (j == "least_loaded") x = Choice::LeastLoaded;
        else if (j == "prefix") x = Choice::Prefix;
        else if (j == "random") x = Choice::Random;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"Choice\""); }
    }

    inline void to_json(json & j, const Choice & x) {
        switch (x) {
            case Choice::LeastLoaded: j = "least_loaded"; break;
            case Choice::Prefix: j = "prefix"; break;
            case Choice::Random: j = "random"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"Choice\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, ChangeKind & x) {
        if (j == "customer") x = ChangeKind::Customer;
        else if (j == "rollout") x = ChangeKind::Rollout;
        else if (j == "service") x = ChangeKind::Service;
        else if (j == "version") x = ChangeKind::Version;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"ChangeKind\""); }
    }

    inline void to_json(json & j, const ChangeKind & x) {
        switch (x) {
            case ChangeKind::Customer: j = "customer"; break;
            case ChangeKind::Rollout: j = "rollout"; break;
            case ChangeKind::Service: j = "service"; break;
            case ChangeKind::Version: j = "version"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"ChangeKind\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, Operation & x) {
        if (j == "delete") x = Operation::Delete;
        else if (j == "put") x = Operation::Put;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"Operation\""); }
    }

    inline void to_json(json & j, const Operation & x) {
        switch (x) {
            case Operation::Delete: j = "delete"; break;
            case Operation::Put: j = "put"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"Operation\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, Failure & x) {
        if (j == "invalid_spec") x = Failure::InvalidSpec;
        else if (j == "revision_conflict") x = Failure::RevisionConflict;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"Failure\""); }
    }

    inline void to_json(json & j, const Failure & x) {
        switch (x) {
            case Failure::InvalidSpec: j = "invalid_spec"; break;
            case Failure::RevisionConflict: j = "revision_conflict"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"Failure\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, Prefer & x) {
        if (j == "origin_bytes") x = Prefer::OriginBytes;
        else if (j == "time") x = Prefer::Time;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"Prefer\""); }
    }

    inline void to_json(json & j, const Prefer & x) {
        switch (x) {
            case Prefer::OriginBytes: j = "origin_bytes"; break;
            case Prefer::Time: j = "time"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"Prefer\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, Reason & x) {
        static std::unordered_map<std::string, Reason> enumValues {
            {"answer_incomplete", Reason::AnswerIncomplete},
            {"backend_broke_off", Reason::BackendBrokeOff},
            {"backend_timeout", Reason::BackendTimeout},
            {"caller_gone", Reason::CallerGone},
            {"connect_failed", Reason::ConnectFailed},
            {"deadline_passed", Reason::DeadlinePassed},
            {"deadline_too_near", Reason::DeadlineTooNear},
            {"draining", Reason::Draining},
            {"forbidden", Reason::Forbidden},
            {"instance_busy", Reason::InstanceBusy},
            {"instance_lost", Reason::InstanceLost},
            {"key_before_home", Reason::KeyBeforeHome},
            {"key_from_future", Reason::KeyFromFuture},
            {"key_in_progress", Reason::KeyInProgress},
            {"key_malformed", Reason::KeyMalformed},
            {"key_too_old", Reason::KeyTooOld},
            {"lease_lapsed", Reason::LeaseLapsed},
            {"link_lost", Reason::LinkLost},
            {"load_failed", Reason::LoadFailed},
            {"malformed", Reason::Malformed},
            {"no_instance", Reason::NoInstance},
            {"no_such_customer", Reason::NoSuchCustomer},
            {"no_such_service", Reason::NoSuchService},
            {"no_such_version", Reason::NoSuchVersion},
            {"none", Reason::None},
            {"not_home", Reason::NotHome},
            {"origin_unavailable", Reason::OriginUnavailable},
            {"over_concurrency", Reason::OverConcurrency},
            {"over_rate", Reason::OverRate},
            {"queue_full", Reason::QueueFull},
            {"record_full", Reason::RecordFull},
            {"retry_budget_spent", Reason::RetryBudgetSpent},
            {"stopping", Reason::Stopping},
            {"too_large", Reason::TooLarge},
            {"unauthorized", Reason::Unauthorized},
            {"version_not_ready", Reason::VersionNotReady},
        };
        auto iter = enumValues.find(j.get<std::string>());
        if (iter != enumValues.end()) {
            x = iter->second;
        }
        else { throw std::runtime_error("Cannot deserialize to enumeration \"Reason\""); }
    }

    inline void to_json(json & j, const Reason & x) {
        switch (x) {
            case Reason::AnswerIncomplete: j = "answer_incomplete"; break;
            case Reason::BackendBrokeOff: j = "backend_broke_off"; break;
            case Reason::BackendTimeout: j = "backend_timeout"; break;
            case Reason::CallerGone: j = "caller_gone"; break;
            case Reason::ConnectFailed: j = "connect_failed"; break;
            case Reason::DeadlinePassed: j = "deadline_passed"; break;
            case Reason::DeadlineTooNear: j = "deadline_too_near"; break;
            case Reason::Draining: j = "draining"; break;
            case Reason::Forbidden: j = "forbidden"; break;
            case Reason::InstanceBusy: j = "instance_busy"; break;
            case Reason::InstanceLost: j = "instance_lost"; break;
            case Reason::KeyBeforeHome: j = "key_before_home"; break;
            case Reason::KeyFromFuture: j = "key_from_future"; break;
            case Reason::KeyInProgress: j = "key_in_progress"; break;
            case Reason::KeyMalformed: j = "key_malformed"; break;
            case Reason::KeyTooOld: j = "key_too_old"; break;
            case Reason::LeaseLapsed: j = "lease_lapsed"; break;
            case Reason::LinkLost: j = "link_lost"; break;
            case Reason::LoadFailed: j = "load_failed"; break;
            case Reason::Malformed: j = "malformed"; break;
            case Reason::NoInstance: j = "no_instance"; break;
            case Reason::NoSuchCustomer: j = "no_such_customer"; break;
            case Reason::NoSuchService: j = "no_such_service"; break;
            case Reason::NoSuchVersion: j = "no_such_version"; break;
            case Reason::None: j = "none"; break;
            case Reason::NotHome: j = "not_home"; break;
            case Reason::OriginUnavailable: j = "origin_unavailable"; break;
            case Reason::OverConcurrency: j = "over_concurrency"; break;
            case Reason::OverRate: j = "over_rate"; break;
            case Reason::QueueFull: j = "queue_full"; break;
            case Reason::RecordFull: j = "record_full"; break;
            case Reason::RetryBudgetSpent: j = "retry_budget_spent"; break;
            case Reason::Stopping: j = "stopping"; break;
            case Reason::TooLarge: j = "too_large"; break;
            case Reason::Unauthorized: j = "unauthorized"; break;
            case Reason::VersionNotReady: j = "version_not_ready"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"Reason\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, Repeatability & x) {
        if (j == "once") x = Repeatability::Once;
        else if (j == "repeatable") x = Repeatability::Repeatable;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"Repeatability\""); }
    }

    inline void to_json(json & j, const Repeatability & x) {
        switch (x) {
            case Repeatability::Once: j = "once"; break;
            case Repeatability::Repeatable: j = "repeatable"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"Repeatability\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, FactKind & x) {
        if (j == "backend_server") x = FactKind::BackendServer;
        else if (j == "configuration") x = FactKind::Configuration;
        else if (j == "model_version") x = FactKind::ModelVersion;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"FactKind\""); }
    }

    inline void to_json(json & j, const FactKind & x) {
        switch (x) {
            case FactKind::BackendServer: j = "backend_server"; break;
            case FactKind::Configuration: j = "configuration"; break;
            case FactKind::ModelVersion: j = "model_version"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"FactKind\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, Role & x) {
        if (j == "agent") x = Role::Agent;
        else if (j == "entry") x = Role::Entry;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"Role\""); }
    }

    inline void to_json(json & j, const Role & x) {
        switch (x) {
            case Role::Agent: j = "agent"; break;
            case Role::Entry: j = "entry"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"Role\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, InstanceState & x) {
        if (j == "leaving") x = InstanceState::Leaving;
        else if (j == "live") x = InstanceState::Live;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"InstanceState\""); }
    }

    inline void to_json(json & j, const InstanceState & x) {
        switch (x) {
            case InstanceState::Leaving: j = "leaving"; break;
            case InstanceState::Live: j = "live"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"InstanceState\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, ProgressState & x) {
        if (j == "failed") x = ProgressState::Failed;
        else if (j == "loading") x = ProgressState::Loading;
        else if (j == "ready") x = ProgressState::Ready;
        else if (j == "transferring") x = ProgressState::Transferring;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"ProgressState\""); }
    }

    inline void to_json(json & j, const ProgressState & x) {
        switch (x) {
            case ProgressState::Failed: j = "failed"; break;
            case ProgressState::Loading: j = "loading"; break;
            case ProgressState::Ready: j = "ready"; break;
            case ProgressState::Transferring: j = "transferring"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"ProgressState\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, Outcome & x) {
        if (j == "not_run") x = Outcome::NotRun;
        else if (j == "rejected") x = Outcome::Rejected;
        else if (j == "unknown") x = Outcome::Unknown;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"Outcome\""); }
    }

    inline void to_json(json & j, const Outcome & x) {
        switch (x) {
            case Outcome::NotRun: j = "not_run"; break;
            case Outcome::Rejected: j = "rejected"; break;
            case Outcome::Unknown: j = "unknown"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"Outcome\": " + std::to_string(static_cast<int>(x)));
        }
    }

    inline void from_json(const json & j, RouteKind & x) {
        if (j == "once") x = RouteKind::Once;
        else if (j == "repeatable") x = RouteKind::Repeatable;
        else if (j == "stream") x = RouteKind::Stream;
        else { throw std::runtime_error("Cannot deserialize to enumeration \"RouteKind\""); }
    }

    inline void to_json(json & j, const RouteKind & x) {
        switch (x) {
            case RouteKind::Once: j = "once"; break;
            case RouteKind::Repeatable: j = "repeatable"; break;
            case RouteKind::Stream: j = "stream"; break;
            default: throw std::runtime_error("Unexpected value in enumeration \"RouteKind\": " + std::to_string(static_cast<int>(x)));
        }
    }
}
