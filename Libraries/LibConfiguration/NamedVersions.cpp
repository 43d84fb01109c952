// SPDX-License-Identifier: BSD-2-Clause
#include <LibConfiguration/NamedVersions.h>

#include <algorithm>

namespace Configuration {

// More versions than can be named before the deadline of one of them.
static constexpr size_t max_versions_kept = 64;

std::optional<Core::Time> later_lower_bound(std::optional<Core::Time> a, std::optional<Core::Time> b)
{
    if (!a || !b)
        return a ? a : b;
    return std::max(*a, *b);
}

bool NamedVersion::counts_as_named_by(Core::Time time) const
{
    bool const is_remembered = !named && remembered && *remembered <= time;
    return known <= time || is_remembered;
}

bool NamedVersion::may_have_been_named_by(Core::Time time) const
{
    auto const date = named ? named : remembered;
    return !date || *date <= time;
}

int64_t NamedVersions::newest_of(Core::Time named_by, Core::Time found_by) const
{
    int64_t newest = 0;
    for (auto const& each : versions) {
        bool const may_be_named = each.may_have_been_named_by(named_by);
        if (each.counts_as_named_by(named_by) || (may_be_named && each.found <= found_by))
            newest = std::max(newest, each.version);
    }
    return newest;
}

bool NamedVersions::has_undated() const
{
    return std::any_of(versions.begin(), versions.end(), [](auto const& each) { return !each.named; });
}

NamedVersion const* NamedVersions::find(int64_t version) const
{
    auto const found = std::find_if(versions.begin(), versions.end(), [&](auto const& each) { return each.version == version; });
    return found == versions.end() ? nullptr : &*found;
}

/// Merges the times of two reports of a version. An estimate of when it was named cannot be later than a time at which any process
/// already knew the version.
static bool merge_times(NamedVersion& known, NamedVersion const& reported)
{
    auto const before = known;
    if (reported.remembered)
        known.remembered = std::min(known.remembered.value_or(*reported.remembered), *reported.remembered);
    known.known = std::min(known.known, reported.known);
    known.named = later_lower_bound(known.named, reported.named);
    if (known.named)
        known.named = std::min(*known.named, known.known);
    return known.named != before.named || known.known != before.known || known.remembered != before.remembered;
}

NamedVersions::MergeResult NamedVersions::merge(NamedVersion const& reported)
{
    auto const position = std::lower_bound(versions.begin(), versions.end(), reported.version, [](auto const& each, int64_t version) { return each.version < version; });
    if (position != versions.end() && position->version == reported.version)
        return merge_times(*position, reported) ? MergeResult::TimesChanged : MergeResult::Unchanged;
    bool const is_newest = position == versions.end();
    auto const inserted = versions.insert(position, reported);
    merge_times(*inserted, reported);
    if (versions.size() > max_versions_kept)
        versions.erase(versions.begin());
    return is_newest ? MergeResult::NewestVersionAdded : MergeResult::EarlierVersionAdded;
}

}
