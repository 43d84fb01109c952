// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/ServerTable.h>

#include <LibConfiguration/HeldVersion.h>
#include <LibSchema/Json.h>
#include <algorithm>
#include <cmath>
#include <utility>

namespace Routing {

// An agent that is heard of again at least each second; past this its word is too old to go by.
static constexpr Core::Duration report_is_fresh { 2500 };
static constexpr Core::Duration first_suspension { 400 };
static constexpr Core::Duration longest_suspension { 4000 };
static constexpr Core::Duration full_wait { 60 };
static constexpr int64_t failures_to_suspend = 4;
// A full engine writes to those it runs every few tens of milliseconds.
static constexpr Core::Duration answering_within { 600 };
// One may come of a version that changed just now; more in a row come of an incarnation that is gone.
static constexpr int64_t misdirections_to_suspend = 2;
static constexpr Core::Duration misdirected_suspension { 1000 };
// From the order until an engine serves, and from an empty engine's first report, where its copy lies beside it already;
// measured on engines that had lost power.
static constexpr Core::Duration usual_load { 400 };
static constexpr Core::Duration usual_refill { 700 };
static constexpr double failure_memory = 0.9;
// A server that fails everything costs as much as one that is this many milliseconds slower.
static constexpr double failure_cost_ms = 400;
// What a request's bytes between regions and failure domains cost, as time that it may wait instead.
static constexpr double other_region_ms = 25;
static constexpr double other_domain_ms = 8;
static constexpr double plain_answer_ms = 30;
// What others send to an engine is known late, so all who see it idle meet there: its owner goes before its helpers, and
// these before all others.
static constexpr double helper_ms = 40;
static constexpr double other_ms = 160;
// A server that may end at any moment, against half of the usual aim for a first event.
static constexpr double avoided_ms = 250;
// What one more request costs that the end of a server would break off, against a place far away.
static constexpr double company_ms = 50;

static bool is_earlier_start(std::optional<int64_t> started_at_ms, std::optional<int64_t> known)
{
    return started_at_ms && known && *started_at_ms < *known;
}

/// The server's latest incarnation says that it is leaving. What the list still says of an earlier one ended with that.
static bool is_leaving(Schema::BackendServer const& entry, std::optional<int64_t> latest_start)
{
    return entry.is_draining && !is_earlier_start(entry.started_at_ms, latest_start);
}

ServerTable::ServerTable(ServerTableSettings settings, uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed)
{
}

/// The version of its service's model that an engine holds whole; that of another model is none.
static int64_t listed_version(Schema::BackendServer const& entry, Schema::EngineTiming const& timing)
{
    auto held = entry.held;
    std::erase_if(held, [&](auto const& part) { return part.model != timing.model; });
    return Configuration::whole_version(std::move(held), timing.layers.value_or(0));
}

void ServerTable::set_server(Schema::BackendServer const& entry, Core::Time now)
{
    auto& server = m_servers[entry.id];
    server.entry = entry;
    server.ip = entry.address.substr(0, entry.address.rfind(':'));
    note_start(server, entry.started_at_ms, now);
    auto const* service = engine_service(entry.service);
    server.listed_version = service ? listed_version(entry, service->timing) : 0;
}

void ServerTable::begin_incarnation(Server& server)
{
    for (auto const& [request, pending] : server.pending)
        server.sent_before.insert(request);
    server.pending.clear();
    server.heard_at.reset();
    server.suspended_until = Core::Time(0);
    server.unreachable_at.reset();
    server.full_until = Core::Time(0);
    server.faults_in_a_row = 0;
    server.misdirected_in_a_row = 0;
    server.failure_rate = 0;
}

void ServerTable::note_start(Server& server, std::optional<int64_t> started_at_ms, Core::Time now)
{
    if (!started_at_ms || (server.started_at_ms && *started_at_ms <= *server.started_at_ms))
        return;
    // The first start that is told of a known server may be the one that it had all along.
    if (server.started_at_ms)
        begin_incarnation(server);
    server.started_at_ms = started_at_ms;
    server.known_since = now;
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
    // What was observed is kept as long as the operator states the same.
    auto const known = m_engine_services.find(service);
    bool const is_same = known != m_engine_services.end() && Schema::to_value(known->second.timing) == Schema::to_value(timing);
    if (is_same)
        return;
    auto const layers = timing.layers.value_or(0);
    m_engine_services.insert_or_assign(service, EngineService { timing, EngineTimes(timing), layers });
    for (auto& [id, server] : m_servers) {
        if (server.entry.service == service)
            server.listed_version = listed_version(server.entry, timing);
    }
}

void ServerTable::on_engine_state(std::string const& ip, Schema::EngineState const& state, Core::Time now)
{
    auto const known = m_reported.find(ip);
    bool const is_earlier = known != m_reported.end() && is_earlier_start(state.started_at_ms, known->second.state.started_at_ms);
    // An agent's words come in order, but those of two links may not.
    if (is_earlier && now - known->second.at <= report_is_fresh)
        return;
    int64_t own = 0;
    for (auto& [id, server] : m_servers) {
        if (server.ip != ip)
            continue;
        // Of what shares the address only the engine is its agent's.
        if (engine_service(server.entry.service))
            note_start(server, state.started_at_ms, now);
        if (server.is_in_reach)
            own += static_cast<int64_t>(server.pending.size());
    }
    m_reported[ip] = { .state = state, .at = now, .own_in_flight = own, .own_sent = 0 };
}

void ServerTable::on_agent_gone(std::string const& ip)
{
    m_reported.erase(ip);
}

ServerTable::Reported const* ServerTable::reported(Server const& server, Core::Time now) const
{
    auto const found = m_reported.find(server.ip);
    if (found == m_reported.end() || now - found->second.at > report_is_fresh)
        return nullptr;
    return is_overtaken(server, found->second) ? nullptr : &found->second;
}

bool ServerTable::is_overtaken(Server const& server, Reported const& report)
{
    if (!is_earlier_start(report.state.started_at_ms, server.started_at_ms))
        return false;
    // An agent that still tells of the earlier start when its word must have come anew is right: a clock was set back.
    return report.at - server.known_since <= report_is_fresh;
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
    // What is listed of an earlier incarnation is gone with it.
    return is_earlier_start(server.entry.started_at_ms, server.started_at_ms) ? 0 : server.listed_version;
}

int64_t ServerTable::version_of(std::string const& id, Core::Time now) const
{
    auto const found = m_servers.find(id);
    return found == m_servers.end() ? 0 : version_of(found->second, now);
}

int64_t ServerTable::version_at(std::string const& ip, Core::Time now) const
{
    auto const found = m_reported.find(ip);
    bool const is_known = found != m_reported.end() && now - found->second.at <= report_is_fresh;
    return is_known ? found->second.state.version : 0;
}

bool ServerTable::is_usable(Server const& server, ServerNeeds const& needs, Core::Time now) const
{
    if (is_leaving(server.entry, server.started_at_ms) || now < server.suspended_until)
        return false;
    // One that holds a model belongs to a service whose versions must be known.
    if (!engine_service(server.entry.service))
        return server.entry.held.empty();
    auto const* report = reported(server, now);
    // An engine with an order before it takes nothing new until it is done.
    if (report && report->state.is_busy)
        return false;
    auto const version = version_of(server, now);
    // What is sent to one that has fallen silent may begin when it wakes, long after its version had to be gone.
    if (!report && version < needs.newest_version)
        return false;
    return version > 0 && (!needs.required_version || version >= *needs.required_version);
}

int64_t ServerTable::others_in_flight(Server const& server, Core::Time now) const
{
    auto const* report = reported(server, now);
    if (!report)
        return 0;
    return std::max<int64_t>(0, report->state.running + report->state.waiting - report->own_in_flight);
}

void ServerTable::set_reach(std::set<std::string> const& ips)
{
    for (auto& [id, server] : m_servers)
        server.is_in_reach = !engine_service(server.entry.service) || ips.contains(server.ip);
}

void ServerTable::set_roles(std::map<std::string, EngineRole> roles)
{
    m_roles = std::move(roles);
}

EngineRole ServerTable::role(Server const& server) const
{
    // Without owners everybody fills them all.
    if (!m_roles)
        return EngineRole::Owner;
    auto const found = m_roles->find(server.entry.id);
    return found == m_roles->end() ? EngineRole::Other : found->second;
}

int64_t ServerTable::room(Server const& server, Core::Time now) const
{
    auto const own = static_cast<int64_t>(server.pending.size());
    auto const slots = server.entry.slots;
    bool const is_engine = engine_service(server.entry.service) != nullptr;
    if (!is_engine)
        return slots - own;
    bool const is_owner = role(server) == EngineRole::Owner;
    if (!reported(server, now)) {
        // Nobody says what others have there: an equal share, and where engines have owners no more than what they leave.
        if (!m_roles)
            return std::max<int64_t>(1, slots / static_cast<int64_t>(m_entries)) - own;
        return (is_owner ? slots - m_settings.reserve : 1) - own;
    }
    auto const taken = own + others_in_flight(server, now);
    return (is_owner ? slots + m_settings.allowed_queue : slots - m_settings.reserve) - taken;
}

int64_t ServerTable::sharers(EngineRole role) const
{
    // The owner goes on filling the engine meanwhile: it counts as one of those that share.
    return static_cast<int64_t>(role == EngineRole::Helper ? helpers_per_engine + 1 : std::max<size_t>(m_entries, helpers_per_engine + 1));
}

bool ServerTable::is_of_use(std::string const& id) const
{
    auto const found = m_servers.find(id);
    if (found == m_servers.end())
        return false;
    auto const& server = found->second;
    auto const role = this->role(server);
    bool const is_shared_out = m_settings.shares_reported_room && role == EngineRole::Other;
    return !is_shared_out || server.entry.slots - m_settings.reserve >= sharers(role);
}

bool ServerTable::has_taken_its_part(Server const& server, Core::Time now) const
{
    auto const* report = reported(server, now);
    auto const role = this->role(server);
    if (!m_settings.shares_reported_room || !report || role == EngineRole::Owner)
        return false;
    auto const spare = server.entry.slots - m_settings.reserve - report->state.running - report->state.waiting;
    auto const part = spare / sharers(role);
    return report->own_sent >= std::max<int64_t>(role == EngineRole::Helper ? 1 : 0, part);
}

bool ServerTable::has_room(Server const& server, Core::Time now) const
{
    return now >= server.full_until && room(server, now) > 0 && !has_taken_its_part(server, now);
}

double ServerTable::distance_ms(Server const& server) const
{
    if (server.entry.failure_domain == m_settings.failure_domain)
        return 0;
    auto const region = m_settings.regions.find(server.entry.failure_domain);
    bool const is_same_region = region != m_settings.regions.end() && region->second == m_settings.region;
    return is_same_region ? other_domain_ms : other_region_ms;
}

Core::Duration ServerTable::turnover(std::string const& service) const
{
    auto const* model = engine_service(service);
    if (!model)
        return Core::Duration(static_cast<int64_t>(plain_answer_ms));
    return Core::Duration(static_cast<int64_t>(std::ceil(model->times.turnover_ms() * model->times.correction())));
}

Core::Duration ServerTable::place_interval(std::string const& service, Core::Time now) const
{
    auto const filled = std::count_if(m_servers.begin(), m_servers.end(), [&](auto const& entry) {
        auto const& server = entry.second;
        return server.is_in_reach && server.entry.service == service && role(server) == EngineRole::Owner && is_usable(server, ServerNeeds { .service = service }, now);
    });
    return turnover(service) / std::max<int64_t>(1, filled);
}

Core::Duration ServerTable::least_first_event(std::string const& service, int64_t prompt_tokens) const
{
    auto const* model = engine_service(service);
    if (!model)
        return Core::Duration(0);
    auto const& times = model->times;
    return Core::Duration(static_cast<int64_t>(times.correction() * (times.pass_ms(times.slots()) + times.read_ms(static_cast<double>(prompt_tokens)))));
}

Core::Duration ServerTable::service_time(std::string const& service, int64_t prompt_tokens, int64_t answer_tokens) const
{
    auto const* model = engine_service(service);
    if (!model)
        return Core::Duration(0);
    return Core::Duration(static_cast<int64_t>(model->times.correction() * model->times.service_ms(static_cast<double>(prompt_tokens), static_cast<double>(answer_tokens))));
}

std::optional<Core::Duration> ServerTable::next_engine(std::string const& service, Core::Time now) const
{
    std::optional<Core::Duration> next;
    for (auto const& [id, server] : m_servers) {
        if (!server.is_in_reach || server.entry.service != service || is_leaving(server.entry, server.started_at_ms))
            continue;
        auto const* report = reported(server, now);
        if (!report)
            continue;
        bool const is_empty = report->state.version == 0;
        if (report->state.is_busy)
            next = std::min(next.value_or(usual_load), usual_load);
        else if (is_empty)
            next = next.value_or(usual_refill);
    }
    return next;
}

ServerTable::Load ServerTable::load(Server const& server, EngineTimes const& times, Core::Time now) const
{
    auto const own = static_cast<double>(server.pending.size());
    auto const others = static_cast<double>(others_in_flight(server, now));
    Load load;
    load.running = std::min(times.slots(), own + others);
    load.ahead = std::max(0.0, own + others + 1 - times.slots());
    for (auto const& [request, pending] : server.pending) {
        if (!pending.has_first_event)
            load.unread_ms += times.read_ms(static_cast<double>(pending.prompt_tokens));
    }
    if (auto const* report = reported(server, now)) {
        auto const waiting_of_others = std::min(others, static_cast<double>(report->state.waiting));
        load.unread_ms += waiting_of_others * times.read_usual_ms();
    }
    return load;
}

double ServerTable::predicted_ms(Server const& server, ServerNeeds const& needs, Core::Time now) const
{
    auto const* model = engine_service(server.entry.service);
    if (!model)
        return plain_answer_ms * (1 + static_cast<double>(server.pending.size()));
    auto const& times = model->times;
    auto const load = this->load(server, times, now);
    auto const queue = load.ahead * times.turnover_ms();
    auto const* report = reported(server, now);
    auto const pace = report ? std::max(1.0, report->state.pace) : 1.0;
    // Half of the pass under way, then one that reads what waits and this prompt, and writes the first event.
    return times.correction() * pace * (times.pass_ms(load.running) * 1.5 + load.unread_ms + times.read_ms(static_cast<double>(needs.prompt_tokens)) + queue);
}

bool ServerTable::would_stall(Server const& server, ServerNeeds const& needs, Core::Time now) const
{
    auto const* model = engine_service(server.entry.service);
    if (!model || !m_settings.bounds_pauses || needs.longest_pause.count() <= 0)
        return false;
    auto const& times = model->times;
    auto const load = this->load(server, times, now);
    // A prompt that nothing else waits beside is read in any case: it may be longer than any pause.
    if (load.unread_ms <= 0)
        return false;
    auto const pause = times.pass_ms(load.running) + load.unread_ms + times.read_ms(static_cast<double>(needs.prompt_tokens));
    return times.correction() * pause > static_cast<double>(needs.longest_pause.count());
}

bool ServerTable::has_leftover(Server const& server, Core::Time now) const
{
    auto const* model = engine_service(server.entry.service);
    if (!model)
        return true;
    if (load(server, model->times, now).unread_ms > m_settings.leftover_unread_ms)
        return false;
    auto const free = room(server, now);
    if (role(server) == EngineRole::Owner)
        return free > m_settings.leftover_reserve + m_settings.allowed_queue;
    // What its owner sends there meanwhile is not known here.
    return free > server.entry.slots / 2;
}

double ServerTable::role_ms(Server const& server) const
{
    if (!engine_service(server.entry.service))
        return 0;
    switch (role(server)) {
    case EngineRole::Owner:
        return 0;
    case EngineRole::Helper:
        return helper_ms;
    case EngineRole::Other:
        return other_ms;
    }
    return 0;
}

double ServerTable::cost(Server const& server, ServerNeeds const& needs, Core::Time now)
{
    auto const failure = failure_cost_ms * server.failure_rate;
    switch (m_settings.choice) {
    case Schema::ServerChoice::RandomPick:
        return static_cast<double>(m_random() % 1000);
    case Schema::ServerChoice::LeastLoaded:
        return static_cast<double>(others_in_flight(server, now)) + static_cast<double>(server.pending.size());
    case Schema::ServerChoice::Predicted:
        break;
    }
    auto const risk = needs.avoided.contains(server.entry.id) ? avoided_ms : 0;
    auto const company = needs.wants_idle ? company_ms * static_cast<double>(others_in_flight(server, now) + static_cast<int64_t>(server.pending.size())) : 0;
    return predicted_ms(server, needs, now) + distance_ms(server) + role_ms(server) + failure + risk + company;
}

tl::expected<ServerChoice, NoServer> ServerTable::choose(ServerNeeds const& needs, Core::Time now)
{
    Server const* best = nullptr;
    double best_cost = 0;
    uint64_t ties = 0;
    bool saw_full = false;
    bool saw_slow = false;
    for (auto const& [id, server] : m_servers) {
        if (!server.is_in_reach || server.entry.service != needs.service || needs.excluded.contains(id))
            continue;
        if (!is_usable(server, needs, now))
            continue;
        bool const is_open = !needs.closed.contains(id) && has_room(server, now) && !would_stall(server, needs, now) && (!needs.takes_leftover || has_leftover(server, now));
        if (!is_open) {
            saw_full = true;
            continue;
        }
        bool const is_slow = needs.begins_within && predicted_ms(server, needs, now) > static_cast<double>(needs.begins_within->count());
        if (is_slow) {
            saw_slow = true;
            continue;
        }
        auto const own_cost = cost(server, needs, now);
        if (best && own_cost > best_cost)
            continue;
        bool const is_better = !best || own_cost < best_cost;
        ties = is_better ? 1 : ties + 1;
        // Among equals each has the same chance.
        if (is_better || m_random() % ties == 0) {
            best = &server;
            best_cost = own_cost;
        }
    }
    if (!best)
        return tl::unexpected(saw_full ? NoServer::AllFull : saw_slow ? NoServer::NoneInTime
                                                                      : NoServer::NoneUsable);
    return ServerChoice { best->entry.id, Core::Duration(static_cast<int64_t>(predicted_ms(*best, needs, now))) };
}

bool ServerTable::has_place(std::string const& service, Core::Time now) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&](auto const& entry) {
        auto const& server = entry.second;
        return server.is_in_reach && server.entry.service == service && has_room(server, now) && is_usable(server, ServerNeeds { .service = service }, now);
    });
}

void ServerTable::on_sent(std::string const& request, ServerChoice const& choice, int64_t prompt_tokens, Core::Time now)
{
    auto const found = m_servers.find(choice.id);
    if (found == m_servers.end())
        return;
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
    auto const service = m_engine_services.find(found->second.entry.service);
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
    if (server.sent_before.erase(request) > 0 && !server.pending.contains(request))
        return;
    auto const pending = server.pending.extract(request);
    note_outcome(server, pending ? std::optional(pending.mapped().sent_at) : std::nullopt, outcome, now);
}

void ServerTable::on_silent(std::string const& id, std::string const& request, Core::Time now)
{
    auto const found = m_servers.find(id);
    if (found == m_servers.end())
        return;
    // Its connection may be dead: a place that it held would be missing for what goes on beside it.
    auto const pending = found->second.pending.extract(request);
    if (!pending)
        return;
    auto const suspended_until = found->second.suspended_until;
    note_outcome(found->second, pending.mapped().sent_at, ServerOutcome::Unreachable, now);
    if (found->second.suspended_until != suspended_until)
        found->second.is_suspended_as_silent = true;
}

void ServerTable::note_outcome(Server& server, std::optional<Core::Time> sent_at, ServerOutcome outcome, Core::Time now)
{
    // All connections of one moment may fall silent together, while new ones work: that is one fault, however many there were.
    bool const is_same_silence = outcome == ServerOutcome::Unreachable && sent_at && server.unreachable_at && *sent_at <= *server.unreachable_at;
    if (is_same_silence)
        return;
    bool const is_fault = outcome == ServerOutcome::Unreachable || outcome == ServerOutcome::Failure;
    if (is_fault || outcome == ServerOutcome::Success)
        server.failure_rate = failure_memory * server.failure_rate + (1 - failure_memory) * (is_fault ? 1 : 0);
    if (outcome == ServerOutcome::Full)
        server.full_until = now + full_wait;
    if (outcome == ServerOutcome::Success) {
        server.faults_in_a_row = 0;
        server.misdirected_in_a_row = 0;
    }
    if (outcome == ServerOutcome::Misdirected && ++server.misdirected_in_a_row >= misdirections_to_suspend) {
        server.is_suspended_as_silent = false;
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
    server.is_suspended_as_silent = false;
    server.suspended_until = now + std::min(longest_suspension, first_suspension * (int64_t { 1 } << doublings));
}

Schema::BackendServer const* ServerTable::find(std::string const& id) const
{
    auto const found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second.entry;
}

void ServerTable::on_received(std::string const& id, Core::Time now)
{
    auto const found = m_servers.find(id);
    if (found == m_servers.end())
        return;
    found->second.heard_at = now;
    if (std::exchange(found->second.is_suspended_as_silent, false))
        found->second.suspended_until = now;
}

bool ServerTable::is_answering(std::string const& id, Core::Time now) const
{
    auto const found = m_servers.find(id);
    return found != m_servers.end() && found->second.heard_at && now - *found->second.heard_at < answering_within;
}

bool ServerTable::is_doubtful(std::string const& id) const
{
    auto const found = m_servers.find(id);
    return found != m_servers.end() && found->second.misdirected_in_a_row >= misdirections_to_suspend;
}

bool ServerTable::is_switching(std::string const& id, Core::Time now) const
{
    auto const found = m_servers.find(id);
    auto const* report = found == m_servers.end() ? nullptr : reported(found->second, now);
    return report && report->state.is_busy;
}

}
