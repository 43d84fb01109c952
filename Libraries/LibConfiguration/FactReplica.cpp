// SPDX-License-Identifier: BSD-2-Clause
#include <LibConfiguration/FactReplica.h>

#include <LibSchema/Json.h>
#include <algorithm>
#include <set>
#include <utility>

namespace Configuration {

static FactTopic topic_of(Schema::FactKind kind)
{
    return kind == Schema::FactKind::BackendServer ? FactTopic::BackendServers : FactTopic::Configuration;
}

static bool is_same(Schema::BackendServer const& a, Schema::BackendServer const& b)
{
    return Schema::to_value(a) == Schema::to_value(b);
}

static std::optional<Core::Time> time_before(Core::Time now, std::optional<int64_t> milliseconds)
{
    if (!milliseconds)
        return {};
    return now - Core::Duration(*milliseconds);
}

void FactReplica::take_version(std::string const& model, NamedVersion const& named, FactChanges& changes)
{
    auto const taken = m_versions[model].take(named);
    if (taken == NamedVersions::Taken::Date)
        changes.dated_versions.push_back({ .model = model, .version = named.version });
    changes.has_versions = changes.has_versions || taken == NamedVersions::Taken::NewestVersion;
}

bool FactReplica::is_as_new(Key const& key, Schema::ModelVersion const& version) const
{
    auto const known = m_facts.find(key);
    auto const* held = known == m_facts.end() ? nullptr : std::get_if<Schema::ModelVersion>(&known->second.value);
    return !held || version.version >= held->version;
}

bool FactReplica::take_value(Fact const& fact, ReadTime const& read, FactChanges& changes)
{
    if (auto const* configuration = std::get_if<std::shared_ptr<Schema::RoutingConfiguration const>>(&fact.value)) {
        // A record with a lower version than the one in force is never a step forward.
        if (m_configuration && (*configuration)->version <= m_configuration->version)
            return false;
        m_configuration = *configuration;
        changes.has_configuration = true;
        return true;
    }
    if (auto const* named = std::get_if<Schema::ModelVersion>(&fact.value)) {
        // A record that names a version once more says nothing of when it was named first.
        bool const is_known = m_versions[named->model].find(named->version);
        auto const named_after = is_known ? std::nullopt : read.written_after;
        take_version(named->model, { named->version, read.earliest(), named_after, read.now }, changes);
        return is_as_new({ fact.kind, fact.key }, *named);
    }
    return true;
}

/// A record that cannot be read may have said that the server is leaving, so no new work goes there; what runs there goes on,
/// as the rest of what was known still holds. A heartbeat of the server itself brings it back.
void FactReplica::take_unreadable(Fact const& fact, FactChanges& changes)
{
    auto const known = m_facts.find({ fact.kind, fact.key });
    // Nothing is kept under a key that nobody knew: other writers' keys may be many.
    if (known == m_facts.end() || known->second.revision >= fact.revision)
        return;
    known->second.revision = fact.revision;
    auto* server = std::get_if<Schema::BackendServer>(&known->second.value);
    if (!server || server->is_draining)
        return;
    server->is_draining = true;
    changes.servers.push_back(fact.key);
}

void FactReplica::apply(Fact const& fact, ReadTime const& read, FactChanges& changes)
{
    if (std::holds_alternative<Unreadable>(fact.value)) {
        take_unreadable(fact, changes);
        return;
    }
    auto const key = Key(fact.kind, fact.key);
    auto const known = m_facts.find(key);
    if (known != m_facts.end() && known->second.revision >= fact.revision)
        return;
    bool const is_server = fact.kind == Schema::FactKind::BackendServer;
    // The configuration and named versions are never taken back.
    if (!is_server && std::holds_alternative<Removed>(fact.value))
        return;
    if (!take_value(fact, read, changes))
        return;
    if (is_server) {
        auto const* before = known == m_facts.end() ? nullptr : std::get_if<Schema::BackendServer>(&known->second.value);
        auto const* after = std::get_if<Schema::BackendServer>(&fact.value);
        bool const is_unchanged = before && after ? is_same(*before, *after) : before == after;
        if (!is_unchanged)
            changes.servers.push_back(fact.key);
        if (after)
            take_address(before, *after, fact.revision, changes);
        else
            m_places.erase(fact.key);
    }
    m_facts[key] = fact;
}

void FactReplica::take_address(Schema::BackendServer const* before, Schema::BackendServer const& after, int64_t revision, FactChanges& changes)
{
    m_first_listed.try_emplace(after.id, revision);
    bool const has_moved = before && before->address != after.address;
    if (has_moved)
        give_back(after.id, changes);
    // An entry that names nothing to use takes no address from anybody.
    if (after.is_draining)
        return;
    // Nor does a heartbeat alone, which need not be held against the whole list.
    auto& place = m_places[after.id];
    auto const now_at = after.service + '@' + after.address;
    if (std::exchange(place, now_at) != now_at)
        supersede(after, revision, changes);
}

void FactReplica::give_back(std::string const& id, FactChanges& changes)
{
    std::erase_if(m_superseded, [&](auto const& entry) {
        auto const& [superseded, successor] = entry;
        bool const is_over = superseded == id || successor == id;
        if (is_over)
            changes.servers.push_back(superseded);
        return is_over;
    });
}

void FactReplica::supersede(Schema::BackendServer const& server, int64_t revision, FactChanges& changes)
{
    auto const first = m_first_listed.try_emplace(server.id, revision).first->second;
    if (server.address.empty())
        return;
    for (auto const* other : servers()) {
        if (other->id == server.id || other->address != server.address || other->service != server.service)
            continue;
        bool const is_later = m_first_listed.at(other->id) < first;
        auto const& earlier = is_later ? other->id : server.id;
        m_superseded[earlier] = is_later ? server.id : other->id;
        changes.servers.push_back(earlier);
    }
}

FactChanges FactReplica::on_records(FactTopic topic, std::vector<Fact> const& facts, int64_t end, ReadTime const& read)
{
    FactChanges changes;
    for (auto const& fact : facts)
        apply(fact, read, changes);
    auto& known_end = topic == FactTopic::Configuration ? m_configuration_end : m_servers_end;
    known_end = std::max(known_end, end);
    return changes;
}

FactChanges FactReplica::on_listing(FactTopic topic, std::vector<Fact> const& facts, int64_t end, ReadTime const& read)
{
    auto changes = on_records(topic, facts, end, read);
    if (topic != FactTopic::BackendServers)
        return changes;
    m_servers_listed_end = std::max(m_servers_listed_end, end);
    std::set<std::string> listed;
    for (auto const& fact : facts)
        listed.insert(fact.key);
    std::vector<Fact> removed;
    for (auto const& [key, fact] : m_facts) {
        bool const is_gone = key.first == Schema::FactKind::BackendServer && !listed.contains(key.second) && fact.revision < end;
        if (is_gone && !std::holds_alternative<Removed>(fact.value))
            removed.push_back({ key.first, key.second, fact.revision + 1, Removed {} });
    }
    for (auto const& fact : removed)
        apply(fact, read, changes);
    return changes;
}

FactChanges FactReplica::on_peer(Schema::FactBatch const& batch, ReadTime const& told)
{
    FactChanges changes;
    for (auto const& message : batch.facts) {
        auto fact = from_message(message);
        if (!fact.has_value())
            continue;
        if (auto const* version = std::get_if<Schema::ModelVersion>(&fact->value))
            take_versions(version->model, message, told, changes);
        apply(*fact, told, changes);
    }
    m_configuration_end = std::max(m_configuration_end, batch.configuration_end);
    m_servers_end = std::max(m_servers_end, batch.servers_end);
    return changes;
}

FactChanges FactReplica::on_known_versions(std::vector<KnownVersion> const& versions, Core::Time now)
{
    FactChanges changes;
    for (auto const& each : versions)
        take_version(each.model, { each.version, now, {}, std::min(each.known, now) }, changes);
    return changes;
}

void FactReplica::add_versions(Fact const& fact, Core::Time now, Schema::Fact& message) const
{
    auto const* version = std::get_if<Schema::ModelVersion>(&fact.value);
    if (!version)
        return;
    std::vector<Schema::ToldVersion> versions;
    for (auto const& known : m_versions.at(version->model).versions) {
        Schema::ToldVersion told { .known_ms_ago = (now - known.known).count(), .named_ms_ago = {}, .version = known.version };
        if (known.named)
            told.named_ms_ago = (now - *known.named).count();
        versions.push_back(told);
    }
    message.versions = std::move(versions);
}

/// What a peer knows of a model's versions. One that is new here was named after both had last read without it.
void FactReplica::take_versions(std::string const& model, Schema::Fact const& message, ReadTime const& told, FactChanges& changes)
{
    auto const newest_before = m_versions[model].newest();
    for (auto const& each : message.versions.value_or(std::vector<Schema::ToldVersion> {})) {
        auto named = time_before(told.earliest(), each.named_ms_ago);
        if (each.version > newest_before)
            named = later_of(named, told.written_after);
        take_version(model, { each.version, told.earliest(), named, told.now - Core::Duration(each.known_ms_ago) }, changes);
    }
}

bool FactReplica::has_undated_versions() const
{
    return std::any_of(m_versions.begin(), m_versions.end(), [](auto const& named) { return named.second.has_undated(); });
}

Schema::FactBatch FactReplica::facts_since(Schema::FactRequest const& request, Core::Duration age, Core::Time now) const
{
    Schema::FactBatch batch {};
    batch.age_ms = age.count();
    batch.configuration_end = m_configuration_end;
    bool const has_all_removals = request.servers_from >= m_servers_listed_end;
    batch.servers_end = has_all_removals ? m_servers_end : std::min(m_servers_end, request.servers_from);
    for (auto const& [key, fact] : m_facts) {
        auto const from = topic_of(key.first) == FactTopic::Configuration ? request.configuration_from : request.servers_from;
        bool const is_version = key.first == Schema::FactKind::ModelVersion;
        if (fact.revision < from && !is_version)
            continue;
        batch.facts.push_back(to_message(fact));
        add_versions(fact, now, batch.facts.back());
    }
    return batch;
}

Schema::BackendServer const* FactReplica::server(std::string const& id) const
{
    if (m_superseded.contains(id))
        return nullptr;
    auto const found = m_facts.find({ Schema::FactKind::BackendServer, id });
    return found == m_facts.end() ? nullptr : std::get_if<Schema::BackendServer>(&found->second.value);
}

std::vector<Schema::BackendServer const*> FactReplica::servers() const
{
    std::vector<Schema::BackendServer const*> servers;
    for (auto const& [key, fact] : m_facts) {
        auto const* server = std::get_if<Schema::BackendServer>(&fact.value);
        if (server && !m_superseded.contains(server->id))
            servers.push_back(server);
    }
    return servers;
}

Schema::Fact to_message(Fact const& fact)
{
    Schema::Fact message {};
    message.kind = fact.kind;
    message.key = fact.key;
    message.revision = fact.revision;
    if (auto const* configuration = std::get_if<std::shared_ptr<Schema::RoutingConfiguration const>>(&fact.value))
        message.body = Schema::to_text(**configuration);
    else if (auto const* named = std::get_if<Schema::ModelVersion>(&fact.value))
        message.body = Schema::to_text(*named);
    else if (auto const* server = std::get_if<Schema::BackendServer>(&fact.value))
        message.body = Schema::to_text(*server);
    return message;
}

Core::ErrorOr<Fact> from_message(Schema::Fact const& message)
{
    Fact fact { message.kind, message.key, message.revision, Removed {} };
    if (message.body.empty())
        return fact;
    switch (message.kind) {
    case Schema::FactKind::Configuration:
        fact.value = std::make_shared<Schema::RoutingConfiguration const>(TRY(Schema::from_text<Schema::RoutingConfiguration>(message.body)));
        break;
    case Schema::FactKind::ModelVersion:
        fact.value = TRY(Schema::from_text<Schema::ModelVersion>(message.body));
        break;
    case Schema::FactKind::BackendServer:
        fact.value = TRY(Schema::from_text<Schema::BackendServer>(message.body));
        break;
    }
    return fact;
}

}
