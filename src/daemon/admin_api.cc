#include "daemon/admin_api.h"

#include <fmt/format.h>
#include <openssl/crypto.h>

#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include "link/caller_api.h"
#include "link/clock.h"
#include "link/problem.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

bool HasKey(const AdminApiParts& parts, const HttpRequest& request) {
  constexpr std::string_view kBearer = "Bearer ";
  const std::string_view value = request[http::field::authorization];
  if (!value.starts_with(kBearer)) {
    return false;
  }
  const std::string hash = HashKey(value.substr(kBearer.size()));
  return hash.size() == parts.key_sha256.size() &&
         CRYPTO_memcmp(hash.data(), parts.key_sha256.data(), hash.size()) == 0;
}

HttpReply Json(const json::value& value) {
  HttpReply reply;
  reply.body = json::serialize(value);
  return reply;
}

HttpReply Ready(const AdminApiParts& parts) {
  const bool ready = parts.instance.IsReady();
  HttpReply reply = Json(json::object{
      {"ready", ready},
      {"reason", ready ? "" : "no configuration is in force, or stopping"}});
  reply.status = ready ? 200 : 503;
  return reply;
}

HttpReply ShowConfig(const AdminApiParts& parts) {
  const auto in_force = parts.instance.ConfigurationInForce();
  if (!in_force) {
    return Json(json::object{{"known", false}});
  }
  json::object marks;
  for (const auto& [target, state] : in_force->marks) {
    marks[target] = ToString(state);
  }
  return Json(json::object{{"known", true},
                           {"as_of", in_force->as_of.value},
                           {"revision", in_force->revision.value},
                           {"text", in_force->text},
                           {"marks", marks}});
}

HttpReply ShowMembers(const AdminApiParts& parts) {
  json::array members;
  for (const Member& member : parts.instance.KnownMembers()) {
    members.push_back(json::object{
        {"name", member.name.value},
        {"status", ToString(member.status)},
        {"leaving", member.leaving},
        {"incarnation", fmt::format("{:016x}", member.incarnation.value)},
        {"version", member.version},
        {"failure_domain", member.failure_domain.value},
        {"region", member.region.value},
        {"caller_address", member.caller_address}});
  }
  return Json(json::object{{"members", members}});
}

json::object DescribeReplica(const ReplicaSummary& replica) {
  return {{"upstream", replica.upstream.value},
          {"running", replica.running},
          {"limit", replica.limit},
          {"step_ms", static_cast<double>(replica.step_time.count()) / 1000},
          {"leaving", replica.leaving},
          {"ejected", replica.ejected}};
}

HttpReply ShowCells(const AdminApiParts& parts) {
  json::array cells;
  for (const CellSummary& cell : parts.instance.Cells(Now())) {
    json::array replicas;
    for (const ReplicaSummary& replica : cell.replicas) {
      replicas.push_back(DescribeReplica(replica));
    }
    json::object waiting;
    for (const auto& [tier, count] : cell.waiting) {
      waiting[std::to_string(tier.value)] = count;
    }
    cells.push_back(json::object{{"cell", cell.id.value},
                                 {"is_scheduler", cell.is_scheduler},
                                 {"waiting", waiting},
                                 {"replicas", replicas}});
  }
  return Json(json::object{{"cells", cells}});
}

HttpReply ShowEngines(const AdminApiParts& parts) {
  json::array engines;
  for (const EngineRecord& engine : parts.instance.Engines()) {
    engines.push_back(
        json::object{{"upstream", engine.upstream.name.value},
                     {"checks_fencing", engine.upstream.checks_fencing},
                     {"adapters", json::array(engine.desired.adapters.begin(),
                                              engine.desired.adapters.end())},
                     {"draining", engine.desired.draining},
                     {"fencing", engine.as_of.value},
                     {"confirmed", engine.confirmed},
                     {"failures", engine.consecutive_failures}});
  }
  return Json(json::object{{"engines", engines}});
}

HttpReply ShowTimeline(const AdminApiParts& parts) {
  json::array events;
  for (const TimelineEvent& event : parts.instance.EventTimeline().Events()) {
    const bool has_request = event.request.sequence != 0;
    events.push_back(
        json::object{{"micros", event.time.micros},
                     {"counter", event.time.counter},
                     {"instance", parts.instance.Settings().self.name.value},
                     {"kind", ToString(event.kind)},
                     {"request", has_request ? ToString(event.request) : ""},
                     {"subject", event.subject},
                     {"detail", event.detail}});
  }
  return Json(json::object{{"events", events}});
}

HttpReply Route(const AdminApiParts& parts, const HttpRequest& request) {
  const std::string_view path = request.target();
  if (path == "/healthz") {
    return Json(json::object{{"healthy", true}});
  }
  if (path == "/readyz") {
    return Ready(parts);
  }
  if (path == "/metrics") {
    HttpReply reply;
    reply.content_type = "text/plain; version=0.0.4";
    reply.body = parts.metrics.Write(parts.instance, Now());
    return reply;
  }
  if (!HasKey(parts, request)) {
    return ProblemFor(BadRequest{401, "wrong-key", "Authorization",
                                 "send 'Bearer' and the operators' key"},
                      "");
  }
  if (path == "/v1/config") {
    return ShowConfig(parts);
  }
  if (path == "/v1/members") {
    return ShowMembers(parts);
  }
  if (path == "/v1/cells") {
    return ShowCells(parts);
  }
  if (path == "/v1/engines") {
    return ShowEngines(parts);
  }
  if (path == "/v1/timeline") {
    return ShowTimeline(parts);
  }
  if (path == "/v1/stop" && request.method() == http::verb::post) {
    parts.stop();
    return Json(json::object{{"stopping", true}});
  }
  return ProblemFor(
      BadRequest{404, "unknown-path", "the path", "see pomeloring-ctl --help"},
      "");
}

}  // namespace

asio::awaitable<void> ServeAdmin(const AdminApiParts& parts,
                                 HttpExchange& exchange) {
  co_await exchange.Respond(Route(parts, exchange.Request()));
}

}  // namespace pomeloring
