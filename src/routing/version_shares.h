// Defines VersionShares: how an instance divides new streams among the software
// versions of a service. The version then follows from the stream's key, also
// where nobody is left who knows the stream.

#ifndef POMELORING_ROUTING_VERSION_SHARES_H_
#define POMELORING_ROUTING_VERSION_SHARES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "routing/stream_origins.h"

namespace pomeloring {

inline constexpr uint32_t kMaxVersionShare = 64;

// Relative shares, from 1 to kMaxVersionShare.
using VersionShares = std::map<std::string, uint32_t>;

// Shares in proportion to the number of upstreams of each version, to within a
// factor of two.
VersionShares SharesOf(const std::map<std::string, size_t>& upstreams);

// The version at which a stream begins by rendezvous hashing; empty if there
// are no shares.
std::string AssignedVersion(StreamKey key, const VersionShares& shares);

// What a process has recorded in the platform's log. Its streams whose origins
// are not logged began at the version that one of `shares` assigns.
struct ShareRecord {
  std::map<ServiceName, std::vector<VersionShares>> shares;
  bool is_open = false;   // They may have begun at any version.
  uint64_t restores = 0;  // Of the log, that the process knew of.
  InstanceName instance;
  uint64_t generation = 0;  // Counts the processes of the instance.
  Duration uptime{0};       // Of the process, when it wrote the record.
};

// Returns how long ago at least the process of the record had ended, by the
// uptimes of those that followed it at its instance; 0 if there are none.
Duration EndedSince(const ShareRecord& record,
                    std::span<const ShareRecord> records);

// What is known about a stream whose origin is not in the log.
struct UnloggedStream {
  StreamKey key = 0;
  ServiceName service;
  Duration max_age{0};
  // All versions that served while it may have begun; empty if not known.
  std::set<std::string> served;
};

// Why the records do not tell.
enum class ShareRefusal {
  kLogUnavailable,
  kLogReadInPart,
  kInstanceWithoutRecord,
  kOpenRecord,      // Of a process that may have used any version.
  kOutdatedRecord,  // Of the time before a restore of the log.
  kSharesDiffer,
};
std::string_view ToString(ShareRefusal refusal);

// Returns the version of the stream if the records of all processes that may
// have begun it agree on it. `restores`: of the log, until the records were
// read.
std::variant<StreamOrigin, ShareRefusal> ResolveByShares(
    const UnloggedStream& stream,
    std::span<const ShareRecord> records,
    uint64_t restores);

// Returns all versions of a service at which streams in progress that are not
// in the log may have begun, up to the time of the records.
std::variant<std::set<std::string>, ShareRefusal> RecordedVersions(
    const ServiceName& service,
    Duration max_age,
    std::span<const ShareRecord> records,
    uint64_t restores);

using SharesByService = std::map<ServiceName, VersionShares>;

// The shares of one process, from one record to the next.
struct ProcessShares {
  InstanceName instance;
  uint64_t generation = 1;
  SharesByService active;  // New streams follow these.
  // Earlier ones, by which streams may have begun that are not logged.
  std::map<ServiceName, std::vector<VersionShares>> retained;
  Time retained_until;  // At least.
};

// What must be recorded before `due` become active. Without them, of the shares
// that are in use.
ShareRecord RecordOf(const ProcessShares& process, const SharesByService& due);
// Retains the versions of streams of a service that began before any shares of
// it were active, unless `due` assign them alike.
void RetainVersions(ProcessShares& process,
                    std::span<const KeyedOrigin> streams,
                    const VersionShares& due);
// To be called when that record is in the log. The shares that are replaced are
// retained until the streams that began by them are in the log too.
void ActivateShares(ProcessShares& process, const SharesByService& due);
// To be called when the streams that are known here are in the log. Returns
// whether the retained shares were dropped: not if streams are missing that can
// still be taken up, up to `max_age` after they began.
bool DropRetainedShares(ProcessShares& process,
                        const StreamOrigins& origins,
                        Duration max_age,
                        Time now);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_VERSION_SHARES_H_
