// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibPlatform/FactLog.h>
#include <LibSchema/Generated.h>
#include <functional>
#include <string>
#include <vector>

namespace Platform {

/// What the product itself keeps on the platform of requests that are blamed for ending servers: one record a request.
class BlameRecords {
public:
    virtual ~BlameRecords() = default;

    struct Page {
        std::vector<Schema::KeptBlame> blames;
        std::vector<BadRecord> bad;
    };
    using ReadCallback = std::function<void(tl::expected<Page, FactLogFault>)>;

    /// Reads all records.
    virtual void read(ReadPatience, ReadCallback) = 0;

    /// Called back with false where that may not have been done.
    virtual void write(Schema::KeptBlame const&, std::function<void(bool)>) = 0;
    virtual void forget(std::vector<std::string> const& digests, std::function<void(bool)>) = 0;
};

}
