// SPDX-License-Identifier: BSD-2-Clause
#include <LibConfiguration/ReplayedState.h>

#include <LibCore/Hash.h>
#include <LibSchema/Json.h>

namespace Configuration {

using Schema::ChangeKind;

void ReplayedState::apply(std::string_view body)
{
    m_offset += 1;
    m_chain = Core::sha256(m_chain + std::string(body));
    auto record = Schema::from_text<Schema::LogRecord>(body);
    if (record.has_value() && record->change)
        apply_change(*record->change);
}

void ReplayedState::apply_change(Schema::Change const& change)
{
    if (m_outcomes.contains(change.change_id))
        return;
    auto const key = std::pair(change.kind, change.name);
    auto const existing = m_resources.find(key);
    int64_t const revision = existing == m_resources.end() ? no_revision : existing->second.revision;

    ChangeOutcome outcome;
    outcome.change_id = change.change_id;
    outcome.offset = m_offset;
    outcome.revision = revision;
    if (change.expected_revision != revision) {
        outcome.failure = Schema::Failure::RevisionConflict;
        remember_outcome(std::move(outcome));
        return;
    }
    if (change.operation == Schema::Operation::Delete) {
        m_resources.erase(key);
        erase_spec(change.kind, change.name);
        outcome.revision = no_revision;
        remember_outcome(std::move(outcome));
        return;
    }
    if (!check_spec(change.kind, change.name, change.spec).has_value()) {
        outcome.failure = Schema::Failure::InvalidSpec;
        remember_outcome(std::move(outcome));
        return;
    }
    store_spec(change.kind, change.name, change.spec);
    Resource resource;
    resource.kind = change.kind;
    resource.name = change.name;
    resource.revision = m_offset;
    resource.spec = change.spec;
    m_resources[key] = std::move(resource);
    outcome.revision = m_offset;
    remember_outcome(std::move(outcome));
}

void ReplayedState::remember_outcome(ChangeOutcome outcome)
{
    m_outcome_order.push_back(outcome.change_id);
    auto id = outcome.change_id;
    m_outcomes.emplace(std::move(id), std::move(outcome));
    if (m_outcome_order.size() <= max_remembered_outcomes)
        return;
    m_outcomes.erase(m_outcome_order.front());
    m_outcome_order.pop_front();
}

template<typename Spec>
static bool store_in(std::map<std::string, Spec>& specs, std::string const& name, std::string const& text)
{
    auto spec = Schema::from_text<Spec>(text);
    if (!spec.has_value())
        return false;
    specs[name] = std::move(*spec);
    return true;
}

bool ReplayedState::store_spec(ChangeKind kind, std::string const& name, std::string const& spec)
{
    switch (kind) {
    case ChangeKind::Version:
        return store_in(m_versions, name, spec);
    case ChangeKind::Service:
        return store_in(m_services, name, spec);
    case ChangeKind::Rollout:
        return store_in(m_rollouts, name, spec);
    case ChangeKind::Customer:
        return store_in(m_customers, name, spec);
    }
    return false;
}

void ReplayedState::erase_spec(ChangeKind kind, std::string const& name)
{
    switch (kind) {
    case ChangeKind::Version:
        m_versions.erase(name);
        break;
    case ChangeKind::Service:
        m_services.erase(name);
        break;
    case ChangeKind::Rollout:
        m_rollouts.erase(name);
        break;
    case ChangeKind::Customer:
        m_customers.erase(name);
        break;
    }
}

Schema::FoldState ReplayedState::snapshot_state() const
{
    Schema::FoldState state;
    state.offset = m_offset;
    state.chain = m_chain;
    for (auto const& [key, resource] : m_resources)
        state.resources.push_back(resource);
    for (auto const& id : m_outcome_order)
        state.outcomes.push_back(m_outcomes.at(id));
    return state;
}

bool ReplayedState::advance_to(Schema::FoldState const& state)
{
    if (state.offset <= m_offset)
        return false;
    *this = ReplayedState();
    m_offset = state.offset;
    m_chain = state.chain;
    for (auto const& resource : state.resources) {
        if (store_spec(resource.kind, resource.name, resource.spec))
            m_resources[{ resource.kind, resource.name }] = resource;
    }
    for (auto const& outcome : state.outcomes)
        remember_outcome(outcome);
    return true;
}

Resource const* ReplayedState::find(ChangeKind kind, std::string const& name) const
{
    auto found = m_resources.find({ kind, name });
    return found == m_resources.end() ? nullptr : &found->second;
}

std::optional<ChangeOutcome> ReplayedState::outcome(std::string const& change_id) const
{
    auto found = m_outcomes.find(change_id);
    if (found == m_outcomes.end())
        return {};
    return found->second;
}

int64_t ReplayedState::rollout_revision(std::string const& name) const
{
    auto const* resource = find(ChangeKind::Rollout, name);
    return resource ? resource->revision : no_revision;
}

static Core::ErrorOr<void> check_version(std::string const& name, std::string const& text)
{
    auto spec = TRY(Schema::from_text<Schema::VersionSpec>(text));
    auto const adapter = spec.adapters && !spec.adapters->empty() ? spec.adapters->front() : std::string();
    if (name != version_name(spec.model, spec.version, adapter))
        return Core::failure(Core::ErrorCode::ImpossibleSettings, "name: must be MODEL@VERSION, or MODEL@VERSION+ADAPTER");
    if (spec.chunks.empty())
        return Core::failure(Core::ErrorCode::ImpossibleSettings, "chunks: none");
    if (spec.digest != weights_digest(spec.chunks))
        return Core::failure(Core::ErrorCode::ImpossibleSettings, "digest: is not that of the chunks");
    for (auto const& chunk : spec.chunks) {
        if (chunk.bytes <= 0)
            return Core::failure(Core::ErrorCode::ImpossibleSettings, "chunks.bytes: not positive");
    }
    return {};
}

static Core::ErrorOr<void> check_service(std::string const& name, std::string const& text)
{
    // A service's name is the first part of its path at the entry, and the entry uses these paths itself.
    bool const is_reserved = name == "api" || name == "metrics" || name == "healthz";
    if (is_reserved || name.find('/') != std::string::npos)
        return Core::failure(Core::ErrorCode::ImpossibleSettings, "name: is reserved, or has a slash");
    auto spec = TRY(Schema::from_text<Schema::ServiceSpec>(text));
    if (spec.max_in_flight_per_instance && *spec.max_in_flight_per_instance < 1)
        return Core::failure(Core::ErrorCode::ImpossibleSettings, "max_in_flight_per_instance: less than 1");
    if (spec.queue_limit && *spec.queue_limit < 0)
        return Core::failure(Core::ErrorCode::ImpossibleSettings, "queue_limit: negative");
    return {};
}

static Core::ErrorOr<void> check_rollout(std::string const& text)
{
    auto spec = TRY(Schema::from_text<Schema::RolloutSpec>(text));
    if (spec.replicas < 0)
        return Core::failure(Core::ErrorCode::ImpossibleSettings, "replicas: negative");
    if (spec.services.empty())
        return Core::failure(Core::ErrorCode::ImpossibleSettings, "services: none");
    if (spec.model.empty() || spec.version.empty())
        return Core::failure(Core::ErrorCode::ImpossibleSettings, "model, version: empty");
    return {};
}

static Core::ErrorOr<void> check_customer(std::string const& text)
{
    auto spec = TRY(Schema::from_text<Schema::CustomerSpec>(text));
    if (spec.requests_per_second < 0 || spec.burst < 0 || spec.concurrency < 0)
        return Core::failure(Core::ErrorCode::ImpossibleSettings, "requests_per_second, burst, concurrency: negative");
    return {};
}

Core::ErrorOr<void> check_spec(ChangeKind kind, std::string const& name, std::string const& spec)
{
    if (name.empty())
        return Core::failure(Core::ErrorCode::ImpossibleSettings, "name: empty");
    switch (kind) {
    case ChangeKind::Version:
        return check_version(name, spec);
    case ChangeKind::Service:
        return check_service(name, spec);
    case ChangeKind::Rollout:
        return check_rollout(spec);
    case ChangeKind::Customer:
        return check_customer(spec);
    }
    return {};
}

std::string version_name(std::string const& model, std::string const& version, std::string const& adapter)
{
    auto name = model + "@" + version;
    return adapter.empty() ? name : name + "+" + adapter;
}

std::string weights_digest(std::vector<Schema::Chunk> const& chunks)
{
    Core::Sha256 hash;
    for (auto const& chunk : chunks)
        hash.update(chunk.digest);
    return hash.finish();
}

std::optional<Schema::VersionSpec> weights_of(ReplayedState const& replayed_state, Schema::RolloutSpec const& rollout)
{
    auto const base = replayed_state.versions().find(version_name(rollout.model, rollout.version));
    if (base == replayed_state.versions().end())
        return {};
    if (!rollout.adapters || rollout.adapters->empty())
        return base->second;
    auto whole = base->second;
    for (auto const& name : *rollout.adapters) {
        auto const adapter = replayed_state.versions().find(version_name(rollout.model, rollout.version, name));
        if (adapter == replayed_state.versions().end())
            return {};
        whole.chunks.insert(whole.chunks.end(), adapter->second.chunks.begin(), adapter->second.chunks.end());
    }
    whole.adapters = rollout.adapters;
    whole.digest = weights_digest(whole.chunks);
    return whole;
}

}
