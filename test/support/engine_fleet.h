// Defines EngineFleet: engines with continuous batching in virtual time, which
// serve the attempts of one or more routers.

#ifndef POMELORING_TEST_SUPPORT_ENGINE_FLEET_H_
#define POMELORING_TEST_SUPPORT_ENGINE_FLEET_H_

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "routing/router.h"

namespace pomeloring {

struct EngineKind {
  std::string name;
  uint32_t slots = 64;
  double first_event_ms = 14;  // Fixed part of the time to the first event.
  double step_ms = 2.6;
  double step_ms_per_slot = 0.12;
  double prefill_tokens_per_ms = 48;
  uint32_t tokens_per_event = 6;
};

// The kinds of three known sites, and one with slow prefill and few slots.
std::span<const EngineKind> KnownEngineKinds();

// One request to an engine: its stream, and the router that placed it.
struct EngineJob {
  Router* router = nullptr;
  std::shared_ptr<PlacedAttempt> attempt;
  uint32_t output_tokens = 1;
  uint32_t unread_tokens = 0;
  uint32_t generated_tokens = 0;
  Time arrived;
  Time first_event_at;
  Time last_event_at;
  Duration max_event_gap{0};
};

struct FleetResult {
  uint64_t complete = 0;
  uint64_t on_time = 0;  // First event within the latency target.
  double slot_ms = 0;    // Sum of the times from placement to end.
  std::vector<Duration> max_event_gaps;  // One a stream.
};

class EngineFleet {
 public:
  EngineFleet(int engines, const EngineKind& kind);

  // Makes one engine take `factor` times as long for each step.
  void SetSlowFactor(const UpstreamName& name, double factor);
  // Adds a job at the attempt's upstream; its prompt tokens that the engine has
  // not cached are those that the placement expects to be prefilled. The
  // latency target counts from `arrived`, by default from `now`.
  void Start(Router& router,
             std::shared_ptr<PlacedAttempt> attempt,
             uint32_t output_tokens,
             Time now,
             std::optional<Time> arrived = std::nullopt);
  // Finishes all steps that end up to `now`.
  void Advance(Time now);
  // Of the jobs that have ended, by route.
  const std::map<std::string, FleetResult>& Results() const {
    return m_results;
  }
  // Time to the first event of a prompt on an idle engine, in ms.
  double IdleFirstEventMs(double tokens) const;

 private:
  struct Engine {
    std::list<EngineJob> jobs;  // In order of arrival.
    double slow_factor = 1;
    Time step_ends;
    EngineJob* prefilled = nullptr;  // By the step in progress.
    uint32_t chunk = 0;
    bool is_stepping = false;
  };

  void BeginStep(Engine& engine, Time now);
  void EndStep(Engine& engine);

  const EngineKind m_kind;
  std::map<UpstreamName, Engine> m_engines;
  std::map<std::string, FleetResult> m_results;
};

}  // namespace pomeloring

#endif  // POMELORING_TEST_SUPPORT_ENGINE_FLEET_H_
