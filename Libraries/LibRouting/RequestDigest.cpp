// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/RequestDigest.h>

#include <LibCore/Hash.h>

namespace Routing {

static constexpr size_t digest_digits = 32;

std::string request_digest(RequestContent const& content)
{
    Core::Sha256 hash;
    for (auto const part : { content.method, content.host, content.target, content.caller, content.body }) {
        // Each part is preceded by its length, so that bytes moved from one part to the next change the digest.
        hash.update(std::to_string(part.size()) + ":");
        hash.update(part);
    }
    return hash.finish().substr(0, digest_digits);
}

}
