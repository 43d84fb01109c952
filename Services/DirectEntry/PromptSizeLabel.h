// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstdint>
#include <string>

namespace DirectEntry {

/// Label of the counters that distinguish requests by size: the least power of two, from 128 to 65536 tokens, that the length of the
/// prompt does not exceed; "+Inf" for longer prompts.
std::string prompt_size_label(int64_t prompt_tokens);

}
