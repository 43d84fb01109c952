// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Routing {

/// One of the entries that share the engines of a service.
struct SharingEntry {
    std::string identity;
    std::string failure_domain;
    /// Requests per second that callers send to this entry.
    double demand { 0 };
};

/// An engine that several entries send requests to.
struct SharedEngine {
    std::string id;
    std::string failure_domain;
};

/// Role of an entry with regard to one engine: how readily the entry sends requests to it.
enum class EngineRole {
    /// Uses the engine at no penalty and fills all of its slots.
    Owner,
    /// Uses only the slots beside the owner's reserve, and prefers them to those of engines for which its role is Other.
    Helper,
    /// Uses only the slots beside the owner's reserve, and only if owned and helped engines are much slower.
    Other,
};

/// Number of entries that have the role EngineRole::Helper for an engine.
inline constexpr size_t helpers_per_engine = 2;

/// Assigns each engine of a service to one owner among the entries, and returns the owner's identity by engine id. The map is empty
/// if there are no entries. Each entry owns a share of the engines about proportional to its demand, preferably in its own failure
/// domain. The result depends on the arguments only, not on their order, so entries with the same input agree without coordination.
///
/// The owner fills its engine; the other entries use it only while its agent reports free slots beside the owner's reserve, or for one
/// request each while the agent's reports are missing. Without owners, several entries would take the same free slot at once, and the
/// engine would build up a queue that no entry sees in time.
std::map<std::string, std::string> engine_owners(std::vector<SharingEntry> entries, std::vector<SharedEngine> engines);

/// Returns the role of `entry`, given by its identity, for each engine by engine id. An engine for which it is neither owner nor
/// helper is missing from the map: the role is EngineRole::Other.
///
/// All loaded entries see the same engine idle before any of them learns what the others have just sent to it. Each engine therefore
/// has only helpers_per_engine helpers, so that only those can collide there. Entries with the same input agree on the helpers.
/// Entries in the engine's failure domain are preferred.
std::map<std::string, EngineRole> engine_roles(std::string const& entry, std::vector<SharingEntry> const& entries, std::vector<SharedEngine> const& engines);

}
