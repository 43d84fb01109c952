// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/FactReplica.h>
#include <LibCore/Time.h>
#include <map>
#include <string>
#include <vector>

namespace Platform {

/// Where another instance is.
enum class Distance {
    /// In the same region.
    Near,
    /// In another region, or nobody knows where.
    Far,
};

struct Peer {
    std::string identity;
    Distance distance { Distance::Far };
};

/// Decides which other instances are asked for what this one could not read from the platform's log.
///
/// An answer carries the routing configuration, which for a thousand routes is a third of a megabyte. Reads of the log that
/// fail because the link between two regions is full fail for longer where such answers come over the same link. So those
/// near are asked first, and those far where nobody near is likely to know more.
class AskedPeers {
public:
    /// A read of a topic failed once more. @return whom to ask now.
    std::vector<std::string> on_failing(Configuration::FactTopic, std::vector<Peer> const&);
    void on_regained(Configuration::FactTopic topic) { m_failures.erase(topic); }

    /// Whether one that was linked just now is asked.
    bool may_ask_linked(Distance) const;

    /// Whether one that has read further is asked, where this instance has been behind for so long.
    static bool may_ask_ahead(Distance, Core::Duration behind_for);

private:
    bool are_far_asked() const;

    // Failed reads in a row.
    std::map<Configuration::FactTopic, int> m_failures;
    // Whose turn is next.
    size_t m_next_near { 0 };
    size_t m_next_far { 0 };
};

}
