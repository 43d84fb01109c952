// SPDX-License-Identifier: BSD-2-Clause
#include <LibCore/JsonNesting.h>

namespace Core {

bool is_nested_too_deeply(std::string_view text)
{
    size_t depth = 0;
    bool is_in_string = false;
    for (size_t i = 0; i < text.size(); ++i) {
        auto const byte = text[i];
        if (is_in_string && byte == '\\') {
            ++i;
            continue;
        }
        if (byte == '"')
            is_in_string = !is_in_string;
        if (is_in_string)
            continue;
        if ((byte == '[' || byte == '{') && ++depth > max_nesting_depth)
            return true;
        if ((byte == ']' || byte == '}') && depth > 0)
            --depth;
    }
    return false;
}

}
