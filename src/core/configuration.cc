#include "core/configuration.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <optional>
#include <set>

#include "core/json_reader.h"

namespace pomeloring {
namespace {

constexpr size_t kMaxTextBytes = size_t{16} * 1024 * 1024;
constexpr int64_t kLowestTier = 16;
constexpr int64_t kMaxSlots = 65536;
constexpr size_t kHexDigitsOfSha256 = 64;
// The maximum wait of a class that does not set `longest_wait_ms`, as a
// multiple of its latency target.
constexpr int kDefaultMaxWaitFactor = 10;

struct ParseState {
  Configuration configuration;
  std::optional<ConfigurationError> error;
};

Upstream ReadUpstream(JsonReader reader) {
  Upstream upstream;
  upstream.name.value = reader.String("name");
  upstream.address = reader.String("address");
  upstream.failure_domain.value = reader.String("failure_domain");
  upstream.region.value = reader.String("region", false);
  upstream.slots = static_cast<uint32_t>(reader.Int("slots", 8, 1, kMaxSlots));
  upstream.checks_fencing = reader.Bool("checks_fencing", false);
  if (upstream.address.rfind(':') == std::string::npos) {
    reader.Fail(OutOfRange{reader.PathOf("address"), "IP:port"});
  }
  reader.Finish();
  return upstream;
}

Service ReadService(JsonReader& reader) {
  Service service;
  service.name.value = reader.String("name");
  const std::string kind = reader.String("kind");
  if (kind != "model" && kind != "plain") {
    reader.Fail(OutOfRange{reader.PathOf("kind"), "model or plain"});
  }
  const bool is_model = kind == "model";
  service.kind = is_model ? ServiceKind::kModel : ServiceKind::kPlain;
  service.models = reader.Strings("models");
  service.path_prefix = reader.String("path_prefix", !is_model);
  if (is_model && service.models.empty()) {
    reader.Fail(MissingField{reader.PathOf("models")});
  }
  if (!is_model && !service.path_prefix.starts_with('/')) {
    reader.Fail(
        OutOfRange{reader.PathOf("path_prefix"), "a path that starts with /"});
  }
  for (JsonReader& upstream : reader.Objects("upstreams")) {
    service.upstreams.push_back(ReadUpstream(std::move(upstream)));
  }
  for (std::string& name : reader.Strings("depends_on")) {
    service.depends_on.push_back({std::move(name)});
  }
  service.takes_orders = reader.Bool("takes_orders", false);
  service.adapters = reader.Strings("adapters");
  if (!is_model && service.takes_orders) {
    reader.Fail(
        OutOfRange{reader.PathOf("takes_orders"), "false for a plain service"});
  }
  if (!service.takes_orders && !service.adapters.empty()) {
    reader.Fail(OutOfRange{reader.PathOf("adapters"),
                           "empty unless takes_orders is true"});
  }
  reader.Finish();
  return service;
}

RequestClass ReadClass(JsonReader& reader) {
  RequestClass request_class;
  request_class.name.value = reader.String("name");
  request_class.service.value = reader.String("service");
  request_class.tier.value =
      static_cast<uint32_t>(reader.Int("tier", 1, 1, kLowestTier));
  request_class.first_token_target = reader.Millis("first_token_ms");
  request_class.between_tokens_target = reader.Millis("between_tokens_ms");
  request_class.answer_target = reader.Millis("answer_ms");
  request_class.idempotent = reader.Bool("idempotent", true);
  const std::string when_late = reader.String("when_late", false);
  if (!when_late.empty() && when_late != "drop" && when_late != "serve") {
    reader.Fail(OutOfRange{reader.PathOf("when_late"), "drop or serve"});
  }
  request_class.when_late =
      when_late == "serve" ? LatePolicy::kServe : LatePolicy::kDrop;
  const Duration target = request_class.first_token_target.count() > 0
                              ? request_class.first_token_target
                              : request_class.answer_target;
  if (target.count() == 0) {
    reader.Fail(MissingField{reader.PathOf("first_token_ms or answer_ms")});
  }
  request_class.max_wait =
      reader.Millis("longest_wait_ms", target * kDefaultMaxWaitFactor);
  reader.Finish();
  return request_class;
}

ClientAccount ReadAccount(JsonReader& reader) {
  ClientAccount account;
  account.name.value = reader.String("name");
  account.key_sha256 = reader.String("key_sha256");
  account.max_in_flight =
      static_cast<uint32_t>(reader.Int("max_in_flight", 0, 0, 1'000'000));
  const bool is_hex = account.key_sha256.find_first_not_of(
                          "0123456789abcdef") == std::string::npos;
  if (account.key_sha256.size() != kHexDigitsOfSha256 || !is_hex) {
    reader.Fail(OutOfRange{reader.PathOf("key_sha256"),
                           "64 lower-case hexadecimal digits"});
  }
  reader.Finish();
  return account;
}

template <typename Map, typename Entry>
void Insert(Map& map, Entry entry, JsonReader& reader) {
  const auto name = entry.name;
  if (!map.emplace(name, std::move(entry)).second) {
    reader.Fail(DuplicateName{reader.PathOf("name"), name.value});
  }
}

void CheckUpstreamNames(ParseState& state) {
  std::set<UpstreamName> names;
  for (const auto& [service_name, service] : state.configuration.services) {
    for (const Upstream& upstream : service.upstreams) {
      if (!names.insert(upstream.name).second && !state.error) {
        state.error =
            DuplicateName{"services.upstreams.name", upstream.name.value};
      }
    }
  }
}

void CheckReferences(ParseState& state) {
  const auto& services = state.configuration.services;
  for (const auto& [name, request_class] : state.configuration.classes) {
    if (!services.contains(request_class.service) && !state.error) {
      state.error = UnknownReference{"classes." + name.value + ".service",
                                     request_class.service.value};
    }
  }
  for (const auto& [name, service] : services) {
    for (const ServiceName& dependency : service.depends_on) {
      if (!services.contains(dependency) && !state.error) {
        state.error = UnknownReference{"services." + name.value + ".depends_on",
                                       dependency.value};
      }
    }
  }
}

// Searches depth-first for a cycle through `name`. `path` holds the services
// being visited; on success, it ends with the cycle.
bool FindCycle(const Configuration& configuration,
               const ServiceName& name,
               std::vector<ServiceName>& path,
               std::set<ServiceName>& done) {
  if (done.contains(name)) {
    return false;
  }
  const bool on_path = std::find(path.begin(), path.end(), name) != path.end();
  path.push_back(name);
  if (on_path) {
    return true;
  }
  const auto service = configuration.services.find(name);
  if (service != configuration.services.end()) {
    for (const ServiceName& dependency : service->second.depends_on) {
      if (FindCycle(configuration, dependency, path, done)) {
        return true;
      }
    }
  }
  path.pop_back();
  done.insert(name);
  return false;
}

void CheckCycles(ParseState& state) {
  std::set<ServiceName> done;
  for (const auto& [name, service] : state.configuration.services) {
    std::vector<ServiceName> path;
    if (FindCycle(state.configuration, name, path, done) && !state.error) {
      state.error = DependencyCycle{std::move(path)};
      return;
    }
  }
}

std::variant<boost::json::value, ConfigurationError> ParseJson(
    std::string_view text) {
  if (text.size() > kMaxTextBytes) {
    return OutOfRange{"the text", "at most 16 MiB"};
  }
  auto parsed = ParseJsonText(text);
  if (const auto* malformed = std::get_if<MalformedJson>(&parsed)) {
    return *malformed;
  }
  return std::get<boost::json::value>(std::move(parsed));
}

void ReadSections(const boost::json::value& json, ParseState& state) {
  JsonReader root(json, "", state.error);
  for (JsonReader& reader : root.Objects("services")) {
    Insert(state.configuration.services, ReadService(reader), reader);
  }
  for (JsonReader& reader : root.Objects("classes")) {
    Insert(state.configuration.classes, ReadClass(reader), reader);
  }
  for (JsonReader& reader : root.Objects("accounts")) {
    Insert(state.configuration.accounts, ReadAccount(reader), reader);
  }
  root.Finish();
}

boost::json::array* SectionOf(boost::json::object& text,
                              std::string_view section) {
  boost::json::value& value = text[section];
  if (!value.is_array()) {
    value.emplace_array();
  }
  return &value.get_array();
}

std::string_view NameOf(const boost::json::value& entry) {
  const boost::json::object* object = entry.if_object();
  const boost::json::value* name =
      object == nullptr ? nullptr : object->if_contains("name");
  return name != nullptr && name->is_string()
             ? std::string_view(name->get_string())
             : std::string_view();
}

void RemoveByName(boost::json::array& entries, std::string_view name) {
  for (auto it = entries.begin(); it != entries.end(); ++it) {
    if (NameOf(*it) == name) {
      entries.erase(it);
      return;
    }
  }
}

// Replaces an entry in place, so that diffs between revisions stay small.
void Upsert(boost::json::array& entries, const boost::json::value& entry) {
  for (boost::json::value& existing : entries) {
    if (NameOf(existing) == NameOf(entry)) {
      existing = entry;
      return;
    }
  }
  entries.push_back(entry);
}

constexpr std::string_view kSections[] = {"services", "classes", "accounts"};

}  // namespace

std::variant<Configuration, ConfigurationError> ParseConfiguration(
    std::string_view text) {
  auto parsed = ParseJson(text);
  if (auto* error = std::get_if<ConfigurationError>(&parsed)) {
    return std::move(*error);
  }
  ParseState state;
  ReadSections(std::get<boost::json::value>(parsed), state);
  CheckUpstreamNames(state);
  CheckReferences(state);
  CheckCycles(state);
  if (state.error) {
    return std::move(*state.error);
  }
  return std::move(state.configuration);
}

std::variant<std::string, ConfigurationError> ApplyChanges(
    std::string_view base,
    std::string_view changes) {
  auto parsed_base = ParseJson(base.empty() ? "{}" : base);
  auto parsed_changes = ParseJson(changes);
  for (auto* parsed : {&parsed_base, &parsed_changes}) {
    if (auto* error = std::get_if<ConfigurationError>(parsed)) {
      return std::move(*error);
    }
  }
  boost::json::value& text = std::get<boost::json::value>(parsed_base);
  std::optional<ConfigurationError> error;
  JsonReader reader(std::get<boost::json::value>(parsed_changes), "", error);
  std::optional<JsonReader> remove = reader.Object("remove");
  for (std::string_view section : kSections) {
    if (!text.is_object()) {
      return WrongType{"the text", "an object"};
    }
    boost::json::array* entries = SectionOf(text.get_object(), section);
    if (remove) {
      for (const std::string& name : remove->Strings(section)) {
        RemoveByName(*entries, name);
      }
    }
    reader.Objects(section);
    const boost::json::value* upserts = reader.Raw(section);
    if (upserts != nullptr && upserts->is_array()) {
      for (const boost::json::value& entry : upserts->get_array()) {
        Upsert(*entries, entry);
      }
    }
  }
  if (remove) {
    remove->Finish();
  }
  reader.Finish();
  if (error) {
    return std::move(*error);
  }
  return boost::json::serialize(text);
}

namespace {

struct Describer {
  std::string operator()(const MalformedJson& e) const {
    return fmt::format(
        "the text is not valid JSON; fix the syntax error at byte {}", e.byte);
  }
  std::string operator()(const UnknownField& e) const {
    return fmt::format("{} is not a known field; remove or rename it", e.field);
  }
  std::string operator()(const MissingField& e) const {
    return fmt::format("{} is missing; add it", e.field);
  }
  std::string operator()(const WrongType& e) const {
    return fmt::format("{} must be {}", e.field, e.expected);
  }
  std::string operator()(const OutOfRange& e) const {
    return fmt::format("{} has an invalid value; allowed: {}", e.field,
                       e.allowed);
  }
  std::string operator()(const DuplicateName& e) const {
    return fmt::format("{}: the name {} is used twice; rename one", e.field,
                       e.name);
  }
  std::string operator()(const UnknownReference& e) const {
    return fmt::format("{} names {}, which does not exist; add or rename it",
                       e.field, e.name);
  }
  std::string operator()(const DependencyCycle& e) const {
    std::string path;
    for (const ServiceName& name : e.services) {
      path += (path.empty() ? "" : " -> ") + name.value;
    }
    return fmt::format("services depend on each other in a cycle: {}; break it",
                       path);
  }
};

constexpr std::string_view kErrorNames[] = {
    "malformed-json", "unknown-field",  "missing-field",     "wrong-type",
    "out-of-range",   "duplicate-name", "unknown-reference", "dependency-cycle",
};
static_assert(std::size(kErrorNames) ==
              std::variant_size_v<ConfigurationError>);

}  // namespace

std::string Describe(const ConfigurationError& error) {
  return std::visit(Describer{}, error);
}

std::string_view TypeName(const ConfigurationError& error) {
  return kErrorNames[error.index()];
}

}  // namespace pomeloring
