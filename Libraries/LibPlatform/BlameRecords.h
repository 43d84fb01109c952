// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibPlatform/FactLog.h>
#include <LibSchema/Generated.h>
#include <functional>
#include <string>
#include <vector>

namespace Platform {

/// Interface to the records that this system stores on the platform about blamed requests (refused because backend servers kept
/// terminating while they ran them): one record per request. Callbacks run later, from the event loop.
class BlameRecords {
public:
    virtual ~BlameRecords() = default;

    struct Page {
        std::vector<Schema::KeptBlame> blames;
        std::vector<BadRecord> bad;
    };
    using ReadCallback = std::function<void(tl::expected<Page, FactLogFault>)>;

    /// Reads all records.
    virtual void read(ReadTimeouts, ReadCallback) = 0;

    /// Writes a record. The callback gets false if the record may not have been written.
    virtual void write(Schema::KeptBlame const&, std::function<void(bool)>) = 0;
    /// Removes the records of requests with these digests. The callback gets false if they may not have been removed.
    virtual void remove_blames(std::vector<std::string> const& digests, std::function<void(bool)>) = 0;
};

}
