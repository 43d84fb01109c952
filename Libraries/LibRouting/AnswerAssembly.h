// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibSchema/Generated.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Routing {

/// Reorders the parts of one attempt's answer by sequence number and drops duplicates.
/// The answer is whole once every part up to the one marked as last was returned by take_ready().
class AnswerAssembly {
public:
    enum class PartResult {
        Accepted,
        /// A part of this sequence number was received before; this one is dropped.
        Duplicate,
        /// The part lies beyond the last part or too far ahead (see max_parts_ahead), or marks another part as last although that
        /// contradicts the parts received before, or states a status or a header that HTTP does not allow. The answer cannot be trusted.
        Invalid,
    };

    PartResult add(Schema::Part);

    /// Removes and returns the parts that follow, without a gap, those returned before.
    std::vector<Schema::Part> take_ready();

    /// Sequence number of the first part that take_ready() has not yet returned.
    int64_t next_sequence() const { return m_next; }
    bool is_whole() const { return m_last && m_next > *m_last; }

    /// A part whose sequence number is next_sequence() + max_parts_ahead or higher is Invalid: limits the parts that are held because
    /// earlier ones are missing.
    static constexpr int64_t max_parts_ahead = 4096;

private:
    int64_t m_next { 0 };
    std::optional<int64_t> m_last;
    std::map<int64_t, Schema::Part> m_waiting;
};

}
