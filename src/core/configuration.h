// Defines Configuration: the services, request classes and client accounts that
// operators publish, with the parser that validates a configuration text.

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

// What to do with a request that can no longer meet its latency target.
enum class LatePolicy { kDrop, kServe };

// Set by operators on an upstream or an instance.
enum class MarkState { kInService, kLeaving, kStopping };

// A back end that serves requests of a service.
struct Upstream {
  UpstreamName name;
  std::string address;  // IP:port.
  FailureDomain failure_domain;
  RegionName region;
  uint32_t slots = 1;  // Max concurrent requests.
  // Rejects orders whose fencing number is below the largest it has seen.
  bool checks_fencing = false;
};

struct Service {
  ServiceName name;
  ServiceKind kind = ServiceKind::kModel;
  std::vector<std::string> models;  // For kModel: the models it serves.
  std::string path_prefix;          // For kPlain: the paths it serves.
  std::vector<Upstream> upstreams;
  std::vector<ServiceName> depends_on;
  // Its upstreams accept orders to load adapters and to drain.
  bool takes_orders = false;
  std::vector<std::string> adapters;  // To load on every upstream.
};

struct RequestClass {
  ClassName name;
  ServiceName service;
  Tier tier;
  // Latency targets; zero: no target.
  Duration first_token_target{0};
  Duration between_tokens_target{0};
  Duration answer_target{0};
  // With LatePolicy::kServe, a request that has not started within this time
  // expires. With kDrop, it expires at its target. Once a part of its answer
  // was delivered, it may wait this much longer.
  Duration max_wait{0};
  bool idempotent = true;
  LatePolicy when_late = LatePolicy::kDrop;
};

struct ClientAccount {
  AccountName name;
  std::string key_sha256;      // Of the API key; lower-case hexadecimal.
  uint32_t max_in_flight = 0;  // Per entry instance; zero: no limit.
};

struct Configuration {
  std::map<ServiceName, Service> services;
  std::map<ClassName, RequestClass> classes;
  std::map<AccountName, ClientAccount> accounts;
};

// Errors of a configuration text. `field` is the path of the field at fault,
// with dots between names.
struct MalformedJson {
  size_t byte = 0;  // Offset at which parsing failed.
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

// Parses and validates a configuration text: JSON of at most 16 MiB. Returns
// the first error found.
std::variant<Configuration, ConfigurationError> ParseConfiguration(
    std::string_view text);

// Applies a change to the text `base` and returns the new full text, not yet
// validated. A change has the sections of a configuration, whose entries are
// added or replace those of the same name, and `remove`, an object that lists
// the names to remove by section.
std::variant<std::string, ConfigurationError> ApplyChanges(
    std::string_view base,
    std::string_view changes);

// Returns a message for operators: the field, the error and the remedy.
std::string Describe(const ConfigurationError& error);

// Returns the error's type as a stable identifier, such as "unknown-field".
std::string_view TypeName(const ConfigurationError& error);

}  // namespace pomeloring

#endif  // POMELORING_CORE_CONFIGURATION_H_
