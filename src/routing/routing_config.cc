#include "routing/routing_config.h"

#include <algorithm>
#include <set>

namespace pomeloring {
namespace {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return lower;
}

void CountLowerPriorities(RoutingConfig& config) {
  std::map<ServiceName, std::set<uint32_t>> priorities;
  for (const Route& route : config.routes) {
    for (const WeightedService& entry : route.services) {
      priorities[entry.service].insert(route.priority);
    }
  }
  for (Route& route : config.routes) {
    std::set<uint32_t> lower;
    for (const WeightedService& entry : route.services) {
      const auto& all = priorities[entry.service];
      lower.insert(all.upper_bound(route.priority), all.end());
    }
    route.lower_priority_count = static_cast<uint32_t>(lower.size());
  }
}

void FindMinEventGapTargets(RoutingConfig& config) {
  for (auto& [name, service] : config.services) {
    service.min_event_gap_target = Duration{0};
  }
  for (const Route& route : config.routes) {
    for (const WeightedService& entry : route.services) {
      const auto service = config.services.find(entry.service);
      if (service == config.services.end() ||
          route.event_gap_target <= Duration{0}) {
        continue;
      }
      Duration& target = service->second.min_event_gap_target;
      target = target == Duration{0} ? route.event_gap_target
                                     : std::min(target, route.event_gap_target);
    }
  }
}

}  // namespace

void IndexRoutes(RoutingConfig& config) {
  CountLowerPriorities(config);
  FindMinEventGapTargets(config);
  config.routes_by_host.clear();
  for (size_t i = 0; i < config.routes.size(); ++i) {
    config.routes_by_host[LowerCase(config.routes[i].host)].push_back(i);
  }
  for (auto& [host, indices] : config.routes_by_host) {
    std::stable_sort(indices.begin(), indices.end(), [&](size_t a, size_t b) {
      return config.routes[a].path_prefix.size() >
             config.routes[b].path_prefix.size();
    });
  }
}

const Route* FindRoute(const RoutingConfig& config,
                       std::string_view host,
                       std::string_view target) {
  const auto found =
      config.routes_by_host.find(LowerCase(host.substr(0, host.find(':'))));
  if (found == config.routes_by_host.end()) {
    return nullptr;
  }
  const std::string_view path = target.substr(0, target.find('?'));
  for (const size_t index : found->second) {
    if (path.starts_with(config.routes[index].path_prefix)) {
      return &config.routes[index];
    }
  }
  return nullptr;
}

const RoutedAccount* FindAccount(const RoutingConfig& config,
                                 std::string_view key) {
  const auto found = config.account_by_key.find(std::string(key));
  return found == config.account_by_key.end() ? nullptr
                                              : &config.accounts[found->second];
}

const ServiceName& ChooseService(const Route& route, uint64_t hash) {
  uint64_t total = 0;
  for (const WeightedService& entry : route.services) {
    total += entry.weight;
  }
  uint64_t remaining = total == 0 ? 0 : hash % total;
  for (const WeightedService& entry : route.services) {
    if (remaining < entry.weight) {
      return entry.service;
    }
    remaining -= entry.weight;
  }
  return route.services.front().service;
}

bool IsRetryable(const Route& route) {
  return route.kind == RouteKind::kIdempotent ||
         (route.kind == RouteKind::kStreaming && route.resumable);
}

}  // namespace pomeloring
