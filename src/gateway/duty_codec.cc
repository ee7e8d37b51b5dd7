#include "gateway/duty_codec.h"

#include "duties.pb.h"

namespace pomeloring {
namespace {

constexpr uint32_t kFormat = 1;
// Of the log.
constexpr size_t kMaxRecordBytes = size_t{256} * 1024;

wire::DutyRecord::Kind ToWire(DutyRecordKind kind) {
  switch (kind) {
    case DutyRecordKind::kClaim:
      return wire::DutyRecord::CLAIM;
    case DutyRecordKind::kRenewal:
      return wire::DutyRecord::RENEWAL;
    case DutyRecordKind::kDecision:
      return wire::DutyRecord::DECISION;
    case DutyRecordKind::kRelease:
      return wire::DutyRecord::RELEASE;
  }
  return wire::DutyRecord::UNKNOWN;
}

std::optional<DutyRecordKind> FromWire(wire::DutyRecord::Kind kind) {
  switch (kind) {
    case wire::DutyRecord::CLAIM:
      return DutyRecordKind::kClaim;
    case wire::DutyRecord::RENEWAL:
      return DutyRecordKind::kRenewal;
    case wire::DutyRecord::DECISION:
      return DutyRecordKind::kDecision;
    case wire::DutyRecord::RELEASE:
      return DutyRecordKind::kRelease;
    default:
      return std::nullopt;
  }
}

}  // namespace

std::string EncodeDutyRecord(const DutyRecord& record) {
  wire::DutyRecord out;
  out.set_format(kFormat);
  out.set_kind(ToWire(record.kind));
  out.set_holder(record.holder.value);
  out.set_process(record.process.value);
  out.set_at(record.at.value);
  out.set_token(record.token.value);
  out.set_append_id(record.append_id);
  for (const auto& [task, snapshot] : record.snapshots) {
    (*out.mutable_snapshots())[task] = snapshot;
  }
  out.set_task(record.task);
  out.set_decision(record.decision);
  return out.SerializeAsString();
}

std::optional<DutyRecord> DecodeDutyRecord(std::string_view bytes) {
  wire::DutyRecord in;
  if (bytes.size() > kMaxRecordBytes ||
      !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      in.format() != kFormat || in.holder().empty()) {
    return std::nullopt;
  }
  const auto kind = FromWire(in.kind());
  if (!kind) {
    return std::nullopt;
  }
  DutyRecord record{*kind,     {in.holder()}, {in.process()},
                    {in.at()}, {in.token()},  in.append_id(),
                    {},        in.task(),     in.decision()};
  record.snapshots.insert(in.snapshots().begin(), in.snapshots().end());
  return record;
}

}  // namespace pomeloring
