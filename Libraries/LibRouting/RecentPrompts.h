// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace Routing {

/// The lengths of the prompts that recently arrived here, by route.
class RecentPrompts {
public:
    /// Records the prompt of a request that arrived.
    /// @return the length, in tokens, that nine in ten of the route's recent prompts do not exceed.
    int64_t record(std::string const& route, int64_t prompt_tokens);

private:
    // The latest 64 lengths.
    std::map<std::string, std::deque<int64_t>> m_recent;
};

}
