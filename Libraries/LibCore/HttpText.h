// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstdint>
#include <string_view>

namespace Core {

/// Whether a text is a token (RFC 9110, section 5.6.2), as the name of a field has to be.
bool is_token(std::string_view);

/// Whether a text may be the value of a field (RFC 9110, section 5.5).
bool is_field_value(std::string_view);

/// Whether a number may be the status of an answer that no other one follows (RFC 9110, section 15).
bool is_final_status(int64_t);

}
