// Defines EngineModel: a fake of one upstream in virtual time. A model engine
// batches continuously, its step grows with the batch and it caches prefixes; a
// plain service runs each request for its own time.

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
  Duration step{4000};
  Duration step_per_sequence{500};
  double prefill_us_per_token = 60;  // Of a prompt token that is not cached.
  size_t max_running = 24;
  size_t cached_prefixes = 8;
};

// One request, with what no policy knows.
struct Job {
  size_t request = 0;  // Index into the trace.
  Tier tier;
  uint32_t prompt_tokens = 0;
  uint32_t prefix_tokens = 0;  // Of them, shared by the prefix.
  uint64_t prefix = 0;
  uint32_t output_tokens = 1;
  Duration plain_time{0};  // Of a request to a plain service.
};

struct JobEvents {
  std::function<void()> first_token;
  std::function<void(uint32_t tokens)> done;
  std::function<void(uint32_t tokens)> lost;  // The engine crashed.
};

class EngineModel {
 public:
  EngineModel(test::VirtualSite& clock, EngineSpeed speed, bool is_plain);

  // Returns false where the engine is down: nothing was started.
  bool Start(uint64_t id, const Job& job, JobEvents events);
  void Cancel(uint64_t id);
  void Crash();
  void Recover() { m_is_up = true; }
  void SetSlowFactor(double factor) { m_slow_factor = factor; }

  size_t Load() const { return m_running.size() + m_queue.size(); }
  uint64_t Tokens() const { return m_tokens; }

 private:
  struct Sequence {
    uint64_t id = 0;
    Job job;
    JobEvents events;
    uint32_t tokens = 0;
  };
  using QueueKey = std::pair<Tier, uint64_t>;  // By tier, then by arrival.

  void Admit();
  void StartStep();
  void EndStep(uint64_t epoch);
  void RunPlainRequest(const Sequence& sequence);
  Duration PrefillTime(const Job& job);
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
  Duration m_prefill{0};  // To be added to the next step.
  std::list<Sequence> m_running;
  std::map<QueueKey, Sequence> m_queue;
  std::deque<uint64_t> m_cache;
};

}  // namespace pomeloring::bench

#endif  // POMELORING_BENCH_ENGINE_MODEL_H_
