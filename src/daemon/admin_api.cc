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

bool HasAdminKey(const AdminApiContext& context, const HttpRequest& request) {
  constexpr std::string_view kBearer = "Bearer ";
  const std::string_view value = request[http::field::authorization];
  if (!value.starts_with(kBearer)) {
    return false;
  }
  const std::string hash = Sha256Hex(value.substr(kBearer.size()));
  return hash.size() == context.key_sha256.size() &&
         CRYPTO_memcmp(hash.data(), context.key_sha256.data(), hash.size()) ==
             0;
}

HttpReply JsonReply(const json::value& value) {
  HttpReply reply;
  reply.body = json::serialize(value);
  return reply;
}

HttpReply ShowReadiness(const AdminApiContext& context) {
  const bool ready = context.instance.IsReady();
  HttpReply reply = JsonReply(json::object{
      {"ready", ready},
      {"reason", ready ? "" : "no configuration is in force, or stopping"}});
  reply.status = ready ? 200 : 503;
  return reply;
}

HttpReply ShowConfig(const AdminApiContext& context) {
  const auto in_force = context.instance.ConfigurationInForce();
  if (!in_force) {
    return JsonReply(json::object{{"known", false}});
  }
  json::object marks;
  for (const auto& [target, state] : in_force->marks) {
    marks[target] = ToString(state);
  }
  return JsonReply(json::object{{"known", true},
                                {"as_of", in_force->as_of.value},
                                {"revision", in_force->revision.value},
                                {"text", in_force->text},
                                {"marks", marks}});
}

HttpReply ShowMembers(const AdminApiContext& context) {
  json::array members;
  for (const Member& member : context.instance.KnownMembers()) {
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
  return JsonReply(json::object{{"members", members}});
}

json::object DescribeReplica(const ReplicaSummary& replica) {
  return {{"upstream", replica.upstream.value},
          {"running", replica.running},
          {"limit", replica.limit},
          {"step_ms", static_cast<double>(replica.step_time.count()) / 1000},
          {"leaving", replica.leaving},
          {"ejected", replica.ejected}};
}

HttpReply ShowCells(const AdminApiContext& context) {
  json::array cells;
  for (const CellSummary& cell : context.instance.Cells(Now())) {
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
  return JsonReply(json::object{{"cells", cells}});
}

HttpReply ShowEngines(const AdminApiContext& context) {
  json::array engines;
  for (const EngineRecord& engine : context.instance.Engines()) {
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
  return JsonReply(json::object{{"engines", engines}});
}

HttpReply ShowTimeline(const AdminApiContext& context) {
  json::array events;
  for (const TimelineEvent& event : context.instance.EventTimeline().Events()) {
    const bool has_request = event.request.sequence != 0;
    events.push_back(
        json::object{{"micros", event.time.micros},
                     {"counter", event.time.counter},
                     {"instance", context.instance.Settings().self.name.value},
                     {"kind", ToString(event.kind)},
                     {"request", has_request ? ToString(event.request) : ""},
                     {"subject", event.subject},
                     {"detail", event.detail}});
  }
  return JsonReply(json::object{{"events", events}});
}

HttpReply Dispatch(const AdminApiContext& context, const HttpRequest& request) {
  const std::string_view path = request.target();
  if (path == "/healthz") {
    return JsonReply(json::object{{"healthy", true}});
  }
  if (path == "/readyz") {
    return ShowReadiness(context);
  }
  if (path == "/metrics") {
    HttpReply reply;
    reply.content_type = "text/plain; version=0.0.4";
    reply.body = context.metrics.Format(context.instance, Now());
    return reply;
  }
  if (!HasAdminKey(context, request)) {
    return ProblemFor(BadRequest{401, "wrong-key", "Authorization",
                                 "send 'Bearer' and the operators' key"},
                      "");
  }
  if (path == "/v1/config") {
    return ShowConfig(context);
  }
  if (path == "/v1/members") {
    return ShowMembers(context);
  }
  if (path == "/v1/cells") {
    return ShowCells(context);
  }
  if (path == "/v1/engines") {
    return ShowEngines(context);
  }
  if (path == "/v1/timeline") {
    return ShowTimeline(context);
  }
  if (path == "/v1/stop" && request.method() == http::verb::post) {
    context.stop();
    return JsonReply(json::object{{"stopping", true}});
  }
  return ProblemFor(
      BadRequest{404, "unknown-path", "the path", "see pomeloring-ctl --help"},
      "");
}

}  // namespace

asio::awaitable<void> ServeAdmin(const AdminApiContext& context,
                                 HttpExchange& exchange) {
  co_await exchange.Respond(Dispatch(context, exchange.Request()));
}

}  // namespace pomeloring
