// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/Replica.h>
#include <LibCore/Error.h>
#include <LibSchema/Generated.h>
#include <functional>
#include <string>

namespace Platform {

/// Interface to the platform. HttpPlatform implements it; another protocol needs another implementation.
/// Callbacks run later, from the event loop. The error PlatformUnavailable means that the effect of the call is unknown.
class Platform {
public:
    virtual ~Platform() = default;

    using LogCallback = std::function<void(Core::ErrorOr<Configuration::LogBatch>)>;
    /// Reads records of the log from an offset on, as many as the platform returns in one answer.
    virtual void read_log(int64_t from, LogCallback) = 0;

    using AppendCallback = std::function<void(Core::ErrorOr<int64_t>)>;
    /// Appends a record to the log; the callback gets its offset.
    virtual void append(std::string body, AppendCallback) = 0;

    using ListCallback = std::function<void(Core::ErrorOr<Schema::Members>)>;
    /// Reads the list of instances. `known`: version of the list that is known; the answer has the same version if nothing changed.
    virtual void read_list(int64_t known, ListCallback) = 0;
};

}
