#include "gateway/isolation_log.h"

#include <fmt/format.h>

namespace pomeloring {
namespace {

constexpr Duration kMinLogInterval = seconds(1);
constexpr size_t kMinChangeDivisor = 4;

}  // namespace

void LogIsolationChanges(IsolationLog& logged,
                         const Router& router,
                         Log& log,
                         Time now) {
  for (const auto& [service, isolated] : router.Isolated()) {
    LoggedIsolation& last = logged[service];
    const size_t change = isolated.count > last.count
                              ? isolated.count - last.count
                              : last.count - isolated.count;
    if (change * kMinChangeDivisor <= last.count ||
        now - last.logged_at < kMinLogInterval) {
      continue;
    }
    log.Write(
        LogLevel::kInfo, "isolated-engines",
        {{"service", service.value},
         {"count", std::to_string(isolated.count)},
         {"before", std::to_string(last.count)},
         {"engines", std::to_string(isolated.load.engines)},
         {"streams", fmt::format("{:.0f}", isolated.load.sensitive_streams)},
         {"knows_peers", isolated.load.knows_peers ? "true" : "false"}});
    last = {isolated.count, now};
  }
}

}  // namespace pomeloring
