// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstddef>
#include <string>

namespace Routing {

/// How many of a service's backend servers are in which state. Each server is counted once, in the first state that applies.
struct ServerCensus {
    /// By the list or by their own answers.
    size_t leaving { 0 };
    /// Not chosen for a while after failures.
    size_t suspended { 0 };
    /// Engines that execute an order, such as loading a version.
    size_t loading { 0 };
    /// Engines that hold no whole version.
    size_t empty { 0 };
    /// Engines that hold an older version than is required.
    size_t outdated { 0 };
    /// Engines whose agent does not report and that therefore can't be used.
    size_t silent { 0 };
    /// Servers that could serve but have no slot for this entry.
    size_t full { 0 };
    /// Servers that could serve and have a slot for this entry.
    size_t open { 0 };
    /// Reported slowdown factors of the engines that could serve; 0 if there is none.
    double least_pace { 0 };
    double greatest_pace { 0 };

    /// The counts as one log field.
    std::string to_text() const;
};

}
