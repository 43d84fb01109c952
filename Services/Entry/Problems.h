// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <LibTransport/IngressServer.h>
#include <string>

namespace Entry {

/// When callers should try again at another entry if this one stops.
inline constexpr Core::Duration stopping_retry_after { 100 };

/// The headers of an answer whose body is the problem.
Transport::HttpHeaders problem_headers(Schema::Problem const&);

/// Answers with problem details (RFC 9457) that always say what is known of the request.
void reply_problem(Transport::IngressRequest&, Schema::Problem const&);

/// The problem that tells a caller why its request got no answer.
Schema::Problem problem_for(Schema::Outcome, Schema::Reason, Core::Duration retry_after);

/// A problem of the operators' API.
Schema::Problem rejection(int status, std::string const& type, std::string const& title, std::string const& detail = {});

}
