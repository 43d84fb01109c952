// SPDX-License-Identifier: BSD-2-Clause
#include <LibConfiguration/FactReplica.h>

#include <LibConfiguration/LogPosition.h>
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

/// Returns false also if the server counts as draining only because a part of its record could not be decoded.
static bool has_announced_draining(Schema::BackendServer const& server)
{
    return server.is_draining && server.unreadable_fields.empty();
}

// Clocks of instances differ by less.
static constexpr Core::WallTime max_clock_difference = std::chrono::hours(24);

/// Whether the record states a start that lies in the future. Every later record would count as one of an earlier incarnation.
static bool has_impossible_start(Fact const& fact)
{
    auto const* server = std::get_if<Schema::BackendServer>(&fact.value);
    return server && server->started_at_ms && *server->started_at_ms > (Core::wall_now() + max_clock_difference).count();
}

/// Returns the record without its start, which counts as a field that could not be decoded.
static Fact without_start(Fact fact)
{
    auto& server = std::get<Schema::BackendServer>(fact.value);
    server.started_at_ms.reset();
    server.unreadable_fields.emplace_back("started_at_ms");
    return fact;
}

static std::optional<Core::Time> time_before(Core::Time now, std::optional<int64_t> milliseconds)
{
    if (!milliseconds)
        return {};
    return now - Core::Duration(*milliseconds);
}

void FactChanges::add(FactChanges const& later)
{
    has_configuration = has_configuration || later.has_configuration;
    has_versions = has_versions || later.has_versions;
    versions_with_changed_times.insert(versions_with_changed_times.end(), later.versions_with_changed_times.begin(), later.versions_with_changed_times.end());
    keys_with_older_records.insert(keys_with_older_records.end(), later.keys_with_older_records.begin(), later.keys_with_older_records.end());
    servers.insert(servers.end(), later.servers.begin(), later.servers.end());
    delayed_servers.insert(delayed_servers.end(), later.delayed_servers.begin(), later.delayed_servers.end());
}

void FactReplica::merge_version(std::string const& model, NamedVersion const& named, FactChanges& changes)
{
    auto const taken = m_versions[model].merge(named);
    if (taken == NamedVersions::MergeResult::TimesChanged)
        changes.versions_with_changed_times.push_back({ .model = model, .version = named.version });
    changes.has_versions = changes.has_versions || taken == NamedVersions::MergeResult::NewestVersionAdded;
}

bool FactReplica::is_newest_record(Fact const& fact) const
{
    auto const known = m_facts.find({ fact.kind, fact.key });
    return known == m_facts.end() || known->second.revision < fact.revision;
}

bool FactReplica::is_at_least_held_version(Key const& key, Schema::ModelVersion const& version) const
{
    auto const known = m_facts.find(key);
    auto const* held = known == m_facts.end() ? nullptr : std::get_if<Schema::ModelVersion>(&known->second.value);
    return !held || version.version >= held->version;
}

bool FactReplica::update_value(Fact const& fact, ReadTime const& read, FactChanges& changes)
{
    if (auto const* configuration = std::get_if<std::shared_ptr<Schema::RoutingConfiguration const>>(&fact.value)) {
        // A record with a lower version than the one in force is the result of a delayed write.
        if (m_configuration && (*configuration)->version < m_configuration->version && is_newest_record(fact)) {
            changes.keys_with_older_records.push_back(fact.key);
            m_log_has_older_configuration = true;
        }
        if (m_configuration && (*configuration)->version <= m_configuration->version)
            return false;
        m_configuration = *configuration;
        m_log_has_older_configuration = false;
        changes.has_configuration = true;
        return true;
    }
    if (auto const* named = std::get_if<Schema::ModelVersion>(&fact.value)) {
        // A record that names a known version again does not show when the version was first named.
        bool const is_known = m_versions[named->model].find(named->version);
        auto const named_after = is_known ? std::nullopt : read.written_after;
        merge_version(named->model, { named->version, read.earliest(), named_after, read.now }, changes);
        if (named->version < m_versions[named->model].newest() && is_newest_record(fact))
            changes.keys_with_older_records.push_back(fact.key);
        return is_at_least_held_version({ fact.kind, fact.key }, *named);
    }
    return true;
}

/// An unreadable record may have announced that the server is draining, so the server gets no new requests. Its requests in flight go on,
/// because the rest of its last readable record still holds. The server's next readable heartbeat ends this state.
void FactReplica::apply_unreadable(Fact const& fact, FactChanges& changes)
{
    auto const known = m_facts.find({ fact.kind, fact.key });
    // Unknown keys are not stored: foreign writers may write to many keys.
    if (known == m_facts.end() || known->second.revision >= fact.revision)
        return;
    known->second.revision = fact.revision;
    auto* server = std::get_if<Schema::BackendServer>(&known->second.value);
    if (!server || server->is_draining)
        return;
    server->is_draining = true;
    // Draining is assumed and was not announced by the server, so its next readable record decides.
    server->unreadable_fields.push_back("record");
    changes.servers.push_back(fact.key);
}

void FactReplica::apply(Fact const& fact, ReadTime const& read, FactChanges& changes)
{
    if (std::holds_alternative<Unreadable>(fact.value)) {
        apply_unreadable(fact, changes);
        return;
    }
    if (fact.kind == Schema::FactKind::BackendServer) {
        apply_server(has_impossible_start(fact) ? without_start(fact) : fact, read, changes);
        return;
    }
    auto const key = Key(fact.kind, fact.key);
    auto const known = m_facts.find(key);
    // Configurations are compared by version, not by offset: a delayed write can make an older one the log's newest record.
    bool const is_configuration = fact.kind == Schema::FactKind::Configuration;
    if (known != m_facts.end() && known->second.revision >= fact.revision && !is_configuration)
        return;
    // The configuration and named versions are never removed.
    if (std::holds_alternative<Removed>(fact.value))
        return;
    if (update_value(fact, read, changes))
        m_facts[key] = fact;
}

void FactReplica::apply_history(Fact const& fact, ReadTime const& read, FactChanges& changes)
{
    if (auto const* named = std::get_if<Schema::ModelVersion>(&fact.value)) {
        auto const newest_before = m_versions[named->model].newest();
        // The time at which it was named is unknown.
        merge_version(named->model, { named->version, read.earliest(), std::nullopt, read.now }, changes);
        if (newest_before > 0 && named->version > newest_before)
            changes.keys_with_older_records.push_back(fact.key);
        return;
    }
    auto const* configuration = std::get_if<std::shared_ptr<Schema::RoutingConfiguration const>>(&fact.value);
    bool const is_newer = configuration && m_configuration && (*configuration)->version > m_configuration->version;
    if (!is_newer)
        return;
    apply(fact, read, changes);
    m_log_has_older_configuration = true;
    changes.keys_with_older_records.push_back(fact.key);
}

FactReplica::RecordOrder FactReplica::order_of_records(Fact const& held_fact, Fact const& candidate_fact) const
{
    auto const* held = std::get_if<Schema::BackendServer>(&held_fact.value);
    auto const* candidate = std::get_if<Schema::BackendServer>(&candidate_fact.value);
    if (!held || !candidate) {
        // A peer that knows another value at the same position has left out the record there, which was written before the removal.
        bool const is_removed_at_same_position = held && !candidate && held_fact.revision == candidate_fact.revision;
        return is_removed_at_same_position ? RecordOrder::Newer : RecordOrder::AsLogged;
    }
    bool const has_both_starts = held->started_at_ms && candidate->started_at_ms;
    if (has_both_starts && *held->started_at_ms != *candidate->started_at_ms)
        return *held->started_at_ms < *candidate->started_at_ms ? RecordOrder::Newer : RecordOrder::Older;
    // Within one incarnation a server says that it is draining after all that it says as one that accepts requests. A server that states no
    // start is a new incarnation only if it has returned.
    bool const is_of_same_era = era_of(held_fact.revision) == era_of(candidate_fact.revision);
    bool const is_same_incarnation = has_both_starts || (is_of_same_era && !m_departed_servers.has_returned_since(candidate_fact.key, candidate_fact.revision));
    bool const leaves = has_announced_draining(*candidate) && !has_announced_draining(*held);
    return leaves && is_same_incarnation ? RecordOrder::Newer : RecordOrder::AsLogged;
}

bool FactReplica::count_if_delayed(Fact const& fact, ReadTime const& read)
{
    auto const* server = std::get_if<Schema::BackendServer>(&fact.value);
    return server && !server->is_draining && m_departed_servers.count_if_delayed(*server, fact.revision, read.written_after);
}

void FactReplica::keep_held_server(Fact& held, Fact const& older)
{
    // Peers that have read up to the later record may lack the held one. Raising its revision makes facts_since() send it to them.
    held.revision = std::max(held.revision, older.revision);
    if (std::holds_alternative<Removed>(held.value))
        m_removed_at[held.key] = held.revision;
}

void FactReplica::count_later_records(std::string const& id, int64_t departure_position)
{
    auto const known = m_facts.find({ Schema::FactKind::BackendServer, id });
    if (known != m_facts.end())
        known->second.revision = departure_position;
    auto const removed_at = m_removed_at.find(id);
    if (removed_at != m_removed_at.end())
        removed_at->second = departure_position;
}

void FactReplica::apply_server(Fact const& fact, ReadTime const& read, FactChanges& changes)
{
    auto const removed_at = m_removed_at.find(fact.key);
    if (removed_at != m_removed_at.end() && fact.revision <= removed_at->second)
        return;
    auto const key = Key(fact.kind, fact.key);
    auto const known = m_facts.find(key);
    bool const is_known = known != m_facts.end();
    auto const order = is_known ? order_of_records(known->second, fact) : RecordOrder::AsLogged;
    bool const is_behind = is_known && known->second.revision >= fact.revision;
    if (order == RecordOrder::AsLogged && is_behind)
        return;
    if (order == RecordOrder::Older) {
        keep_held_server(known->second, fact);
        return;
    }
    if (is_known && count_if_delayed(fact, read)) {
        changes.delayed_servers.push_back(fact.key);
        keep_held_server(known->second, fact);
        return;
    }
    auto const* before = is_known ? std::get_if<Schema::BackendServer>(&known->second.value) : nullptr;
    auto const* after = std::get_if<Schema::BackendServer>(&fact.value);
    bool const is_unchanged = before && after ? is_same(*before, *after) : before == after;
    if (!is_unchanged)
        changes.servers.push_back(fact.key);
    note_departure(fact, before, read);
    auto const revision = is_behind ? known->second.revision : fact.revision;
    // Copied, because the assignment below overwrites the held record.
    auto const address_before = before ? std::optional(before->address) : std::nullopt;
    m_facts[key] = fact;
    m_facts[key].revision = revision;
    if (!after) {
        m_removed_at[fact.key] = fact.revision;
        clear_service_address(fact.key);
        presume_removed_before(fact.key, read);
        return;
    }
    update_incarnation(*after, fact.revision);
    update_address(address_before, *after, changes);
}

void FactReplica::presume_removed_before(std::string const& successor, ReadTime const& read)
{
    for (auto& [id, incarnation] : m_incarnations) {
        if (incarnation.successor != successor)
            continue;
        incarnation.successor.clear();
        auto& held = m_facts.at({ Schema::FactKind::BackendServer, id });
        auto const* server = std::get_if<Schema::BackendServer>(&held.value);
        if (!server)
            continue;
        m_departed_servers.on_removed(id, server, held.revision, read.now, std::nullopt);
        held.value = Removed {};
        m_removed_at[id] = held.revision;
        clear_service_address(id);
    }
}

void FactReplica::note_departure(Fact const& fact, Schema::BackendServer const* before, ReadTime const& read)
{
    auto const* after = std::get_if<Schema::BackendServer>(&fact.value);
    if (!after)
        m_departed_servers.on_removed(fact.key, before, fact.revision, read.now, read.written_after);
    else if (has_announced_draining(*after))
        m_departed_servers.on_draining(*after, fact.revision, read.now);
    else
        m_departed_servers.on_accepting(fact.key, read.now);
}

void FactReplica::update_address(std::optional<std::string> const& before, Schema::BackendServer const& after, FactChanges& changes)
{
    bool const has_moved = before && *before != after.address;
    if (has_moved)
        clear_supersessions(after.id, changes);
    // A draining server does not supersede other servers.
    if (after.is_draining)
        return;
    // Nor does a heartbeat that changes neither service nor address, which saves the search through the whole list.
    auto& service_address = m_incarnations.at(after.id).service_address;
    auto const new_service_address = after.service + '@' + after.address;
    if (std::exchange(service_address, new_service_address) != new_service_address)
        supersede(after, changes);
}

void FactReplica::clear_service_address(std::string const& id)
{
    auto const incarnation = m_incarnations.find(id);
    if (incarnation != m_incarnations.end())
        incarnation->second.service_address.clear();
}

void FactReplica::clear_supersessions(std::string const& id, FactChanges& changes)
{
    for (auto& [superseded, incarnation] : m_incarnations) {
        bool const involves_server = !incarnation.successor.empty() && (superseded == id || incarnation.successor == id);
        if (!involves_server)
            continue;
        incarnation.successor.clear();
        changes.servers.push_back(superseded);
    }
}

void FactReplica::update_incarnation(Schema::BackendServer const& server, int64_t revision)
{
    auto const [found, is_first] = m_incarnations.try_emplace(server.id, Incarnation { revision, server.started_at_ms });
    auto& latest = found->second;
    if (is_first || !server.started_at_ms)
        return;
    bool const is_later = latest.started_at_ms && *latest.started_at_ms < *server.started_at_ms;
    if (is_later)
        latest = { revision, server.started_at_ms };
    else if (!latest.started_at_ms)
        latest.started_at_ms = server.started_at_ms;
}

void FactReplica::supersede(Schema::BackendServer const& server, FactChanges& changes)
{
    auto& own = m_incarnations.at(server.id);
    if (server.address.empty())
        return;
    for (auto const* other : servers()) {
        if (other->id == server.id || other->address != server.address || other->service != server.service)
            continue;
        auto& others = m_incarnations.at(other->id);
        bool const is_other_earlier = others.first_listed < own.first_listed;
        (is_other_earlier ? others : own).successor = is_other_earlier ? server.id : other->id;
        changes.servers.push_back(is_other_earlier ? other->id : server.id);
    }
}

FactChanges FactReplica::on_records(FactTopic topic, std::vector<Fact> const& facts, int64_t end, ReadTime const& read)
{
    FactChanges changes;
    for (auto const& fact : facts)
        apply(fact, read, changes);
    advance_end(topic, end);
    return changes;
}

void FactReplica::advance_end(FactTopic topic, int64_t end)
{
    m_has_seen_return = m_has_seen_return || is_of_later_era(topic, end);
    auto& known_end = topic == FactTopic::Configuration ? m_configuration_end : m_servers_end;
    known_end = std::max(known_end, end);
}

bool FactReplica::is_of_later_era(FactTopic topic, int64_t position) const
{
    bool const has_read = end(topic) > 0;
    return has_read && era_of(position) > era_of(end(topic));
}

int64_t FactReplica::unstated_era() const
{
    // An older build does not notice that the log came back, and may state positions of before.
    return m_has_seen_return ? 0 : era_of(std::max(m_configuration_end, m_servers_end));
}

bool FactReplica::was_removed_before_return(Fact const& fact) const
{
    auto const known = m_facts.find({ fact.kind, fact.key });
    bool const is_removed = fact.kind == Schema::FactKind::BackendServer && known != m_facts.end() && std::holds_alternative<Removed>(known->second.value);
    return is_removed && era_of(fact.revision) > era_of(m_removed_at.at(fact.key));
}

FactChanges FactReplica::on_listing(FactTopic topic, std::vector<Fact> const& facts, int64_t end, ReadTime const& read)
{
    bool const is_first_after_return = topic == FactTopic::BackendServers && is_of_later_era(topic, end);
    if (is_first_after_return) {
        // What the listing holds of servers that were removed may be the copy's. Records from its end on were written since.
        for (auto const& fact : facts) {
            if (was_removed_before_return(fact))
                m_removed_at[fact.key] = end - 1;
        }
        m_departed_servers.on_log_came_back_from_copy(read.now);
    }
    auto changes = on_records(topic, facts, end, read);
    if (topic != FactTopic::BackendServers)
        return changes;
    m_servers_listed_end = std::max(m_servers_listed_end, end);
    if (is_first_after_return)
        return changes;
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

FactChanges FactReplica::on_server_history(std::vector<Fact> const& facts, ReadTime const& read)
{
    FactChanges changes;
    for (auto const& fact : facts)
        apply(fact, { read.now, std::nullopt }, changes);
    return changes;
}

FactChanges FactReplica::on_history(std::vector<Fact> const& facts, ReadTime const& read)
{
    FactChanges changes;
    for (auto const& fact : facts)
        apply_history(fact, read, changes);
    return changes;
}

FactChanges FactReplica::on_peer(Schema::FactBatch const& batch, ReadTime const& received)
{
    FactChanges changes;
    auto const servers_end = log_position(batch.servers_era.value_or(unstated_era()), batch.servers_end);
    auto const configuration_end = log_position(batch.configuration_era.value_or(unstated_era()), batch.configuration_end);
    for (auto const& message : batch.facts) {
        auto fact = from_message(message, unstated_era());
        // The peer may know of a removed server only what the copy says.
        if (!fact.has_value() || was_removed_before_return(*fact))
            continue;
        if (auto const* version = std::get_if<Schema::ModelVersion>(&fact->value))
            merge_peer_versions(version->model, message, received, changes);
        if (!merge_peer_departure(*fact, message))
            continue;
        // What is known of the log's configuration topic tells nothing of when a record of a server was written.
        bool const is_server = fact->kind == Schema::FactKind::BackendServer;
        apply(*fact, is_server ? ReadTime { received.now, std::nullopt, received.sent_after } : received, changes);
        if (message.left_revision)
            m_departed_servers.on_peer_left_out_records(fact->key, fact->revision, log_position(era_of(fact->revision), *message.left_revision));
    }
    advance_end(FactTopic::Configuration, configuration_end);
    advance_end(FactTopic::BackendServers, servers_end);
    return changes;
}

FactChanges FactReplica::on_known_versions(std::vector<KnownVersion> const& versions, Core::Time now)
{
    FactChanges changes;
    for (auto const& each : versions)
        merge_version(each.model, { each.version, now, {}, now, std::min(each.known, now) }, changes);
    return changes;
}

void FactReplica::add_known_versions(Fact const& fact, Core::Time now, Schema::Fact& message) const
{
    auto const* version = std::get_if<Schema::ModelVersion>(&fact.value);
    if (!version)
        return;
    std::vector<Schema::ToldVersion> versions;
    for (auto const& known : m_versions.at(version->model).versions) {
        Schema::ToldVersion version_message { .known_ms_ago = (now - known.known).count(), .named_ms_ago = {}, .version = known.version };
        if (known.named)
            version_message.named_ms_ago = (now - *known.named).count();
        versions.push_back(version_message);
    }
    message.versions = std::move(versions);
}

void FactReplica::add_departure(Fact const& fact, Schema::Fact& message) const
{
    if (fact.kind != Schema::FactKind::BackendServer)
        return;
    auto const offset_in_same_era = [&](std::optional<int64_t> position) {
        return position && era_of(*position) == era_of(fact.revision) ? std::optional(offset_of(*position)) : std::nullopt;
    };
    message.left_revision = offset_in_same_era(m_departed_servers.hidden_departure(fact.key));
    auto const* server = std::get_if<Schema::BackendServer>(&fact.value);
    if (server && !server->is_draining)
        message.returned_revision = offset_in_same_era(m_departed_servers.returned_at(fact.key));
}

bool FactReplica::merge_peer_departure(Fact const& fact, Schema::Fact const& message)
{
    auto const era = era_of(fact.revision);
    if (message.returned_revision) {
        auto const departure_position = m_departed_servers.on_peer_saw_return(fact.key, log_position(era, *message.returned_revision));
        if (departure_position)
            count_later_records(fact.key, *departure_position);
    }
    return !message.left_revision || !m_departed_servers.has_returned_since(fact.key, log_position(era, *message.left_revision));
}

void FactReplica::merge_peer_versions(std::string const& model, Schema::Fact const& message, ReadTime const& received, FactChanges& changes)
{
    auto const newest_before = m_versions[model].newest();
    for (auto const& each : message.versions.value_or(std::vector<Schema::ToldVersion> {})) {
        auto named = time_before(received.earliest(), each.named_ms_ago);
        if (each.version > newest_before)
            named = later_lower_bound(named, received.written_after);
        merge_version(model, { each.version, received.earliest(), named, received.now - Core::Duration(each.known_ms_ago) }, changes);
    }
}

bool FactReplica::has_undated_versions() const
{
    return std::any_of(m_versions.begin(), m_versions.end(), [](auto const& named) { return named.second.has_undated(); });
}

bool FactReplica::may_be_missing_in_log(Fact const& fact) const
{
    switch (fact.kind) {
    case Schema::FactKind::ModelVersion:
        return true;
    case Schema::FactKind::Configuration:
        return m_log_has_older_configuration;
    case Schema::FactKind::BackendServer:
        return m_departed_servers.hidden_departure(fact.key).has_value();
    }
    return false;
}

Schema::FactBatch FactReplica::facts_since(Schema::FactRequest const& request, FactAges const& ages, Core::Time now) const
{
    Schema::FactBatch batch {};
    batch.age_ms = ages.older().count();
    batch.configuration_age_ms = ages.configuration.count();
    batch.servers_age_ms = ages.servers.count();
    batch.requested_at_ms = request.requested_at_ms;
    batch.configuration_era = era_of(m_configuration_end);
    batch.configuration_end = offset_of(m_configuration_end);
    auto const configuration_from = log_position(request.configuration_era.value_or(unstated_era()), request.configuration_from);
    auto const servers_from = log_position(request.servers_era.value_or(unstated_era()), request.servers_from);
    bool const has_all_removals = servers_from >= m_servers_listed_end;
    auto const servers_end = has_all_removals ? m_servers_end : std::min(m_servers_end, servers_from);
    batch.servers_era = era_of(servers_end);
    batch.servers_end = offset_of(servers_end);
    for (auto const& [key, fact] : m_facts) {
        auto const from = topic_of(key.first) == FactTopic::Configuration ? configuration_from : servers_from;
        if (fact.revision < from && !may_be_missing_in_log(fact))
            continue;
        batch.facts.push_back(to_message(fact));
        add_known_versions(fact, now, batch.facts.back());
        add_departure(fact, batch.facts.back());
    }
    return batch;
}

Schema::BackendServer const* FactReplica::server(std::string const& id) const
{
    auto const incarnation = m_incarnations.find(id);
    if (incarnation != m_incarnations.end() && !incarnation->second.successor.empty())
        return nullptr;
    auto const found = m_facts.find({ Schema::FactKind::BackendServer, id });
    return found == m_facts.end() ? nullptr : std::get_if<Schema::BackendServer>(&found->second.value);
}

std::vector<Schema::BackendServer const*> FactReplica::servers() const
{
    std::vector<Schema::BackendServer const*> servers;
    for (auto const& [key, fact] : m_facts) {
        auto const* server = std::get_if<Schema::BackendServer>(&fact.value);
        if (server && m_incarnations.at(server->id).successor.empty())
            servers.push_back(server);
    }
    return servers;
}

FactAges ages_of(Schema::FactBatch const& batch, Core::Time now)
{
    auto const on_the_way = batch.requested_at_ms ? std::max(Core::Duration(0), now - Core::Time(*batch.requested_at_ms)) : Core::Duration(0);
    return { .configuration = on_the_way + Core::Duration(batch.configuration_age_ms.value_or(batch.age_ms)),
        .servers = on_the_way + Core::Duration(batch.servers_age_ms.value_or(batch.age_ms)) };
}

Schema::Fact to_message(Fact const& fact)
{
    Schema::Fact message {};
    message.kind = fact.kind;
    message.key = fact.key;
    message.era = era_of(fact.revision);
    message.revision = offset_of(fact.revision);
    if (auto const* configuration = std::get_if<std::shared_ptr<Schema::RoutingConfiguration const>>(&fact.value))
        message.body = Schema::to_text(**configuration);
    else if (auto const* named = std::get_if<Schema::ModelVersion>(&fact.value))
        message.body = Schema::to_text(*named);
    else if (auto const* server = std::get_if<Schema::BackendServer>(&fact.value))
        message.body = Schema::to_text(*server);
    return message;
}

Core::ErrorOr<Fact> from_message(Schema::Fact const& message, int64_t unstated_era)
{
    Fact fact { message.kind, message.key, log_position(message.era.value_or(unstated_era), message.revision), Removed {} };
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
