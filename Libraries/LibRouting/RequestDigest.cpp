// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/RequestDigest.h>

#include <LibCore/Hash.h>

namespace Routing {

static constexpr size_t digest_digits = 32;

std::string request_digest(RequestContent const& content)
{
    Core::Sha256 hash;
    for (auto const part : { content.method, content.host, content.target, content.caller, content.body }) {
        // With its length before it, no part can be taken for a piece of the next.
        hash.update(std::to_string(part.size()) + ":");
        hash.update(part);
    }
    return hash.finish().substr(0, digest_digits);
}

}
