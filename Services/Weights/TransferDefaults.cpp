// SPDX-License-Identifier: BSD-2-Clause
#include "TransferDefaults.h"

namespace Weights {

static constexpr size_t fetches_in_flight = 6;
// The copy is small and the bound on it short, so what nobody holds is asked of the origin soon.
static constexpr Core::Duration origin_patience { 400 };
static constexpr Core::Duration longest_fault_wait { 1000 };
static constexpr Core::Duration transfer_stall { 1200 };
// A seeder's read takes a fifth of a second while four read; a few times as many may read after the origin was away.
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
