#include "routing/stream_resumption.h"

#include <algorithm>

namespace pomeloring {

StreamOriginReport ReportOrigin(const StreamOrigins& origins,
                                StreamKey key,
                                const ServiceName& service,
                                Time now) {
  StreamOriginReport report{FindOrigin(origins, key),
                            RecentVersions(origins, service),
                            KnowsAllRecentVersions(origins, service, now)};
  report.version_ages = VersionAges(origins, service, now);
  return report;
}

void MergeReport(StreamOriginReport& report, StreamOriginReport other) {
  if (other.origin && !report.origin) {
    report.origin = std::move(other.origin);
  }
  report.recent_versions.merge(other.recent_versions);
  report.knows_all_versions |= other.knows_all_versions;
  report.is_current |= other.is_current;
  report.complete_as_of = std::max(report.complete_as_of, other.complete_as_of);
  for (const auto& [version, age] : other.version_ages) {
    const auto [known, is_new] = report.version_ages.emplace(version, age);
    known->second = std::min(known->second, age);
  }
}

std::string_view ToString(OriginSource source) {
  switch (source) {
    case OriginSource::kMemory:
      return "here";
    case OriginSource::kPeer:
      return "peers";
    case OriginSource::kLog:
      return "log";
    case OriginSource::kShares:
      return "shares";
    case OriginSource::kOnlyVersion:
      return "only version";
  }
  return "";
}

std::string_view ToString(ResumptionRefusal refusal) {
  switch (refusal) {
    case ResumptionRefusal::kVersionsDiffer:
      return "versions-differ";
    case ResumptionRefusal::kVersionsUnknown:
      return "versions-unknown";
    case ResumptionRefusal::kVersionsOutdated:
      return "versions-outdated";
  }
  return "";
}

bool IsOpen(const StreamOriginReport& report) {
  return !report.origin && (report.recent_versions.size() > 1 ||
                            !report.knows_all_versions || !report.is_current);
}

std::variant<StreamOrigin, ResumptionRefusal> ResolveOrigin(
    const StreamOriginReport& report,
    const ServiceName& service) {
  if (report.origin) {
    return *report.origin;
  }
  if (report.recent_versions.size() > 1) {
    return ResumptionRefusal::kVersionsDiffer;
  }
  if (!report.knows_all_versions) {
    return ResumptionRefusal::kVersionsUnknown;
  }
  // An instance that was suspended or cut off may not know yet of a version
  // that the stream began at.
  if (!report.is_current) {
    return ResumptionRefusal::kVersionsOutdated;
  }
  return StreamOrigin{service, report.recent_versions.empty()
                                   ? std::string()
                                   : *report.recent_versions.begin()};
}

}  // namespace pomeloring
