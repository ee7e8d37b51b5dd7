// Defines ConfigHistory: replays the configuration stream of the platform's log
// and derives the configuration in force from the order of its records alone.

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

// A raw record as read from the platform's log.
struct LogRecord {
  LogOffset offset;
  std::string payload;
};

// Replaces the configuration text of revision `base`, by a full text or by a
// change. Rejected unless `base` is in force when the record is applied.
struct PublishRecord {
  std::string publish_id;
  Revision base;
  std::string text;     // The full new text.
  std::string changes;  // A change to the text of `base`; see ApplyChanges().
};

// Sets the mark of an upstream or an instance. Independent of the revision.
struct MarkRecord {
  std::string target;
  MarkState state = MarkState::kInService;
};

// The complete state after the record at `as_of`. Lets readers start without
// the earlier records, which may expire.
struct SnapshotRecord {
  LogOffset as_of;
  Revision revision;
  std::string text;
  std::map<std::string, MarkState> marks;
};

using ConfigRecord = std::variant<PublishRecord, MarkRecord, SnapshotRecord>;

// A record that this version cannot decode. It is ignored. `field` says which
// part of the record is at fault.
struct UnreadableRecord {
  std::string field;
};

struct PublishAccepted {
  Revision revision;  // The new revision.
};
// The base of the publish was not in force.
struct PublishConflict {
  Revision requested_base;
  Revision in_force;
};
struct PublishInvalid {
  ConfigurationError error;
};
using PublishOutcome =
    std::variant<PublishAccepted, PublishConflict, PublishInvalid>;

// The configuration and marks in force. A function of the log up to `as_of`:
// readers with the same `as_of` hold equal states.
struct ConfigInForce {
  LogOffset as_of;
  Revision revision;
  std::string text;
  std::map<std::string, MarkState> marks;
  std::shared_ptr<const Configuration> configuration;
};

// The state of one reader of the configuration stream.
struct ConfigHistory {
  // Empty until the state is known to be complete: after reading from the
  // log's first record, after finding a snapshot that is contiguous with the
  // records read, or after adopting a peer's state.
  std::optional<ConfigInForce> in_force;
  LogOffset next_offset{1};
  LogOffset last_snapshot_offset;
  Time last_snapshot_time;
  // Records read but not applied: records before them are missing, and no
  // snapshot covers the gap yet.
  std::vector<LogRecord> pending_records;
  // The newest outcomes by publish id, at most kMaxOutcomes.
  std::map<std::string, PublishOutcome> outcomes;
  std::vector<std::string> outcome_order;  // Publish ids, the oldest first.
};

inline constexpr size_t kMaxOutcomes = 1024;

// Encodes a record as JSON, and decodes it.
std::string EncodeConfigRecord(const ConfigRecord& record);
std::variant<ConfigRecord, UnreadableRecord> DecodeConfigRecord(
    std::string_view payload);

// Applies records in log order and skips those before `next_offset`.
// `first_retained` is the oldest offset that the log still holds. Returns
// whether the state in force has changed.
bool ApplyRecords(ConfigHistory& history,
                  std::vector<LogRecord> records,
                  LogOffset first_retained,
                  Time now);

// Replaces the state with a peer's if the peer's `as_of` is larger and its text
// is valid. Returns whether it did.
bool AdoptFromPeer(ConfigHistory& history, ConfigInForce peer_state, Time now);

// Returns a snapshot to append if the last one is older than half of
// `retention`, the time for which the log keeps records. Several instances may
// append one; duplicates are harmless.
std::optional<SnapshotRecord> MakeSnapshotIfDue(const ConfigHistory& history,
                                                Duration retention,
                                                Time now);

// Converts between marks and their names in the log and on the command line.
std::string_view ToString(MarkState state);
std::optional<MarkState> ParseMarkState(std::string_view text);

}  // namespace pomeloring

#endif  // POMELORING_CORE_CONFIG_HISTORY_H_
