// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/ServerTable.h>

#include <LibConfiguration/HeldVersion.h>
#include <LibRouting/EngineFollowers.h>
#include <LibRouting/Incarnation.h>
#include <LibRouting/PermitIssuer.h>
#include <LibSchema/Json.h>
#include <algorithm>
#include <cmath>
#include <utility>

namespace Routing {

// Agents report at least every second. An older report is not used.
static constexpr Core::Duration max_report_age { 2500 };
static constexpr Core::Duration first_suspension { 400 };
static constexpr Core::Duration longest_suspension { 4000 };
static constexpr Core::Duration full_suspension { 60 };
static constexpr int64_t failures_to_suspend = 4;
// A full engine sends events to its running requests every few tens of milliseconds.
static constexpr Core::Duration answering_within { 600 };
// A single misdirected attempt may be due to a version that has just changed; several in a row are due to an incarnation that has
// terminated.
static constexpr int64_t misdirections_to_suspend = 2;
static constexpr Core::Duration misdirected_suspension { 1000 };
// Time from the order to load a version until the engine serves it, and from an empty engine's first report until it serves, if a copy
// of the weights is already on its instance. Measured on engines that had lost power.
static constexpr Core::Duration usual_load_time { 400 };
static constexpr Core::Duration usual_refill_time { 700 };
// Weight of the previous value in the moving average of the failure rate.
static constexpr double previous_failure_rate_weight = 0.9;
// A server that fails every request costs as much as one that is this many milliseconds slower.
static constexpr double failure_penalty_ms = 400;
// Cost of the traffic between regions and between failure domains, as the time that a request may wait longer instead.
static constexpr double other_region_penalty_ms = 25;
static constexpr double other_domain_penalty_ms = 8;
static constexpr double milliseconds_per_second = 1000;
// Limits what a report of an engine can do to the time that callers wait for it.
static constexpr double max_slowdown = 10;
// Assumed time of an answer of a plain service.
static constexpr double plain_service_answer_ms = 30;
// Entries learn late what others send to an engine, so all that see it idle would collide there. These penalties make its owner use it
// before its helpers, and its helpers before all other entries.
static constexpr double helper_penalty_ms = 40;
static constexpr double other_role_penalty_ms = 160;
// Penalty of a server that may terminate at any moment: half of the usual objective for the first event.
static constexpr double avoided_penalty_ms = 250;
// Added for each request in flight at a server if the new request may terminate it, as those would be aborted. It exceeds
// other_region_penalty_ms, so that an idle server in another region is preferred.
static constexpr double request_at_risk_penalty_ms = 50;

char const* no_server_name(NoServer reason)
{
    switch (reason) {
    case NoServer::NoneUsable:
        return "none_usable";
    case NoServer::AllFull:
        return "all_full";
    case NoServer::NoneInTime:
        return "none_in_time";
    case NoServer::Limited:
        return "limited";
    case NoServer::StaleFacts:
        return "stale_facts";
    case NoServer::DeadlinePassed:
        return "deadline_passed";
    case NoServer::SuspectRuns:
        return "suspect_runs";
    case NoServer::NoRetryBudget:
        return "no_retry_budget";
    }
    return "";
}

/// Whether the server's latest incarnation is leaving by the list. A list record of an earlier incarnation says nothing about the latest one.
static bool is_listed_leaving(Schema::BackendServer const& record, std::optional<int64_t> latest_start)
{
    return record.is_draining && !is_earlier_start(record.started_at_ms, latest_start);
}

ServerTable::ServerTable(ServerTableSettings settings, uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_permits([this](std::string const& id) { return started_at_ms(id); })
{
}

/// Version of its service's model that the engine holds completely according to the list; 0 if none. Other models are ignored.
static int64_t listed_version(Schema::BackendServer const& record, Schema::EngineTiming const& timing)
{
    auto held = record.held;
    std::erase_if(held, [&](auto const& part) { return part.model != timing.model; });
    return Configuration::highest_complete_version(std::move(held), timing.layers.value_or(0));
}

void ServerTable::set_server(Schema::BackendServer const& record, Core::Time now)
{
    auto& server = m_servers[record.id];
    server.record = record;
    server.ip = record.address.substr(0, record.address.rfind(':'));
    record_start(server, record.started_at_ms, now);
    on_incarnation(server);
    auto const* service = engine_service(record.service);
    server.listed_version = service ? listed_version(record, service->timing) : 0;
}

bool ServerTable::is_leaving(Server const& server) const
{
    return is_listed_leaving(server.record, server.started_at_ms) || m_availability.is_leaving(server.record.id);
}

bool ServerTable::is_resting(Server const& server, Core::Time now) const
{
    return now < m_availability.rest_until(server.record.id);
}

bool ServerTable::is_leaving(std::string const& id) const
{
    auto const found = m_servers.find(id);
    return found == m_servers.end() ? m_availability.is_leaving(id) : is_leaving(found->second);
}

void ServerTable::on_incarnation(Server const& server)
{
    m_permits.on_incarnation(server.record.id, server.started_at_ms);
    m_availability.on_incarnation(server.record.id, server.started_at_ms);
}

void ServerTable::reset_for_new_incarnation(Server& server)
{
    for (auto const& [request, pending] : server.pending)
        server.sent_to_earlier_incarnations.insert(request);
    server.pending.clear();
    server.last_received_at.reset();
    server.suspended_until = Core::Time(0);
    server.unreachable_at.reset();
    server.full_until = Core::Time(0);
    server.faults_in_a_row = 0;
    server.misdirected_in_a_row = 0;
    server.failure_rate = 0;
}

void ServerTable::record_start(Server& server, std::optional<int64_t> started_at_ms, Core::Time now)
{
    if (!started_at_ms || (server.started_at_ms && *started_at_ms <= *server.started_at_ms))
        return;
    // The first known start of a server may be that of the incarnation known all along.
    if (server.started_at_ms)
        reset_for_new_incarnation(server);
    server.started_at_ms = started_at_ms;
    server.started_at_known_since = now;
}

std::optional<int64_t> ServerTable::started_at_ms(std::string const& id) const
{
    auto const found = m_servers.find(id);
    return found == m_servers.end() ? std::nullopt : found->second.started_at_ms;
}

void ServerTable::remove_server(std::string const& id)
{
    m_servers.erase(id);
}

void ServerTable::set_timing(std::string const& service, Schema::EngineTiming const& timing)
{
    // Observed times are kept as long as the operator's configuration of the timing stays the same.
    auto const known = m_engine_services.find(service);
    bool const is_same = known != m_engine_services.end() && Schema::to_value(known->second.timing) == Schema::to_value(timing);
    if (is_same)
        return;
    auto const layers = timing.layers.value_or(0);
    m_engine_services.insert_or_assign(service, EngineService { timing, EngineTimingModel(timing), layers });
    for (auto& [id, server] : m_servers) {
        if (server.record.service == service)
            server.listed_version = listed_version(server.record, timing);
    }
}

Schema::EngineState ServerTable::with_unchecked_version(std::string const& ip, Schema::EngineState state) const
{
    if (!state.unchecked_version)
        return state;
    auto const held = m_held_versions.find(ip);
    bool const is_other_load = held != m_held_versions.end() && held->second.started_at_ms == state.started_at_ms && held->second.version != *state.unchecked_version;
    if (!is_other_load)
        state.version = *state.unchecked_version;
    return state;
}

void ServerTable::on_engine_state(std::string const& ip, Schema::EngineState const& stated, Core::Time now)
{
    auto const state = with_unchecked_version(ip, stated);
    auto const known = m_reported.find(ip);
    bool const is_earlier = known != m_reported.end() && is_earlier_start(state.started_at_ms, known->second.state.started_at_ms);
    // Reports of an agent arrive in order over one link, but not necessarily over two links.
    if (is_earlier && now - known->second.at <= max_report_age)
        return;
    int64_t own = 0;
    for (auto& [id, server] : m_servers) {
        if (server.ip != ip)
            continue;
        // The report is about the engine only, not about plain servers at the same address.
        if (engine_service(server.record.service)) {
            record_start(server, state.started_at_ms, now);
            on_incarnation(server);
        }
        if (server.is_selectable)
            own += static_cast<int64_t>(server.pending.size());
    }
    m_reported[ip] = { .state = state, .at = now, .own_in_flight = own, .own_sent = 0 };
    m_stated_versions[ip] = state.version;
    if (state.is_version_known.value_or(true))
        m_held_versions[ip] = { state.version, state.started_at_ms };
}

void ServerTable::on_agent_disconnected(std::string const& ip)
{
    m_reported.erase(ip);
}

ServerTable::Reported const* ServerTable::reported(Server const& server, Core::Time now) const
{
    auto const found = m_reported.find(server.ip);
    if (found == m_reported.end() || now - found->second.at > max_report_age)
        return nullptr;
    return is_outdated_report(server, found->second) ? nullptr : &found->second;
}

bool ServerTable::is_outdated_report(Server const& server, Reported const& report)
{
    if (!is_earlier_start(report.state.started_at_ms, server.started_at_ms))
        return false;
    // If the agent still reports the earlier start after the time in which a newer report must have arrived, it is right: the
    // instance's clock was set back.
    return report.at - server.started_at_known_since <= max_report_age;
}

ServerTable::EngineService const* ServerTable::engine_service(std::string const& service) const
{
    auto const found = m_engine_services.find(service);
    return found == m_engine_services.end() ? nullptr : &found->second;
}

int64_t ServerTable::version_of(Server const& server, Core::Time now) const
{
    if (auto const* report = reported(server, now))
        return report->state.version;
    // Only its agent knows whether what the engine has loaded since the agent's last report is whole.
    auto const stated = m_stated_versions.find(server.ip);
    if (stated != m_stated_versions.end() && server.listed_version > stated->second)
        return 0;
    // What an earlier incarnation held, as listed, was lost when it terminated.
    return is_earlier_start(server.record.started_at_ms, server.started_at_ms) ? 0 : server.listed_version;
}

int64_t ServerTable::version_of(std::string const& id, Core::Time now) const
{
    auto const found = m_servers.find(id);
    return found == m_servers.end() ? 0 : version_of(found->second, now);
}

bool ServerTable::is_version_reported(std::string const& service, int64_t version, Core::Time now) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&](auto const& entry) {
        auto const& server = entry.second;
        if (!server.is_selectable || server.record.service != service)
            return false;
        auto const* report = reported(server, now);
        return report && report->state.version >= version;
    });
}

int64_t ServerTable::version_at(std::string const& ip, Core::Time now) const
{
    auto const found = m_reported.find(ip);
    bool const is_known = found != m_reported.end() && now - found->second.at <= max_report_age;
    return is_known ? found->second.state.version : 0;
}

bool ServerTable::is_usable(Server const& server, ServerRequirements const& requirements, Core::Time now) const
{
    if (is_leaving(server) || now < server.suspended_until)
        return false;
    // A server that holds a model belongs to a service of engines, and can't be used while that service's timing and versions are
    // unknown.
    if (!engine_service(server.record.service))
        return server.record.held.empty();
    auto const* report = reported(server, now);
    // An engine that executes an order, or is about to, accepts no new requests until the order is done.
    if (report && report->state.is_busy)
        return false;
    auto const version = version_of(server, now);
    // A request sent to an engine whose agent is silent may only begin when the engine resumes after a pause, long after its version had
    // to be replaced.
    if (!report && version < requirements.newest_version)
        return false;
    return version > 0 && (!requirements.required_version || version >= *requirements.required_version);
}

int64_t ServerTable::others_in_flight(Server const& server, Core::Time now) const
{
    auto const* report = reported(server, now);
    if (!report)
        return 0;
    return std::max<int64_t>(0, report->state.running + report->state.waiting - report->own_in_flight);
}

void ServerTable::set_selectable_engines(std::set<std::string> const& ips)
{
    for (auto& [id, server] : m_servers)
        server.is_selectable = !engine_service(server.record.service) || ips.contains(server.ip);
}

void ServerTable::set_roles(std::map<std::string, EngineRole> roles)
{
    m_roles = std::move(roles);
}

EngineRole ServerTable::role(Server const& server) const
{
    // Without owners, every entry uses all engines like an owner.
    if (!m_roles)
        return EngineRole::Owner;
    auto const found = m_roles->find(server.record.id);
    return found == m_roles->end() ? EngineRole::Other : found->second;
}

int64_t ServerTable::free_slots(Server const& server, Core::Time now) const
{
    auto const own = static_cast<int64_t>(server.pending.size());
    auto const slots = server.record.slots;
    bool const is_engine = engine_service(server.record.service) != nullptr;
    if (!is_engine)
        return slots - own;
    bool const is_owner = role(server) == EngineRole::Owner;
    if (!reported(server, now)) {
        // The load of other entries is unknown. Without owners, this entry takes an equal share of the slots. With owners, the owner
        // takes all but the reserve, and others take one slot.
        if (!m_roles)
            return std::max<int64_t>(1, slots / static_cast<int64_t>(m_entries)) - own;
        return (is_owner ? slots - m_settings.owner_reserve : 1) - own;
    }
    auto const taken = own + others_in_flight(server, now);
    return (is_owner ? slots + m_settings.owner_queue_limit : slots - m_settings.owner_reserve) - taken;
}

int64_t ServerTable::sharing_entry_count(EngineRole role) const
{
    // The owner keeps filling the engine meanwhile, so it counts as well.
    return static_cast<int64_t>(role == EngineRole::Helper ? helpers_per_engine + 1 : std::max<size_t>(m_entries, helpers_per_engine + 1));
}

bool ServerTable::may_use(std::string const& id) const
{
    auto const found = m_servers.find(id);
    if (found == m_servers.end())
        return false;
    auto const& server = found->second;
    auto const role = this->role(server);
    bool const is_shared_out = m_settings.shares_reported_slots && role == EngineRole::Other;
    return !is_shared_out || server.record.slots - m_settings.owner_reserve >= sharing_entry_count(role);
}

bool ServerTable::has_used_its_share(Server const& server, Core::Time now) const
{
    auto const* report = reported(server, now);
    auto const role = this->role(server);
    if (!m_settings.shares_reported_slots || !report || role == EngineRole::Owner)
        return false;
    auto const beside_reserve = server.record.slots - m_settings.owner_reserve - report->state.running - report->state.waiting;
    auto const part = beside_reserve / sharing_entry_count(role);
    return report->own_sent >= std::max<int64_t>(role == EngineRole::Helper ? 1 : 0, part);
}

bool ServerTable::has_free_slot_at(Server const& server, Core::Time now) const
{
    return now >= server.full_until && free_slots(server, now) > 0 && !has_used_its_share(server, now);
}

double ServerTable::distance_penalty_ms(Server const& server) const
{
    if (server.record.failure_domain == m_settings.failure_domain)
        return 0;
    auto const region = m_settings.regions.find(server.record.failure_domain);
    bool const is_same_region = region != m_settings.regions.end() && region->second == m_settings.region;
    return is_same_region ? other_domain_penalty_ms : other_region_penalty_ms;
}

Core::Duration ServerTable::server_slot_interval(std::string const& service) const
{
    auto const* model = engine_service(service);
    if (!model)
        return Core::Duration(static_cast<int64_t>(plain_service_answer_ms));
    return Core::Duration(static_cast<int64_t>(std::ceil(model->times.slot_interval_ms() * model->times.correction())));
}

Core::Duration ServerTable::slot_interval(std::string const& service, Core::Time now) const
{
    auto const filled = std::count_if(m_servers.begin(), m_servers.end(), [&](auto const& entry) {
        auto const& server = entry.second;
        return server.is_selectable && server.record.service == service && role(server) == EngineRole::Owner && !m_permits.limit(entry.first) && !is_resting(server, now) && is_usable(server, ServerRequirements { .service = service }, now);
    });
    return server_slot_interval(service) / std::max<int64_t>(1, filled);
}

static double prefill_ms(EngineTimingModel const& times, PrefillAllowance const& allowance, double slowdown)
{
    return std::min(slowdown * times.prefill_ms(static_cast<double>(allowance.prompt_tokens)), static_cast<double>(allowance.at_most.count()));
}

double ServerTable::least_slowdown(std::string const& service, EngineTimingModel const& times, Core::Time now) const
{
    std::optional<double> least;
    for (auto const& [id, server] : m_servers) {
        if (!server.is_selectable || server.record.service != service || !is_usable(server, ServerRequirements { .service = service }, now))
            continue;
        auto const slowdown = this->slowdown(server, times, now);
        least = std::min(least.value_or(slowdown), slowdown);
    }
    return least.value_or(times.correction());
}

double ServerTable::slowdown(std::string const& id, Core::Time now) const
{
    auto const found = m_servers.find(id);
    auto const* model = found == m_servers.end() ? nullptr : engine_service(found->second.record.service);
    return model ? std::clamp(slowdown(found->second, model->times, now), 1.0, max_slowdown) : 1.0;
}

Core::Duration ServerTable::min_time_to_first_event(std::string const& service, PrefillAllowance const& allowance, Core::Time now) const
{
    auto const* model = engine_service(service);
    if (!model)
        return Core::Duration(0);
    auto const& times = model->times;
    auto const slowdown = least_slowdown(service, times, now);
    return Core::Duration(static_cast<int64_t>(slowdown * times.stream_event_interval_ms(times.slots()) + prefill_ms(times, allowance, slowdown)));
}

Core::Duration ServerTable::service_time(std::string const& service, int64_t prompt_tokens, int64_t answer_tokens, Core::Time now) const
{
    auto const* model = engine_service(service);
    if (!model)
        return Core::Duration(0);
    return Core::Duration(static_cast<int64_t>(least_slowdown(service, model->times, now) * model->times.service_ms(static_cast<double>(prompt_tokens), static_cast<double>(answer_tokens))));
}

std::optional<Core::Duration> ServerTable::time_until_rest_ends(std::string const& service, Core::Time now) const
{
    std::optional<Core::Duration> first;
    for (auto const& [id, server] : m_servers) {
        if (!server.is_selectable || server.record.service != service || !is_usable(server, ServerRequirements { .service = service }, now))
            continue;
        if (!is_resting(server, now))
            return {};
        auto const remaining = m_availability.rest_until(id) - now;
        first = std::min(first.value_or(remaining), remaining);
    }
    return first;
}

std::optional<Core::Duration> ServerTable::limited_wait(std::string const& service, size_t count, Core::Time now) const
{
    // What this entry may send a second, over all limited servers.
    double per_second = 0;
    auto const users = engine_service(service) ? std::min(m_entries, followers_per_engine) : m_entries;
    std::optional<Core::Duration> wait;
    for (auto const& [id, server] : m_servers) {
        if (!server.is_selectable || server.record.service != service || !is_usable(server, ServerRequirements { .service = service }, now))
            continue;
        if (is_resting(server, now)) {
            auto const remaining = m_availability.rest_until(id) - now + server_slot_interval(service) * static_cast<int64_t>(count);
            wait = std::min(wait.value_or(remaining), remaining);
        } else if (auto const limit = m_permits.limit(id)) {
            per_second += std::max(*limit, min_permits_per_second) / static_cast<double>(m_permits.sharing_entries(id, users, count, now));
        }
    }
    if (per_second <= 0)
        return wait;
    auto const limited = Core::Duration(static_cast<int64_t>(std::ceil(milliseconds_per_second * static_cast<double>(count) / per_second)));
    return std::min(wait.value_or(limited), limited);
}

std::optional<Core::Duration> ServerTable::time_until_next_engine(std::string const& service, Core::Time now) const
{
    std::optional<Core::Duration> next;
    for (auto const& [id, server] : m_servers) {
        if (!server.is_selectable || server.record.service != service || is_leaving(server))
            continue;
        auto const* report = reported(server, now);
        if (!report)
            continue;
        bool const is_empty = report->state.version == 0;
        if (report->state.is_busy)
            next = std::min(next.value_or(usual_load_time), usual_load_time);
        else if (is_empty)
            next = next.value_or(usual_refill_time);
    }
    return next;
}

ServerTable::Load ServerTable::load(Server const& server, EngineTimingModel const& times, Core::Time now) const
{
    auto const own = static_cast<double>(server.pending.size());
    auto const others = static_cast<double>(others_in_flight(server, now));
    Load load;
    load.running = std::min(times.slots(), own + others);
    load.queued_ahead = std::max(0.0, own + others + 1 - times.slots());
    for (auto const& [request, pending] : server.pending) {
        if (!pending.has_first_event)
            load.pending_prefill_ms += times.prefill_ms(static_cast<double>(pending.prompt_tokens));
    }
    if (auto const* report = reported(server, now)) {
        auto const waiting_of_others = std::min(others, static_cast<double>(report->state.waiting));
        load.pending_prefill_ms += waiting_of_others * times.usual_prefill_ms();
    }
    return load;
}

double ServerTable::slowdown(Server const& server, EngineTimingModel const& times, Core::Time now) const
{
    auto const* report = reported(server, now);
    return times.correction() * (report ? std::max(1.0, report->state.pace) : 1.0);
}

double ServerTable::predicted_ms_without_prefill(Server const& server, EngineTimingModel const& times, Core::Time now) const
{
    auto const load = this->load(server, times, now);
    auto const queue = load.queued_ahead * times.slot_interval_ms();
    // Half of the current interval between events, then one in which the engine does the pending prefill and that of this prompt, and
    // sends the first event.
    return slowdown(server, times, now) * (times.stream_event_interval_ms(load.running) * 1.5 + load.pending_prefill_ms + queue);
}

double ServerTable::predicted_ms(Server const& server, ServerRequirements const& requirements, Core::Time now) const
{
    auto const* model = engine_service(server.record.service);
    if (!model)
        return plain_service_answer_ms * (1 + static_cast<double>(server.pending.size()));
    auto const& times = model->times;
    return predicted_ms_without_prefill(server, times, now) + slowdown(server, times, now) * times.prefill_ms(static_cast<double>(requirements.prompt_tokens));
}

double ServerTable::allowed_prefill_ms(EngineTimingModel const& times, ServerRequirements const& requirements, double slowdown)
{
    if (!requirements.prefill_allowance)
        return slowdown * times.prefill_ms(static_cast<double>(requirements.prompt_tokens));
    return prefill_ms(times, *requirements.prefill_allowance, slowdown);
}

bool ServerTable::begins_soon_enough(Server const& server, ServerRequirements const& requirements, Core::Time now) const
{
    if (!requirements.max_time_to_first_event)
        return true;
    auto const limit = static_cast<double>(requirements.max_time_to_first_event->count());
    auto const* model = engine_service(server.record.service);
    if (!model)
        return predicted_ms(server, requirements, now) <= limit;
    auto const& times = model->times;
    return predicted_ms_without_prefill(server, times, now) + allowed_prefill_ms(times, requirements, slowdown(server, times, now)) <= limit;
}

bool ServerTable::ends_soon_enough(Server const& server, ServerRequirements const& requirements, Core::Time now) const
{
    auto const* model = engine_service(server.record.service);
    auto const* report = reported(server, now);
    bool const is_slow = report && report->state.pace > 1;
    if (!model || !is_slow || !requirements.max_time_to_end)
        return true;
    auto const& times = model->times;
    auto const running = std::min(times.slots(), load(server, times, now).running + 1);
    auto const longest = requirements.max_answer_tokens > 0 ? static_cast<double>(requirements.max_answer_tokens) : times.usual_answer_tokens();
    auto const answer_tokens = requirements.answer_tokens > 0 ? static_cast<double>(requirements.answer_tokens) : std::min(longest, times.usual_answer_tokens());
    auto const answer_ms = slowdown(server, times, now) * times.answer_ms(answer_tokens, running);
    return predicted_ms(server, requirements, now) + answer_ms <= static_cast<double>(requirements.max_time_to_end->count());
}

bool ServerTable::would_exceed_max_event_gap(Server const& server, ServerRequirements const& requirements, Core::Time now) const
{
    auto const* model = engine_service(server.record.service);
    if (!model || !m_settings.enforces_max_event_gap || requirements.max_event_gap.count() <= 0)
        return false;
    auto const& times = model->times;
    auto const load = this->load(server, times, now);
    // If no other prefill is pending, the prompt is accepted in any case: its prefill alone may exceed every limit.
    if (load.pending_prefill_ms <= 0)
        return false;
    auto const slowdown = this->slowdown(server, times, now);
    auto const pause = slowdown * (times.stream_event_interval_ms(load.running) + load.pending_prefill_ms) + allowed_prefill_ms(times, requirements, slowdown);
    return pause > static_cast<double>(requirements.max_event_gap.count());
}

bool ServerTable::has_spare_slot(Server const& server, Core::Time now) const
{
    auto const* model = engine_service(server.record.service);
    if (!model)
        return true;
    if (load(server, model->times, now).pending_prefill_ms > m_settings.leftover_unread_ms)
        return false;
    auto const free = free_slots(server, now);
    if (role(server) == EngineRole::Owner)
        return free > m_settings.leftover_reserve + m_settings.owner_queue_limit;
    // This entry doesn't know what the owner has sent there since the last report, so more than half of the slots must be free beside the
    // owner's reserve.
    return free > server.record.slots / 2;
}

double ServerTable::role_penalty_ms(Server const& server) const
{
    if (!engine_service(server.record.service))
        return 0;
    switch (role(server)) {
    case EngineRole::Owner:
        return 0;
    case EngineRole::Helper:
        return helper_penalty_ms;
    case EngineRole::Other:
        return other_role_penalty_ms;
    }
    return 0;
}

double ServerTable::cost(Server const& server, ServerRequirements const& requirements, Core::Time now)
{
    auto const failure_penalty = failure_penalty_ms * server.failure_rate;
    switch (m_settings.choice) {
    case Schema::ServerChoice::RandomPick:
        return static_cast<double>(m_random() % 1000);
    case Schema::ServerChoice::LeastLoaded:
        return static_cast<double>(others_in_flight(server, now)) + static_cast<double>(server.pending.size());
    case Schema::ServerChoice::Predicted:
        break;
    }
    auto const avoided_penalty = requirements.avoided.contains(server.record.id) ? avoided_penalty_ms : 0;
    auto const requests_at_risk_penalty = requirements.prefers_idle_servers ? request_at_risk_penalty_ms * static_cast<double>(others_in_flight(server, now) + static_cast<int64_t>(server.pending.size())) : 0;
    return predicted_ms(server, requirements, now) + distance_penalty_ms(server) + role_penalty_ms(server) + failure_penalty + avoided_penalty + requests_at_risk_penalty;
}

ServerTable::Obstacle ServerTable::obstacle(Server const& server, ServerRequirements const& requirements, Core::Time now) const
{
    auto const& id = server.record.id;
    bool const is_candidate = server.is_selectable && server.record.service == requirements.service && !requirements.excluded.contains(id);
    if (!is_candidate || !is_usable(server, requirements, now))
        return Obstacle::Unusable;
    if (is_resting(server, now))
        return Obstacle::Resting;
    bool const is_open = !requirements.temporarily_unavailable.contains(id) && has_free_slot_at(server, now) && !would_exceed_max_event_gap(server, requirements, now) && (!requirements.uses_only_spare_slots || has_spare_slot(server, now));
    if (!is_open)
        return Obstacle::Full;
    if (!begins_soon_enough(server, requirements, now) || !ends_soon_enough(server, requirements, now))
        return Obstacle::Slow;
    return m_permits.may_send(id, now) ? Obstacle::None : Obstacle::NoPermit;
}

NoServer ServerTable::no_server_reason(std::set<Obstacle> const& obstacles)
{
    if (obstacles.contains(Obstacle::Full))
        return NoServer::AllFull;
    if (obstacles.contains(Obstacle::Slow))
        return NoServer::NoneInTime;
    bool const is_limited = obstacles.contains(Obstacle::Resting) || obstacles.contains(Obstacle::NoPermit);
    return is_limited ? NoServer::Limited : NoServer::NoneUsable;
}

tl::expected<ServerChoice, NoServer> ServerTable::choose(ServerRequirements const& requirements, Core::Time now)
{
    Server const* best = nullptr;
    double best_cost = 0;
    uint64_t ties = 0;
    std::set<Obstacle> obstacles;
    std::vector<std::string> without_permit;
    for (auto const& [id, server] : m_servers) {
        auto const obstacle = this->obstacle(server, requirements, now);
        if (obstacle == Obstacle::NoPermit)
            without_permit.push_back(id);
        if (obstacle == Obstacle::Unusable)
            continue;
        if (obstacle != Obstacle::None) {
            obstacles.insert(obstacle);
            continue;
        }
        auto const own_cost = cost(server, requirements, now);
        if (best && own_cost > best_cost)
            continue;
        bool const is_better = !best || own_cost < best_cost;
        ties = is_better ? 1 : ties + 1;
        // Reservoir sampling: each of the servers with equal cost is chosen with the same probability.
        if (is_better || m_random() % ties == 0) {
            best = &server;
            best_cost = own_cost;
        }
    }
    for (auto const& id : without_permit) {
        if (best)
            m_permits.add_probe(id, now);
        else
            m_permits.add_wanted(id, now);
    }
    if (!best)
        return tl::unexpected(no_server_reason(obstacles));
    return ServerChoice { best->record.id, Core::Duration(static_cast<int64_t>(predicted_ms(*best, requirements, now))) };
}

bool ServerTable::has_free_slot(std::string const& service, Core::Time now) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&](auto const& entry) {
        auto const& server = entry.second;
        return server.is_selectable && server.record.service == service && has_free_slot_at(server, now) && m_permits.may_send(entry.first, now) && !is_resting(server, now) && is_usable(server, ServerRequirements { .service = service }, now);
    });
}

void ServerTable::on_sent(std::string const& request, ServerChoice const& choice, int64_t prompt_tokens, Core::Time now)
{
    auto const found = m_servers.find(choice.id);
    if (found == m_servers.end())
        return;
    m_permits.on_sent(choice.id, now);
    found->second.pending[request] = { .prompt_tokens = prompt_tokens, .sent_at = now, .predicted = choice.predicted };
    auto const report = m_reported.find(found->second.ip);
    if (report != m_reported.end())
        report->second.own_sent += 1;
}

void ServerTable::on_first_event(std::string const& id, std::string const& request, Core::Time now)
{
    auto const found = m_servers.find(id);
    if (found == m_servers.end())
        return;
    auto const pending = found->second.pending.find(request);
    if (pending == found->second.pending.end() || std::exchange(pending->second.has_first_event, true))
        return;
    auto const service = m_engine_services.find(found->second.record.service);
    if (service == m_engine_services.end())
        return;
    auto const observed = now - pending->second.sent_at;
    service->second.times.on_first_event(static_cast<double>(pending->second.predicted.count()), static_cast<double>(observed.count()));
}

void ServerTable::on_ended(std::string const& id, std::string const& request, ServerOutcome outcome, Core::Time now)
{
    auto const found = m_servers.find(id);
    if (found == m_servers.end())
        return;
    auto& server = found->second;
    if (server.sent_to_earlier_incarnations.erase(request) > 0 && !server.pending.contains(request))
        return;
    auto const pending = server.pending.extract(request);
    record_outcome(server, pending ? std::optional(pending.mapped().sent_at) : std::nullopt, outcome, now);
}

void ServerTable::on_no_response(std::string const& id, std::string const& request, Core::Time now)
{
    auto const found = m_servers.find(id);
    if (found == m_servers.end())
        return;
    // The connection may be dead. If the request kept its slot, requests that continue at this server would lack the slot.
    auto const pending = found->second.pending.extract(request);
    if (!pending)
        return;
    auto const suspended_until = found->second.suspended_until;
    record_outcome(found->second, pending.mapped().sent_at, ServerOutcome::Unreachable, now);
    if (found->second.suspended_until != suspended_until)
        found->second.is_suspended_for_silence = true;
}

void ServerTable::record_outcome(Server& server, std::optional<Core::Time> sent_at, ServerOutcome outcome, Core::Time now)
{
    // All connections open at one moment may stop delivering together while new ones work. That counts as one fault, whatever the number
    // of connections.
    bool const is_same_silence = outcome == ServerOutcome::Unreachable && sent_at && server.unreachable_at && *sent_at <= *server.unreachable_at;
    if (is_same_silence)
        return;
    bool const is_fault = outcome == ServerOutcome::Unreachable || outcome == ServerOutcome::Failure;
    if (is_fault || outcome == ServerOutcome::Success)
        server.failure_rate = previous_failure_rate_weight * server.failure_rate + (1 - previous_failure_rate_weight) * (is_fault ? 1 : 0);
    if (outcome == ServerOutcome::Full)
        server.full_until = now + full_suspension;
    if (outcome == ServerOutcome::Success) {
        server.faults_in_a_row = 0;
        server.misdirected_in_a_row = 0;
    }
    if (outcome == ServerOutcome::Misdirected && ++server.misdirected_in_a_row >= misdirections_to_suspend) {
        server.is_suspended_for_silence = false;
        server.suspended_until = now + misdirected_suspension;
    }
    if (!is_fault)
        return;
    if (outcome == ServerOutcome::Unreachable)
        server.unreachable_at = now;
    server.faults_in_a_row += 1;
    bool const suspends = outcome == ServerOutcome::Unreachable || server.faults_in_a_row >= failures_to_suspend;
    if (!suspends)
        return;
    auto const doublings = std::min<int64_t>(server.faults_in_a_row - 1, 4);
    server.is_suspended_for_silence = false;
    server.suspended_until = now + std::min(longest_suspension, first_suspension * (int64_t { 1 } << doublings));
}

Schema::BackendServer const* ServerTable::find(std::string const& id) const
{
    auto const found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second.record;
}

void ServerTable::on_answer_head(std::string const& id, std::optional<int64_t> started_at_ms, ServerStatements const& statements, Core::Time sent_at, Core::Time now)
{
    if (is_earlier_start(started_at_ms, this->started_at_ms(id)))
        return;
    if (!statements.has_unreadable_limit)
        m_permits.on_answer(id, started_at_ms, statements.max_requests_per_second, sent_at, now);
    if (statements.is_leaving && m_availability.set_leaving(id, started_at_ms, now))
        m_newly_leaving.insert(id);
    if (statements.rest)
        m_availability.set_rest(id, started_at_ms, now + *statements.rest, now);
}

void ServerTable::on_peer_saw_leaving(std::string const& id, std::optional<int64_t> started_at_ms, Core::Time now)
{
    if (!is_earlier_start(started_at_ms, this->started_at_ms(id)))
        m_availability.set_leaving(id, started_at_ms, now);
}

void ServerTable::on_received(std::string const& id, Core::Time now)
{
    auto const found = m_servers.find(id);
    if (found == m_servers.end())
        return;
    found->second.last_received_at = now;
    if (std::exchange(found->second.is_suspended_for_silence, false))
        found->second.suspended_until = now;
}

bool ServerTable::is_answering(std::string const& id, Core::Time now) const
{
    auto const found = m_servers.find(id);
    return found != m_servers.end() && found->second.last_received_at && now - *found->second.last_received_at < answering_within;
}

bool ServerTable::is_repeatedly_misdirected(std::string const& id) const
{
    auto const found = m_servers.find(id);
    return found != m_servers.end() && found->second.misdirected_in_a_row >= misdirections_to_suspend;
}

bool ServerTable::is_executing_order(std::string const& id, Core::Time now) const
{
    auto const found = m_servers.find(id);
    auto const* report = found == m_servers.end() ? nullptr : reported(found->second, now);
    return report && report->state.is_busy;
}

}
