// Defines LoadFeatures: the parts of placement that a deployment's settings
// switch on. Those that concern engines act only on services whose engines have
// few slots; see kMaxScarceSlots.

#ifndef POMELORING_ROUTING_LOAD_FEATURES_H_
#define POMELORING_ROUTING_LOAD_FEATURES_H_

#include <optional>

namespace pomeloring {

struct LoadFeatures {
  // Instances share what they observe of the speed of each upstream.
  bool shares_speeds = false;
  // Some engines are kept for streams that long prefills would delay.
  bool isolates_streams = false;
  // While capacity is short, client accounts share it fairly.
  bool fair_accounts = false;
  bool prefers_idle_connections = false;
  // Requests are placed where their tokens fit into the engine's memory.
  bool places_by_memory = false;
  // What a megabyte between failure domains is worth in ms of waiting; without
  // it, flows between them are not controlled.
  std::optional<double> cross_domain_ms_per_mb;
  bool operator==(const LoadFeatures&) const = default;
};

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_LOAD_FEATURES_H_
