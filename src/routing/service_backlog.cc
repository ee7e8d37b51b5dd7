#include "routing/service_backlog.h"

#include <algorithm>

namespace pomeloring {
namespace {

constexpr Duration kRefusalTime = seconds(1);
// Bounds the memory for refusals. One instance does not answer more requests
// in a second.
constexpr size_t kMaxRefusals = 20000;

}  // namespace

void CountRefusal(BacklogCount& count, const ServiceName& service, Time now) {
  std::deque<Time>& refusals = count.refusals[service];
  refusals.push_back(now);
  while (now - refusals.front() >= kRefusalTime ||
         refusals.size() > kMaxRefusals) {
    refusals.pop_front();
  }
}

ServiceBacklogs BacklogsOf(const BacklogCount& count, Time now) {
  ServiceBacklogs backlogs;
  for (const auto& [service, waiting] : count.waiting) {
    if (waiting > 0) {
      backlogs[service].waiting = waiting;
    }
  }
  for (const auto& [service, refusals] : count.refusals) {
    const auto refused = std::count_if(
        refusals.begin(), refusals.end(),
        [&](Time refusal) { return now - refusal < kRefusalTime; });
    if (refused > 0) {
      backlogs[service].refused = static_cast<uint32_t>(refused);
    }
  }
  return backlogs;
}

void AddBacklogs(ServiceBacklogs& total, const ServiceBacklogs& backlogs) {
  for (const auto& [service, backlog] : backlogs) {
    total[service].waiting += backlog.waiting;
    total[service].refused += backlog.refused;
  }
}

void SubtractBacklogs(ServiceBacklogs& total, const ServiceBacklogs& backlogs) {
  for (const auto& [service, backlog] : backlogs) {
    total[service].waiting -= backlog.waiting;
    total[service].refused -= backlog.refused;
  }
  std::erase_if(total, [](const auto& entry) {
    return entry.second == ServiceBacklog{};
  });
}

}  // namespace pomeloring
