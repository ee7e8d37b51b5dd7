// Defines ConfigHistory: which published record is in force, decided by the
// order of the platform's log alone.

#ifndef POMELORING_CORE_CONFIG_HISTORY_H_
#define POMELORING_CORE_CONFIG_HISTORY_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/configuration.h"
#include "core/ids.h"

namespace pomeloring {

// One record as it was read from the platform's log.
struct LogRecord {
  LogOffset offset;
  std::string payload;
};

// Replaces the text that `base` names, whole or by a change.
struct PublishRecord {
  std::string publish_id;
  Revision base;
  std::string text;     // The full text, or empty:
  std::string changes;  // a change, see ApplyChanges().
};

// Marks an upstream or an instance; independent of the revision.
struct MarkRecord {
  std::string target;
  MarkState state = MarkState::kInService;
};

// All that is in force after the record at `as_of`, so that earlier records
// may expire.
struct SnapshotRecord {
  LogOffset as_of;
  Revision revision;
  std::string text;
  std::map<std::string, MarkState> marks;
};

using ConfigRecord = std::variant<PublishRecord, MarkRecord, SnapshotRecord>;

// A record that this version can't read; it has no effect on any reader.
struct UnreadableRecord {
  std::string field;
};

struct PublishAccepted {
  Revision revision;
};
struct PublishConflict {
  Revision requested_base;
  Revision in_force;
};
struct PublishInvalid {
  ConfigurationError error;
};
using PublishOutcome =
    std::variant<PublishAccepted, PublishConflict, PublishInvalid>;

// What is in force. Two readers at the same offset hold the same.
struct ConfigInForce {
  LogOffset as_of;
  Revision revision;
  std::string text;
  std::map<std::string, MarkState> marks;
  std::shared_ptr<const Configuration> configuration;
};

// The state of one reader of the configuration stream.
struct ConfigHistory {
  // Empty until the reader knows all that is in force: it read from the log's
  // first record, found a snapshot that its records join, or asked a peer.
  std::optional<ConfigInForce> in_force;
  LogOffset next_offset{1};
  LogOffset last_snapshot_offset;
  Time last_snapshot_time;
  // Records read while nothing is in force yet.
  std::vector<LogRecord> pending_records;
  // The newest outcomes by publish id, at most kMaxOutcomes.
  std::map<std::string, PublishOutcome> outcomes;
  std::vector<std::string> outcome_order;
};

inline constexpr size_t kMaxOutcomes = 1024;

std::string EncodeConfigRecord(const ConfigRecord& record);
std::variant<ConfigRecord, UnreadableRecord> DecodeConfigRecord(
    std::string_view payload);

// Takes in records in the log's order; records before `next_offset` are passed
// over. `first_retained` is the oldest offset that the log still holds.
// Returns true when what is in force has changed.
bool ApplyRecords(ConfigHistory& history,
                  std::vector<LogRecord> records,
                  LogOffset first_retained,
                  Time now);

// Takes over a peer's state if it is ahead. Returns true when it was.
bool AdoptFromPeer(ConfigHistory& history, ConfigInForce peer_state, Time now);

// Returns a snapshot to append once the last one is older than half of
// `retention`. Duplicates are harmless.
std::optional<SnapshotRecord> MakeSnapshotIfDue(const ConfigHistory& history,
                                                Duration retention,
                                                Time now);

std::string_view ToString(MarkState state);
std::optional<MarkState> ParseMarkState(std::string_view text);

}  // namespace pomeloring

#endif  // POMELORING_CORE_CONFIG_HISTORY_H_
