// Defines EngineModel: a simulated upstream in virtual time. A model engine
// uses continuous batching, with a step time that grows with the batch, and
// caches prompt prefixes. A plain service takes a given time for each request.

#ifndef POMELORING_BENCH_ENGINE_MODEL_H_
#define POMELORING_BENCH_ENGINE_MODEL_H_

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>

#include "support/virtual_site.h"

namespace pomeloring::bench {

struct EngineSpeed {
  Duration step{4000};  // Fixed part of the time of one step.
  Duration step_per_sequence{500};
  double prefill_us_per_token = 60;  // Per uncached prompt token.
  size_t max_running = 24;
  size_t cached_prefixes = 8;
};

// One request, with the lengths and times that no policy knows in advance.
struct Job {
  size_t request = 0;  // Index into the trace.
  Tier tier;
  uint32_t prompt_tokens = 0;
  uint32_t prefix_tokens = 0;  // Of these, the tokens of the shared prefix.
  uint64_t prefix = 0;         // Identifies the shared prefix; 0: none.
  uint32_t output_tokens = 1;
  Duration plain_time{0};  // Service time at a plain service.
};

// Callbacks of a job. `tokens` counts the generated ones.
struct JobEvents {
  std::function<void()> first_token;
  std::function<void(uint32_t tokens)> done;
  std::function<void(uint32_t tokens)> lost;  // The engine crashed.
};

class EngineModel {
 public:
  EngineModel(test::VirtualSite& clock, EngineSpeed speed, bool is_plain);

  // Queues a job. Returns false, without effect, if the engine is down.
  bool Start(uint64_t id, const Job& job, JobEvents events);
  // Removes a job, if the engine has it, without calling its events.
  void Cancel(uint64_t id);
  // Stops the engine, empties its cache and calls `lost` for all its jobs.
  void Crash();
  void Recover() { m_is_up = true; }
  void SetSlowFactor(double factor) { m_slow_factor = factor; }

  // Running and queued jobs.
  size_t Load() const { return m_running.size() + m_queue.size(); }
  // Tokens generated so far, for all jobs.
  uint64_t Tokens() const { return m_tokens; }

 private:
  struct Sequence {
    uint64_t id = 0;
    Job job;
    JobEvents events;
    uint32_t tokens = 0;
  };
  using QueueKey = std::pair<Tier, uint64_t>;  // Tier, then order of arrival.

  void Admit();
  void StartStep();
  void EndStep(uint64_t epoch);
  void RunPlainRequest(const Sequence& sequence);
  Duration PrefillTime(const Job& job);
  // Makes `prefix` the most recently used. Returns whether it was cached.
  bool UseCachedPrefix(uint64_t prefix);

  test::VirtualSite& m_clock;
  const EngineSpeed m_speed;
  const bool m_is_plain;
  bool m_is_up = true;
  bool m_is_stepping = false;
  double m_slow_factor = 1;
  uint64_t m_epoch = 0;
  uint64_t m_next_arrival = 0;
  uint64_t m_tokens = 0;
  Duration m_prefill{0};  // Prefill work to add to the next step.
  std::list<Sequence> m_running;
  std::map<QueueKey, Sequence> m_queue;
  std::deque<uint64_t> m_cache;
};

}  // namespace pomeloring::bench

#endif  // POMELORING_BENCH_ENGINE_MODEL_H_
