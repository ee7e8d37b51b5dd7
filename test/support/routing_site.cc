#include "support/routing_site.h"

#include <fmt/format.h>

namespace pomeloring {
namespace {

Route MakeRoute(const std::string& name, RouteKind kind) {
  Route route;
  route.name = name;
  route.host = "site.example";
  route.path_prefix = fmt::format("/{}/", name);
  route.kind = kind;
  return route;
}

}  // namespace

UpstreamChange ReadyUpstream(const std::string& id,
                             uint64_t offset,
                             const std::string& service) {
  UpstreamRecord record;
  record.id.value = id;
  record.service.value = service;
  record.address = "127.0.0.1:1";
  record.failure_domain.value = "here";
  record.slots = 8;
  return {{id}, LogOffset{offset}, record};
}

UpstreamChange DrainingUpstream(const std::string& id, uint64_t offset) {
  UpstreamChange change = ReadyUpstream(id, offset);
  change.record->draining = true;
  return change;
}

UpstreamChange RemovedUpstream(const std::string& id, uint64_t offset) {
  return {{id}, LogOffset{offset}, std::nullopt};
}

void ApplyUpdate(Router& router, const UpstreamUpdate& update, Time now) {
  if (update.is_whole_list) {
    router.ApplyUpstreamList(update.changes, update.as_of, now);
  } else {
    router.ApplyUpstreamChanges(update.changes, update.as_of, now);
  }
}

bool FetchUpstreams(Router& router, Router& peer, Time now) {
  const PeerDigest digest = peer.BuildDigest(false, true, now);
  if (!router.AreUpstreamsBehind(digest)) {
    return false;
  }
  const LogOffset known = router.UpstreamsKnownTo(digest);
  ApplyUpdate(router, UpdateSince(peer.Upstreams(), known), now);
  return true;
}

std::shared_ptr<const RoutingConfig> SmallRouting(uint64_t version) {
  auto config = std::make_shared<RoutingConfig>();
  config->version = version;
  Route question = MakeRoute("question", RouteKind::kStreaming);
  question.latency_target = milliseconds(400);
  question.event_gap_target = milliseconds(300);
  question.timeout = seconds(12);
  question.services = {{{kEngineService}, 1}};
  Route draft = MakeRoute("draft", RouteKind::kStreaming);
  draft.latency_target = milliseconds(2500);
  draft.event_gap_target = milliseconds(1200);
  draft.timeout = seconds(15);
  draft.priority = 2;
  draft.max_attempts = 2;
  draft.resumable = true;
  draft.services = {{{kEngineService}, 1}};
  Route tag = MakeRoute("tag", RouteKind::kStreaming);
  tag.latency_target = milliseconds(500);
  tag.timeout = seconds(3);
  tag.priority = 1;
  tag.services = {{{kEngineService}, 1}};
  Route stamp = MakeRoute("stamp", RouteKind::kNonIdempotent);
  stamp.latency_target = milliseconds(100);
  stamp.services = {{{kPlainService}, 1}};
  config->routes = {question, tag, draft, stamp};
  config->services[{kEngineService}] = {
      {kEngineService}, "/health", 300, EngineTraits{64, 400000, 6}};
  config->services[{kPlainService}] = {
      {kPlainService}, "/health", 90, std::nullopt};
  IndexRoutes(*config);
  return config;
}

std::unique_ptr<Router> ReadyRouter(int engines,
                                    Time now,
                                    const InstanceName& name) {
  RouterSettings settings;
  settings.name = name;
  settings.failure_domain.value = "here";
  auto router = std::make_unique<Router>(settings);
  router->ApplyConfig(SmallRouting());
  std::vector<UpstreamChange> list;
  for (int i = 0; i < engines; ++i) {
    list.push_back(ReadyUpstream(fmt::format("e{}", i), 0));
  }
  router->ApplyUpstreamList(list, LogOffset{1}, now);
  return router;
}

AttemptRequest RequestOn(const Router& router,
                         const std::string& route,
                         uint32_t prompt_tokens) {
  AttemptRequest request;
  const auto config = router.Config();
  for (const Route& candidate : config->routes) {
    if (candidate.name == route) {
      request.route = &candidate;
    }
  }
  request.service = request.route->services.front().service;
  request.prompt_tokens = prompt_tokens;
  request.time_left = seconds(12);
  return request;
}

}  // namespace pomeloring
