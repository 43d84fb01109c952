// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibDistribution/Transfer.h>

namespace Weights {

/// How engines' copies are transferred, as far as agents and the entries that keep copies for them do it alike.
Distribution::TransferSettings transfer_defaults();

}
