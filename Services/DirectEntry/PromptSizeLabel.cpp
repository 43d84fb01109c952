// SPDX-License-Identifier: BSD-2-Clause
#include "PromptSizeLabel.h"

namespace DirectEntry {

static constexpr int64_t smallest_limit = 128;
static constexpr int64_t largest_limit = 65536;

std::string prompt_size_label(int64_t prompt_tokens)
{
    for (auto limit = smallest_limit; limit <= largest_limit; limit *= 2) {
        if (prompt_tokens <= limit)
            return "prompt_tokens_le=\"" + std::to_string(limit) + "\"";
    }
    return "prompt_tokens_le=\"+Inf\"";
}

}
