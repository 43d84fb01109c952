// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Metrics.h>
#include <LibPlatform/RequestHeads.h>
#include <LibRouting/ServerTable.h>
#include <string>

namespace DirectEntry {

/// Returns what a backend server states about itself in the head of an answer to the request, and counts and logs it. A statement that could
/// not be read is logged and left out.
Routing::ServerStatements record_statements(Core::Metrics&, std::string const& request_id, std::string const& server, Platform::BackendHead const&);

}
