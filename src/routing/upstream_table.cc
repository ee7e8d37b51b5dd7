#include "routing/upstream_table.h"

#include <algorithm>
#include <set>

namespace pomeloring {

std::vector<UpstreamName> ApplyChanges(
    UpstreamTable& table,
    const std::vector<UpstreamChange>& changes,
    LogOffset as_of,
    Time now) {
  std::vector<UpstreamName> changed;
  for (const UpstreamChange& change : changes) {
    auto [entry, is_new] = table.entries.try_emplace(change.id);
    UpstreamEntry& known = entry->second;
    if (!is_new && change.offset < known.offset) {
      continue;
    }
    if (!is_new && known.record == change.record) {
      continue;  // A heartbeat.
    }
    known = {change.offset, change.record, now};
    table.changed_at = std::max(table.changed_at, change.offset);
    changed.push_back(change.id);
  }
  table.as_of = std::max(table.as_of, as_of);
  return changed;
}

std::vector<UpstreamName> DropUnlisted(
    UpstreamTable& table,
    const std::vector<UpstreamChange>& listed,
    LogOffset as_of,
    Time now) {
  std::set<UpstreamName> names;
  for (const UpstreamChange& change : listed) {
    names.insert(change.id);
  }
  std::vector<UpstreamName> dropped;
  for (auto& [name, entry] : table.entries) {
    // An entry that was written after the list was made stays.
    if (entry.record && !names.contains(name) && entry.offset < as_of) {
      entry = {as_of, std::nullopt, now};
      table.changed_at = std::max(table.changed_at, as_of);
      dropped.push_back(name);
    }
  }
  return dropped;
}

}  // namespace pomeloring
