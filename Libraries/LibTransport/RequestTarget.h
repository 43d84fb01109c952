// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <map>
#include <optional>
#include <string>

namespace Transport {

/// The target of a request, in parts.
struct RequestTarget {
    /// As sent, not decoded.
    std::string path;
    std::map<std::string, std::string> query;

    /// Takes a target in origin or absolute form (RFC 9112, section 3.2); of one that does not parse, path and query are empty.
    static RequestTarget parse(std::string const&);

    std::optional<std::string> query_value(std::string const& key) const;
};

}
