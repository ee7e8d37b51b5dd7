// Defines Exchange: one request of a client, from its arrival to its one final
// answer.

#ifndef POMELORING_GATEWAY_EXCHANGE_H_
#define POMELORING_GATEWAY_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/client_connection.h"
#include "gateway/gateway_parts.h"
#include "gateway/http_reply.h"
#include "gateway/upstream_run.h"
#include "routing/event_splitter.h"

namespace pomeloring {

// Told to a client where nothing is known of when a place will be free: about
// the time that upstreams take to be registered again or found by a retry.
inline constexpr Duration kDefaultRetryAfter = milliseconds(300);

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(GatewayContext& gateway,
           std::shared_ptr<ClientConnection> client,
           ClientRequest request);

  // Serves the request; false where the connection must not be kept.
  boost::asio::awaitable<bool> Serve();

 private:
  // What the request came to, for the log and the counts.
  struct RequestResult {
    std::string outcome;
    std::string reason;
  };

  boost::asio::awaitable<void> AwaitReadiness();
  std::optional<LocalReply> Admit();
  boost::asio::awaitable<void> RunAttempts();
  boost::asio::awaitable<AttemptEnd> RunAttempt(std::shared_ptr<Run> attempt);
  boost::asio::awaitable<bool> WaitForCapacity();
  std::string SerializeForUpstream(const Run& attempt) const;
  UpstreamAttempt::Request MakeUpstreamRequest(const Run& attempt) const;
  boost::asio::awaitable<bool> BeginStream(const UpstreamReply& head);
  boost::asio::awaitable<bool> ForwardEvents(std::string_view bytes);
  boost::asio::awaitable<void> FinishStream(AttemptEnd end);
  // Answers by what the last run came to, where no further one is made.
  boost::asio::awaitable<void> ReplyAfterAttempt(AttemptEnd end);
  boost::asio::awaitable<void> ReplyUnplaced(Unplaced unplaced);
  boost::asio::awaitable<void> ForwardReply(const UpstreamReply& reply);
  boost::asio::awaitable<void> SendLocalReply(LocalReply reply);
  bool ShouldRetry(AttemptEnd end);
  RunOutcome OutcomeOf(AttemptEnd end) const;
  Duration TimeLeft() const;
  bool ShouldKeepAlive() const;
  void ArmDeadline();
  void StopAttempt();
  void LogResult();

  GatewayContext& m_gateway;
  const std::shared_ptr<ClientConnection> m_client;
  const ClientRequest m_request;
  const Time m_received_at;
  std::shared_ptr<const RoutingConfig> m_config;
  const Route* m_route = nullptr;
  const RoutedAccount* m_account = nullptr;
  RequestMetadata m_metadata;
  ServiceName m_service;
  Duration m_timeout{0};  // From its arrival to the last use of an answer.
  boost::asio::steady_timer m_deadline;
  bool m_timed_out = false;
  bool m_client_disconnected = false;
  bool m_keep_alive = true;

  // Over all runs:
  std::vector<UpstreamName> m_failed_upstreams;
  uint32_t m_executed_attempts = 0;  // That may have executed.
  bool m_may_have_executed = false;
  bool m_stream_started = false;
  bool m_stream_broken = false;
  std::optional<EventSplitter> m_event_splitter;
  UpstreamReply m_last_reply;
  RequestResult m_result;
  Duration m_time_to_first_byte{0};
  Duration m_max_event_gap{0};  // Between two events.
  Time m_last_event_at;

  std::shared_ptr<UpstreamAttempt> m_upstream_attempt;  // The one under way.
  std::shared_ptr<Run> m_placed_attempt;
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_EXCHANGE_H_
