// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibSchema/Generated.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Routing {

/// Puts the parts of one attempt's answer in order. The answer is whole when every part up to the last is there.
class AnswerAssembly {
public:
    enum class PartResult {
        Taken,
        /// Held before; dropped.
        Duplicate,
        /// Behind the last part, too far ahead, or at odds with a part held: the answer cannot be trusted.
        Impossible,
    };

    PartResult add(Schema::Part);

    /// Parts that follow without a gap on those taken before.
    std::vector<Schema::Part> take_ready();

    /// First part not yet taken.
    int64_t next_sequence() const { return m_next; }
    bool is_whole() const { return m_last && m_next > *m_last; }

    /// Parts that may wait behind a gap.
    static constexpr int64_t window = 4096;

private:
    int64_t m_next { 0 };
    std::optional<int64_t> m_last;
    std::map<int64_t, Schema::Part> m_waiting;
};

}
