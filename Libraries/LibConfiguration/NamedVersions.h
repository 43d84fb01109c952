// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <optional>
#include <vector>

namespace Configuration {

/// A version that the operator named in a record of the platform's log, and what is known of when that happened.
///
/// All times are monotonic times of this process, also where they were derived from a peer's message or a wall clock.
struct NamedVersion {
    int64_t version { 0 };
    /// When this process found the version, or the earliest time at which a peer can have sent it.
    Core::Time found { 0 };
    /// The earliest time at which the version can have been named; std::nullopt if unknown. The deadline for loading the version is
    /// counted from here, so a version that arrives late, because a read hung or a peer passed it on, has less time left.
    std::optional<Core::Time> named;
    /// The earliest time at which any process is known to have had the version, so it was certainly named by then. This can be before
    /// the start of this process if a peer reports it.
    Core::Time known { 0 };
    /// A time at which the version was known according to the stored record of a terminated process. It is derived from a wall clock,
    /// which may be wrong, so it is not sent to other processes, and a naming time reported by a running process takes precedence.
    std::optional<Core::Time> remembered {};

    /// The best estimate of when the version was named.
    Core::Time presumed_named_at() const { return named.value_or(remembered.value_or(known)); }
    /// Returns true if, for all that is known, the version was named by the given time: some process knew it by then, or `named` is
    /// unknown and `remembered` is not later.
    bool counts_as_named_by(Core::Time) const;
    /// Returns true if the version can have been named by the given time. Always true if neither `named` nor `remembered` is known.
    bool may_have_been_named_by(Core::Time) const;
};

/// The named versions of one model, in ascending order. Each version has its own deadline, so naming a newer version does not
/// postpone the deadline of an older one. Only the highest 64 versions are kept.
struct NamedVersions {
    std::vector<NamedVersion> versions;

    /// Returns the highest version, or 0 if there is none.
    int64_t newest() const { return versions.empty() ? 0 : versions.back().version; }

    /// Returns the newest version that was named at or before `named_by`, or 0 if there is none. A version that was known by then
    /// certainly counts. A version that can have been named by then counts if it was found at or before `found_by`; a version
    /// whose naming time is unknown can have been named at any time.
    int64_t newest_of(Core::Time named_by, Core::Time found_by) const;

    /// Returns true if the naming time of any version is unknown.
    bool has_undated() const;

    /// Returns the version, or null if it is not known.
    NamedVersion const* find(int64_t version) const;

    /// What a call of merge() changed.
    enum class MergeResult {
        Unchanged,
        /// The version was known, and one of its times changed.
        TimesChanged,
        /// The version was not known, but a newer one was.
        EarlierVersionAdded,
        NewestVersionAdded,
    };
    /// Adds a version, or improves the times of a known one.
    MergeResult merge(NamedVersion const&);
};

/// Returns the later of two lower bounds of a time; std::nullopt means that a bound is unknown, and the other one is returned.
std::optional<Core::Time> later_lower_bound(std::optional<Core::Time>, std::optional<Core::Time>);

}
