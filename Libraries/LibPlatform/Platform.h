// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/Replica.h>
#include <LibCore/Error.h>
#include <LibSchema/Generated.h>
#include <functional>
#include <string>

namespace Platform {

/// What the system needs of the platform. Another protocol for it is one more class beside HttpPlatform.
/// Every answer comes later, on the loop; PlatformUnavailable says that nothing is known of the call's effect.
class Platform {
public:
    virtual ~Platform() = default;

    using LogCallback = std::function<void(Core::ErrorOr<Configuration::LogBatch>)>;
    /// Reads records from an offset on, as many as the platform gives at once.
    virtual void read_log(int64_t from, LogCallback) = 0;

    using AppendCallback = std::function<void(Core::ErrorOr<int64_t>)>;
    virtual void append(std::string body, AppendCallback) = 0;

    using ListCallback = std::function<void(Core::ErrorOr<Schema::Members>)>;
    /// The list of instances; its version is that of `known` if nothing changed.
    virtual void read_list(int64_t known, ListCallback) = 0;
};

}
