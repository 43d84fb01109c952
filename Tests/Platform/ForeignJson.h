// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <string>
#include <vector>

// Generators for property tests: records as another writer may have damaged them.

inline rc::Gen<std::string> odd_word()
{
    return rc::gen::element<std::string>("", " ", "ready ", "READY", "draining", "gone", "\xff\xfe", "a\r\nX-Other: 1", std::string("a\0b", 3), "engines", "plain", "nobody",
        "10.0.0.9", "10.0.0.9:", "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:80x", "10.0.0.9: 80", "10.0.0.9:+80", "10.0.0.9:-1", "10.0.0:80", "10.0.0.999:80", ":80", "host:80", "[::1]:80", "10.0.0.9:80:80", "m", "other");
}

inline nlohmann::json odd_value()
{
    using Json = nlohmann::json;
    auto const kind = *rc::gen::inRange(0, 3);
    if (kind == 0)
        return *odd_word();
    if (kind == 1)
        return *rc::gen::element<Json>(nullptr, true, -5, 0, 0.5, 1e300, 9007199254740993LL, Json::array(), Json::array({ 1 }), Json::object(), Json { { "Name", 7 } });
    return *rc::gen::arbitrary<std::string>();
}

/// Returns the paths of all fields of a record, nested ones included.
inline std::vector<std::string> paths_of(nlohmann::json const& record)
{
    std::vector<std::string> paths;
    if (record.is_object()) {
        auto const flat = record.flatten();
        for (auto const& [path, value] : flat.items())
            paths.push_back(path);
        for (auto const& [name, value] : record.items())
            paths.push_back("/" + name);
    }
    return paths;
}

inline std::string as_bytes(nlohmann::json const& record)
{
    // Bytes that are not UTF-8 are added by foreign(), which changes the bytes.
    return record.dump(-1, ' ', false, nlohmann::json::error_handler_t::ignore);
}

/// Generates a record as another writer may have damaged it: fields removed or replaced, bytes cut off or changed.
inline std::string foreign(nlohmann::json record)
{
    auto const changes = *rc::gen::inRange(0, 3);
    for (int i = 0; i < changes; ++i) {
        auto const paths = paths_of(record);
        if (paths.empty())
            break;
        nlohmann::json::json_pointer const at(*rc::gen::elementOf(paths));
        if (*rc::gen::inRange(0, 4) == 0 && record[at.parent_pointer()].is_object())
            record[at.parent_pointer()].erase(at.back());
        else
            record[at] = odd_value();
    }
    auto bytes = as_bytes(record);
    auto const damage_kind = *rc::gen::inRange(0, 6);
    if (damage_kind == 0)
        bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size()));
    else if (damage_kind == 1)
        bytes[*rc::gen::inRange<size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    else if (damage_kind == 2)
        bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    return bytes;
}
