// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace Routing {

/// The bound on sends beyond the first of each request, for all entries together.
struct RetryBound {
    /// Share of a service's requests.
    double ratio { 0.1 };
    Core::Duration window { 10000 };
    /// Sends allowed beyond the ratio in a window.
    double slack { 0 };
};

/// One entry's part of the bound on retries, by service, without a coordinator: the ratio of its own requests, and
/// an equal part of the slack. A window counts whole seconds, so that it never looks shorter than it is.
class RetryShare {
public:
    RetryShare(RetryBound, Core::Time now);

    /// How many entries share the slack. The highest number seen counts: one that is out of sight still spends.
    void set_entries(size_t count);

    void on_request(std::string const& service, Core::Time now);

    /// Takes one retry out of the share; false if nothing is left.
    bool try_spend(std::string const& service, Core::Time now);

    bool has_left(std::string const& service, Core::Time now);

private:
    struct Slot {
        Core::Time second { 0 };
        double requests { 0 };
        double retries { 0 };
    };

    Slot& slot(std::string const& service, Core::Time now);
    double left(std::string const& service, Core::Time now);

    RetryBound m_bound;
    Core::Time m_started;
    size_t m_entries { 1 };
    std::map<std::string, std::deque<Slot>> m_services;
};

}
