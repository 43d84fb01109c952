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
/// The offset of a fold that has read nothing.
inline constexpr int64_t no_offset = -1;

/// A resource as the log has it: kind, name, revision (the offset that last changed it) and serialised spec.
using Resource = Schema::StoredResource;

/// What became of one change.
using ChangeOutcome = Schema::StoredOutcome;

/// The state that the log's records add up to, the same in every reader.
///
/// The first record that meets its expected revision wins; a later one is rejected everywhere alike.
/// A second record with a change id already seen folds to nothing.
class Fold {
public:
    /// Last offset folded, or `no_offset`.
    int64_t offset() const { return m_offset; }

    /// Digest over all records folded; equal in two readers that folded the same records.
    std::string const& chain() const { return m_chain; }

    /// Folds the record at offset() + 1. A record that cannot be read folds to nothing.
    void apply(std::string_view body);

    Schema::FoldState state() const;

    /// Takes over a state, unless it is older than this fold.
    /// @return true if it was taken.
    bool advance_to(Schema::FoldState const&);

    Resource const* find(Schema::ChangeKind, std::string const& name) const;
    std::map<std::pair<Schema::ChangeKind, std::string>, Resource> const& resources() const { return m_resources; }

    /// The outcome of a change, if its record was among the latest `remembered_outcomes` changes.
    std::optional<ChangeOutcome> outcome(std::string const& change_id) const;

    std::map<std::string, Schema::VersionSpec> const& versions() const { return m_versions; }
    std::map<std::string, Schema::ServiceSpec> const& services() const { return m_services; }
    std::map<std::string, Schema::RolloutSpec> const& rollouts() const { return m_rollouts; }
    std::map<std::string, Schema::CustomerSpec> const& customers() const { return m_customers; }

    /// The revision of a rollout, or `no_revision`.
    int64_t rollout_revision(std::string const& name) const;

    /// About a day of changes at the size the design is for.
    static constexpr size_t remembered_outcomes = 8192;

private:
    void apply_change(Schema::Change const&);
    void remember(ChangeOutcome);
    bool store_typed(Schema::ChangeKind, std::string const& name, std::string const& spec);
    void erase_typed(Schema::ChangeKind, std::string const& name);

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

/// Checks a spec as the fold will, so that an operator learns of a bad one before it is published.
/// @return the member at fault as detail.
Core::ErrorOr<void> check_spec(Schema::ChangeKind, std::string const& name, std::string const& spec);

/// The name of the resource that describes a version, or one of its adapters.
std::string version_name(std::string const& model, std::string const& version, std::string const& adapter = {});

/// A digest over chunk digests in their order: the identity of a whole set of weights.
std::string weights_digest(std::vector<Schema::Chunk> const&);

/// All that an engine must hold for a rollout: the version's chunks, then those of each adapter.
/// Nothing if a version or an adapter that it names does not exist.
std::optional<Schema::VersionSpec> weights_of(Fold const&, Schema::RolloutSpec const&);

}
