#include "policy/engine_model.h"

#include <algorithm>

namespace pomeloring::bench {

EngineModel::EngineModel(test::VirtualSite& clock,
                         EngineSpeed speed,
                         bool is_plain)
    : m_clock(clock), m_speed(speed), m_is_plain(is_plain) {}

bool EngineModel::Start(uint64_t id, const Job& job, JobEvents events) {
  if (!m_is_up) {
    return false;
  }
  m_queue[{job.tier, m_next_arrival++}] = {id, job, std::move(events), 0};
  Admit();
  if (!m_is_plain && !m_is_stepping) {
    StartStep();
  }
  return true;
}

void EngineModel::Cancel(uint64_t id) {
  m_running.remove_if([&](const Sequence& s) { return s.id == id; });
  std::erase_if(m_queue,
                [&](const auto& entry) { return entry.second.id == id; });
  Admit();
}

void EngineModel::Crash() {
  m_is_up = false;
  m_is_stepping = false;
  ++m_epoch;
  std::list<Sequence> running = std::move(m_running);
  std::map<QueueKey, Sequence> waiting = std::move(m_queue);
  m_running.clear();
  m_queue.clear();
  m_cache.clear();
  for (const Sequence& sequence : running) {
    sequence.events.lost(sequence.tokens);
  }
  for (const auto& [place, sequence] : waiting) {
    sequence.events.lost(0);
  }
}

bool EngineModel::UseCachedPrefix(uint64_t prefix) {
  const auto it = std::find(m_cache.begin(), m_cache.end(), prefix);
  const bool is_cached = it != m_cache.end();
  if (is_cached) {
    m_cache.erase(it);
  }
  m_cache.push_back(prefix);
  if (m_cache.size() > m_speed.cached_prefixes) {
    m_cache.pop_front();
  }
  return is_cached;
}

Duration EngineModel::PrefillTime(const Job& job) {
  const bool is_cached = job.prefix != 0 && UseCachedPrefix(job.prefix);
  const uint32_t tokens =
      job.prompt_tokens - (is_cached ? job.prefix_tokens : 0);
  return Duration{static_cast<int64_t>(m_speed.prefill_us_per_token * tokens)};
}

void EngineModel::Admit() {
  while (m_running.size() < m_speed.max_running && !m_queue.empty()) {
    Sequence sequence = std::move(m_queue.begin()->second);
    m_queue.erase(m_queue.begin());
    if (m_is_plain) {
      RunPlainRequest(sequence);
    } else {
      m_prefill += PrefillTime(sequence.job);
    }
    m_running.push_back(std::move(sequence));
  }
}

void EngineModel::RunPlainRequest(const Sequence& sequence) {
  const auto time = std::chrono::duration_cast<Duration>(
      sequence.job.plain_time * m_slow_factor);
  m_clock.ScheduleAt(m_clock.Now() + time, [this, id = sequence.id,
                                            epoch = m_epoch] {
    const auto it = std::find_if(m_running.begin(), m_running.end(),
                                 [&](const Sequence& s) { return s.id == id; });
    if (epoch != m_epoch || it == m_running.end()) {
      return;
    }
    const JobEvents events = it->events;
    m_running.erase(it);
    ++m_tokens;
    events.first_token();
    events.done(1);
    Admit();
  });
}

void EngineModel::StartStep() {
  m_is_stepping = true;
  const Duration step_time =
      m_speed.step +
      m_speed.step_per_sequence * static_cast<int64_t>(m_running.size()) +
      m_prefill;
  m_prefill = Duration{0};
  m_clock.ScheduleAt(m_clock.Now() + std::chrono::duration_cast<Duration>(
                                         step_time * m_slow_factor),
                     [this, epoch = m_epoch] { EndStep(epoch); });
}

void EngineModel::EndStep(uint64_t epoch) {
  if (epoch != m_epoch) {
    return;
  }
  std::vector<JobEvents> first;
  std::vector<std::pair<JobEvents, uint32_t>> done;
  for (auto it = m_running.begin(); it != m_running.end();) {
    ++it->tokens;
    ++m_tokens;
    if (it->tokens == 1) {
      first.push_back(it->events);
    }
    if (it->tokens >= it->job.output_tokens) {
      done.emplace_back(it->events, it->tokens);
      it = m_running.erase(it);
    } else {
      ++it;
    }
  }
  Admit();
  m_is_stepping = false;
  if (!m_running.empty()) {
    StartStep();
  }
  for (const JobEvents& events : first) {
    events.first_token();
  }
  for (const auto& [events, tokens] : done) {
    events.done(tokens);
  }
}

}  // namespace pomeloring::bench
