#include "support/virtual_site.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace pomeloring::test {
namespace {

constexpr Duration kLogDelay = milliseconds(2);
constexpr Duration kLogPoll = milliseconds(50);
constexpr Duration kLogRetry = milliseconds(500);
constexpr Duration kOrderDeadline = seconds(2);

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

void VirtualSite::At(Time at, std::function<void()> run) {
  m_events.push({std::max(at, m_now), m_order++, std::move(run)});
}

void VirtualSite::AtHost(size_t host, Time at, std::function<void()> run) {
  const uint64_t life = hosts[host].life;
  At(at, [this, host, life, run = std::move(run)] {
    Host& to = hosts[host];
    if (!to.is_up || to.life != life) {
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
                  m_next_life};
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
  settings.timeline_events = m_options.timeline_events;
  host.instance = std::make_unique<Instance>(std::move(settings));
  host.life = m_next_life++;
  host.is_up = true;
  host.is_paused = false;
  host.is_stopping = false;
  host.deferred.clear();
  AtHost(index, m_now, [this, index] { Tick(index); });
  for (LogStream stream : {LogStream::kConfiguration, LogStream::kClaims}) {
    AtHost(index, m_now, [this, index, stream] { ReadLog(index, stream); });
  }
}

void VirtualSite::Tick(size_t host) {
  AtHost(host, m_now + m_options.tick, [this, host] { Tick(host); });
  Carry(host, hosts[host].instance->HandleTick(m_now));
}

void VirtualSite::ReadLog(size_t host, LogStream stream) {
  const Time replied = m_now + kLogDelay;
  if (log.is_down) {
    AtHost(host, replied, [this, host, stream] {
      Carry(host, hosts[host].instance->HandleLogReadFailed(stream, m_now));
    });
    AtHost(host, m_now + kLogRetry,
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
  AtHost(host, replied, [this, host, stream, records, first] {
    Carry(host, hosts[host].instance->HandleLogRead(
                    stream, records, LogOffset{first}, true, m_now));
  });
  AtHost(host, m_now + kLogPoll,
         [this, host, stream] { ReadLog(host, stream); });
}

// --- Actions ---------------------------------------------------------------

void VirtualSite::Carry(size_t host, Actions actions) {
  for (const Action& action : actions) {
    std::visit([&](const auto& typed) { Do(host, typed); }, action);
  }
}

Duration VirtualSite::Delay() {
  const auto extra = static_cast<uint64_t>(extra_delay.count());
  return m_options.link_delay +
         Duration{static_cast<int64_t>(extra == 0 ? 0 : Random() % extra)};
}

void VirtualSite::Transmit(size_t from,
                           size_t to,
                           std::function<void()> deliver) {
  if (m_cut.contains({from, to})) {
    return;
  }
  const int copies = Chance(drop_rate) ? 0 : Chance(double_rate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    AtHost(to, m_now + Delay(), deliver);
  }
}

std::optional<size_t> VirtualSite::HostAt(const std::string& address) const {
  for (size_t i = 0; i < hosts.size(); ++i) {
    const std::string ip = fmt::format("10.0.0.{}:", i + 1);
    if (address.starts_with(ip)) {
      return i;
    }
  }
  return std::nullopt;
}

void VirtualSite::Do(size_t host, const SendSlotMessage& action) {
  const auto to = HostAt(action.link_address);
  if (!to) {
    return;
  }
  const HybridTime stamp = hosts[host].instance->Events().Last();
  Transmit(host, *to, [this, host, to, action, stamp] {
    Carry(*to, hosts[*to].instance->HandleSlotMessage(
                   hosts[host].name, action.message, stamp, m_now));
  });
}

void VirtualSite::Do(size_t host, const SendDatagram& action) {
  const auto to = HostAt(action.address);
  if (!to) {
    return;
  }
  Transmit(host, *to, [this, host, to, action] {
    Carry(*to, hosts[*to].instance->HandleDatagram(ProbeAddress(host),
                                                   action.message, m_now));
  });
}

std::optional<size_t> VirtualSite::CallerOf(const RequestId& id) const {
  const auto it = m_record_of.find(id);
  return it == m_record_of.end() ? std::nullopt : std::optional(it->second);
}

void VirtualSite::TellFirstToken(size_t host, const AttemptId& attempt) {
  AtHost(host, m_now, [this, host, attempt] {
    Carry(host, hosts[host].instance->HandleFirstToken(attempt, m_now));
  });
}

void VirtualSite::TellEnded(size_t host,
                            const AttemptId& attempt,
                            uint32_t tokens,
                            const AttemptOutcome& outcome) {
  AtHost(host, m_now, [this, host, attempt, tokens, outcome] {
    Carry(host, hosts[host].instance->HandleUpstreamEnded(attempt, outcome,
                                                          tokens, m_now));
  });
}

CallerRecord* VirtualSite::RecordOf(const RequestId& id) {
  const auto it = m_record_of.find(id);
  return it == m_record_of.end() ? nullptr : &callers[it->second];
}

void VirtualSite::EndRun(size_t host,
                         const StartUpstream& start,
                         uint32_t tokens,
                         AttemptOutcome outcome) {
  m_delivered[start.attempt.request] = tokens;
  Carry(host, hosts[host].instance->HandleUpstreamEnded(start.attempt, outcome,
                                                        tokens, m_now));
}

void VirtualSite::Do(size_t host, const StartUpstream& start) {
  starts.push_back({start.attempt, start.upstream.name, m_now,
                    start.resume_from, m_delivered[start.attempt.request]});
  if (on_start) {
    on_start(host, start);
    return;
  }
  FakeUpstream& upstream = upstreams[start.upstream.name];
  const Time arrives = m_now + m_options.link_delay;
  CallerRecord* record = RecordOf(start.attempt.request);
  const bool refused = upstream.is_down || upstream.refuse > 0;
  upstream.refuse -= upstream.refuse > 0 ? 1 : 0;
  if (record == nullptr || refused) {
    AtHost(host, arrives + m_options.link_delay, [this, host, start] {
      EndRun(host, start, start.resume_from, AttemptNotStarted{});
    });
    return;
  }
  ++record->runs;
  ++upstream.runs[record->body];
  ++upstream.running;
  upstream.most_running = std::max(upstream.most_running, upstream.running);
  const bool loses = upstream.lose_replies > 0;
  upstream.lose_replies -= loses ? 1 : 0;
  const auto run_time = std::chrono::duration_cast<Duration>(
      m_options.run_time * upstream.slow_factor);
  const UpstreamName name = start.upstream.name;
  At(arrives + run_time, [this, name] { --upstreams[name].running; });
  AtHost(host, arrives + run_time / 10, [this, host, start] {
    Carry(host, hosts[host].instance->HandleFirstToken(start.attempt, m_now));
  });
  const uint32_t whole = m_options.tokens_per_run;
  const uint32_t half = std::max(start.resume_from, whole / 2);
  AtHost(host, arrives + run_time, [this, host, start, loses, whole, half] {
    auto kept = std::make_shared<const KeptAnswer>(
        KeptAnswer{200, "text/plain", ToString(start.attempt.request)});
    EndRun(host, start, loses ? half : whole,
           loses ? AttemptOutcome{AttemptUnknown{}}
                 : AttemptOutcome{AttemptAnswered{kept}});
  });
}

void VirtualSite::Do(size_t, const CancelUpstream& action) {
  if (on_cancel) {
    on_cancel(action);
  }
  cancelled.insert({action.attempt.request, action.attempt.number});
}

void VirtualSite::Answer(CallerRecord& record, const Outcome& outcome) {
  ++record.answers;
  record.outcome = outcome;
  record.answered = m_now;
}

void VirtualSite::Do(size_t, const FinishRequest& action) {
  const auto it = m_record_of.find(action.request);
  if (it == m_record_of.end()) {
    return;
  }
  Answer(callers[it->second], action.outcome);
  const auto [begin, end] = m_origins_of.equal_range(it->second);
  for (auto origin = begin; origin != end; ++origin) {
    PassBack(it->second, origin->second);
  }
  if (on_answer) {
    on_answer(it->second);
  }
}

void VirtualSite::PassBack(size_t owner_record, size_t origin_record) {
  const Outcome outcome = *callers[owner_record].outcome;
  AtHost(callers[origin_record].host, m_now + m_options.link_delay,
         [this, origin_record, outcome] {
           if (!callers[origin_record].outcome) {
             Answer(callers[origin_record], outcome);
           }
         });
}

void VirtualSite::Do(size_t host, const ForwardRequest& action) {
  const auto to = HostAt(action.caller_address);
  CallerRecord* record = RecordOf(action.request);
  if (!to || record == nullptr) {
    return;
  }
  const size_t origin = m_record_of[action.request];
  const bool reachable = hosts[*to].is_up && !m_cut.contains({host, *to});
  if (!reachable) {
    Answer(*record, OutcomeUnknown{UnknownReason::kOwnerUnreachable});
    return;
  }
  // The daemon gives up on an owner that does not answer.
  AtHost(host, m_now + seconds(30), [this, origin] {
    if (!callers[origin].outcome) {
      Answer(callers[origin], OutcomeUnknown{UnknownReason::kOwnerUnreachable});
    }
  });
  AtHost(*to, m_now + m_options.link_delay, [this, to, origin] {
    CallerRecord forwarded;
    forwarded.id = hosts[*to].instance->NextRequestId();
    forwarded.host = *to;
    forwarded.request_class = callers[origin].request_class;
    forwarded.key = callers[origin].key;
    forwarded.body = callers[origin].body;
    forwarded.sent = callers[origin].sent;
    callers.push_back(forwarded);
    const size_t index = callers.size() - 1;
    callers[origin].forwarded_as = index;
    m_origins_of.emplace(index, origin);
    m_record_of[forwarded.id] = index;
    CallerRequest request;
    request.id = forwarded.id;
    request.request_class = forwarded.request_class;
    request.account.value = "one";
    request.body_hash = StableHash(forwarded.body);
    request.key = forwarded.key;
    request.forwarded = true;
    Carry(*to, hosts[*to].instance->HandleCallerRequest(request, m_now));
  });
}

void VirtualSite::Do(size_t host, const AppendRecord& action) {
  const bool lost = log.lose_replies > 0;
  const bool down = log.is_down;
  if (!down) {
    log.records[action.stream].push_back(action.payload);
    log.lose_replies -= lost ? 1 : 0;
  }
  AtHost(host, m_now + (down || lost ? kLogRetry : kLogDelay),
         [this, host, action, succeeded = !down && !lost] {
           Carry(host, hosts[host].instance->HandleAppendEnded(
                           action.stream, succeeded, m_now));
         });
}

void VirtualSite::Do(size_t host, const FetchConfiguration& action) {
  const auto from = HostAt(action.link_address);
  if (!from) {
    return;
  }
  Transmit(host, *from, [this, host, from] {
    const auto state = hosts[*from].instance->ConfigurationInForce();
    if (state) {
      Transmit(*from, host, [this, host, state] {
        Carry(host,
              hosts[host].instance->HandlePeerConfiguration(*state, m_now));
      });
    }
  });
}

void VirtualSite::Do(size_t host, const CallEngine& action) {
  const EngineCall& call = action.call;
  if (call.order) {
    const EngineOrder order = *call.order;
    if (hold_orders) {
      m_held_orders.push_back([this, order] { TakeOrder(order); });
      TellOrderEnded(host, m_now + kOrderDeadline, order, OrderUnanswered{});
      return;
    }
    At(m_now + Delay(), [this, host, order] {
      TellOrderEnded(host, m_now + Delay(), order, TakeOrder(order));
    });
    return;
  }
  const FakeUpstream& engine = upstreams[call.upstream];
  std::optional<EngineReading> reading;
  if (!engine.is_down) {
    reading = EngineReading{engine.state, engine.fencing};
  }
  AtHost(host, m_now + Delay(), [this, host, name = call.upstream, reading] {
    Carry(host, hosts[host].instance->HandleEngineRead(name, reading, m_now));
  });
}

void VirtualSite::TellOrderEnded(size_t host,
                                 Time at,
                                 const EngineOrder& order,
                                 const OrderOutcome& outcome) {
  AtHost(host, at, [this, host, order, outcome] {
    Carry(host, hosts[host].instance->HandleOrderEnded(order, outcome, m_now));
  });
}

OrderOutcome VirtualSite::TakeOrder(const EngineOrder& order) {
  FakeUpstream& engine = upstreams[order.upstream];
  const auto [of_number, is_first] =
      engine.state_by_fencing.emplace(order.fencing, order.wanted);
  engine.has_conflicting_orders |=
      !is_first && of_number->second != order.wanted;
  if (engine.is_down) {
    return OrderUnanswered{};
  }
  const bool checks = engine.upstream.checks_fencing;
  if (checks && order.fencing < engine.fencing) {
    return OrderRefused{engine.fencing};
  }
  ++engine.orders;
  engine.state = order.wanted;
  engine.fencing = checks ? order.fencing : LogOffset{};
  if (engine.lose_replies > 0) {
    --engine.lose_replies;
    return OrderUnanswered{};
  }
  return OrderTaken{};
}

void VirtualSite::ReleaseOrders() {
  hold_orders = false;
  for (const auto& arrive : m_held_orders) {
    At(m_now + Delay(), arrive);
  }
  m_held_orders.clear();
}

void VirtualSite::ResetEngine(const std::string& upstream) {
  FakeUpstream& engine = upstreams[UpstreamName{upstream}];
  engine.state = {};
  engine.fencing = {};
}

void VirtualSite::Do(size_t host, const StopSuperseded&) {
  Crash(host);
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
  m_record_of[record.id] = index;
  CallerRequest request;
  request.id = record.id;
  request.request_class = record.request_class;
  request.account.value = std::move(account);
  request.body_hash = StableHash(record.body);
  request.prefix_hash =
      StableHash(record.body.substr(0, record.body.find('|')));
  request.key = record.key;
  AtHost(host, m_now, [this, host, request] {
    Carry(host, hosts[host].instance->HandleCallerRequest(request, m_now));
  });
  return index;
}

void VirtualSite::CallerGone(size_t caller) {
  const CallerRecord& record = callers[caller];
  AtHost(record.host, m_now, [this, id = record.id, host = record.host] {
    Carry(host, hosts[host].instance->HandleCallerGone(id, m_now));
  });
}

void VirtualSite::Crash(size_t index) {
  Host& host = hosts[index];
  host.is_up = false;
  host.life = m_next_life++;
  for (CallerRecord& record : callers) {
    if (record.host == index && !record.outcome) {
      record.host_lost = true;
    }
  }
  for (size_t i = 0; i < callers.size(); ++i) {
    const auto forwarded = callers[i].forwarded_as;
    if (forwarded && callers[*forwarded].host == index && !callers[i].outcome &&
        !callers[i].host_lost) {
      Answer(callers[i], OutcomeUnknown{UnknownReason::kOwnerUnreachable});
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
    AtHost(index, m_now, run);
  }
}

void VirtualSite::Stop(size_t index) {
  hosts[index].is_stopping = true;
  AtHost(index, m_now, [this, index] {
    Carry(index, hosts[index].instance->HandleStop(m_now));
  });
}

void VirtualSite::CutLink(size_t from, size_t to, bool cut) {
  if (cut) {
    m_cut.insert({from, to});
  } else {
    m_cut.erase({from, to});
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

std::string WithOrders(std::string config,
                       size_t engines,
                       std::string_view adapter) {
  const auto insert_after = [&](const std::string& mark, std::string text) {
    config.insert(config.find(mark) + mark.size(), text);
  };
  insert_after(
      R"("models":["m"],)",
      fmt::format(R"("takes_orders":true,"adapters":["{}"],)", adapter));
  for (size_t i = 1; i <= engines; i += 2) {
    insert_after(fmt::format(R"("name":"engine-{}",)", i),
                 R"("checks_fencing":true,)");
  }
  return config;
}

std::string SmallConfig(size_t engines, size_t ledgers, uint32_t slots) {
  std::string model;
  for (size_t i = 1; i <= engines; ++i) {
    model += fmt::format(R"({}{{"name":"engine-{}","address":"10.1.0.{}:1",)"
                         R"("failure_domain":"d","slots":{}}})",
                         i == 1 ? "" : ",", i, i, slots);
  }
  std::string ledger;
  for (size_t i = 1; i <= ledgers; ++i) {
    ledger += fmt::format(R"({}{{"name":"ledger-{}","address":"10.2.0.{}:1",)"
                          R"("failure_domain":"d","slots":{}}})",
                          i == 1 ? "" : ",", i, i, slots);
  }
  return fmt::format(
      R"({{"services":[
      {{"name":"model","kind":"model","models":["m"],"upstreams":[{}]}},
      {{"name":"ledger","kind":"plain","path_prefix":"/l","upstreams":[{}]}}],
    "classes":[
      {{"name":"stamp","service":"ledger","tier":1,"answer_ms":500,
        "longest_wait_ms":5000,"idempotent":false,"when_late":"serve"}},
      {{"name":"question","service":"model","tier":2,"first_token_ms":1100,
        "between_tokens_ms":44}},
      {{"name":"tag","service":"model","tier":3,"answer_ms":5000,
        "idempotent":false,"when_late":"serve"}},
      {{"name":"history","service":"model","tier":5,"answer_ms":600000,
        "when_late":"serve"}}],
    "accounts":[{{"name":"one","key_sha256":"{:064d}"}},
      {{"name":"two","key_sha256":"{:064d}"}}]}})",
      model, ledger, 1, 2);
}

}  // namespace pomeloring::test
