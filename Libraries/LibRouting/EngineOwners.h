// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Routing {

/// An entry that shares the engines of a service, and what callers ask of it.
struct SharingEntry {
    std::string identity;
    std::string failure_domain;
    /// Requests a second.
    double demand { 0 };
};

struct SharedEngine {
    std::string id;
    std::string failure_domain;
};

/// What an entry is to an engine.
enum class EngineRole {
    /// Fills it.
    Owner,
    /// Turns to it first when its own engines are loaded.
    Helper,
    /// Turns to it last.
    Other,
};

/// Entries that turn to an engine first when their own are loaded, beside its owner.
inline constexpr size_t helpers_per_engine = 2;

/// Deals the engines of a service among the entries: each engine has one owner, each entry about as many as its part
/// of the demand, and near ones first. All who hold the same facts come to the same result, so nobody has to agree.
///
/// An owner fills its engine; the others use it only while its agent reports room to spare. Without owners each entry
/// would take the same free place, and the engine would hold a queue that no entry sees in time.
std::map<std::string, std::string> engine_owners(std::vector<SharingEntry> entries, std::vector<SharedEngine> engines);

/// What an entry is to each engine: the owner, one of a few helpers, or neither.
///
/// All entries that are loaded see the same engine idle before any of them hears what the others sent there. With few
/// helpers for each engine, the same for all who hold the same facts, only those meet; near ones go first.
std::map<std::string, EngineRole> engine_roles(std::string const& entry, std::vector<SharingEntry> const& entries, std::vector<SharedEngine> const& engines);

}
