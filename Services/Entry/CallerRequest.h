// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibRouting/InstanceTable.h>
#include <LibSchema/Generated.h>
#include <LibTransport/IngressServer.h>
#include <tl/expected.hpp>

namespace Entry {

struct CallerLimits {
    size_t max_body_bytes { 0 };
    Core::Duration default_deadline { 0 };
};

/// A caller's request, read and checked.
struct CallerRequest {
    Schema::Dispatch dispatch;
    Routing::InstanceRequirements needs;
    Core::Duration deadline { 0 };
};

/// The first segment of a path; empty if there is none.
std::string service_of(std::string const& path);

/// Reads a request to a service: `X-Customer`, `X-Deadline-Ms`, `X-Priority`, `X-Repeatable`, `Idempotency-Key`,
/// and for an engine the model that the body names, with or without `@VERSION`.
/// @return Malformed, TooLarge or KeyMalformed.
tl::expected<CallerRequest, Schema::Reason> read_request(Transport::IngressRequest const&, std::string const& service, Schema::ServiceSpec const&, CallerLimits const&);

}
