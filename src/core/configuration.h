// Defines Configuration: the services, classes and accounts that operators
// publish, and the checks that a text must pass.

#ifndef POMELORING_CORE_CONFIGURATION_H_
#define POMELORING_CORE_CONFIGURATION_H_

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/ids.h"

namespace pomeloring {

enum class ServiceKind { kModel, kPlain };

// What to do with a request that can no longer meet its target.
enum class LatePolicy { kDrop, kServe };

enum class MarkState { kInService, kLeaving, kStopping };

// One back end that answers requests of a service.
struct Upstream {
  UpstreamName name;
  std::string address;  // IP:port.
  FailureDomain failure_domain;
  RegionName region;
  uint32_t slots = 1;  // Most requests to run at once.
  // Refuses orders with a fencing number below one that it has seen.
  bool checks_fencing = false;
};

struct Service {
  ServiceName name;
  ServiceKind kind = ServiceKind::kModel;
  std::vector<std::string> models;  // Of a model service.
  std::string path_prefix;          // Of a plain service.
  std::vector<Upstream> upstreams;
  std::vector<ServiceName> depends_on;
  // Its upstreams take orders to load adapters and to drain.
  bool takes_orders = false;
  std::vector<std::string> adapters;  // To be loaded on every upstream.
};

struct RequestClass {
  ClassName name;
  ServiceName service;
  Tier tier;
  Duration first_token_target{0};  // Zero: no target.
  Duration between_tokens_target{0};
  Duration answer_target{0};
  Duration max_wait{0};  // For a start; given up on after it.
  bool idempotent = true;
  LatePolicy when_late = LatePolicy::kDrop;
};

struct ClientAccount {
  AccountName name;
  std::string key_sha256;      // Lower-case hex.
  uint32_t max_in_flight = 0;  // At one entry; zero: no limit.
};

struct Configuration {
  std::map<ServiceName, Service> services;
  std::map<ClassName, RequestClass> classes;
  std::map<AccountName, ClientAccount> accounts;
};

struct MalformedJson {
  size_t byte = 0;
};
struct UnknownField {
  std::string field;
};
struct MissingField {
  std::string field;
};
struct WrongType {
  std::string field;
  std::string expected;
};
struct OutOfRange {
  std::string field;
  std::string allowed;
};
struct DuplicateName {
  std::string field;
  std::string name;
};
struct UnknownReference {
  std::string field;
  std::string name;
};
struct DependencyCycle {
  std::vector<ServiceName> services;
};
using ConfigurationError = std::variant<MalformedJson,
                                        UnknownField,
                                        MissingField,
                                        WrongType,
                                        OutOfRange,
                                        DuplicateName,
                                        UnknownReference,
                                        DependencyCycle>;

// Parses and checks a configuration text, at most 16 MiB of JSON.
std::variant<Configuration, ConfigurationError> ParseConfiguration(
    std::string_view text);

// Applies a change text to `base` and returns the new full text. A change has
// the sections of a configuration, whose entries replace those of the same
// name, and `remove`, an object of lists of names by section.
std::variant<std::string, ConfigurationError> ApplyChanges(
    std::string_view base,
    std::string_view changes);

// Returns a sentence that names the field and says what to do.
std::string Describe(const ConfigurationError& error);

// Returns the name of the error's type in lower case with hyphens.
std::string_view TypeName(const ConfigurationError& error);

}  // namespace pomeloring

#endif  // POMELORING_CORE_CONFIGURATION_H_
