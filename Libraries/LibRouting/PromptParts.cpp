// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/PromptParts.h>

#include <LibCore/Hash.h>
#include <algorithm>
#include <string_view>

namespace Routing {

static constexpr std::string_view key_prefix = "part-";
static constexpr size_t max_id_bytes = 32;
static constexpr size_t digest_digits = 48;

/// Whether the id can stand in a key as it is, so that operators recognise the part.
static bool is_plain_id(std::string const& id)
{
    auto const is_plain = [](char byte) { return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z'); };
    return id.size() <= max_id_bytes && std::all_of(id.begin(), id.end(), is_plain);
}

std::string prompt_part_key(std::string const& part_id)
{
    if (is_plain_id(part_id))
        return std::string(key_prefix) + part_id;
    return std::string(key_prefix) + Core::sha256(part_id).substr(0, digest_digits);
}

bool is_prompt_part_key(std::string const& key)
{
    return key.starts_with(key_prefix);
}

}
