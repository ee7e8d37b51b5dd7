#include "support/engine_fleet.h"

#include <fmt/format.h>

#include <algorithm>

namespace pomeloring {
namespace {

Duration FromMs(double ms) {
  return Duration{static_cast<int64_t>(ms * 1000)};
}

bool IsReading(const EngineJob& job) {
  return job.unread_tokens > 0;
}

}  // namespace

std::span<const EngineKind> KnownEngineKinds() {
  static const EngineKind kinds[] = {
      {"medium", 64, 14, 2.6, 0.12, 48.2, 6},
      {"large-batch", 48, 16, 3.79, 0.0893, 56.6, 5},
      {"long-first-delay", 24, 70, 4.84, 0.0725, 74.8, 5},
      {"slow-prefill", 4, 5, 12, 0.5, 6, 1},
  };
  return kinds;
}

EngineFleet::EngineFleet(int engines, const EngineKind& kind) : m_kind(kind) {
  for (int i = 0; i < engines; ++i) {
    m_engines[{fmt::format("e{}", i)}] = {};
  }
}

void EngineFleet::SetSlowFactor(const UpstreamName& name, double factor) {
  m_engines.at(name).slow_factor = factor;
}

double EngineFleet::IdleFirstEventMs(double tokens) const {
  const double chunks = std::ceil(tokens / kPrefillChunkTokens);
  return m_kind.first_event_ms + tokens / m_kind.prefill_tokens_per_ms +
         chunks * (m_kind.step_ms + m_kind.step_ms_per_slot);
}

void EngineFleet::Start(Router& router,
                        std::shared_ptr<PlacedAttempt> attempt,
                        uint32_t output_tokens,
                        Time now,
                        std::optional<Time> arrived) {
  EngineJob job;
  job.router = &router;
  job.unread_tokens = std::max(1U, attempt->placement.pending_prefill_tokens);
  job.output_tokens = output_tokens;
  job.arrived = arrived.value_or(now);
  Engine& engine = m_engines.at(attempt->upstream->record.id);
  job.attempt = std::move(attempt);
  engine.jobs.push_back(std::move(job));
  if (!engine.is_stepping) {
    BeginStep(engine, now);
  }
}

void EngineFleet::BeginStep(Engine& engine, Time now) {
  engine.is_stepping = !engine.jobs.empty();
  if (!engine.is_stepping) {
    return;
  }
  engine.prefilled = nullptr;
  engine.chunk = 0;
  size_t running = 0;
  for (EngineJob& job : engine.jobs) {
    if (++running > m_kind.slots) {
      break;
    }
    if (IsReading(job) && engine.prefilled == nullptr) {
      engine.prefilled = &job;
      engine.chunk = std::min(job.unread_tokens,
                              static_cast<uint32_t>(kPrefillChunkTokens));
    }
  }
  running = std::min<size_t>(running, m_kind.slots);
  const double step_ms =
      m_kind.step_ms + m_kind.step_ms_per_slot * static_cast<double>(running) +
      engine.chunk / m_kind.prefill_tokens_per_ms;
  engine.step_ends = now + FromMs(step_ms * engine.slow_factor);
}

void EngineFleet::EndStep(Engine& engine) {
  const Time now = engine.step_ends;
  if (engine.prefilled != nullptr) {
    engine.prefilled->unread_tokens -= engine.chunk;
  }
  size_t running = 0;
  for (auto job = engine.jobs.begin();
       job != engine.jobs.end() && running < m_kind.slots; ++running) {
    if (IsReading(*job)) {
      ++job;
      continue;
    }
    ++job->generated_tokens;
    const bool is_done = job->generated_tokens >= job->output_tokens;
    // The fixed delay is that of the way to the caller: it delays all events
    // alike, and so only the first one.
    if (job->generated_tokens == 1) {
      const Time seen = now + FromMs(m_kind.first_event_ms);
      job->first_event_at = seen;
      job->last_event_at = seen;
      job->router->HandleEvents(*job->attempt, 1, seen);
    } else if (job->generated_tokens % m_kind.tokens_per_event == 0) {
      const Time seen = now + FromMs(m_kind.first_event_ms);
      job->max_event_gap =
          std::max(job->max_event_gap, seen - job->last_event_at);
      job->last_event_at = seen;
      job->router->HandleEvents(*job->attempt, 1, seen);
    }
    if (!is_done) {
      ++job;
      continue;
    }
    FleetResult& result = m_results[job->attempt->route];
    ++result.complete;
    result.slot_ms += ToMillis(now - job->attempt->started);
    result.max_event_gaps.push_back(job->max_event_gap);
    const Duration first = job->first_event_at - job->arrived;
    result.on_time += first <= job->attempt->latency_target ? 1 : 0;
    job->router->EndAttempt(*job->attempt, UpstreamOutcome::kServed, now);
    job = engine.jobs.erase(job);
  }
  BeginStep(engine, now);
}

void EngineFleet::Advance(Time now) {
  for (auto& [name, engine] : m_engines) {
    while (engine.is_stepping && engine.step_ends <= now) {
      EndStep(engine);
    }
  }
}

}  // namespace pomeloring
