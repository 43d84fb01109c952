// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibPlatform/FactLog.h>
#include <LibSchema/Generated.h>
#include <functional>
#include <vector>

namespace Platform {

/// Interface to the records that this system stores on the platform about the versions that the operator named in the log. There is one
/// record per version, so that a record that is written late or twice undoes nothing. Callbacks run later, from the event loop.
class VersionRecords {
public:
    virtual ~VersionRecords() = default;

    struct Page {
        std::vector<Schema::KeptVersion> versions;
        std::vector<BadRecord> bad;
    };
    using ReadCallback = std::function<void(tl::expected<Page, FactLogFault>)>;

    /// Reads all records.
    virtual void read(ReadTimeouts, ReadCallback) = 0;

    /// Writes a record and removes the `removed` ones in one transaction. The callback gets false if that may not have been done.
    virtual void write(Schema::KeptVersion const&, std::vector<Schema::ModelVersion> const& removed, std::function<void(bool)>) = 0;
};

}
