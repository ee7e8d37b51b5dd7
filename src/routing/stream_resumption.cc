#include "routing/stream_resumption.h"

namespace pomeloring {

StreamOriginReport ReportOrigin(const StreamOrigins& origins,
                                StreamKey key,
                                const ServiceName& service,
                                Time now) {
  return {FindOrigin(origins, key), RecentVersions(origins, service),
          KnowsAllRecentVersions(origins, service, now)};
}

void MergeReport(StreamOriginReport& report, StreamOriginReport other) {
  if (other.origin && !report.origin) {
    report.origin = std::move(other.origin);
  }
  report.recent_versions.merge(other.recent_versions);
  report.knows_all_versions |= other.knows_all_versions;
}

std::string_view ToString(OriginSource source) {
  switch (source) {
    case OriginSource::kMemory:
      return "here";
    case OriginSource::kPeer:
      return "peers";
    case OriginSource::kLog:
      return "log";
    case OriginSource::kOnlyVersion:
      return "only version";
  }
  return "";
}

std::string_view ToString(ResumptionRefusal refusal) {
  return refusal == ResumptionRefusal::kVersionsDiffer ? "versions-differ"
                                                       : "versions-unknown";
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
  return StreamOrigin{service, report.recent_versions.empty()
                                   ? std::string()
                                   : *report.recent_versions.begin()};
}

}  // namespace pomeloring
