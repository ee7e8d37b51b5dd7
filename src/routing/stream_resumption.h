// Defines ResolveOrigin(): at which software version a stream goes on that its
// caller resumes.

#ifndef POMELORING_ROUTING_STREAM_RESUMPTION_H_
#define POMELORING_ROUTING_STREAM_RESUMPTION_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "routing/stream_origins.h"

namespace pomeloring {

// What an instance, or several, know of the origin of one stream.
struct StreamOriginReport {
  std::optional<StreamOrigin> origin;
  std::set<std::string> recent_versions;  // Of the service asked for.
  // No stream in progress began at any other, as of the registrations that the
  // instance knows.
  bool knows_all_versions = false;
  // Those registrations are not out of date. Not told by ReportOrigin().
  bool is_current = false;
  // Since each of `recent_versions` was last registered.
  std::map<std::string, Duration> version_ages;
  // The position in the store up to which an instance that is current knows all
  // versions; 0 if none does. Not told by ReportOrigin().
  LogOffset complete_as_of;
};

// What one instance knows of a stream of `service`.
StreamOriginReport ReportOrigin(const StreamOrigins& origins,
                                StreamKey key,
                                const ServiceName& service,
                                Time now);
// Adds what another instance knows.
void MergeReport(StreamOriginReport& report, StreamOriginReport other);

// Whether more knowledge is needed to tell at which version the stream began.
bool IsOpen(const StreamOriginReport& report);

// What told the version at which a stream goes on.
enum class OriginSource { kMemory, kPeer, kLog, kShares, kOnlyVersion };
std::string_view ToString(OriginSource source);

enum class ResumptionRefusal {
  kVersionsDiffer,
  kVersionsUnknown,
  kVersionsOutdated,
};
std::string_view ToString(ResumptionRefusal refusal);

// Returns the origin that is recorded, or the only version that the stream can
// have begun at.
std::variant<StreamOrigin, ResumptionRefusal> ResolveOrigin(
    const StreamOriginReport& report,
    const ServiceName& service);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_STREAM_RESUMPTION_H_
