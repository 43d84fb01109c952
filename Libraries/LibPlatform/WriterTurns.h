// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <string>
#include <vector>

namespace Platform {

/// Whether it falls to an entry to write a record that several know: two of those that are linked do at once, as one may end
/// before its write is taken, and each write is paid for. Three more stand in for them one after another, as the store may turn both
/// away, and who else is served cannot be told.
///
/// `others`: the other entries that are linked. `known_for`: time since this entry knows what is to be written.
bool is_turn_to_write(std::string const& key, std::string const& identity, std::vector<std::string> others, Core::Duration known_for);

}
