// Defines the formats of usage reports, decisions and snapshots.

#ifndef POMELORING_DUTIES_USAGE_CODEC_H_
#define POMELORING_DUTIES_USAGE_CODEC_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "duties/usage_windows.h"

namespace pomeloring {

// Returns datagrams; each can be merged without the others. Unacknowledged
// decisions that do not fit into one are left out.
std::vector<std::string> EncodeUsageReport(const UsageReport& report);
// Returns nothing for malformed bytes or an unknown format.
std::optional<UsageReport> DecodeUsageReport(std::string_view bytes);

std::string EncodeUsageDecision(const UsageDecision& decision);
// Returns nothing for malformed bytes or an unknown format.
std::optional<UsageDecision> DecodeUsageDecision(std::string_view bytes);

// Writes at most `max_bytes`. Counts of live members are left out first: they
// send them again to a new holder.
std::string EncodeUsageSnapshot(const UsageCollection& collection,
                                std::span<const InstanceName> live_members,
                                size_t max_bytes);
// Adds a snapshot to the counts that are known. Returns false, and changes
// nothing, for malformed bytes or an unknown format.
bool RestoreUsageSnapshot(UsageCollection& collection,
                          std::string_view bytes,
                          Time now);

}  // namespace pomeloring

#endif  // POMELORING_DUTIES_USAGE_CODEC_H_
