// SPDX-License-Identifier: BSD-2-Clause
#include <LibCore/HttpText.h>

#include <algorithm>

namespace Core {

static constexpr int64_t first_final_status = 200;
static constexpr int64_t last_status = 599;
static constexpr char delete_byte = 0x7f;

static bool is_token_byte(char c)
{
    static constexpr std::string_view delimiters = "\"(),/:;<=>?@[\\]{}";
    bool const is_visible = c > ' ' && c < delete_byte;
    return is_visible && delimiters.find(c) == std::string_view::npos;
}

static bool is_value_byte(char c)
{
    bool const is_control = (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == delete_byte;
    return !is_control;
}

bool is_token(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), is_token_byte);
}

bool is_field_value(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), is_value_byte);
}

bool is_final_status(int64_t status)
{
    return status >= first_final_status && status <= last_status;
}

}
