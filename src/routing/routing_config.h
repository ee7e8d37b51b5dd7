// Defines RoutingConfig: the routes, services, client accounts and limits of
// pass-through routing.

#ifndef POMELORING_ROUTING_ROUTING_CONFIG_H_
#define POMELORING_ROUTING_ROUTING_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/ids.h"

namespace pomeloring {

// Which requests of a route may be retried, and how they are answered.
enum class RouteKind {
  kIdempotent,
  kNonIdempotent,
  kStreaming,
};

struct WeightedService {
  ServiceName service;
  uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  // Starts and ends with a slash.
  RouteKind kind = RouteKind::kNonIdempotent;
  Duration timeout{0};           // For the whole answer; zero: none.
  Duration latency_target{0};    // To the answer or a stream's first event.
  Duration event_gap_target{0};  // Between a stream's events; zero: none.
  uint32_t priority = 0;         // 0 is the highest.
  std::vector<WeightedService> services;
  uint32_t max_attempts = 1;
  bool allow_anonymous = false;
  // Whether an interrupted stream may be requested again from the event after
  // the last one received.
  bool resumable = false;
  // Number of lower priorities among the routes to the same services; see
  // IndexRoutes().
  uint32_t lower_priority_count = 0;
};

// For a service whose upstreams are model engines.
struct EngineTraits {
  uint32_t batch_slots = 1;    // Requests that run at the same time.
  uint64_t memory_tokens = 0;  // Capacity of the key-value cache.
  uint32_t tokens_per_event = 1;
};

// Bounds and prices of the upstreams that may be ordered for a service.
struct ScalingLimits {
  uint32_t min =
      0;  // In each failure domain, regular and reclaimable together.
  uint32_t max = 0;
  Duration startup{0};  // From an order until a new upstream serves.
  // Price of a second of a reclaimable upstream over that of a regular one;
  // nothing if there are none to be had.
  std::optional<double> reclaimable_price;
  // Price of a second of a regular upstream by failure domain.
  std::map<FailureDomain, double> domain_prices;
};

struct RoutedService {
  ServiceName name;
  std::string health_path;
  uint32_t max_connections = 0;  // To one upstream, over all instances.
  std::optional<EngineTraits> engine;
  // Without it, the operator alone starts and stops upstreams.
  std::optional<ScalingLimits> scaling;
  // The shortest event gap target of the routes to it; zero: none. See
  // IndexRoutes().
  Duration min_event_gap_target{0};
};

struct RoutedAccount {
  AccountName name;
  uint32_t priority = 0;  // Takes precedence over the route's priority.
};

struct ClientLimits {
  uint32_t header_bytes = 16 * 1024;
  uint64_t body_bytes = uint64_t{4} * 1024 * 1024;
  Duration header_timeout = seconds(3);
  Duration idle_timeout = seconds(15);
};

struct RoutingConfig {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceName, RoutedService> services;
  std::vector<RoutedAccount> accounts;
  std::unordered_map<std::string, size_t> account_by_key;
  ClientLimits limits;
  // Route indices by host, longest prefix first; see IndexRoutes().
  std::unordered_map<std::string, std::vector<size_t>> routes_by_host;
};

// Sets `routes_by_host`, with hosts in lower case, `lower_priority_count` and
// `min_event_gap_target`.
void IndexRoutes(RoutingConfig& config);

// Returns the route of `host` with the longest prefix of `target`'s path, or
// null. Ignores a port in `host` and a query in `target`.
const Route* FindRoute(const RoutingConfig& config,
                       std::string_view host,
                       std::string_view target);

// Returns the account that holds `key`, or null.
const RoutedAccount* FindAccount(const RoutingConfig& config,
                                 std::string_view key);

// Chooses one of the route's services by weight; the same `hash` always gives
// the same service.
const ServiceName& ChooseService(const Route& route, uint64_t hash);

// Whether a request of this route may be executed more than once.
bool IsRetryable(const Route& route);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_ROUTING_CONFIG_H_
