// SPDX-License-Identifier: BSD-2-Clause
#include "TransferDefaults.h"

namespace Weights {

static constexpr size_t fetches_in_flight = 6;
// A copy is small and its deadline is short, so chunks that no instance holds are soon read from the origin.
static constexpr Core::Duration origin_wait { 400 };
static constexpr Core::Duration max_peer_backoff { 1000 };
static constexpr Core::Duration transfer_stall_timeout { 1200 };
// A read takes 200 ms while four seeders read from the origin. A few times as many instances may read after an outage of the origin.
static constexpr Core::Duration origin_stall_timeout { 2400 };
static constexpr size_t rarity_sample = 1;

Distribution::TransferSettings transfer_defaults()
{
    Distribution::TransferSettings settings;
    settings.fetches_in_flight = fetches_in_flight;
    settings.origin_wait = origin_wait;
    settings.max_peer_backoff = max_peer_backoff;
    settings.stall_timeout = transfer_stall_timeout;
    settings.origin_stall_timeout = origin_stall_timeout;
    settings.rarity_sample = rarity_sample;
    return settings;
}

}
