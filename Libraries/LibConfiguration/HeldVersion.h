// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibSchema/Generated.h>
#include <cstdint>
#include <vector>

namespace Configuration {

/// Returns the highest version of which an engine holds every layer, or 0 if there is none.
///
/// `held` is the list of ranges of layers that the engine reports, with the version of each; `layers` is the number of layers of the model.
int64_t highest_complete_version(std::vector<Schema::HeldLayers> held, int64_t layers);

}
