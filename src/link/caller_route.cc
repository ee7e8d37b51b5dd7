#include "link/caller_route.h"

#include <boost/json.hpp>

#include "link/caller_api.h"

namespace pomeloring {
namespace {

namespace json = boost::json;
namespace http = boost::beast::http;

constexpr std::string_view kClassHeader = "Pomeloring-Class";
constexpr std::string_view kKeyHeader = "Idempotency-Key";
constexpr std::string_view kForwardedHeader = "Pomeloring-Forwarded";
constexpr size_t kMaxKeyBytes = 255;
// The leading part of a prompt that is hashed as its prefix.
constexpr size_t kPrefixBytes = 512;

std::string HeaderOf(const HttpRequest& request, std::string_view name) {
  const auto it = request.find(std::string(name));
  return it == request.end() ? std::string() : std::string(it->value());
}

std::string_view PathOf(const HttpRequest& request) {
  const std::string_view target = request.target();
  return target.substr(0, target.find('?'));
}

bool IsModelPath(std::string_view path) {
  return path == "/v1/chat/completions" || path == "/v1/completions";
}

std::variant<AccountName, BadRequest> FindAccount(const ClusterView& view,
                                                  const HttpRequest& request) {
  constexpr std::string_view kBearer = "Bearer ";
  const std::string value = HeaderOf(request, "Authorization");
  if (!value.starts_with(kBearer)) {
    return BadRequest{401, "missing-key", "Authorization",
                      "send 'Bearer' and the account's key"};
  }
  // Keys are looked up by their hash, so the timing does not reveal how much of
  // a guessed key is correct.
  const auto account = view.accounts_by_key.find(
      Sha256Hex(std::string_view(value).substr(kBearer.size())));
  if (account == view.accounts_by_key.end()) {
    return BadRequest{401, "unknown-account", "Authorization",
                      "no account has this key; check it"};
  }
  return account->second;
}

const Service* FindModelService(const ClusterView& view,
                                std::string_view model) {
  for (const auto& [name, service] : view.config.configuration->services) {
    for (const std::string& candidate : service.models) {
      if (candidate == model) {
        return &service;
      }
    }
  }
  return nullptr;
}

// Returns the service with the longest matching path prefix, or null.
const Service* FindPlainService(const ClusterView& view,
                                std::string_view path) {
  const Service* best = nullptr;
  for (const auto& [name, service] : view.config.configuration->services) {
    const std::string& prefix = service.path_prefix;
    const bool matches = service.kind == ServiceKind::kPlain &&
                         path.starts_with(prefix) &&
                         (path.size() == prefix.size() ||
                          path[prefix.size()] == '/' || prefix.ends_with('/'));
    if (matches &&
        (best == nullptr || prefix.size() > best->path_prefix.size())) {
      best = &service;
    }
  }
  return best;
}

std::variant<RequestClass, BadRequest> FindClass(const ClusterView& view,
                                                 const HttpRequest& request,
                                                 const Service& service) {
  const std::string name = HeaderOf(request, kClassHeader);
  const RequestClass* only = nullptr;
  size_t count = 0;
  for (const auto& [class_name, class_config] :
       view.config.configuration->classes) {
    if (class_config.service != service.name) {
      continue;
    }
    if (class_name.value == name) {
      return class_config;
    }
    only = &class_config;
    ++count;
  }
  if (name.empty() && count == 1) {
    return *only;
  }
  if (name.empty()) {
    return BadRequest{400, "missing-class", std::string(kClassHeader),
                      "name one of the classes of the service"};
  }
  return BadRequest{400, "unknown-class", std::string(kClassHeader),
                    "the service has no class of this name; check it"};
}

// Returns the prompt, or else the content of the first message. Returns an
// empty string if neither is a string.
std::string_view FirstPromptText(const json::object& body) {
  const json::value* prompt = body.if_contains("prompt");
  if (prompt != nullptr && prompt->is_string()) {
    return prompt->get_string();
  }
  const json::value* messages = body.if_contains("messages");
  if (messages == nullptr || !messages->is_array() ||
      messages->get_array().empty() || !messages->get_array()[0].is_object()) {
    return {};
  }
  const json::value* content =
      messages->get_array()[0].get_object().if_contains("content");
  return content != nullptr && content->is_string()
             ? std::string_view(content->get_string())
             : std::string_view();
}

std::optional<BadRequest> CheckPrompt(const json::object& body,
                                      std::string_view path) {
  const bool is_chat = path == "/v1/chat/completions";
  const std::string_view field = is_chat ? "messages" : "prompt";
  const json::value* value = body.if_contains(field);
  const bool is_good =
      value != nullptr && (is_chat ? value->is_array() : value->is_string());
  if (is_good) {
    return std::nullopt;
  }
  return BadRequest{400, value == nullptr ? "missing-field" : "wrong-type",
                    std::string(field),
                    is_chat ? "send a list of messages" : "send a string"};
}

std::optional<BadRequest> ReadModelBody(const HttpRequest& request,
                                        CallerRoute& route) {
  json::error_code error;
  json::value value = json::parse(request.body(), error);
  if (error) {
    return BadRequest{400, "malformed-json", "the body", "send valid JSON"};
  }
  json::object* body = value.if_object();
  if (body == nullptr) {
    return BadRequest{400, "wrong-type", "the body", "send a JSON object"};
  }
  const json::value* model = body->if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return BadRequest{400, model == nullptr ? "missing-field" : "wrong-type",
                      "model", "name a model as a string"};
  }
  if (auto bad = CheckPrompt(*body, PathOf(request))) {
    return bad;
  }
  const json::value* stream = body->if_contains("stream");
  if (stream != nullptr && !stream->is_bool()) {
    return BadRequest{400, "wrong-type", "stream", "send true or false"};
  }
  route.wants_stream = stream != nullptr && stream->get_bool();
  route.model = std::string(model->get_string());
  const std::string_view prefix =
      FirstPromptText(*body).substr(0, kPrefixBytes);
  route.request.prefix_hash = prefix.empty() ? 0 : StableHash(prefix);
  // Engines always stream, even if the caller wants one complete reply: a
  // stalled or cut stream is then detected early and can be resumed.
  (*body)["stream"] = true;
  (*body)["stream_options"] = json::object{{"include_usage", true}};
  route.upstream_body = json::serialize(*body);
  return std::nullopt;
}

std::variant<const Service*, BadRequest> FindService(const ClusterView& view,
                                                     const HttpRequest& request,
                                                     CallerRoute& route) {
  const std::string_view path = PathOf(request);
  if (IsModelPath(path)) {
    if (request.method() != http::verb::post) {
      return BadRequest{405, "unsupported-method", "the method", "use POST"};
    }
    if (auto bad = ReadModelBody(request, route)) {
      return *bad;
    }
    const Service* service = FindModelService(view, route.model);
    if (service == nullptr) {
      return BadRequest{404, "unknown-model", "model",
                        "no service has this model; check the name"};
    }
    return service;
  }
  const Service* service = FindPlainService(view, path);
  if (service == nullptr) {
    return BadRequest{404, "unknown-path", "the path",
                      "no service has this path prefix; check it"};
  }
  return service;
}

}  // namespace

std::variant<CallerRoute, BadRequest> RouteRequest(const ClusterView& view,
                                                   const HttpRequest& request,
                                                   const RequestId& id) {
  CallerRoute route;
  route.request.id = id;
  auto account = FindAccount(view, request);
  if (auto* bad = std::get_if<BadRequest>(&account)) {
    return *bad;
  }
  auto service = FindService(view, request, route);
  if (auto* bad = std::get_if<BadRequest>(&service)) {
    return *bad;
  }
  const Service& found = *std::get<const Service*>(service);
  auto class_config = FindClass(view, request, found);
  if (auto* bad = std::get_if<BadRequest>(&class_config)) {
    return *bad;
  }
  route.kind = found.kind;
  route.class_config = std::get<RequestClass>(class_config);
  route.request.account = std::get<AccountName>(account);
  route.request.request_class = route.class_config.name;
  route.request.key = HeaderOf(request, kKeyHeader);
  route.request.forwarded = !HeaderOf(request, kForwardedHeader).empty();
  const std::string_view target = request.target();
  route.request.body_hash = StableHash(request.body(), StableHash(target));
  if (route.request.key.size() > kMaxKeyBytes) {
    return BadRequest{400, "out-of-range", std::string(kKeyHeader),
                      "send at most 255 characters"};
  }
  return route;
}

}  // namespace pomeloring
