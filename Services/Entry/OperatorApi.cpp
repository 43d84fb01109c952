// SPDX-License-Identifier: BSD-2-Clause
#include "OperatorApi.h"

#include "Problems.h"
#include <LibCore/Hash.h>
#include <LibCore/Log.h>
#include <LibSchema/Json.h>
#include <algorithm>
#include <charconv>

namespace Entry {

static constexpr std::string_view api_path = "/api/v1/";
static constexpr Core::Duration tick_interval { 100 };
// An append whose answer was lost is looked for on the log this long before the same change is appended again.
static constexpr Core::Duration append_again_after { 2000 };
static constexpr Core::Duration append_retry { 300 };
static constexpr Core::Duration undecided_after { 8000 };
static constexpr size_t change_id_bytes = 16;
static constexpr int status_ok = 200;

static std::optional<Schema::ChangeKind> kind_named(std::string const& name)
{
    if (name == "version")
        return Schema::ChangeKind::Version;
    if (name == "service")
        return Schema::ChangeKind::Service;
    if (name == "rollout")
        return Schema::ChangeKind::Rollout;
    if (name == "customer")
        return Schema::ChangeKind::Customer;
    return {};
}

static std::optional<int64_t> number(std::optional<std::string> const& text)
{
    int64_t value = 0;
    if (!text)
        return {};
    auto const [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (error != std::errc() || end != text->data() + text->size())
        return {};
    return value;
}

static void reply_json(Transport::IngressRequest& exchange, nlohmann::json const& value)
{
    exchange.reply(status_ok, { { "Content-Type", "application/json" } }, value.dump());
}

static void reply_not_yet(Transport::IngressRequest& exchange, std::string const& title)
{
    auto problem = rejection(503, "not_yet", title);
    problem.retry_after_ms = tick_interval.count();
    reply_problem(exchange, problem);
}

OperatorApi::OperatorApi(Core::EventLoop& loop, Core::Metrics& metrics, Configuration::Replica const& replica, Distribution::RolloutProgress const& tally, Platform::Platform& platform, std::map<std::string, Settings::OperatorRole> tokens, Routing::StopSchedule const& stop, IsConfirmed is_configuration_confirmed)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_replica(replica)
    , m_tally(tally)
    , m_platform(platform)
    , m_tokens(std::move(tokens))
    , m_stop(stop)
    , m_is_configuration_confirmed(std::move(is_configuration_confirmed))
    , m_timer(loop.every(tick_interval, [this] { tick(); }))
{
}

OperatorApi::~OperatorApi() = default;

bool OperatorApi::is_allowed(Transport::IngressRequest& exchange)
{
    static constexpr std::string_view scheme = "Bearer ";
    auto const field = exchange.header("Authorization").value_or("");
    auto const token = field.starts_with(scheme) ? field.substr(scheme.size()) : std::string();
    Settings::OperatorRole const* role = nullptr;
    for (auto const& [known, known_role] : m_tokens) {
        if (Core::equal_in_constant_time(known, token))
            role = &known_role;
    }
    if (!role) {
        m_metrics.count("mountbarrow_entry_api_refused_total", "reason=\"unauthorized\"");
        reply_problem(exchange, rejection(401, "unauthorized", "A bearer token is needed that is known here."));
        return false;
    }
    bool const is_change = exchange.method() != "GET";
    if (is_change && *role != Settings::OperatorRole::Operator) {
        m_metrics.count("mountbarrow_entry_api_refused_total", "reason=\"forbidden\"");
        reply_problem(exchange, rejection(403, "forbidden", "This token may read only."));
        return false;
    }
    return true;
}

void OperatorApi::handle(std::shared_ptr<Transport::IngressRequest> const& exchange)
{
    if (!is_allowed(*exchange))
        return;
    auto const target = exchange->parsed_target();
    auto const least = number(target.query_value("min_revision"));
    if (least && m_replica.replayed_state().offset() < *least) {
        reply_not_yet(*exchange, "This entry has not read that revision yet.");
        return;
    }
    auto const rest = target.path.substr(api_path.size());
    auto const slash = rest.find('/');
    auto const first = rest.substr(0, slash);
    auto const name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    bool const is_get = exchange->method() == "GET";
    if (first == "watch" && is_get) {
        watch(exchange);
        return;
    }
    if (first == "changes" && is_get) {
        read_change(*exchange, name);
        return;
    }
    auto const kind = kind_named(first);
    if (!kind) {
        reply_problem(*exchange, rejection(404, "no_such_kind", "Kinds are version, service, rollout and customer.", first));
        return;
    }
    if (is_get && name.empty())
        list(*exchange, *kind);
    else if (is_get)
        read(*exchange, *kind, name);
    else if (exchange->method() == "PUT" || exchange->method() == "DELETE")
        change(exchange, *kind, name);
    else
        reply_problem(*exchange, rejection(405, "method_not_allowed", "Use GET, PUT or DELETE."));
}

nlohmann::json OperatorApi::view(Configuration::Resource const& resource) const
{
    nlohmann::json value;
    value["kind"] = Schema::enumerator_name(resource.kind);
    value["name"] = resource.name;
    value["revision"] = resource.revision;
    value["spec"] = Schema::parse(resource.spec, Schema::JsonComments::Ignored);
    if (resource.kind == Schema::ChangeKind::Rollout) {
        if (auto status = m_tally.status(resource.name))
            value["status"] = Schema::to_value(*status);
    }
    return value;
}

void OperatorApi::list(Transport::IngressRequest& exchange, Schema::ChangeKind kind)
{
    nlohmann::json value;
    value["offset"] = m_replica.replayed_state().offset();
    value["items"] = nlohmann::json::array();
    for (auto const& [key, resource] : m_replica.replayed_state().resources()) {
        if (resource.kind == kind)
            value["items"].push_back(view(resource));
    }
    reply_json(exchange, value);
}

void OperatorApi::read(Transport::IngressRequest& exchange, Schema::ChangeKind kind, std::string const& name)
{
    auto const* resource = m_replica.replayed_state().find(kind, name);
    if (resource)
        reply_json(exchange, view(*resource));
    else if (!m_is_configuration_confirmed())
        reply_not_yet(exchange, "This entry has not read the whole log lately, and knows no such resource.");
    else
        reply_problem(exchange, rejection(404, "no_such_resource", "There is no such resource.", name));
}

void OperatorApi::change(std::shared_ptr<Transport::IngressRequest> const& exchange, Schema::ChangeKind kind, std::string const& name)
{
    auto const target = exchange->parsed_target();
    auto const expected = number(target.query_value("expected_revision"));
    if (!expected) {
        reply_problem(*exchange, rejection(428, "expected_revision_missing", "Say which revision this replaces; -1 for a resource that does not exist."));
        return;
    }
    if (auto const now = Core::monotonic_now(); !m_stop.may_send(now + undecided_after, now)) {
        m_metrics.count("mountbarrow_entry_api_refused_total", "reason=\"stopping\"");
        reply_problem(*exchange, problem_for(Schema::Outcome::NotRun, Schema::Reason::Stopping, stopping_retry_after));
        return;
    }
    auto pending = std::make_shared<Pending>();
    pending->change.change_id = target.query_value("change_id").value_or(Core::random_hex(change_id_bytes));
    pending->change.kind = kind;
    pending->change.name = name;
    pending->change.expected_revision = *expected;
    pending->change.operation = exchange->method() == "DELETE" ? Schema::Operation::Delete : Schema::Operation::Put;
    if (pending->change.operation == Schema::Operation::Put) {
        auto const spec = Schema::parse(exchange->body(), Schema::JsonComments::Ignored);
        if (spec.is_discarded()) {
            reply_problem(*exchange, rejection(400, "malformed_json", "The body is not JSON."));
            return;
        }
        pending->change.spec = spec.dump();
        auto const checked = Configuration::check_spec(kind, name, pending->change.spec);
        if (!checked.has_value()) {
            reply_problem(*exchange, rejection(422, "invalid_spec", Core::error_name(checked.error().code), checked.error().detail));
            return;
        }
    }
    Schema::LogRecord record;
    record.change = pending->change;
    pending->body = Schema::to_text(record);
    pending->exchange = exchange;
    pending->started = Core::monotonic_now();
    m_pending.push_back(pending);
    append(*pending);
}

void OperatorApi::append(Pending& pending)
{
    pending.is_appending = true;
    pending.next_append = Core::monotonic_now() + append_again_after;
    auto shared = *std::find_if(m_pending.begin(), m_pending.end(), [&](auto const& other) { return other.get() == &pending; });
    m_platform.append(pending.body, [this, shared](Core::ErrorOr<int64_t> const& result) {
        shared->is_appending = false;
        if (result.has_value())
            return;
        // It may have taken effect all the same: the change id makes a second append harmless.
        m_metrics.count("mountbarrow_entry_append_failures_total");
        shared->next_append = std::max(shared->next_append, Core::monotonic_now() + append_retry);
    });
}

void OperatorApi::on_configuration()
{
    answer_pending();
    for (auto const& watch : m_watches)
        tell(*watch);
}

void OperatorApi::answer_pending()
{
    m_pending.remove_if([this](auto const& pending) {
        auto const outcome = m_replica.replayed_state().outcome(pending->change.change_id);
        if (!outcome)
            return false;
        answer_outcome(*pending, *outcome);
        return true;
    });
}

void OperatorApi::answer_outcome(Pending& pending, Configuration::ChangeOutcome const& outcome)
{
    Core::log_event(Core::LogLevel::Info, "change_decided",
        { { "change", pending.change.change_id }, { "kind", Schema::enumerator_name(pending.change.kind) }, { "name", pending.change.name }, { "revision", std::to_string(outcome.revision) },
            { "failure", outcome.failure ? Schema::enumerator_name(*outcome.failure) : "" } });
    if (outcome.failure) {
        bool const is_conflict = *outcome.failure == Schema::Failure::RevisionConflict;
        auto problem = rejection(is_conflict ? 409 : 422, Schema::enumerator_name(*outcome.failure), is_conflict ? "Another change came first." : "The spec is not valid.");
        problem.revision = outcome.revision;
        problem.change_id = pending.change.change_id;
        reply_problem(*pending.exchange, problem);
        return;
    }
    reply_json(*pending.exchange, { { "change_id", pending.change.change_id }, { "revision", outcome.revision }, { "offset", outcome.offset } });
}

void OperatorApi::answer_undecided(Pending& pending)
{
    m_metrics.count("mountbarrow_entry_api_refused_total", "reason=\"undecided\"");
    auto problem = rejection(504, "undecided", "The platform has not told whether the change was taken. Ask again by its id, or send it again with the same id.");
    problem.outcome = Schema::Outcome::Unknown;
    problem.change_id = pending.change.change_id;
    problem.retry_after_ms = append_again_after.count();
    reply_problem(*pending.exchange, problem);
}

void OperatorApi::read_change(Transport::IngressRequest& exchange, std::string const& change_id)
{
    auto const outcome = m_replica.replayed_state().outcome(change_id);
    if (outcome)
        reply_json(exchange, Schema::to_value(*outcome));
    else
        reply_problem(exchange, rejection(404, "undecided", "This change has not been read from the log here."));
}

void OperatorApi::watch(std::shared_ptr<Transport::IngressRequest> const& exchange)
{
    auto watch = std::make_shared<Watch>();
    auto const target = exchange->parsed_target();
    watch->kind = target.query_value("kind").value_or("");
    watch->name = target.query_value("name").value_or("");
    watch->told_to = number(target.query_value("from")).value_or(-1);
    watch->exchange = exchange;
    watch->exchange->start(status_ok, { { "Content-Type", "application/jsonl" } }, {});
    std::weak_ptr<Watch> weak = watch;
    watch->exchange->on_gone([this, weak] {
        m_watches.remove(weak.lock());
    });
    m_watches.push_back(watch);
    tell(*watch);
    tell_status(*watch);
}

void OperatorApi::tell(Watch& watch)
{
    std::set<std::string> present;
    for (auto const& [key, resource] : m_replica.replayed_state().resources()) {
        auto const kind = Schema::enumerator_name(resource.kind);
        bool const is_watched = (watch.kind.empty() || watch.kind == kind) && (watch.name.empty() || watch.name == resource.name);
        if (!is_watched)
            continue;
        present.insert(kind + "/" + resource.name);
        if (resource.revision <= watch.told_to)
            continue;
        auto event = view(resource);
        event["type"] = "applied";
        watch.exchange->part(event.dump() + "\n");
    }
    for (auto const& gone : watch.known) {
        if (present.contains(gone))
            continue;
        nlohmann::json event { { "type", "deleted" }, { "kind", gone.substr(0, gone.find('/')) }, { "name", gone.substr(gone.find('/') + 1) }, { "revision", m_replica.replayed_state().offset() } };
        watch.exchange->part(event.dump() + "\n");
    }
    watch.known = std::move(present);
    watch.told_to = std::max(watch.told_to, m_replica.replayed_state().offset());
}

void OperatorApi::tell_status(Watch& watch)
{
    if (!watch.kind.empty() && watch.kind != "rollout")
        return;
    for (auto const& [name, spec] : m_replica.replayed_state().rollouts()) {
        if (!watch.name.empty() && watch.name != name)
            continue;
        auto const status = m_tally.status(name);
        if (!status)
            continue;
        auto const text = Schema::to_text(*status);
        if (watch.told_status[name] == text)
            continue;
        watch.told_status[name] = text;
        watch.exchange->part(R"({"type":"status","status":)" + text + "}\n");
    }
}

void OperatorApi::tick()
{
    auto const now = Core::monotonic_now();
    answer_pending();
    m_pending.remove_if([&](auto const& pending) {
        if (pending->exchange->is_over())
            return true;
        if (now < pending->started + undecided_after)
            return false;
        answer_undecided(*pending);
        return true;
    });
    for (auto const& pending : m_pending) {
        if (!pending->is_appending && now >= pending->next_append)
            append(*pending);
    }
    if (m_tally.generation() == m_told_generation)
        return;
    m_told_generation = m_tally.generation();
    for (auto const& watch : m_watches)
        tell_status(*watch);
}

void OperatorApi::give_up_unfinished()
{
    for (auto const& pending : std::exchange(m_pending, {})) {
        if (!pending->exchange->is_over())
            answer_undecided(*pending);
    }
}

void OperatorApi::end_watches()
{
    for (auto const& watch : m_watches)
        watch->exchange->end();
    m_watches.clear();
}

}
