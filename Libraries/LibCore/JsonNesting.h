// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstddef>
#include <string_view>

namespace Core {

/// Arrays and objects that may be nested in a value that was not written here.
inline constexpr size_t max_nesting_depth = 64;

/// Whether JSON text nests arrays and objects deeper than anything that the project's programs read. Such text is not parsed: reading it takes
/// seconds, and what is recursive over the value would overflow the stack. The answer means nothing for text that is not JSON.
bool is_nested_too_deeply(std::string_view text);

}
