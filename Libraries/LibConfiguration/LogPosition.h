// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstdint>

namespace Configuration {

// The platform's log may come back from an older copy of itself. It then gives out the offsets that it has lost once more, and states a
// higher era. A position is an offset together with the era in which it was given out, so that positions are ordered as the records were
// written. In era 0, which is that of a log that states none, a position equals its offset.

inline constexpr int offset_bits = 40;
inline constexpr int64_t max_log_offset = (int64_t { 1 } << offset_bits) - 1;
inline constexpr int64_t max_log_era = (int64_t { 1 } << (62 - offset_bits)) - 1;

constexpr int64_t log_position(int64_t era, int64_t offset) { return (era << offset_bits) | offset; }
constexpr int64_t era_of(int64_t position) { return position >> offset_bits; }
constexpr int64_t offset_of(int64_t position) { return position & max_log_offset; }

}
