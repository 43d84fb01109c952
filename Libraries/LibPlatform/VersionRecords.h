// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibPlatform/FactLog.h>
#include <LibSchema/Generated.h>
#include <functional>
#include <vector>

namespace Platform {

/// What the product itself keeps on the platform of the versions that were named: one record a version, so that a record that
/// is written late, or twice, takes nothing back.
class VersionRecords {
public:
    virtual ~VersionRecords() = default;

    struct Page {
        std::vector<Schema::KeptVersion> versions;
        std::vector<BadRecord> bad;
    };
    using ReadCallback = std::function<void(tl::expected<Page, FactLogFault>)>;

    /// Reads all records.
    virtual void read(ReadPatience, ReadCallback) = 0;

    /// Writes a record and removes others, all or nothing. Called back with false where that may not have been done.
    virtual void write(Schema::KeptVersion const&, std::vector<Schema::ModelVersion> const& forgotten, std::function<void(bool)>) = 0;
};

}
