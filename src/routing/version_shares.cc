#include "routing/version_shares.h"

#include <algorithm>
#include <bit>

namespace pomeloring {
namespace {

// The versions at which an instance with `shares` may have begun the stream. An
// instance that could not record its shares after a version had left may have
// used any other of them.
std::set<std::string> PossibleVersions(StreamKey key,
                                       const VersionShares& shares,
                                       const std::set<std::string>& served) {
  const std::string assigned = AssignedVersion(key, shares);
  if (served.empty() || served.contains(assigned)) {
    return {assigned};
  }
  std::set<std::string> possible;
  for (const auto& [version, unused] : shares) {
    if (served.contains(version)) {
      possible.insert(version);
    }
  }
  return possible;
}

void AddUnique(std::vector<VersionShares>& all, const VersionShares& shares) {
  if (std::find(all.begin(), all.end(), shares) == all.end()) {
    all.push_back(shares);
  }
}

}  // namespace

// Powers of two, so that shares change seldom during a release.
VersionShares SharesOf(const std::map<std::string, size_t>& upstreams) {
  VersionShares shares;
  size_t most = 1;
  for (const auto& [version, count] : upstreams) {
    most = std::max(most, count);
  }
  // AssignedVersion() takes a hash for each share.
  const size_t divisor =
      std::bit_ceil((most + kMaxVersionShare - 1) / kMaxVersionShare);
  for (const auto& [version, count] : upstreams) {
    if (count > 0) {
      shares[version] = static_cast<uint32_t>(
          std::bit_floor(std::max(count / divisor, size_t{1})));
    }
  }
  uint32_t lowest = kMaxVersionShare;
  for (const auto& [version, share] : shares) {
    lowest = std::min(lowest, share);
  }
  for (auto& [version, share] : shares) {
    share /= lowest;
  }
  return shares;
}

std::string AssignedVersion(StreamKey key, const VersionShares& shares) {
  uint64_t highest = 0;
  const std::string* assigned = nullptr;
  for (const auto& [version, share] : shares) {
    uint64_t seed = key;
    for (uint32_t i = 0; i < share; ++i) {
      seed = StableHash(version, seed);
      if (assigned == nullptr || seed > highest) {
        highest = seed;
        assigned = &version;
      }
    }
  }
  return assigned == nullptr ? std::string() : *assigned;
}

// A process may have written several records; one that follows it, too.
Duration EndedSince(const ShareRecord& record,
                    std::span<const ShareRecord> records) {
  std::map<uint64_t, Duration> uptimes;
  for (const ShareRecord& other : records) {
    if (other.instance == record.instance &&
        other.generation > record.generation) {
      Duration& uptime = uptimes[other.generation];
      uptime = std::max(uptime, other.uptime);
    }
  }
  Duration since{0};
  for (const auto& [unused, uptime] : uptimes) {
    since += uptime;
  }
  return since;
}

namespace {

// The shares of a service by which streams in progress may have begun. A record
// from before a restore may have been replaced by one that is lost.
std::variant<std::vector<const VersionShares*>, ShareRefusal> SharesInUse(
    const ServiceName& service,
    Duration max_age,
    std::span<const ShareRecord> records,
    uint64_t restores) {
  std::vector<const VersionShares*> in_use;
  for (const ShareRecord& record : records) {
    if (EndedSince(record, records) > max_age) {
      continue;
    }
    if (record.is_open || record.restores < restores) {
      return record.is_open ? ShareRefusal::kOpenRecord
                            : ShareRefusal::kOutdatedRecord;
    }
    if (const auto found = record.shares.find(service);
        found != record.shares.end()) {
      for (const VersionShares& shares : found->second) {
        in_use.push_back(&shares);
      }
    }
  }
  return in_use;
}

}  // namespace

std::string_view ToString(ShareRefusal refusal) {
  switch (refusal) {
    case ShareRefusal::kLogUnavailable:
      return "log-unavailable";
    case ShareRefusal::kLogReadInPart:
      return "log-read-in-part";
    case ShareRefusal::kInstanceWithoutRecord:
      return "instance-without-record";
    case ShareRefusal::kOpenRecord:
      return "open-record";
    case ShareRefusal::kOutdatedRecord:
      return "outdated-record";
    case ShareRefusal::kSharesDiffer:
      return "shares-differ";
  }
  return "";
}

std::variant<StreamOrigin, ShareRefusal> ResolveByShares(
    const UnloggedStream& stream,
    std::span<const ShareRecord> records,
    uint64_t restores) {
  const auto sets =
      SharesInUse(stream.service, stream.max_age, records, restores);
  if (const auto* refusal = std::get_if<ShareRefusal>(&sets)) {
    return *refusal;
  }
  std::set<std::string> possible;
  for (const VersionShares* shares :
       std::get<std::vector<const VersionShares*>>(sets)) {
    possible.merge(PossibleVersions(stream.key, *shares, stream.served));
  }
  if (possible.size() != 1) {
    return ShareRefusal::kSharesDiffer;
  }
  return StreamOrigin{stream.service, *possible.begin()};
}

std::variant<std::set<std::string>, ShareRefusal> RecordedVersions(
    const ServiceName& service,
    Duration max_age,
    std::span<const ShareRecord> records,
    uint64_t restores) {
  const auto sets = SharesInUse(service, max_age, records, restores);
  if (const auto* refusal = std::get_if<ShareRefusal>(&sets)) {
    return *refusal;
  }
  std::set<std::string> versions;
  for (const VersionShares* shares :
       std::get<std::vector<const VersionShares*>>(sets)) {
    for (const auto& [version, unused] : *shares) {
      versions.insert(version);
    }
  }
  return versions;
}

ShareRecord RecordOf(const ProcessShares& process, const SharesByService& due) {
  ShareRecord record;
  record.instance = process.instance;
  record.generation = process.generation;
  record.shares = process.retained;
  for (const SharesByService* in_use : {&process.active, &due}) {
    for (const auto& [service, shares] : *in_use) {
      AddUnique(record.shares[service], shares);
    }
  }
  return record;
}

void RetainVersions(ProcessShares& process,
                    std::span<const KeyedOrigin> streams,
                    const VersionShares& due) {
  for (const auto& [key, origin] : streams) {
    const VersionShares only{{origin.software_version, 1}};
    if (only != due) {
      AddUnique(process.retained[origin.service], only);
    }
  }
}

void ActivateShares(ProcessShares& process, const SharesByService& due) {
  for (const auto& [service, shares] : due) {
    const auto [active, is_new] = process.active.try_emplace(service, shares);
    if (!is_new && active->second != shares) {
      AddUnique(process.retained[service], active->second);
      active->second = shares;
    }
  }
}

bool DropRetainedShares(ProcessShares& process,
                        const StreamOrigins& origins,
                        Duration max_age,
                        Time now) {
  if (MayLackStreams(origins, max_age, now)) {
    process.retained_until = *origins.dropped_at + max_age;
    return false;
  }
  process.retained.clear();
  return true;
}

}  // namespace pomeloring
