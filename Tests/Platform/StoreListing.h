// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include "ForeignJson.h"
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <string>
#include <vector>

/// Builds answers of the store that list the newest record of each key.

inline std::string to_base64(std::string const& bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    auto const size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<unsigned char const*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<size_t>(size));
    return text;
}

inline nlohmann::json item(std::string const& key, std::string const& value, int64_t offset)
{
    return { { "Key", key }, { "Value", to_base64(value) }, { "offset", offset } };
}

inline nlohmann::json listing(std::vector<nlohmann::json> const& items)
{
    return { { "Items", items }, { "more", false }, { "end", 9 } };
}
