// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <string>
#include <vector>

namespace Platform {

/// Returns whether an entry should write a record that several entries know. Each write is charged, so only the first two entries in the
/// rendezvous order of `key` write it at once; they are two because one may terminate before its write is accepted. The three entries that
/// follow are fallbacks, which write it one after another 1.5 s apart if they still have to: the store may refuse both writers, and an
/// entry cannot know which others the store serves.
///
/// `identity`: this entry. `others`: the other entries that this one has links to. `known_for`: time since this entry knows the record.
bool should_write_record(std::string const& key, std::string const& identity, std::vector<std::string> others, Core::Duration known_for);

}
