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

// Removes the records of all upstreams that `listed` does not contain.
std::vector<UpstreamName> DropUnlisted(
    UpstreamTable& table,
    const std::vector<UpstreamChange>& listed,
    LogOffset as_of,
    Time now) {
  std::set<UpstreamName> names;
  for (const UpstreamChange& change : listed) {
    if (change.record) {
      names.insert(change.id);
    }
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
  return dropped;
}

}  // namespace

bool IsUpstreamId(std::string_view id) {
  constexpr size_t kMaxIdBytes = 255;  // Of a key in the store.
  return !id.empty() && id.size() <= kMaxIdBytes &&
         std::all_of(id.begin(), id.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

bool IsSameProcess(const UpstreamRecord& known, const UpstreamRecord& record) {
  const bool is_same_start =
      record.started_at_ms == known.started_at_ms || record.started_at_ms == 0;
  const bool is_same_version =
      record.software_version == known.software_version ||
      record.software_version.empty();
  return is_same_start && is_same_version && record.address == known.address;
}

// A complete table has no entry for most names that are gone, so that a name
// without an entry says as much as one with: what was written before the
// table's position is applied already, or has been replaced since.
std::vector<UpstreamName> ApplyChanges(
    UpstreamTable& table,
    const std::vector<UpstreamChange>& changes,
    LogOffset as_of,
    Time now) {
  std::vector<UpstreamName> changed;
  for (const UpstreamChange& change : changes) {
    if (table.is_complete && change.offset < table.as_of) {
      continue;
    }
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
  if (table.is_complete) {
    table.as_of = std::max(table.as_of, as_of);
  }
  table.hash = changed.empty() ? table.hash : HashOf(table);
  return changed;
}

// Two complete tables of one position should be equal. If they are not, neither
// side can tell which one is wrong: both end without what only one has. An
// upstream that lives is registered anew within seconds.
std::vector<UpstreamName> ApplyList(UpstreamTable& table,
                                    const std::vector<UpstreamChange>& listed,
                                    LogOffset as_of,
                                    Time now) {
  if (table.is_complete && as_of < table.as_of) {
    return {};
  }
  if (!table.is_complete || as_of > table.as_of) {
    table.removals_since = as_of;
  }
  auto changed = ApplyChanges(table, listed, as_of, now);
  const auto dropped = DropUnlisted(table, listed, as_of, now);
  changed.insert(changed.end(), dropped.begin(), dropped.end());
  table.is_complete = true;
  table.as_of = std::max(table.as_of, as_of);
  table.hash = HashOf(table);
  return changed;
}

void ForgetRemovals(UpstreamTable& table, Time before) {
  std::erase_if(table.entries, [&](const auto& entry) {
    const UpstreamEntry& known = entry.second;
    const bool is_forgotten = !known.record && known.changed < before;
    if (is_forgotten) {
      table.removals_since =
          std::max(table.removals_since, LogOffset{known.offset.value + 1});
    }
    return is_forgotten;
  });
}

UpstreamUpdate UpdateSince(const UpstreamTable& table, LogOffset known) {
  UpstreamUpdate update;
  update.as_of = table.as_of;
  // A peer that is older than the known removals may have any upstream that is
  // gone; only a whole list tells it which.
  update.is_whole_list =
      table.is_complete && (known.value == 0 || known < table.removals_since);
  for (const auto& [name, entry] : table.entries) {
    if (update.is_whole_list || entry.offset >= known) {
      update.changes.push_back({name, entry.offset, entry.record, entry.text});
    }
  }
  return update;
}

}  // namespace pomeloring
