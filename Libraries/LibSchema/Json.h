// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Error.h>
#include <LibCore/JsonNesting.h>
#include <LibSchema/Generated.h>
#include <fstream>
#include <sstream>

namespace Schema {

/// Removes members that are null, which is how generated code writes an absent one.
inline nlohmann::json without_nulls(nlohmann::json value)
{
    if (value.is_object()) {
        for (auto member = value.begin(); member != value.end();) {
            if (member->is_null()) {
                member = value.erase(member);
                continue;
            }
            *member = without_nulls(std::move(*member));
            ++member;
        }
    } else if (value.is_array()) {
        for (auto& element : value)
            element = without_nulls(std::move(element));
    }
    return value;
}

/// The first member of `given` that `known` lacks, as a path; empty if there is none.
inline std::string unknown_member(nlohmann::json const& given, nlohmann::json const& known)
{
    if (given.is_array() && known.is_array()) {
        for (size_t i = 0; i < given.size() && i < known.size(); ++i) {
            auto inner = unknown_member(given[i], known[i]);
            if (!inner.empty())
                return "[" + std::to_string(i) + "]." + inner;
        }
        return {};
    }
    if (!given.is_object() || !known.is_object())
        return {};
    for (auto const& [key, value] : given.items()) {
        if (!known.contains(key))
            return key;
        auto inner = unknown_member(value, known.at(key));
        if (!inner.empty())
            return key + "." + inner;
    }
    return {};
}

template<typename T>
nlohmann::json to_value(T const& object)
{
    nlohmann::json value = object;
    return without_nulls(std::move(value));
}

template<typename T>
std::string to_text(T const& object)
{
    return to_value(object).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Reads what another build of the product may have written: a wrong type or an unknown enumerator is an error; members that this build
/// does not know are passed over, and `unknown` names the first of them.
/// This is the one place where what the generated code throws becomes a typed error.
template<typename T>
Core::ErrorOr<T> from_value_of_any_build(nlohmann::json const& value, std::string& unknown)
{
    try {
        T object = value.get<T>();
        nlohmann::json known = object;
        unknown = unknown_member(without_nulls(value), known);
        return object;
    } catch (std::exception const& exception) {
        return Core::failure(Core::ErrorCode::WrongType, exception.what());
    }
}

/// Reads a schema type strictly: as above, but an unknown member is an error too.
template<typename T>
Core::ErrorOr<T> from_value(nlohmann::json const& value)
{
    std::string unknown;
    auto object = from_value_of_any_build<T>(value, unknown);
    if (object.has_value() && !unknown.empty())
        return Core::failure(Core::ErrorCode::UnknownKey, unknown);
    return object;
}

enum class JsonComments {
    Malformed,
    Ignored,
};

/// Parses JSON text. Returns a discarded value for text that is not JSON or that is nested too deeply, see Core::is_nested_too_deeply().
inline nlohmann::json parse(std::string_view text, JsonComments comments = JsonComments::Malformed)
{
    if (Core::is_nested_too_deeply(text))
        return nlohmann::json::value_t::discarded;
    return nlohmann::json::parse(text, nullptr, false, comments == JsonComments::Ignored);
}

/// Reads a record that another build of the product may have written.
template<typename T>
Core::ErrorOr<T> from_text_of_any_build(std::string_view text)
{
    auto value = parse(text);
    if (value.is_discarded())
        return Core::failure(Core::ErrorCode::MalformedJson, "not JSON");
    std::string unknown;
    return from_value_of_any_build<T>(value, unknown);
}

template<typename T>
Core::ErrorOr<T> from_text(std::string_view text)
{
    auto value = parse(text, JsonComments::Ignored);
    if (value.is_discarded())
        return Core::failure(Core::ErrorCode::MalformedJson, "not JSON");
    return from_value<T>(value);
}

/// Reads a settings file: JSON with comments.
template<typename T>
Core::ErrorOr<T> from_file(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
        return Core::failure(Core::ErrorCode::FileUnreadable, path);
    std::stringstream text;
    text << file.rdbuf();
    auto result = from_text<T>(text.str());
    if (!result.has_value())
        return Core::failure(result.error().code, path + ": " + result.error().detail);
    return result;
}

/// The wire name of an enumerator.
template<typename T>
std::string enumerator_name(T value)
{
    return nlohmann::json(value).template get<std::string>();
}

}
