// SPDX-License-Identifier: BSD-2-Clause
#include "TransferDefaults.h"

namespace Weights {

static constexpr size_t fetches_in_flight = 6;
// A copy is small and its deadline is short, so chunks that no instance holds are soon read from the origin.
static constexpr Core::Duration origin_patience { 400 };
static constexpr Core::Duration longest_fault_wait { 1000 };
static constexpr Core::Duration transfer_stall { 1200 };
// A read takes 200 ms while four seeders read from the origin. A few times as many instances may read after an outage of the origin.
static constexpr Core::Duration origin_stall { 2400 };
static constexpr size_t rarity_sample = 1;

Distribution::TransferSettings transfer_defaults()
{
    Distribution::TransferSettings settings;
    settings.fetches_in_flight = fetches_in_flight;
    settings.origin_patience = origin_patience;
    settings.longest_fault_wait = longest_fault_wait;
    settings.stall = transfer_stall;
    settings.origin_stall = origin_stall;
    settings.rarity_sample = rarity_sample;
    return settings;
}

}
