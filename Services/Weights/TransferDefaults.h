// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibDistribution/Transfer.h>

namespace Weights {

/// Returns the transfer settings that the agents share with the entries that keep copies for them.
Distribution::TransferSettings transfer_defaults();

}
