// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstdint>

namespace Routing {

/// Time set aside for the prefill of a prompt when a request is judged against the objectives of its route. It is that of a long prompt
/// for all requests of a route: judged by their own prompts, long requests would be put behind short ones as long as engines are full.
struct PrefillAllowance {
    /// Length of the prompt.
    int64_t prompt_tokens { 0 };
    /// Upper limit of the time: an engine on which even this takes longer is not ruled out.
    Core::Duration at_most { 0 };
};

}
