// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace Routing {

/// The limit on retries (attempts after the first one of a request) per service, for all entries together.
struct RetryLimit {
    /// Retries allowed per request to the service within the window.
    double ratio { 0.1 };
    Core::Duration window { 10000 };
    /// Retries allowed within the window in addition to the ratio.
    double slack { 0 };
};

/// One entry's share of the limit on retries, per service, without a coordinator: the ratio applied to the requests of this entry, and
/// an equal part of the slack. The window is counted in whole seconds and rounded up, so that no retry leaves it too early. An entry
/// spends less than its share, and far less in its first window after a start, so that all entries together stay within the limit.
class SharedRetryBudget {
public:
    SharedRetryBudget(RetryLimit, Core::Time now);

    /// Sets how many entries share the slack. The highest number ever set is used, because an entry that is unreachable from here
    /// still spends its part.
    void set_entries(size_t count);

    /// Counts a request, which adds to the share.
    void on_request(std::string const& service, Core::Time now);

    /// Deducts one retry from the share. @return false if the share is used up; nothing is deducted then.
    bool try_spend(std::string const& service, Core::Time now);

    /// Whether try_spend() would succeed.
    bool has_remaining(std::string const& service, Core::Time now);

private:
    struct SecondCounts {
        Core::Time second { 0 };
        double requests { 0 };
        double retries { 0 };
    };

    SecondCounts& current_counts(std::string const& service, Core::Time now);
    double remaining_retries(std::string const& service, Core::Time now);

    RetryLimit m_limit;
    Core::Time m_started;
    size_t m_entries { 1 };
    std::map<std::string, std::deque<SecondCounts>> m_services;
};

}
