#include "gateway/origin_record.h"

#include <map>

#include "peer_digest.pb.h"

namespace pomeloring {
namespace {

constexpr uint32_t kFormat = 1;
// The platform permits no larger ones.
constexpr size_t kMaxRecordBytes = size_t{256} * 1024;
// Times beyond those that Time can hold are malformed.
constexpr int64_t kMaxMs = int64_t{1} << 50;

template <typename Message>
bool Parse(std::string_view bytes, Message& message) {
  return bytes.size() <= kMaxRecordBytes &&
         message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) &&
         message.format() == kFormat;
}

int64_t ToMs(Time time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
      .count();
}

}  // namespace

std::string EncodeOriginBatch(std::span<const KeyedOrigin> streams,
                              Time written_at) {
  wire::OriginBatch out;
  out.set_format(kFormat);
  out.set_written_at_ms(ToMs(written_at));
  std::map<std::pair<ServiceName, std::string>, wire::OriginGroup*> groups;
  for (const auto& [key, origin] : streams) {
    wire::OriginGroup*& group =
        groups[{origin.service, origin.software_version}];
    if (group == nullptr) {
      group = out.add_groups();
      group->set_service(origin.service.value);
      group->set_software_version(origin.software_version);
    }
    group->add_streams(key);
  }
  return out.SerializeAsString();
}

std::string EncodeVersionRecord(const VersionRecord& record) {
  wire::VersionRecord out;
  out.set_format(kFormat);
  out.set_written_at_ms(ToMs(record.written_at));
  out.set_complete_as_of(record.complete_as_of.value);
  for (const auto& [service, versions] : record.services) {
    wire::ServiceVersions& entry = *out.add_services();
    entry.set_service(service.value);
    for (const std::string& version : versions) {
      entry.add_versions(version);
    }
  }
  return out.SerializeAsString();
}

std::string EncodeShareRecord(const ShareRecord& record) {
  wire::VersionShareRecord out;
  out.set_format(kFormat);
  out.set_is_open(record.is_open);
  out.set_restores(record.restores);
  out.set_instance(record.instance.value);
  out.set_generation(record.generation);
  out.set_uptime_ms(static_cast<uint64_t>(
      std::chrono::duration_cast<milliseconds>(record.uptime).count()));
  for (const auto& [service, sets] : record.shares) {
    for (const VersionShares& shares : sets) {
      wire::ShareSet& set = *out.add_sets();
      set.set_service(service.value);
      for (const auto& [version, share] : shares) {
        wire::VersionShare& entry = *set.add_shares();
        entry.set_version(version);
        entry.set_share(share);
      }
    }
  }
  return out.SerializeAsString();
}

std::optional<OriginRecord> DecodeOriginBatch(std::string_view bytes) {
  wire::OriginBatch in;
  if (!Parse(bytes, in) || in.written_at_ms() < 0 ||
      in.written_at_ms() > kMaxMs) {
    return std::nullopt;
  }
  OriginRecord record{Time{milliseconds{in.written_at_ms()}}, {}};
  for (const wire::OriginGroup& group : in.groups()) {
    for (const StreamKey key : group.streams()) {
      record.streams.push_back(
          {key, {{group.service()}, group.software_version()}});
    }
  }
  return record;
}

std::optional<VersionRecord> DecodeVersionRecord(std::string_view bytes) {
  wire::VersionRecord in;
  if (!Parse(bytes, in)) {
    return std::nullopt;
  }
  VersionRecord record;
  if (in.written_at_ms() < 0 || in.written_at_ms() > kMaxMs) {
    return std::nullopt;
  }
  record.written_at = Time{milliseconds{in.written_at_ms()}};
  record.complete_as_of = {in.complete_as_of()};
  for (const wire::ServiceVersions& entry : in.services()) {
    record.services[{entry.service()}].insert(entry.versions().begin(),
                                              entry.versions().end());
  }
  return record;
}

std::optional<ShareRecord> DecodeShareRecord(std::string_view bytes) {
  wire::VersionShareRecord in;
  if (!Parse(bytes, in)) {
    return std::nullopt;
  }
  ShareRecord record;
  record.is_open = in.is_open();
  record.restores = in.restores();
  record.instance = {in.instance()};
  record.generation = in.generation();
  if (in.uptime_ms() > kMaxMs) {
    return std::nullopt;
  }
  record.uptime = milliseconds{in.uptime_ms()};
  for (const wire::ShareSet& set : in.sets()) {
    VersionShares shares;
    for (const wire::VersionShare& entry : set.shares()) {
      if (entry.share() == 0 || entry.share() > kMaxVersionShare) {
        return std::nullopt;
      }
      shares[entry.version()] = entry.share();
    }
    record.shares[{set.service()}].push_back(std::move(shares));
  }
  return record;
}

}  // namespace pomeloring
