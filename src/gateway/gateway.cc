#include "gateway/gateway.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <filesystem>
#include <future>
#include <optional>
#include <random>
#include <set>

#include "daemon/log.h"
#include "duties/wall_clock.h"
#include "gateway/client_connection.h"
#include "gateway/connection_limit.h"
#include "gateway/duty_runner.h"
#include "gateway/exchange.h"
#include "gateway/gateway_context.h"
#include "gateway/isolation_log.h"
#include "gateway/memory_monitor.h"
#include "gateway/origin_log.h"
#include "gateway/peer_attempt.h"
#include "gateway/peer_exchange.h"
#include "gateway/reach_monitor.h"
#include "gateway/scaling_task.h"
#include "gateway/serve_connection.h"
#include "gateway/serve_peer_attempt.h"
#include "gateway/share_log.h"
#include "gateway/store_feed.h"
#include "gateway/usage_reports.h"
#include "gateway/version_inquiry.h"
#include "link/address.h"
#include "link/clock.h"
#include "link/machine_limits.h"
#include "link/problem.h"
#include "link/sleep.h"
#include "routing/store_readers.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Of the checks for store outages, expired registrations, silent peers and idle
// connections.
constexpr milliseconds kHousekeepingInterval{200};
// At a first start, instances that are not seeds get their state from peers,
// unless that takes longer than this.
constexpr milliseconds kFirstStartDelay{3000};
constexpr milliseconds kDrainPollInterval{20};
constexpr Duration kFileCheckInterval = seconds(1);
constexpr Duration kEstimateLogInterval = seconds(10);
// Changes of the speeds of upstreams; a few lines at a time.
constexpr Duration kSpeedLogInterval = seconds(1);
// Some callers cache addresses for three times their TTL.
constexpr int kAddressTtlFactor = 3;
constexpr milliseconds kDrainMargin{500};
// The drain ends this long before its timeout, to send the last replies.
constexpr milliseconds kExitMargin{700};
// With fewer in the caller's failure domain, callers get all instances.
constexpr size_t kMinAddresses = 2;
constexpr size_t kMaxAddresses = 64;
// With paced streams: the kernel would buffer megabytes for each slow caller,
// which count as this process's memory too. Linux reserves twice as much: 6 MB
// for 200 callers, and enough for 100 Mbit/s to a caller 1 ms away.
constexpr int kCallerSendBufferBytes = 16 * 1024;
// Otherwise, so that slow callers leave most of a reply with the process, which
// counts it. Linux reserves twice as much.
constexpr int kUnpacedSendBufferBytes = 64 * 1024;
// Of callers: what they send while nobody reads it.
constexpr int kCallerReceiveBufferBytes = 32 * 1024;

// Requests for the directory, the ready state and the metrics need no body.
constexpr uint64_t kMaxQueryBodyBytes = 4096;
// Of a machine whose kernel does not tell its memory.
constexpr uint64_t kUnknownMemoryMb = 256;

uint64_t RandomBits() {
  std::random_device random;
  return (uint64_t{random()} << 32) | random();
}

Member MakeSelfMember(const GatewaySettings& settings) {
  Member self;
  self.name.value = settings.name;
  self.incarnation = MakeIncarnation(Now(), RandomBits());
  self.probe_address = settings.peer_address;
  self.link_address = settings.peer_address;
  self.caller_address = settings.caller_address;
  self.failure_domain.value = settings.failure_domain;
  self.region.value = settings.region;
  self.relay_capacity = static_cast<uint32_t>(settings.link_mbps);
  return self;
}

// Without the setting, the machine's memory limits the buffers, and streams go
// at their caller's pace.
MemoryBudget MakeMemoryBudget(const GatewaySettings& settings) {
  const uint64_t memory_mb = settings.memory_mb > 0
                                 ? settings.memory_mb
                                 : MachineMemoryMb().value_or(kUnknownMemoryMb);
  return {.limit = BufferLimit(memory_mb),
          .paces_streams = settings.memory_mb > 0};
}

RouterSettings MakeRouterSettings(const GatewaySettings& settings,
                                  const Member& self) {
  RouterSettings router;
  router.name = self.name;
  router.incarnation = self.incarnation;
  router.failure_domain = self.failure_domain;
  router.retries = settings.retries;
  router.placement = settings.placement;
  router.admits_by_slots = settings.admits_by_slots;
  router.features = settings.features;
  router.random_seed = RandomBits();
  return router;
}

PoolSettings MakePoolSettings(const GatewaySettings& settings, Router& router) {
  PoolSettings pool;
  if (settings.features.prefers_idle_connections) {
    pool.keeps_idle_longer = true;
    pool.on_idle_change = [&router](const std::string& address,
                                    const IdleTimes& times) {
      const Time now = Now();
      router.RecordIdleConnections(address,
                                   {now + times.retryable, now + times.unsafe});
    };
  }
  return pool;
}

void ExportCounts(GatewayMetrics& metrics, const PoolCounts& counts) {
  metrics.events["connections_opened"] = counts.opened;
  metrics.events["connections_reused"] = counts.reused;
  metrics.events["connections_expired"] = counts.expired;
  metrics.events["connections_closed_by_upstream"] = counts.closed_by_upstream;
  metrics.events["connections_not_reusable"] = counts.not_reusable;
}

// What a flow was decided by: slots in use and in all, requests that wait for
// one, and slots that the domain's callers ask for.
std::string FormatDomainLoad(const FlowInputs& inputs,
                             const FailureDomain& domain) {
  const auto found = inputs.domains.find(domain);
  if (found == inputs.domains.end()) {
    return "unknown";
  }
  const auto& [supply, demand] = found->second;
  return fmt::format("in_use {:.0f} of {:.0f}, queued {:.0f}, demand {}",
                     supply.in_use, supply.slots, supply.queued,
                     demand ? fmt::format("{:.0f}", demand->slots) : "unknown");
}

StoreFeedSettings MakeFeedSettings(const GatewaySettings& settings) {
  StoreFeedSettings feed;
  feed.change_deadline = settings.change_deadline;
  if (settings.first_start && !settings.is_seed && !settings.seeds.empty()) {
    feed.start_delay = kFirstStartDelay;
  }
  return feed;
}

class RunningGateway final : public Gateway {
 public:
  RunningGateway(GatewaySettings settings,
                 std::string path,
                 WireCodec codec,
                 StoreCodec store_codec,
                 std::unique_ptr<Store> store,
                 std::unique_ptr<SharedLog> shared_log,
                 std::unique_ptr<PlatformApi> platform_api,
                 GatewayHandlers handlers)
      : m_settings(std::move(settings)),
        m_path(std::move(path)),
        m_codec(std::move(codec)),
        m_store_codec(std::move(store_codec)),
        m_store(std::move(store)),
        m_shared_log(std::move(shared_log)),
        m_platform_api(std::move(platform_api)),
        m_handlers(std::move(handlers)),
        m_log(m_settings.name, ParseLogLevel(m_settings.log_level)),
        m_memory(MakeMemoryBudget(m_settings)),
        m_self(MakeSelfMember(m_settings)),
        m_threads(1),
        m_context(m_threads.First()),
        m_router(MakeRouterSettings(m_settings, m_self)),
        m_pool(m_context, MakePoolSettings(m_settings, m_router)),
        m_feed({m_context, m_router, *m_store, m_store_codec, m_log, m_metrics,
                [this] { m_peers.RequestDigest(); }},
               MakeFeedSettings(m_settings)),
        m_peers({m_context, m_router, m_feed, m_log, m_metrics,
                 [this] {
                   ApplyQuarantines();
                   m_reach.StartChecks();
                   if (m_usage) {
                     m_usage->Tick();
                   }
                   if (m_origin_log) {
                     m_origin_log->Tick(Now());
                     m_share_log->Tick(Now());
                     m_version_inquiry->Tick(Now());
                   }
                 },
                 [this](std::string_view bytes) {
                   if (m_usage) {
                     m_usage->HandleDatagram(bytes);
                   }
                 },
                 [this](std::span<const KeyedOrigin> streams, bool by_peer) {
                   AppendOrigins(streams, by_peer);
                 }},
                m_self,
                m_settings.seeds),
        m_gateway_context{m_context, m_router,  m_pool,  m_codec,
                          m_log,     m_metrics, m_memory},
        m_memory_monitor(m_gateway_context),
        m_reach(m_gateway_context, [this] { return m_peers.PathCandidates(); }),
        m_acceptor(m_context),
        m_signals(m_context, SIGTERM, SIGINT, SIGHUP) {
    m_gateway_context.on_load_change = [this] { m_peers.RequestDigest(); };
    m_gateway_context.record_connect = [this](UpstreamState& upstream,
                                              ProbeResult result) {
      m_reach.RecordConnect(upstream, result);
    };
    m_gateway_context.choose_peer = [this](const UpstreamState& upstream) {
      return m_reach.ChoosePeer(upstream);
    };
    m_gateway_context.is_member = [this](const InstanceName& name,
                                         Incarnation incarnation) {
      return m_peers.IsMember(name, incarnation);
    };
    m_gateway_context.probe = [this](std::shared_ptr<UpstreamState> upstream) {
      return m_reach.Probe(std::move(upstream));
    };
    m_gateway_context.probe_with_peer =
        [this](std::shared_ptr<UpstreamState> upstream) {
          return m_reach.ProbeWithPeer(std::move(upstream));
        };
    m_gateway_context.send_origin = [this](const KeyedOrigin& stream) {
      m_peers.SendOrigins({&stream, 1});
    };
    m_gateway_context.ask_for_origin = [this](StreamKey key,
                                              ServiceName service) {
      return m_peers.AskForOrigin(key, std::move(service));
    };
    m_gateway_context.confirm_upstreams = [this](Time since,
                                                 Duration max_wait) {
      return m_feed.ConfirmUpstreams(since, max_wait);
    };
    if (m_settings.duties && m_settings.duties->duties.contains(Duty::kUsage)) {
      StartUsage(*m_settings.duties);
    }
    if (m_shared_log) {
      UseSharedLog();
    }
  }

  ~RunningGateway() override { m_threads.Stop(); }

  std::optional<GatewayError> Listen() {
    if (auto error = m_peers.Listen()) {
      return error;
    }
    if (auto error = ListenForCallers()) {
      return error;
    }
    if (auto error = ServePeers()) {
      return error;
    }
    HttpLimits limits;
    limits.max_body_bytes = kMaxQueryBodyBytes;
    if (auto error = Serve(m_settings.directory_address,
                           MakeHttpHandler(m_handlers.directory), limits)) {
      return error;
    }
    if (auto error = Serve(m_settings.ready_address,
                           MakeHttpHandler(m_handlers.ready), limits)) {
      return error;
    }
    return Serve(
        m_settings.metrics_address,
        [this](HttpExchange& exchange) -> asio::awaitable<void> {
          HttpReply reply;
          reply.content_type = "text/plain; version=0.0.4";
          ExportCounts(m_metrics, m_pool.Counts());
          m_memory_monitor.UpdateGauges();
          reply.body = FormatMetrics(m_metrics, m_router, Now());
          co_await exchange.Respond(std::move(reply));
        },
        limits);
  }

  GatewayExit Run() override {
    Spawn(m_peers.Receive());
    Spawn(m_peers.Tick());
    Spawn(m_feed.FollowConfiguration());
    Spawn(m_feed.FollowUpstreams());
    Spawn(AcceptCallers());
    Spawn(Housekeeping());
    StartDuties();
    if (m_origin_log) {
      Spawn(m_origin_log->ReadAfterStart());
    }
    WaitForSignal();
    m_log.Write(
        LogLevel::kInfo, "started",
        {{"caller_address", m_settings.caller_address},
         {"incarnation", std::to_string(m_self.incarnation.value)},
         {"memory_from", m_settings.memory_mb > 0 ? "settings" : "machine"},
         {"buffer_limit_bytes", std::to_string(m_memory.limit)},
         {"max_clients", std::to_string(m_max_clients)},
         {"seeds", std::to_string(m_settings.seeds.size())}});
    std::future<GatewayExit> end = m_exit.get_future();
    m_threads.Start();
    const GatewayExit result = end.get();
    m_log.Write(
        LogLevel::kInfo, "stopped",
        {{"in_flight", std::to_string(m_gateway_context.active_exchanges)}});
    m_threads.Stop();
    return result;
  }

  void Stop() override {
    asio::post(m_context, [this] { StartDrain(); });
  }

  bool IsReady() const override {
    return m_router.IsReady() && !m_peers.IsLeaving();
  }

  // Prefers instances of the caller's failure domain: traffic between domains
  // has a cost, and a caller that moves to another domain looks up the
  // addresses again.
  AddressAnswer AddressesFor(const FailureDomain& caller) const override {
    AddressAnswer answer;
    answer.ttl = m_settings.address_ttl;
    const std::vector<Member> serving = PreferredMembers(Now());
    for (const Member& member : serving) {
      if (member.failure_domain == caller) {
        answer.addresses.push_back(member.caller_address);
      }
    }
    if (answer.addresses.size() < kMinAddresses) {
      answer.addresses.clear();
      for (const Member& member : serving) {
        answer.addresses.push_back(member.caller_address);
      }
    }
    if (answer.addresses.size() > kMaxAddresses) {
      // Another sample for each caller, so that all instances get callers.
      std::vector<std::string> sample;
      std::sample(answer.addresses.begin(), answer.addresses.end(),
                  std::back_inserter(sample), kMaxAddresses, m_sampler);
      answer.addresses = std::move(sample);
    }
    return answer;
  }

 private:
  void StartUsage(const DutySettings& duties) {
    UsageReportsContext context{
        {m_log, m_metrics,
         [this] {
           const ClockReadings clocks = ReadClocks();
           return AdvanceWallClock(m_wall_clock, clocks.time_of_day,
                                   clocks.boottime);
         },
         [this] { return LiveMembers(); }},
        [this] { return UsageReceivers(); },
        [this](const InstanceName& receiver, std::string_view datagram) {
          m_peers.SendUsage(receiver, datagram);
        }};
    m_usage = std::make_unique<UsageReports>(
        duties, UsageSender{m_self.name, m_self.incarnation},
        std::move(context));
    m_gateway_context.count_usage = [this](const AccountName& account,
                                           Duration ago) {
      m_usage->Count(account, ago);
    };
  }

  // The holder of the duties and the candidate that would replace it.
  std::vector<InstanceName> UsageReceivers() const {
    if (!m_duties) {
      return {};
    }
    return HolderAndStandby(DutyCandidates(), m_duties->Lease().holder);
  }

  std::vector<DutyCandidate> DutyCandidates() const {
    std::vector<DutyCandidate> candidates;
    for (RelayCandidate& live : m_peers.LiveRelayCandidates()) {
      candidates.push_back({std::move(live.name), live.capacity});
    }
    return candidates;
  }

  std::vector<InstanceName> LiveMembers() const {
    std::vector<InstanceName> members{m_self.name};
    for (PeerCandidate& peer : m_peers.PathCandidates()) {
      members.push_back(std::move(peer.name));
    }
    return members;
  }

  void UseSharedLog() {
    m_origin_log.emplace(OriginLogContext{
        m_context, m_router, *m_store, *m_shared_log, m_store_codec, m_log,
        m_metrics, [this] { return m_peers.LivePeerNames(); },
        [this] { return m_feed.ShouldRead(Now()); },
        [this] { return m_feed.IsHistoryPartial(); },
        [this](const InstanceName& appender,
               std::span<const KeyedOrigin> streams) {
          m_peers.SendToAppender(appender, streams);
        },
        [this](std::span<const KeyedOrigin> streams) {
          m_peers.SendOrigins(streams);
        }});
    m_version_inquiry.emplace(VersionInquiryContext{
        m_context, m_router, m_log, m_metrics, m_gateway_context.ask_for_origin,
        [this] { return LearnVersionsFromLog(); }});
    UseShareLog();
    m_gateway_context.append_origin = [this](const KeyedOrigin& stream) {
      m_origin_log->Append({&stream, 1});
    };
    m_gateway_context.await_logged_origins = [this](Duration max_wait) {
      return m_origin_log->AwaitRead(max_wait);
    };
  }

  asio::awaitable<void> LearnVersionsFromLog() {
    if (m_origin_log->ReadsForAll()) {
      co_await m_share_log->LearnVersions();
    }
  }

  void UseShareLog() {
    m_share_log.emplace(ShareLogContext{
        m_context, m_router, *m_shared_log, m_log, m_metrics,
        m_settings.first_start, [this] { return m_peers.LivePeerNames(); },
        [this](std::span<const KeyedOrigin> streams) {
          return m_origin_log->AppendNow(streams);
        },
        [this] { return m_origin_log->ReadOrigins(); },
        m_gateway_context.ask_for_origin, m_gateway_context.confirm_upstreams});
    m_gateway_context.log_origin = [this](const KeyedOrigin& stream,
                                          Duration max_wait) {
      return m_share_log->AppendOrigin(stream, max_wait);
    };
    m_gateway_context.resolve_by_shares =
        [this](StreamKey key, ServiceName service, Time since,
               Duration max_wait) {
          return m_share_log->Resolve(key, std::move(service), since, max_wait);
        };
  }

  void AppendOrigins(std::span<const KeyedOrigin> streams, bool by_peer) {
    if (m_origin_log && by_peer) {
      m_origin_log->AppendForPeer(streams);
    } else if (m_origin_log) {
      m_origin_log->Append(streams);
    }
  }

  // The members that serve callers, without those that have lost their
  // upstreams: callers are served there as well, but by way of the others.
  std::vector<Member> PreferredMembers(Time now) const {
    std::vector<Member> serving = m_peers.ServingMembers(now);
    std::set<uint32_t> cut_off = m_router.CutOffPeerHashes(now);
    if (m_router.IsCutOff(now)) {
      cut_off.insert(ShortHash(m_self.name));
    }
    std::vector<Member> reaching;
    std::copy_if(serving.begin(), serving.end(), std::back_inserter(reaching),
                 [&](const Member& member) {
                   return !cut_off.contains(ShortHash(member.name));
                 });
    return reaching.size() < kMinAddresses ? serving : reaching;
  }

  void Spawn(asio::awaitable<void> task) {
    asio::co_spawn(m_context, std::move(task), asio::detached);
  }

  HttpHandler MakeHttpHandler(
      std::function<HttpReply(const Gateway&, const HttpRequest&)> answer) {
    return [this, answer = std::move(answer)](
               HttpExchange& exchange) -> asio::awaitable<void> {
      co_await exchange.Respond(answer(*this, exchange.Request()));
    };
  }

  std::optional<GatewayError> ServePeers() {
    HttpLimits limits;
    limits.max_body_bytes = kMaxPeerAttemptBytes + limits.max_header_bytes;
    return Serve(
        m_settings.peer_address,
        [this](HttpExchange& exchange) {
          return exchange.Request().target() == kPeerAttemptPath
                     ? ServePeerAttempt(m_gateway_context, exchange)
                     : m_peers.ServeFetch(exchange);
        },
        limits);
  }

  std::optional<GatewayError> Serve(const std::string& address,
                                    HttpHandler handler,
                                    HttpLimits limits = {}) {
    auto started = StartHttpServer(m_threads, address, limits,
                                   std::move(handler), ProblemForStatus);
    if (auto* error = std::get_if<ListenError>(&started)) {
      return *error;
    }
    m_servers.push_back(std::get<std::shared_ptr<HttpServer>>(started));
    return std::nullopt;
  }

  std::optional<GatewayError> ListenForCallers() {
    const auto endpoint = ParseTcpAddress(m_settings.caller_address);
    if (!endpoint) {
      return ListenError{m_settings.caller_address, "not IP:port"};
    }
    error_code error;
    m_acceptor.open(endpoint->protocol(), error);
    m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    m_acceptor.bind(*endpoint, error);
    if (!error) {
      m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return ListenError{m_settings.caller_address, error.message()};
    }
    return std::nullopt;
  }

  asio::awaitable<void> AcceptCallers() {
    while (m_acceptor.is_open()) {
      error_code error;
      tcp::socket socket(m_context);
      co_await m_acceptor.async_accept(
          socket, asio::redirect_error(asio::use_awaitable, error));
      if (error == asio::error::operation_aborted ||
          error == asio::error::bad_descriptor) {
        co_return;
      }
      if (error) {
        m_log.Write(LogLevel::kWarning, "accept-failed",
                    {{"error", error.message()}});
        co_await SleepFor(kDrainPollInterval);
        continue;
      }
      if (!MakeRoomForConnection(m_gateway_context, m_max_clients)) {
        continue;
      }
      socket.set_option(tcp::no_delay(true), error);
      socket.set_option(asio::socket_base::send_buffer_size(
                            m_memory.paces_streams ? kCallerSendBufferBytes
                                                   : kUnpacedSendBufferBytes),
                        error);
      socket.set_option(
          asio::socket_base::receive_buffer_size(kCallerReceiveBufferBytes),
          error);
      Spawn(ServeConnection(
          m_gateway_context,
          std::make_shared<ClientConnection>(std::move(socket), m_memory)));
    }
  }

  // What the holder of the duties does for all. Each task is made only if the
  // settings name its duty.
  std::vector<DutyTask> MakeDutyTasks() {
    std::vector<DutyTask> tasks;
    if (m_usage) {
      tasks.push_back(m_usage->MakeTask());
    }
    if (m_settings.duties->duties.contains(Duty::kScaling)) {
      m_router.EnableBacklogs();
      m_scaling.emplace(
          ScalingTaskContext{m_router, m_log, m_metrics, [] { return Now(); }});
      tasks.push_back(m_scaling->Task());
    }
    return tasks;
  }

  void StartDuties() {
    if (!m_settings.duties || m_shared_log == nullptr ||
        m_platform_api == nullptr) {
      return;
    }
    m_duties.emplace(
        DutyRunnerContext{m_context, *m_shared_log, *m_platform_api, m_log,
                          m_metrics, [this] { return DutyCandidates(); },
                          [this] { return m_router.Duties(); },
                          [this](const DutyNotice& notice) {
                            m_router.MergeDutyNotice(notice);
                            m_peers.RequestDigest();
                          },
                          BootNow},
        DutyLeaseSettings{m_self.name, m_self.incarnation,
                          m_settings.duties->lease},
        MakeDutyTasks());
    m_duties->Start();
  }

  asio::awaitable<void> Housekeeping() {
    while (true) {
      const Time now = Now();
      const StoreObservation observation =
          ObserveStore(m_feed.IsReadingStore(now), m_feed.LastCallFailed(),
                       m_router.Peers(), now);
      if (observation != StoreObservation::kUnknown) {
        m_router.UpdateStoreStatus(observation == StoreObservation::kAvailable,
                                   now);
      }
      m_router.Tick(now);
      LogIsolationChanges(m_logged_isolation, m_router, m_log, now);
      LogFlowChanges();
      m_pool.CloseIdle();
      m_memory_monitor.Tick(m_feed.ConfigTextBytes(), now);
      if (now - m_estimates_logged_at >= kEstimateLogInterval) {
        m_estimates_logged_at = now;
        LogEngineEstimates(now);
      }
      if (now - m_speeds_logged_at >= kSpeedLogInterval) {
        m_speeds_logged_at = now;
        LogSpeedChanges();
      }
      if (now - m_file_checked_at >= kFileCheckInterval) {
        m_file_checked_at = now;
        ReloadIfChanged();
      }
      co_await SleepFor(kHousekeepingInterval);
    }
  }

  // Requests that are with an upstream already are taken back before they
  // begin.
  void ApplyQuarantines() {
    const std::vector<TraitId> traits = m_router.TakeNewQuarantines();
    for (const TraitId trait : traits) {
      const auto found = m_router.Quarantine().traits.find(trait);
      if (found == m_router.Quarantine().traits.end()) {
        continue;
      }
      const TraitEvidence& evidence = found->second;
      CountEvent(m_metrics, "trait_quarantines");
      m_log.Write(
          LogLevel::kWarning, "trait-quarantined",
          {{"trait", fmt::format("{:x}", trait)},
           {"kind", std::string(ToString(evidence.kind))},
           {"exits", std::to_string(evidence.exits.size())},
           {"had_answers", evidence.had_answers ? "true" : "false"},
           {"first_exit_ms",
            fmt::format("{:.0f}", ToMillis(Now() - evidence.first_exit_at))}});
    }
    if (!traits.empty()) {
      for (Exchange* exchange : m_gateway_context.admitted_exchanges) {
        exchange->StopIfQuarantined();
      }
    }
  }

  void LogFlowChanges() {
    for (const FlowChange& change : m_router.TakeFlowChanges()) {
      const FlowInputs& inputs = change.inputs;
      m_log.Write(
          LogLevel::kInfo, change.has_started ? "flow-started" : "flow-ended",
          {{"service", change.service.value},
           {"from", inputs.home.value},
           {"to", change.to.value},
           {"from_load", FormatDomainLoad(inputs, inputs.home)},
           {"to_load", FormatDomainLoad(inputs, change.to)},
           {"price_ms", fmt::format("{:.1f}", inputs.price_ms)},
           {"age_ms", fmt::format("{:.0f}", ToMillis(inputs.digest_age))}});
    }
  }

  void LogSpeedChanges() {
    const SpeedChanges changes = m_router.TakeSpeedChanges();
    if (changes.count > 0) {
      m_metrics.events["upstream_speed_changes"] += changes.count;
    }
    for (const SpeedChange& change : changes.noted) {
      m_log.Write(LogLevel::kInfo, "upstream-speed-changed",
                  {{"upstream", change.upstream.value},
                   {"factor", fmt::format("{:.2f}", change.factor)},
                   {"weight", fmt::format("{:.1f}", change.weight)},
                   {"failure_rate", fmt::format("{:.2f}", change.failure_rate)},
                   {"age_ms", fmt::format("{:.0f}", ToMillis(change.age))},
                   {"changes", std::to_string(changes.count)}});
    }
  }

  void LogEngineEstimates(Time now) {
    for (const auto& [service, engines] : m_router.Engines()) {
      if (engines.observations == 0) {
        continue;
      }
      m_log.Write(
          LogLevel::kInfo, "engine-estimate",
          {{"service", service.value},
           {"delay_ms", fmt::format("{:.1f}", engines.first_event_delay_ms)},
           {"ms_per_token",
            fmt::format("{:.4f}", engines.prefill_ms_per_token)},
           {"empty_step_ms", fmt::format("{:.2f}", engines.empty_step_ms)},
           {"full_batch_step_ms",
            fmt::format("{:.2f}", engines.full_batch_step_ms)},
           {"attempt_ms", fmt::format("{:.0f}", engines.mean_attempt_ms)},
           {"max_read_share",
            fmt::format("{:.2f}", MaxPrefillShareForStreams(engines, now))},
           {"observations", std::to_string(engines.observations)},
           {"age_ms",
            fmt::format("{:.0f}", ToMillis(now - engines.updated_at))}});
    }
  }

  void WaitForSignal() {
    m_signals.async_wait([this](error_code error, int signal) {
      if (error) {
        return;
      }
      if (signal == SIGHUP) {
        Reload();
      } else {
        StartDrain();
      }
      WaitForSignal();
    });
  }

  void StartDrain() {
    if (!m_peers.IsLeaving()) {
      Spawn(Drain());
    }
  }

  void Reload() {
    m_settings_file_time = FileTime();
    auto read = ReadGatewaySettings(m_path);
    if (const auto* error = std::get_if<SettingsError>(&read)) {
      m_log.Write(LogLevel::kError, "reload-failed",
                  {{"path", m_path}, {"error", Describe(*error)}});
      return;
    }
    const auto changed =
        ApplyReloaded(m_settings, std::get<GatewaySettings>(read));
    m_log.Write(LogLevel::kInfo, "reloaded",
                {{"taken", fmt::format("{}", fmt::join(changed.applied, " "))},
                 {"need_restart",
                  fmt::format("{}", fmt::join(changed.need_restart, " "))}});
    m_peers.SetSeeds(m_settings.seeds);
    m_router.SetRetryPolicy(m_settings.retries);
  }

  // The settings file may change without a SIGHUP.
  void ReloadIfChanged() {
    const auto written = FileTime();
    if (written && written != m_settings_file_time) {
      Reload();
    }
  }

  // Returns the modification time of the settings file, or nothing while it
  // can't be read.
  std::optional<std::filesystem::file_time_type> FileTime() const {
    std::error_code error;
    const auto written = std::filesystem::last_write_time(m_path, error);
    return error ? std::nullopt : std::optional(written);
  }

  // Advertises that this instance is leaving, and serves new requests until the
  // addresses that callers have cached expire. Then rejects new requests and
  // waits for those in progress.
  asio::awaitable<void> Drain() {
    const auto started_at = std::chrono::steady_clock::now();
    m_log.Write(
        LogLevel::kInfo, "stopping",
        {{"in_flight", std::to_string(m_gateway_context.active_exchanges)}});
    m_peers.AdvertiseLeaving();
    if (m_duties) {
      Spawn(m_duties->Release());
    }
    m_gateway_context.close_after_reply = true;
    const auto deadline = started_at + m_settings.drain_timeout - kExitMargin;
    // Until most callers look the addresses up again, longer requests are taken
    // too: most end in time, and a refusal costs the caller a retry.
    const Time now = Now();
    m_gateway_context.stop =
        StopSchedule{now + std::min<Duration>(m_settings.address_ttl,
                                              m_settings.drain_timeout / 4),
                     now + m_settings.drain_timeout - kExitMargin};
    const auto addresses_expire_at = std::min(
        started_at + kAddressTtlFactor * m_settings.address_ttl + kDrainMargin,
        deadline);
    while (std::chrono::steady_clock::now() < addresses_expire_at) {
      co_await SleepFor(kDrainPollInterval);
    }
    m_gateway_context.reject_requests = true;
    while (m_gateway_context.active_exchanges > 0 &&
           std::chrono::steady_clock::now() < deadline) {
      co_await SleepFor(kDrainPollInterval);
    }
    error_code ignored;
    m_acceptor.close(ignored);
    if (m_usage) {
      m_usage->SendAll();
    }
    m_exit.set_value(m_gateway_context.active_exchanges == 0
                         ? GatewayExit::kStopped
                         : GatewayExit::kDrainTimedOut);
  }

  GatewaySettings m_settings;
  const std::string m_path;  // Empty in tests: no file.
  std::optional<std::filesystem::file_time_type> m_settings_file_time =
      FileTime();
  Time m_file_checked_at;
  Time m_estimates_logged_at;
  IsolationLog m_logged_isolation;
  Time m_speeds_logged_at;
  const WireCodec m_codec;
  const StoreCodec m_store_codec;
  const std::unique_ptr<Store> m_store;
  const std::unique_ptr<SharedLog> m_shared_log;      // May be null.
  const std::unique_ptr<PlatformApi> m_platform_api;  // May be null.
  const GatewayHandlers m_handlers;
  Log m_log;
  GatewayMetrics m_metrics;
  // Coroutines of `m_threads` release what they hold when they are destroyed.
  MemoryBudget m_memory;
  const Member m_self;
  // Declared before all members that hold sockets or timers of its loop, since
  // members are destroyed in the reverse order.
  IoThreads m_threads;
  asio::io_context& m_context;
  Router m_router;
  UpstreamPool m_pool;
  StoreFeed m_feed;
  PeerExchange m_peers;
  // With a shared log, as the next two.
  std::optional<OriginLog> m_origin_log;
  std::optional<ShareLog> m_share_log;
  std::optional<VersionInquiry> m_version_inquiry;
  GatewayContext m_gateway_context;
  MemoryMonitor m_memory_monitor;
  ReachMonitor m_reach;
  WallClock m_wall_clock;
  std::unique_ptr<UsageReports> m_usage;  // Null without the duty.
  std::optional<ScalingTask> m_scaling;   // Nothing without the duty.
  std::optional<DutyRunner> m_duties;     // Nothing without duties.
  tcp::acceptor m_acceptor;
  const size_t m_max_clients = MaxClientConnections(MaxDescriptors());
  asio::signal_set m_signals;
  std::vector<std::shared_ptr<HttpServer>> m_servers;
  std::promise<GatewayExit> m_exit;
  mutable std::minstd_rand m_sampler{std::random_device{}()};
};

}  // namespace

GatewayBuilder& GatewayBuilder::WithSettings(GatewaySettings settings,
                                             std::string path) {
  m_settings = std::move(settings);
  m_path = std::move(path);
  return *this;
}

GatewayBuilder& GatewayBuilder::WithWireCodec(WireCodec codec) {
  m_codec = std::move(codec);
  return *this;
}

GatewayBuilder& GatewayBuilder::WithStoreCodec(StoreCodec codec) {
  m_store_codec = std::move(codec);
  return *this;
}

GatewayBuilder& GatewayBuilder::WithStore(std::unique_ptr<Store> store) {
  m_store = std::move(store);
  return *this;
}

GatewayBuilder& GatewayBuilder::WithSharedLog(std::unique_ptr<SharedLog> log) {
  m_shared_log = std::move(log);
  return *this;
}

GatewayBuilder& GatewayBuilder::WithPlatformApi(
    std::unique_ptr<PlatformApi> api) {
  m_platform_api = std::move(api);
  return *this;
}

GatewayBuilder& GatewayBuilder::WithHandlers(GatewayHandlers handlers) {
  m_handlers = std::move(handlers);
  return *this;
}

std::variant<std::unique_ptr<Gateway>, GatewayError> GatewayBuilder::Build() {
  auto gateway = std::make_unique<RunningGateway>(
      std::move(m_settings), std::move(m_path), std::move(m_codec),
      std::move(m_store_codec), std::move(m_store), std::move(m_shared_log),
      std::move(m_platform_api), std::move(m_handlers));
  if (auto error = gateway->Listen()) {
    return std::move(*error);
  }
  return gateway;
}

}  // namespace pomeloring
