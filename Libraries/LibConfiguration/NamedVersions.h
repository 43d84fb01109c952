// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <optional>
#include <vector>

namespace Configuration {

/// A version that the operator named, and when.
struct NamedVersion {
    int64_t version { 0 };
    /// When this process came to know of it.
    Core::Time found { 0 };
    /// The earliest time at which it can have been named; nothing where that cannot be told. A bound on the version runs
    /// from here: what came late, because a read hung or a peer passed it on, has used up a part of it.
    std::optional<Core::Time> named;
    /// The earliest time at which some process is known to have known of it: by then it was named for certain. Before the
    /// start of this process where another one says so.
    Core::Time known { 0 };
    /// A time at which it was known by the record of a process that is gone. Times of day tell that, and they may be wrong: it
    /// is told to no other process, and yields to what one that lives tells of when it was named.
    std::optional<Core::Time> remembered {};

    /// The best guess of when it was named.
    Core::Time presumed() const { return named.value_or(remembered.value_or(known)); }
    /// Whether it was named by a time, for all that is known.
    bool is_named_by(Core::Time) const;
    /// Whether it can have been named by a time; one that nobody dates may have been at any time.
    bool may_be_named_by(Core::Time) const;
};

/// The versions that were named of one model, oldest first. Each has a bound of its own, so a newer one does not
/// put off an older one.
struct NamedVersions {
    std::vector<NamedVersion> versions;

    int64_t newest() const { return versions.empty() ? 0 : versions.back().version; }

    /// The newest version that was named at or before `named_by`, for all that is known. That is certain of one that was known
    /// by then. Else it is presumed of one that can have been named by then and was found at or before `found_by`; one that
    /// cannot be dated may have been named at any time. 0 if there is none.
    int64_t newest_of(Core::Time named_by, Core::Time found_by) const;

    bool has_undated() const;

    /// The version, or null if it is not known.
    NamedVersion const* find(int64_t version) const;

    /// What a version that was taken has changed.
    enum class Taken {
        Nothing,
        /// It was known, and has another date now.
        Date,
        /// It was not known, and a newer one was.
        EarlierVersion,
        NewestVersion,
    };
    /// Takes a version, or better dates of one that is known.
    Taken take(NamedVersion const&);
};

/// The later of two times before which something cannot have happened.
std::optional<Core::Time> later_of(std::optional<Core::Time>, std::optional<Core::Time>);

}
