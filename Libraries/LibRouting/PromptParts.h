// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <string>

namespace Routing {

/// The key under which a part of prompts is suspected of crashing backend servers. It is equal to no request_digest(), and has at most
/// 64 bytes whatever the length of the part's id.
std::string prompt_part_key(std::string const& part_id);

/// Whether a key of a suspect is that of a part of prompts; otherwise it is the digest of a whole request.
bool is_prompt_part_key(std::string const& key);

}
