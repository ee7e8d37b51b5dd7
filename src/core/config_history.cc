#include "core/config_history.h"

#include <algorithm>
#include <boost/json.hpp>

#include "core/json_reader.h"

namespace pomeloring {
namespace {

namespace json = boost::json;

constexpr int64_t kMaxOffset = INT64_MAX;

json::object EncodeMarks(const std::map<std::string, MarkState>& marks) {
  json::object object;
  for (const auto& [target, state] : marks) {
    object[target] = ToString(state);
  }
  return object;
}

struct Encoder {
  json::object operator()(const PublishRecord& record) const {
    json::object object{{"record", "publish"},
                        {"publish_id", record.publish_id},
                        {"base", record.base.value}};
    if (record.changes.empty()) {
      object["text"] = record.text;
    } else {
      object["changes"] = record.changes;
    }
    return object;
  }
  json::object operator()(const MarkRecord& record) const {
    return {{"record", "mark"},
            {"target", record.target},
            {"state", ToString(record.state)}};
  }
  json::object operator()(const SnapshotRecord& record) const {
    return {{"record", "snapshot"},
            {"as_of", record.as_of.value},
            {"revision", record.revision.value},
            {"text", record.text},
            {"marks", EncodeMarks(record.marks)}};
  }
};

uint64_t ReadOffset(JsonReader& reader, std::string_view field) {
  return static_cast<uint64_t>(reader.Int(field, 0, 0, kMaxOffset));
}

PublishRecord DecodePublish(JsonReader& reader) {
  PublishRecord record;
  record.publish_id = reader.String("publish_id");
  record.base.value = ReadOffset(reader, "base");
  record.text = reader.String("text", false);
  record.changes = reader.String("changes", false);
  return record;
}

MarkState ReadMark(JsonReader& reader, std::string_view field) {
  const std::optional<MarkState> state = ParseMarkState(reader.String(field));
  if (!state) {
    reader.Fail(
        OutOfRange{std::string(field), "in-service, leaving or stopping"});
  }
  return state.value_or(MarkState::kInService);
}

MarkRecord DecodeMark(JsonReader& reader) {
  MarkRecord record;
  record.target = reader.String("target");
  record.state = ReadMark(reader, "state");
  return record;
}

SnapshotRecord DecodeSnapshot(JsonReader& reader) {
  SnapshotRecord record;
  record.as_of.value = ReadOffset(reader, "as_of");
  record.revision.value = ReadOffset(reader, "revision");
  record.text = reader.String("text", false);
  const json::value* marks = reader.Raw("marks");
  if (marks != nullptr && marks->is_object()) {
    std::optional<ConfigurationError> error;
    JsonReader mark_reader(*marks, "marks", error);
    for (const auto& member : marks->get_object()) {
      record.marks[std::string(member.key())] =
          ReadMark(mark_reader, member.key());
    }
    if (error) {
      reader.Fail(std::move(*error));
    }
  }
  return record;
}

ConfigInForce EmptyConfig() {
  ConfigInForce in_force;
  in_force.configuration = std::make_shared<const Configuration>();
  return in_force;
}

void RecordOutcome(ConfigHistory& history,
                   const std::string& publish_id,
                   PublishOutcome outcome) {
  // A publish that was appended twice keeps its first outcome. The second
  // append would conflict, as the first has already replaced the base.
  if (!history.outcomes.emplace(publish_id, std::move(outcome)).second) {
    return;
  }
  history.outcome_order.push_back(publish_id);
  if (history.outcome_order.size() > kMaxOutcomes) {
    history.outcomes.erase(history.outcome_order.front());
    history.outcome_order.erase(history.outcome_order.begin());
  }
}

PublishOutcome ApplyPublish(ConfigInForce& in_force,
                            const PublishRecord& record,
                            LogOffset offset) {
  if (record.base != in_force.revision) {
    return PublishConflict{record.base, in_force.revision};
  }
  std::string text = record.text;
  if (!record.changes.empty()) {
    auto applied = ApplyChanges(in_force.text, record.changes);
    if (auto* error = std::get_if<ConfigurationError>(&applied)) {
      return PublishInvalid{std::move(*error)};
    }
    text = std::move(std::get<std::string>(applied));
  }
  auto parsed = ParseConfiguration(text);
  if (auto* error = std::get_if<ConfigurationError>(&parsed)) {
    return PublishInvalid{std::move(*error)};
  }
  in_force.revision = Revision{offset.value};
  in_force.text = std::move(text);
  in_force.configuration = std::make_shared<const Configuration>(
      std::move(std::get<Configuration>(parsed)));
  return PublishAccepted{in_force.revision};
}

bool ApplyRecord(ConfigHistory& history, const LogRecord& record) {
  ConfigInForce& in_force = *history.in_force;
  in_force.as_of = record.offset;
  auto decoded = DecodeConfigRecord(record.payload);
  auto* config_record = std::get_if<ConfigRecord>(&decoded);
  if (config_record == nullptr) {
    return false;
  }
  if (auto* publish = std::get_if<PublishRecord>(config_record)) {
    const Revision before = in_force.revision;
    RecordOutcome(history, publish->publish_id,
                  ApplyPublish(in_force, *publish, record.offset));
    return in_force.revision != before;
  }
  if (auto* mark = std::get_if<MarkRecord>(config_record)) {
    MarkState& state = in_force.marks[mark->target];
    const bool changed = state != mark->state;
    state = mark->state;
    if (state == MarkState::kInService) {
      in_force.marks.erase(mark->target);
    }
    return changed;
  }
  return false;
}

// Puts the first usable snapshot among the pending records in force. A reader
// that starts in the middle of the log may use a snapshot only if it has read
// every record after the snapshot's `as_of`. For example, if the records from
// 40 on are retained and a snapshot at 57 is as of 30, a publish at 35 that has
// expired may have been accepted; starting from the snapshot would revert it.
bool TryStartFromSnapshot(ConfigHistory& history, LogOffset first_read) {
  for (const LogRecord& record : history.pending_records) {
    auto decoded = DecodeConfigRecord(record.payload);
    auto* config_record = std::get_if<ConfigRecord>(&decoded);
    auto* snapshot = config_record == nullptr
                         ? nullptr
                         : std::get_if<SnapshotRecord>(config_record);
    if (snapshot == nullptr || snapshot->as_of.value + 1 < first_read.value) {
      continue;
    }
    auto parsed =
        ParseConfiguration(snapshot->text.empty() ? "{}" : snapshot->text);
    auto* configuration = std::get_if<Configuration>(&parsed);
    if (configuration == nullptr) {
      continue;
    }
    history.in_force = ConfigInForce{
        snapshot->as_of, snapshot->revision, std::move(snapshot->text),
        std::move(snapshot->marks),
        std::make_shared<const Configuration>(std::move(*configuration))};
    return true;
  }
  return false;
}

void RecordSnapshot(ConfigHistory& history, const LogRecord& record, Time now) {
  // Avoids parsing records that cannot be snapshots.
  if (record.payload.find("\"snapshot\"") == std::string::npos) {
    return;
  }
  auto decoded = DecodeConfigRecord(record.payload);
  auto* config_record = std::get_if<ConfigRecord>(&decoded);
  if (config_record != nullptr &&
      std::holds_alternative<SnapshotRecord>(*config_record)) {
    history.last_snapshot_offset = record.offset;
    history.last_snapshot_time = now;
  }
}

// Whether no record is missing between the state in force and the first pending
// record.
bool PendingRecordsAreContiguous(const ConfigHistory& history) {
  return history.in_force && (history.pending_records.empty() ||
                              history.pending_records.front().offset.value <=
                                  history.in_force->as_of.value + 1);
}

bool ApplyPendingRecords(ConfigHistory& history) {
  bool changed = false;
  for (const LogRecord& record : history.pending_records) {
    if (record.offset > history.in_force->as_of) {
      changed |= ApplyRecord(history, record);
    }
  }
  history.pending_records.clear();
  return changed;
}

}  // namespace

std::string EncodeConfigRecord(const ConfigRecord& record) {
  return json::serialize(std::visit(Encoder{}, record));
}

std::variant<ConfigRecord, UnreadableRecord> DecodeConfigRecord(
    std::string_view payload) {
  json::error_code parse_error;
  const json::value value = json::parse(payload, parse_error);
  if (parse_error) {
    return UnreadableRecord{"the record"};
  }
  std::optional<ConfigurationError> error;
  JsonReader reader(value, "", error);
  const std::string kind = reader.String("record");
  ConfigRecord record;
  if (kind == "publish") {
    record = DecodePublish(reader);
  } else if (kind == "mark") {
    record = DecodeMark(reader);
  } else if (kind == "snapshot") {
    record = DecodeSnapshot(reader);
  } else {
    return UnreadableRecord{"record"};
  }
  if (error) {
    return UnreadableRecord{Describe(*error)};
  }
  return record;
}

bool ApplyRecords(ConfigHistory& history,
                  std::vector<LogRecord> records,
                  LogOffset first_retained,
                  Time now) {
  std::erase_if(records, [&](const LogRecord& record) {
    return record.offset < history.next_offset;
  });
  // Records that expired before they were read may have changed the state in
  // force. Start over from a snapshot, and keep the old state until then.
  const bool gap = first_retained > history.next_offset;
  if (gap && history.in_force) {
    history.pending_records.clear();
  }
  const bool first_read_is_start =
      history.next_offset.value == 1 && first_retained.value <= 1;
  if (!history.in_force && first_read_is_start) {
    history.in_force = EmptyConfig();
  }
  if (records.empty()) {
    return false;
  }
  for (const LogRecord& record : records) {
    RecordSnapshot(history, record, now);
  }
  history.next_offset = LogOffset{records.back().offset.value + 1};
  history.pending_records.insert(history.pending_records.end(),
                                 std::make_move_iterator(records.begin()),
                                 std::make_move_iterator(records.end()));
  const LogOffset first_read = history.pending_records.front().offset;
  if (PendingRecordsAreContiguous(history)) {
    return ApplyPendingRecords(history);
  }
  const std::optional<ConfigInForce> before = history.in_force;
  history.in_force.reset();
  if (TryStartFromSnapshot(history, first_read)) {
    ApplyPendingRecords(history);
    return true;
  }
  history.in_force = before;
  return false;
}

bool AdoptFromPeer(ConfigHistory& history, ConfigInForce peer_state, Time now) {
  const bool ahead =
      !history.in_force || peer_state.as_of > history.in_force->as_of;
  if (!ahead) {
    return false;
  }
  if (peer_state.configuration == nullptr) {
    auto parsed =
        ParseConfiguration(peer_state.text.empty() ? "{}" : peer_state.text);
    auto* configuration = std::get_if<Configuration>(&parsed);
    if (configuration == nullptr) {
      return false;
    }
    peer_state.configuration =
        std::make_shared<const Configuration>(std::move(*configuration));
  }
  history.in_force = std::move(peer_state);
  history.next_offset = std::max(history.next_offset,
                                 LogOffset{history.in_force->as_of.value + 1});
  if (history.last_snapshot_time == Time{}) {
    history.last_snapshot_time = now;
  }
  // The pending records may or may not be contiguous with the peer's state. If
  // the peer is at 3, record 4 has expired and 5 was read here, applying 5 to
  // the state at 3 would lose record 4.
  if (PendingRecordsAreContiguous(history)) {
    ApplyPendingRecords(history);
  }
  return true;
}

std::optional<SnapshotRecord> MakeSnapshotIfDue(const ConfigHistory& history,
                                                Duration retention,
                                                Time now) {
  const bool has_config =
      history.in_force && history.in_force->revision.value > 0;
  if (!has_config || now - history.last_snapshot_time < retention / 2) {
    return std::nullopt;
  }
  return SnapshotRecord{history.in_force->as_of, history.in_force->revision,
                        history.in_force->text, history.in_force->marks};
}

std::string_view ToString(MarkState state) {
  switch (state) {
    case MarkState::kInService:
      return "in-service";
    case MarkState::kLeaving:
      return "leaving";
    case MarkState::kStopping:
      return "stopping";
  }
  return "in-service";
}

std::optional<MarkState> ParseMarkState(std::string_view text) {
  for (MarkState state :
       {MarkState::kInService, MarkState::kLeaving, MarkState::kStopping}) {
    if (text == ToString(state)) {
      return state;
    }
  }
  return std::nullopt;
}

}  // namespace pomeloring
