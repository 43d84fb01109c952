// SPDX-License-Identifier: BSD-2-Clause
#include <LibConfiguration/FactReplica.h>

#include <LibSchema/Json.h>
#include <algorithm>
#include <set>
#include <utility>

namespace Configuration {

// More than can be named within the bound on one of them.
static constexpr size_t versions_remembered = 64;

static FactTopic topic_of(Schema::FactKind kind)
{
    return kind == Schema::FactKind::BackendServer ? FactTopic::BackendServers : FactTopic::Configuration;
}

static bool is_same(Schema::BackendServer const& a, Schema::BackendServer const& b)
{
    return Schema::to_value(a) == Schema::to_value(b);
}

/// The later of two times before which something cannot have happened.
static std::optional<Core::Time> later_of(std::optional<Core::Time> a, std::optional<Core::Time> b)
{
    if (!a || !b)
        return a ? a : b;
    return std::max(*a, *b);
}

static std::optional<Core::Time> time_before(Core::Time now, std::optional<int64_t> milliseconds)
{
    if (!milliseconds)
        return {};
    return now - Core::Duration(*milliseconds);
}

int64_t NamedVersions::newest_of(Core::Time named_by, Core::Time found_by) const
{
    int64_t newest = 0;
    for (auto const& known : versions) {
        bool const may_be_named = !known.named || *known.named <= named_by;
        if (may_be_named && known.found <= found_by)
            newest = std::max(newest, known.version);
    }
    return newest;
}

bool NamedVersions::has_undated() const
{
    return std::any_of(versions.begin(), versions.end(), [](auto const& known) { return !known.named; });
}

NamedVersion const* NamedVersions::find(int64_t version) const
{
    auto const found = std::find_if(versions.begin(), versions.end(), [&](auto const& known) { return known.version == version; });
    return found == versions.end() ? nullptr : &*found;
}

NamedVersions::Taken NamedVersions::take(NamedVersion const& named)
{
    auto const place = std::lower_bound(versions.begin(), versions.end(), named.version, [](auto const& known, int64_t version) { return known.version < version; });
    if (place != versions.end() && place->version == named.version) {
        auto const before = std::exchange(place->named, later_of(place->named, named.named));
        return place->named == before ? Taken::Nothing : Taken::Date;
    }
    bool const is_newest = place == versions.end();
    versions.insert(place, named);
    if (versions.size() > versions_remembered)
        versions.erase(versions.begin());
    return is_newest ? Taken::NewestVersion : Taken::EarlierVersion;
}

bool FactReplica::take_version(std::string const& model, NamedVersion const& named, FactChanges& changes)
{
    auto const taken = m_versions[model].take(named);
    if (taken == NamedVersions::Taken::Date)
        changes.dated_versions.push_back({ .model = model, .version = named.version });
    bool const is_newest = taken == NamedVersions::Taken::NewestVersion;
    changes.has_versions = changes.has_versions || is_newest;
    return is_newest;
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
    if (auto const* named = std::get_if<Schema::ModelVersion>(&fact.value))
        return take_version(named->model, { named->version, read.now, read.written_after }, changes);
    return true;
}

void FactReplica::apply(Fact const& fact, ReadTime const& read, FactChanges& changes)
{
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
    bool is_at_new_address = false;
    if (is_server) {
        auto const* before = known == m_facts.end() ? nullptr : std::get_if<Schema::BackendServer>(&known->second.value);
        auto const* after = std::get_if<Schema::BackendServer>(&fact.value);
        bool const is_unchanged = before && after ? is_same(*before, *after) : before == after;
        if (!is_unchanged)
            changes.servers.push_back(fact.key);
        is_at_new_address = after && (!before || before->address != after->address);
    }
    m_facts[key] = fact;
    // A heartbeat alone takes no address from anybody, and need not be held against the whole list.
    if (is_at_new_address)
        supersede(std::get<Schema::BackendServer>(fact.value), fact.revision, changes);
}

void FactReplica::supersede(Schema::BackendServer const& server, int64_t revision, FactChanges& changes)
{
    auto const first = m_first_listed.try_emplace(server.id, revision).first->second;
    if (server.address.empty())
        return;
    for (auto const* other : servers()) {
        if (other->id == server.id || other->address != server.address)
            continue;
        auto const& earlier = m_first_listed.at(other->id) < first ? other->id : server.id;
        m_superseded.insert(earlier);
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
            take_dates(*version, message, told, changes);
        apply(*fact, { told.now, later_of(time_before(told.now, message.named_ms_ago), told.written_after) }, changes);
    }
    m_configuration_end = std::max(m_configuration_end, batch.configuration_end);
    m_servers_end = std::max(m_servers_end, batch.servers_end);
    return changes;
}

static std::optional<int64_t> named_ms_ago(NamedVersion const& known, Core::Time now)
{
    if (!known.named)
        return {};
    return (now - *known.named).count();
}

void FactReplica::add_dates(Fact const& fact, Core::Time now, Schema::Fact& message) const
{
    auto const* version = std::get_if<Schema::ModelVersion>(&fact.value);
    if (!version)
        return;
    std::vector<Schema::EarlierVersion> earlier;
    for (auto const& known : m_versions.at(version->model).versions) {
        if (known.version == version->version)
            message.named_ms_ago = named_ms_ago(known, now);
        else if (known.version < version->version)
            earlier.push_back({ .named_ms_ago = named_ms_ago(known, now), .version = known.version });
    }
    if (!earlier.empty())
        message.earlier_versions = std::move(earlier);
}

/// Dates that a peer gives, of versions that are known here or that came before the one that the fact brings.
void FactReplica::take_dates(Schema::ModelVersion const& version, Schema::Fact const& message, ReadTime const& told, FactChanges& changes)
{
    auto dated = message.earlier_versions.value_or(std::vector<Schema::EarlierVersion> {});
    auto& known = m_versions[version.model];
    // The newest itself is taken with its fact, unless that is known and lacks only its date.
    if (version.version <= known.newest())
        dated.push_back({ .named_ms_ago = message.named_ms_ago, .version = version.version });
    for (auto const& earlier : dated) {
        auto named = time_before(told.now, earlier.named_ms_ago);
        if (earlier.version > known.newest())
            named = later_of(named, told.written_after);
        take_version(version.model, { earlier.version, told.now, named }, changes);
    }
}

std::optional<int64_t> FactReplica::undated_from() const
{
    // Each ping of a peer asks this, and nearly always all are dated: only then is the whole list worth walking.
    bool const has_any = std::any_of(m_versions.begin(), m_versions.end(), [](auto const& named) { return named.second.has_undated(); });
    if (!has_any)
        return {};
    std::optional<int64_t> from;
    for (auto const& [key, fact] : m_facts) {
        auto const* version = std::get_if<Schema::ModelVersion>(&fact.value);
        if (version && m_versions.at(version->model).has_undated())
            from = std::min(from.value_or(fact.revision), fact.revision);
    }
    return from;
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
        if (fact.revision < from)
            continue;
        batch.facts.push_back(to_message(fact));
        add_dates(fact, now, batch.facts.back());
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
