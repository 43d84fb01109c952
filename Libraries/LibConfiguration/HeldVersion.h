// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibSchema/Generated.h>
#include <cstdint>
#include <vector>

namespace Configuration {

/// The highest version of which an engine holds every layer; 0 if there is none.
int64_t whole_version(std::vector<Schema::HeldLayers> held, int64_t layers);

}
