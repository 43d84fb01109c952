// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/FactReplica.h>
#include <LibCore/Time.h>
#include <map>
#include <string>
#include <vector>

namespace Platform {

/// Where another instance is, relative to this one.
enum class Distance {
    /// In the same region.
    SameRegion,
    /// In another region, or in an unknown one.
    OtherRegion,
};

/// Another instance that this one has a link to.
struct Peer {
    std::string identity;
    Distance distance { Distance::OtherRegion };
};

/// Selects the other instances from which this one requests the facts that it could not read from the platform's log.
///
/// An answer carries the routing configuration, which for a thousand routes is a third of a megabyte. When reads of the log fail because
/// the connection between two regions is saturated, such answers over the same connection prolong the failure. So instances of the same
/// region are asked first, and those of other regions when no instance of this region is likely to have newer facts.
class FactPeerSelector {
public:
    /// Records one more failed read of a topic. Returns the identities of the peers to request the facts from now: at most three, taken
    /// from the given ones in turn.
    std::vector<std::string> on_read_failed(Configuration::FactTopic, std::vector<Peer> const&);
    /// Records that the log answered a read of the topic.
    void on_read_recovered(Configuration::FactTopic topic) { m_failures.erase(topic); }

    /// Whether to request facts from an instance to which a link was just set up.
    bool should_request_from_linked(Distance) const;

    /// Whether to request facts from an instance that has read further in the log, when this instance has been behind it for `behind_for`.
    static bool should_request_from_newer(Distance, Core::Duration behind_for);

private:
    bool should_request_from_other_regions() const;

    // Failed reads in a row.
    std::map<Configuration::FactTopic, int> m_failures;
    // Index of the next peer to ask, counted without wrapping.
    size_t m_next_same_region { 0 };
    size_t m_next_other_region { 0 };
};

}
