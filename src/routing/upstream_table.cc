#include "routing/upstream_table.h"

#include <algorithm>
#include <set>

namespace pomeloring {
namespace {

uint64_t HashOf(const UpstreamTable& table) {
  uint64_t hash = 1;
  for (const auto& [name, entry] : table.entries) {
    if (entry.record) {
      const UpstreamRecord& record = *entry.record;
      hash = StableHash(name.value, hash);
      hash = StableHash(record.service.value, hash);
      hash = StableHash(record.address, hash);
      hash = StableHash(record.draining ? "draining" : "ready", hash);
      hash = StableHash(std::to_string(record.started_at_ms), hash);
      hash = StableHash(record.software_version, hash);
    }
  }
  return hash;
}

}  // namespace

std::vector<UpstreamName> ApplyChanges(
    UpstreamTable& table,
    const std::vector<UpstreamChange>& changes,
    LogOffset as_of,
    Time now) {
  std::vector<UpstreamName> changed;
  for (const UpstreamChange& change : changes) {
    auto [entry, is_new] = table.entries.try_emplace(change.id);
    UpstreamEntry& known = entry->second;
    if (!is_new && change.offset <= known.offset) {
      continue;
    }
    if (!is_new && known.record == change.record) {
      continue;  // A heartbeat.
    }
    const bool had_ended = !is_new && (!known.record || known.record->draining);
    known = {change.offset, change.record, change.text, now, had_ended};
    changed.push_back(change.id);
  }
  table.as_of = std::max(table.as_of, as_of);
  table.hash = changed.empty() ? table.hash : HashOf(table);
  return changed;
}

UpstreamUpdate UpdateSince(const UpstreamTable& table, LogOffset known) {
  UpstreamUpdate update;
  update.as_of = table.as_of;
  update.is_whole_list = known.value == 0 && table.is_complete;
  for (const auto& [name, entry] : table.entries) {
    if (entry.offset >= known) {
      update.changes.push_back({name, entry.offset, entry.record, entry.text});
    }
  }
  return update;
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
    // An entry written after the list was made stays.
    if (entry.record && !names.contains(name) && entry.offset < as_of) {
      // Everything before `as_of` is known; the change at `as_of` itself comes
      // after the list.
      entry = {LogOffset{as_of.value - 1}, std::nullopt, {}, now};
      dropped.push_back(name);
    }
  }
  table.hash = dropped.empty() ? table.hash : HashOf(table);
  return dropped;
}

}  // namespace pomeloring
