#include "support/virtual_site.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace pomeloring::test {
namespace {

constexpr Duration kLogDelay = milliseconds(2);
constexpr Duration kLogPoll = milliseconds(50);
constexpr Duration kLogRetry = milliseconds(500);

std::string LinkAddress(size_t host) {
  return fmt::format("10.0.0.{}:1", host + 1);
}

std::string ProbeAddress(size_t host) {
  return fmt::format("10.0.0.{}:2", host + 1);
}

std::string CallerAddress(size_t host) {
  return fmt::format("10.0.0.{}:3", host + 1);
}

}  // namespace

VirtualSite::VirtualSite(SiteOptions options)
    : m_options(std::move(options)), m_random(m_options.seed) {
  hosts.resize(m_options.instances);
  for (LogStream stream : {LogStream::kConfiguration, LogStream::kClaims}) {
    log.first[stream] = 1;
  }
  auto parsed = ParseConfiguration(m_options.config_text);
  for (const auto& [name, service] : std::get<Configuration>(parsed).services) {
    for (const Upstream& upstream : service.upstreams) {
      upstreams[upstream.name].upstream = upstream;
    }
  }
  Publish(Revision{0}, m_options.config_text);
  for (size_t i = 0; i < hosts.size(); ++i) {
    hosts[i].name.value = fmt::format("entry-{}", i + 1);
    Boot(i);
  }
}

bool VirtualSite::Chance(double rate) {
  return rate > 0 && static_cast<double>(Random() % 1'000'000) < rate * 1e6;
}

void VirtualSite::ScheduleAt(Time at, std::function<void()> run) {
  m_events.push({std::max(at, m_now), m_next_sequence++, std::move(run)});
}

void VirtualSite::ScheduleOnHost(size_t host,
                                 Time at,
                                 std::function<void()> run) {
  const uint64_t generation = hosts[host].generation;
  ScheduleAt(at, [this, host, generation, run = std::move(run)] {
    Host& to = hosts[host];
    if (!to.is_up || to.generation != generation) {
      return;
    }
    if (to.is_paused) {
      to.deferred.push_back(run);
      return;
    }
    run();
  });
}

void VirtualSite::RunFor(Duration duration) {
  RunUntil([] { return false; }, duration);
}

bool VirtualSite::RunUntil(const std::function<bool()>& done, Duration limit) {
  const Time end = m_now + limit;
  while (!m_events.empty() && m_events.top().at <= end) {
    if (done()) {
      return true;
    }
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.run();
    if (after_step) {
      after_step();
    }
  }
  m_now = end;
  return done();
}

void VirtualSite::Boot(size_t index) {
  Host& host = hosts[index];
  Member self;
  self.name = host.name;
  self.incarnation =
      Incarnation{static_cast<uint64_t>(m_now.time_since_epoch().count()) * 8 +
                  m_next_generation};
  self.link_address = LinkAddress(index);
  self.probe_address = ProbeAddress(index);
  self.caller_address = CallerAddress(index);
  self.failure_domain.value = fmt::format("domain-{}", index % 3);
  std::vector<std::string> seeds;
  for (size_t i = 0; i < hosts.size(); ++i) {
    seeds.push_back(ProbeAddress(i));
  }
  InstanceSettings settings;
  settings.self = std::move(self);
  settings.seeds = std::move(seeds);
  settings.random_seed = Random();
  settings.timeline_capacity = m_options.timeline_capacity;
  host.instance = std::make_unique<Instance>(std::move(settings));
  host.generation = m_next_generation++;
  host.is_up = true;
  host.is_paused = false;
  host.is_stopping = false;
  host.deferred.clear();
  ScheduleOnHost(index, m_now, [this, index] { Tick(index); });
  for (LogStream stream : {LogStream::kConfiguration, LogStream::kClaims}) {
    ScheduleOnHost(index, m_now,
                   [this, index, stream] { ReadLog(index, stream); });
  }
}

void VirtualSite::Tick(size_t host) {
  ScheduleOnHost(host, m_now + m_options.tick, [this, host] { Tick(host); });
  PerformAll(host, hosts[host].instance->HandleTick(m_now));
}

void VirtualSite::ReadLog(size_t host, LogStream stream) {
  const Time replied = m_now + kLogDelay;
  if (log.is_down) {
    ScheduleOnHost(host, replied, [this, host, stream] {
      PerformAll(host,
                 hosts[host].instance->HandleLogReadFailed(stream, m_now));
    });
    ScheduleOnHost(host, m_now + kLogRetry,
                   [this, host, stream] { ReadLog(host, stream); });
    return;
  }
  const uint64_t from = hosts[host].instance->NextOffset(stream).value;
  const uint64_t first = log.first[stream];
  std::vector<LogRecord> records;
  const auto& all = log.records[stream];
  for (uint64_t offset = std::max(from, first); offset <= all.size();
       ++offset) {
    records.push_back({LogOffset{offset}, all[offset - 1]});
  }
  ScheduleOnHost(host, replied, [this, host, stream, records, first] {
    PerformAll(host, hosts[host].instance->HandleLogRead(
                         stream, records, LogOffset{first}, true, m_now));
  });
  ScheduleOnHost(host, m_now + kLogPoll,
                 [this, host, stream] { ReadLog(host, stream); });
}

// --- Callers, faults and operators -----------------------------------------

size_t VirtualSite::Submit(size_t host,
                           std::string request_class,
                           std::string body,
                           std::string key,
                           std::string account) {
  CallerRecord record;
  record.host = host;
  record.request_class.value = std::move(request_class);
  record.key = std::move(key);
  record.body = std::move(body);
  record.sent = m_now;
  Host& to = hosts[host];
  if (!to.is_up) {
    record.host_lost = true;
    callers.push_back(record);
    return callers.size() - 1;
  }
  record.id = to.instance->NextRequestId();
  callers.push_back(record);
  const size_t index = callers.size() - 1;
  m_record_index[record.id] = index;
  CallerRequest request;
  request.id = record.id;
  request.request_class = record.request_class;
  request.account.value = std::move(account);
  request.body_hash = StableHash(record.body);
  request.prefix_hash =
      StableHash(record.body.substr(0, record.body.find('|')));
  request.key = record.key;
  ScheduleOnHost(host, m_now, [this, host, request] {
    PerformAll(host, hosts[host].instance->HandleCallerRequest(request, m_now));
  });
  return index;
}

void VirtualSite::CallerDisconnected(size_t caller) {
  const CallerRecord& record = callers[caller];
  ScheduleOnHost(
      record.host, m_now, [this, id = record.id, host = record.host] {
        PerformAll(host,
                   hosts[host].instance->HandleCallerDisconnected(id, m_now));
      });
}

void VirtualSite::Crash(size_t index) {
  Host& host = hosts[index];
  host.is_up = false;
  host.generation = m_next_generation++;
  for (CallerRecord& record : callers) {
    if (record.host == index && !record.outcome) {
      record.host_lost = true;
    }
  }
  for (size_t i = 0; i < callers.size(); ++i) {
    const auto forwarded = callers[i].forwarded_as;
    if (forwarded && callers[*forwarded].host == index && !callers[i].outcome &&
        !callers[i].host_lost) {
      RecordOutcome(callers[i],
                    OutcomeUnknown{UnknownReason::kOwnerUnreachable});
    }
  }
}

void VirtualSite::Restart(size_t index) {
  if (hosts[index].is_up) {
    Crash(index);
  }
  Boot(index);
}

void VirtualSite::Pause(size_t host) {
  hosts[host].is_paused = true;
}

void VirtualSite::Resume(size_t index) {
  Host& host = hosts[index];
  host.is_paused = false;
  std::deque<std::function<void()>> deferred = std::move(host.deferred);
  host.deferred.clear();
  for (auto& run : deferred) {
    ScheduleOnHost(index, m_now, run);
  }
}

void VirtualSite::Stop(size_t index) {
  hosts[index].is_stopping = true;
  ScheduleOnHost(index, m_now, [this, index] {
    PerformAll(index, hosts[index].instance->HandleStop(m_now));
  });
}

void VirtualSite::CutLink(size_t from, size_t to, bool cut) {
  if (cut) {
    m_cut_links.insert({from, to});
  } else {
    m_cut_links.erase({from, to});
  }
}

std::string VirtualSite::Publish(Revision base, const std::string& text) {
  PublishRecord record;
  record.publish_id = fmt::format("publish-{}", m_next_publish++);
  record.base = base;
  record.text = text;
  log.records[LogStream::kConfiguration].push_back(EncodeConfigRecord(record));
  return record.publish_id;
}

void VirtualSite::Mark(const std::string& target, MarkState state) {
  log.records[LogStream::kConfiguration].push_back(
      EncodeConfigRecord(MarkRecord{target, state}));
}

void VirtualSite::DropRecordsBefore(LogStream stream, uint64_t offset) {
  log.first[stream] = std::max(log.first[stream], offset);
}

std::string VirtualSite::BoundKey(size_t host, const std::string& rest) const {
  return fmt::format("{:016x}.{}",
                     hosts[host].instance->Settings().self.incarnation.value,
                     rest);
}

size_t VirtualSite::SchedulerOf(const std::string& service) const {
  for (const Host& host : hosts) {
    if (!host.is_up) {
      continue;
    }
    const auto view = host.instance->View();
    const CellView* cell = CellFor(*view, ServiceName{service}, 0, 0);
    for (size_t i = 0; cell != nullptr && i < hosts.size(); ++i) {
      if (!cell->schedulers.empty() &&
          hosts[i].name == cell->schedulers.front()) {
        return i;
      }
    }
  }
  return 0;
}

size_t VirtualSite::BystanderOf(const std::string& service) const {
  const auto view = hosts[SchedulerOf(service)].instance->View();
  const CellView* cell = CellFor(*view, ServiceName{service}, 0, 0);
  for (size_t i = 0; i < hosts.size(); ++i) {
    if (std::find(cell->schedulers.begin(), cell->schedulers.end(),
                  hosts[i].name) == cell->schedulers.end()) {
      return i;
    }
  }
  return 0;
}

}  // namespace pomeloring::test
