// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/RecentPrompts.h>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace Routing {

static constexpr size_t max_recent_prompts = 64;
// One in `longer_fraction` of the recent prompts may be longer than the returned length.
static constexpr size_t longer_fraction = 10;

int64_t RecentPrompts::record(std::string const& route, int64_t prompt_tokens)
{
    auto& recent = m_recent[route];
    recent.push_back(prompt_tokens);
    if (recent.size() > max_recent_prompts)
        recent.pop_front();
    std::vector<int64_t> lengths(recent.begin(), recent.end());
    auto const rank = lengths.end() - 1 - static_cast<std::ptrdiff_t>(lengths.size() / longer_fraction);
    std::nth_element(lengths.begin(), rank, lengths.end());
    return *rank;
}

}
