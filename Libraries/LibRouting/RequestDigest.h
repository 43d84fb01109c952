// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <string>
#include <string_view>

namespace Routing {

/// The content by which a caller's retry is recognised as the same request; request ids and connections differ between them.
struct RequestContent {
    std::string_view method;
    std::string_view host;
    /// Path and query.
    std::string_view target;
    /// The customer's name; if no customers are configured, the key that the caller sent, or empty.
    std::string_view caller;
    std::string_view body;
};

/// The first 128 bits of the content's SHA-256, as 32 lower-case hexadecimal digits. A body of 100 kB takes 0.1 ms.
std::string request_digest(RequestContent const&);

}
