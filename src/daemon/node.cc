#include "daemon/node.h"

#include <fmt/format.h>

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <future>
#include <random>

#include "daemon/admin_api.h"
#include "daemon/log.h"
#include "daemon/metrics.h"
#include "link/address.h"
#include "link/caller_api.h"
#include "link/clock.h"
#include "link/codec.h"
#include "link/engine_call.h"

#include "daemon/platform.h"
#include "link/io_threads.h"
#include "link/problem.h"
#include "link/session.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

constexpr std::chrono::milliseconds kTickInterval{10};
constexpr std::chrono::milliseconds kLogReadWait{2000};
constexpr std::chrono::milliseconds kLogRetryInterval{500};
constexpr std::chrono::milliseconds kListInterval{2000};
constexpr std::chrono::milliseconds kDrainPollInterval{50};
constexpr std::chrono::milliseconds kEngineCallTimeout{2000};
// Time for all peers to learn that this instance is leaving. After it, no reply
// of /v1/entries lists this instance.
constexpr std::chrono::seconds kLeavingPropagationTime{3};
constexpr std::chrono::milliseconds kFinalWriteTime{200};
constexpr size_t kMaxDatagramBytes = size_t{64} * 1024;

auto Await(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

std::string_view StreamName(LogStream stream) {
  return stream == LogStream::kConfiguration ? "configuration" : "claims";
}

uint64_t RandomBits() {
  std::random_device random;
  return (uint64_t{random()} << 32) | random();
}

Member MakeSelfMember(const NodeSettings& settings) {
  Member self;
  self.name.value = settings.name;
  self.incarnation = MakeIncarnation(Now(), RandomBits());
  self.probe_address = settings.probe_address;
  self.link_address = settings.link_address;
  self.caller_address = settings.caller_address;
  self.failure_domain.value = settings.failure_domain;
  self.region.value = settings.region;
  return self;
}

class RunningNode final : public Node {
 public:
  RunningNode(NodeSettings settings,
              std::unique_ptr<Instance> instance,
              std::unique_ptr<Platform> platform)
      : m_settings(std::move(settings)),
        m_log(m_settings.name, ParseLogLevel(m_settings.log_level)),
        m_instance(std::move(instance)),
        m_threads(static_cast<size_t>(m_settings.threads)),
        m_membership_socket(m_threads.First()),
        m_signals(m_threads.First(), SIGTERM, SIGINT),
        m_platform(std::move(platform)),
        m_caller_context{
            *m_instance,
            m_sessions,
            m_pool,
            [this](Actions actions) { RunActions(std::move(actions)); },
            [this](const RequestSummary& s) { m_metrics.Add(s); },
            {.address_ttl = m_settings.address_ttl}},
        m_admin_context{*m_instance, m_metrics, m_settings.admin_key_sha256,
                        [this] { Stop(); }} {}

  ~RunningNode() override { m_threads.Stop(); }

  std::optional<NodeError> Listen() {
    if (auto error = ListenForMembership()) {
      return error;
    }
    PeerLinkHandlers handlers;
    handlers.on_messages = [this](const InstanceName& from,
                                  const std::vector<SlotMessage>& messages,
                                  HybridTime stamp) {
      return HandleMessages(from, messages, stamp);
    };
    handlers.configuration = [this] {
      return m_instance->ConfigurationInForce();
    };
    handlers.on_configuration = [this](ConfigInForce state) {
      RunActions(m_instance->HandlePeerConfiguration(std::move(state), Now()));
    };
    auto link = StartPeerLink({m_settings.name}, m_settings.link_address,
                              std::move(handlers));
    if (auto* error = std::get_if<PeerLinkListenError>(&link)) {
      return *error;
    }
    m_link = std::get<std::unique_ptr<PeerLink>>(std::move(link));
    if (auto error = ListenHttp(m_settings.caller_address, m_caller_server,
                                [this](HttpExchange& exchange) {
                                  return ServeCaller(m_caller_context,
                                                     exchange);
                                })) {
      return error;
    }
    return ListenHttp(m_settings.admin_address, m_admin_server,
                      [this](HttpExchange& exchange) {
                        return ServeAdmin(m_admin_context, exchange);
                      });
  }

  NodeEnd Run() override {
    Spawn(ReceiveMembership());
    Spawn(TickLoop());
    Spawn(ReadLoop(LogStream::kConfiguration));
    Spawn(ReadLoop(LogStream::kClaims));
    Spawn(ListLoop());
    m_signals.async_wait([this](error_code error, int) {
      if (!error) {
        Stop();
      }
    });
    m_log.Write(LogLevel::kInfo, "started",
                {{"caller_address", m_settings.caller_address}});
    std::future<NodeEnd> end = m_end.get_future();
    m_threads.Start();
    const NodeEnd result = end.get();
    m_log.Write(LogLevel::kInfo, "stopped",
                {{"in_flight", std::to_string(m_instance->InFlight())}});
    m_link->Shutdown();
    m_threads.Stop();
    return result;
  }

  void Stop() override {
    if (m_stop_begun.exchange(true)) {
      return;
    }
    m_log.Write(LogLevel::kInfo, "stopping", {});
    RunActions(m_instance->HandleStop(Now()));
    Spawn(Drain());
  }

 private:
  void Spawn(asio::awaitable<void> task) {
    asio::co_spawn(m_threads.First(), std::move(task), asio::detached);
  }

  std::optional<NodeError> ListenForMembership() {
    const auto endpoint = ParseUdpAddress(m_settings.probe_address);
    error_code error;
    m_membership_socket.open(endpoint->protocol(), error);
    m_membership_socket.bind(*endpoint, error);
    if (error) {
      return ListenError{m_settings.probe_address, error.message()};
    }
    m_membership_socket.non_blocking(true, error);
    return std::nullopt;
  }

  std::optional<NodeError> ListenHttp(const std::string& address,
                                      std::shared_ptr<HttpServer>& server,
                                      HttpHandler handler) {
    auto started = StartHttpServer(m_threads, address, {}, std::move(handler),
                                   ProblemForStatus);
    if (auto* error = std::get_if<ListenError>(&started)) {
      return *error;
    }
    server = std::get<std::shared_ptr<HttpServer>>(std::move(started));
    return std::nullopt;
  }

  // --- Executing actions -----------------------------------------------------

  void RunActions(Actions actions) {
    for (Action& action : actions) {
      std::visit([this](auto& typed) { Execute(typed); }, action);
    }
  }

  // Returns the messages to `from`, which are sent in the reply to its call,
  // and executes all other actions.
  SlotReplies HandleMessages(const InstanceName& from,
                             const std::vector<SlotMessage>& messages,
                             HybridTime stamp) {
    SlotReplies replies;
    for (const SlotMessage& message : messages) {
      Actions actions =
          m_instance->HandleSlotMessage(from, message, stamp, Now());
      for (Action& action : actions) {
        auto* send = std::get_if<SendSlotMessage>(&action);
        if (send != nullptr && send->to == from) {
          replies.messages.push_back(std::move(send->message));
        } else {
          std::visit([this](auto& typed) { Execute(typed); }, action);
        }
      }
    }
    replies.stamp = m_instance->EventTimeline().Last();
    return replies;
  }

  void Execute(SendSlotMessage& send) {
    if (send.link_address.empty()) {
      return;
    }
    // RunningSlots are sent every second and nothing waits for them.
    if (std::holds_alternative<RunningSlots>(send.message)) {
      m_link->SendDeferred(send.link_address, std::move(send.message),
                           m_instance->EventTimeline().Last());
    } else {
      m_link->Send(send.link_address, std::move(send.message),
                   m_instance->EventTimeline().Last());
    }
  }

  void Execute(SendDatagram& send) {
    const auto endpoint = ParseUdpAddress(send.address);
    if (!endpoint) {
      return;
    }
    // A probe that can't be sent is treated like a lost datagram.
    error_code ignored;
    const std::string bytes = EncodeDatagram(send.message);
    const std::lock_guard lock(m_membership_socket_mutex);
    m_membership_socket.send_to(asio::buffer(bytes), *endpoint, 0, ignored);
  }

  void Execute(StartUpstreamAttempt& start) {
    m_sessions.Post(start.attempt.request, start);
  }
  void Execute(CancelUpstreamAttempt& cancel) {
    m_sessions.Post(cancel.attempt.request, cancel);
  }
  void Execute(FinishRequest& finish) {
    m_sessions.Post(finish.request, finish);
  }
  void Execute(ForwardRequest& forward) {
    m_sessions.Post(forward.request, forward);
  }
  void Execute(AppendRecord& append) { Spawn(Append(std::move(append))); }
  void Execute(FetchConfiguration& fetch) { m_link->Fetch(fetch.link_address); }
  void Execute(CallEngine& call) { Spawn(RunEngineCall(std::move(call))); }
  void Execute(StopSuperseded&) {
    m_log.Write(LogLevel::kError, "superseded",
                {{"advice",
                  "another process has this name or incarnation; rename one, "
                  "or start this one again"}});
    End(NodeEnd::kSuperseded);
  }

  void End(NodeEnd end) {
    if (!m_ended.exchange(true)) {
      m_end.set_value(end);
    }
  }

  // --- Loops -----------------------------------------------------------------

  asio::awaitable<void> ReceiveMembership() {
    std::string buffer(kMaxDatagramBytes, '\0');
    while (!m_ended) {
      udp::endpoint from;
      error_code error;
      const size_t size = co_await m_membership_socket.async_receive_from(
          asio::buffer(buffer), from, Await(error));
      if (error == asio::error::operation_aborted) {
        co_return;
      }
      const auto message =
          error ? std::nullopt
                : DecodeDatagram(std::string_view(buffer.data(), size));
      if (message) {
        const std::string address =
            fmt::format("{}:{}", from.address().to_string(), from.port());
        RunActions(m_instance->HandleDatagram(address, *message, Now()));
      }
    }
  }

  asio::awaitable<void> TickLoop() {
    asio::steady_timer timer(m_threads.First());
    while (!m_ended) {
      RunActions(m_instance->HandleTick(Now()));
      co_await Sleep(timer, kTickInterval);
    }
  }

  asio::awaitable<void> ReadLoop(LogStream stream) {
    asio::steady_timer timer(m_threads.First());
    while (!m_ended) {
      const ReadResult result = co_await m_platform->Read(
          stream, m_instance->NextOffset(stream), kLogReadWait);
      if (const auto* page = std::get_if<LogPage>(&result)) {
        RunActions(m_instance->HandleLogRead(
            stream, page->records, page->first_retained, page->is_end, Now()));
        continue;
      }
      m_log.Write(LogLevel::kWarning, "log-read-failed",
                  {{"stream", std::string(StreamName(stream))}});
      RunActions(m_instance->HandleLogReadFailed(stream, Now()));
      co_await Sleep(timer, kLogRetryInterval);
    }
  }

  asio::awaitable<void> Append(AppendRecord append) {
    const AppendResult result =
        co_await m_platform->Append(append.stream, std::move(append.payload));
    const bool succeeded = std::holds_alternative<LogOffset>(result);
    if (!succeeded) {
      m_log.Write(LogLevel::kWarning, "append-failed",
                  {{"stream", std::string(StreamName(append.stream))}});
      // Delays the core's retry: the platform may be down for long.
      asio::steady_timer timer(m_threads.First());
      co_await Sleep(timer, kLogRetryInterval);
    }
    RunActions(m_instance->HandleAppendEnded(append.stream, succeeded, Now()));
  }

  asio::awaitable<void> RunEngineCall(CallEngine engine) {
    const EngineCall& call = engine.call;
    if (!call.order) {
      const auto reading =
          co_await ReadEngineState(call.address, kEngineCallTimeout);
      RunActions(m_instance->HandleEngineRead(call.upstream, reading, Now()));
      co_return;
    }
    OrderOutcome outcome = OrderUnanswered{};
    if (Now() < engine.send_by) {
      outcome = co_await SendEngineOrder(*call.order, kEngineCallTimeout);
    }
    if (!std::holds_alternative<OrderAccepted>(outcome)) {
      m_log.Write(LogLevel::kWarning, "order-not-taken",
                  {{"upstream", call.upstream.value}});
    }
    RunActions(m_instance->HandleOrderEnded(*call.order, outcome, Now()));
  }

  asio::awaitable<void> ListLoop() {
    asio::steady_timer timer(m_threads.First());
    bool is_registered = false;
    while (!m_ended) {
      if (!is_registered) {
        is_registered = co_await m_platform->RegisterInstance(
            m_settings.name, m_settings.probe_address);
      }
      const ListResult result = co_await m_platform->List();
      if (const auto* list = std::get_if<PlatformList>(&result)) {
        RunActions(m_instance->HandleInstanceList(list->probe_addresses,
                                                  list->leaving, Now()));
      }
      co_await Sleep(timer, kListInterval);
    }
  }

  // Waits until the addresses cached by callers have expired, then until no
  // request is in flight, then ends the process.
  asio::awaitable<void> Drain() {
    asio::steady_timer timer(m_threads.First());
    co_await Sleep(timer, kLeavingPropagationTime + m_settings.address_ttl);
    m_caller_server->StopAccepting();
    m_caller_server->CloseAfterReplies();
    const auto drain_deadline =
        std::chrono::steady_clock::now() + m_settings.drain_timeout;
    while (m_instance->InFlight() > 0 || m_caller_server->OpenExchanges() > 0) {
      if (std::chrono::steady_clock::now() >= drain_deadline) {
        End(NodeEnd::kDrainTimedOut);
        co_return;
      }
      co_await Sleep(timer, kDrainPollInterval);
    }
    co_await Sleep(timer, kFinalWriteTime);
    End(NodeEnd::kStopped);
  }

  template <typename Length>
  static asio::awaitable<void> Sleep(asio::steady_timer& timer, Length length) {
    error_code ignored;
    timer.expires_after(length);
    co_await timer.async_wait(Await(ignored));
  }

  const NodeSettings m_settings;
  Log m_log;
  Metrics m_metrics;
  std::unique_ptr<Instance> m_instance;
  // Declared before all members that hold sockets, timers or channels of its
  // event loops, because members are destroyed in reverse order.
  IoThreads m_threads;
  SessionTable m_sessions;
  ConnectionPool m_pool;
  std::mutex m_membership_socket_mutex;
  udp::socket m_membership_socket;
  asio::signal_set m_signals;
  std::unique_ptr<Platform> m_platform;
  const CallerApiContext m_caller_context;
  const AdminApiContext m_admin_context;
  std::unique_ptr<PeerLink> m_link;
  std::shared_ptr<HttpServer> m_caller_server;
  std::shared_ptr<HttpServer> m_admin_server;
  std::promise<NodeEnd> m_end;
  std::atomic<bool> m_ended{false};
  std::atomic<bool> m_stop_begun{false};
};

}  // namespace

NodeBuilder& NodeBuilder::WithSettings(NodeSettings settings) {
  m_settings = std::move(settings);
  return *this;
}

NodeBuilder& NodeBuilder::WithPlatform(std::unique_ptr<Platform> platform) {
  m_platform = std::move(platform);
  return *this;
}

std::variant<std::unique_ptr<Node>, NodeError> NodeBuilder::Build() {
  auto instance = InstanceBuilder()
                      .WithSelf(MakeSelfMember(m_settings))
                      .WithSeeds(m_settings.peers)
                      .WithLogRetention(m_settings.log_retention)
                      .WithRandomSeed(RandomBits())
                      .Build();
  if (auto* error = std::get_if<InstanceError>(&instance)) {
    return NodeError{*error};
  }
  auto node = std::make_unique<RunningNode>(
      m_settings, std::get<std::unique_ptr<Instance>>(std::move(instance)),
      std::move(m_platform));
  if (auto error = node->Listen()) {
    return std::move(*error);
  }
  return node;
}

std::string Describe(const NodeError& error) {
  if (const auto* address = std::get_if<ListenError>(&error)) {
    return fmt::format("can't listen on {}: {}", address->address,
                       address->reason);
  }
  if (const auto* link = std::get_if<PeerLinkListenError>(&error)) {
    return fmt::format("can't listen on {} for other instances", link->address);
  }
  return fmt::format(
      "the setting {} is missing",
      std::get<MissingSetting>(std::get<InstanceError>(error)).field);
}

}  // namespace pomeloring
