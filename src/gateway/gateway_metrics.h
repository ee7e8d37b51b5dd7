// Defines GatewayMetrics: the gateway's counters and histograms, and their
// Prometheus text format.

#ifndef POMELORING_GATEWAY_GATEWAY_METRICS_H_
#define POMELORING_GATEWAY_GATEWAY_METRICS_H_

#include <array>
#include <map>
#include <string>
#include <string_view>

#include "routing/router.h"

namespace pomeloring {

// Upper bounds of the latency buckets; one more bucket has no bound.
inline constexpr std::array<double, 10> kLatencyBoundsMs = {
    10, 25, 50, 100, 200, 400, 800, 1600, 3200, 8000};

struct LatencyHistogram {
  std::array<uint64_t, kLatencyBoundsMs.size() + 1> buckets{};
  double sum_ms = 0;
  uint64_t count = 0;
};

struct GatewayMetrics {
  // By route and outcome.
  std::map<std::pair<std::string, std::string>, uint64_t> requests;
  std::map<std::string, LatencyHistogram> first_byte;  // By route.
  std::map<std::string, uint64_t> events;          // Other counters, by name.
  std::map<std::string, uint64_t> scaling_orders;  // By result.
  std::map<std::string, double> gauges;            // By name with labels.
};

void CountRequestEnd(GatewayMetrics& metrics,
                     std::string_view route,
                     std::string_view outcome);
void ObserveFirstByte(GatewayMetrics& metrics,
                      std::string_view route,
                      Duration elapsed);
void CountEvent(GatewayMetrics& metrics, std::string_view name);

std::string FormatMetrics(const GatewayMetrics& metrics,
                          const Router& router,
                          Time now);

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_GATEWAY_METRICS_H_
