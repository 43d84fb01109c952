// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Error.h>
#include <LibSchema/Generated.h>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Configuration {

/// The revision of a resource that does not exist.
inline constexpr int64_t no_revision = -1;
/// The offset of a state to which no record was applied.
inline constexpr int64_t no_offset = -1;

/// A resource as stored in the log: kind, name, revision (the offset of the record that last changed it) and spec as JSON text.
using Resource = Schema::StoredResource;

/// Outcome of one change: its revision, or why it was rejected.
using ChangeOutcome = Schema::StoredOutcome;

/// The state of the operator's resources after the log's records were applied in order. It is the same in every process that reads
/// the log.
///
/// A change is accepted only if its expected revision is the current one. Of several changes that expect the same revision the first
/// in the log is accepted, and every process rejects the others. A record that repeats a known change id has no effect.
class ReplayedState {
public:
    /// Offset of the last applied record, or `no_offset`.
    int64_t offset() const { return m_offset; }

    /// Digest over all applied records; equal in two processes that applied the same records.
    std::string const& chain() const { return m_chain; }

    /// Applies the record at offset() + 1. A record that cannot be parsed changes only the offset and the digest.
    void apply(std::string_view body);

    /// Returns the whole state in the form that snapshots contain.
    Schema::FoldState snapshot_state() const;

    /// Replaces this state by one from a snapshot, unless the snapshot's offset is not higher than offset().
    /// @return true if the state was replaced.
    bool advance_to(Schema::FoldState const&);

    /// Returns the resource, or null if it does not exist.
    Resource const* find(Schema::ChangeKind, std::string const& name) const;
    std::map<std::pair<Schema::ChangeKind, std::string>, Resource> const& resources() const { return m_resources; }

    /// Returns the outcome of a change, or std::nullopt if it is not among the latest `max_remembered_outcomes` changes.
    std::optional<ChangeOutcome> outcome(std::string const& change_id) const;

    std::map<std::string, Schema::VersionSpec> const& versions() const { return m_versions; }
    std::map<std::string, Schema::ServiceSpec> const& services() const { return m_services; }
    std::map<std::string, Schema::RolloutSpec> const& rollouts() const { return m_rollouts; }
    std::map<std::string, Schema::CustomerSpec> const& customers() const { return m_customers; }

    /// Returns the revision of a rollout, or `no_revision` if it does not exist.
    int64_t rollout_revision(std::string const& name) const;

    /// Number of changes whose outcomes are kept: about a day of changes at the scale that the system is designed for.
    static constexpr size_t max_remembered_outcomes = 8192;

private:
    void apply_change(Schema::Change const&);
    void remember_outcome(ChangeOutcome);
    /// Parses a spec and stores it in the map of its kind.
    /// @return false if the spec cannot be parsed.
    bool store_spec(Schema::ChangeKind, std::string const& name, std::string const& spec);
    void erase_spec(Schema::ChangeKind, std::string const& name);

    int64_t m_offset { no_offset };
    std::string m_chain;
    std::map<std::pair<Schema::ChangeKind, std::string>, Resource> m_resources;
    std::unordered_map<std::string, ChangeOutcome> m_outcomes;
    std::deque<std::string> m_outcome_order;

    std::map<std::string, Schema::VersionSpec> m_versions;
    std::map<std::string, Schema::ServiceSpec> m_services;
    std::map<std::string, Schema::RolloutSpec> m_rollouts;
    std::map<std::string, Schema::CustomerSpec> m_customers;
};

/// Validates the name and the spec of a resource as apply() does, so that an operator gets an error before the change is published.
/// @return ImpossibleSettings, or an error of the JSON parser; the detail names the invalid field.
Core::ErrorOr<void> check_spec(Schema::ChangeKind, std::string const& name, std::string const& spec);

/// Returns the name of the resource that describes a version, `MODEL@VERSION`, or one of its adapters, `MODEL@VERSION+ADAPTER`.
std::string version_name(std::string const& model, std::string const& version, std::string const& adapter = {});

/// Returns a SHA-256 digest over the digests of all chunks in their order. It identifies a complete set of weights.
std::string weights_digest(std::vector<Schema::Chunk> const&);

/// Returns the weights that an engine must hold for a rollout: the version's chunks, then those of each adapter.
/// Returns std::nullopt if the version or an adapter that the rollout names does not exist.
std::optional<Schema::VersionSpec> weights_of(ReplayedState const&, Schema::RolloutSpec const&);

}
