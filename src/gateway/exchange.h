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
  Exchange(GatewayParts& parts,
           std::shared_ptr<ClientConnection> client,
           ClientRequest request);

  // Serves the request; false where the connection must not be kept.
  boost::asio::awaitable<bool> Serve();

 private:
  // What the request came to, for the log and the counts.
  struct Ending {
    std::string outcome;
    std::string reason;
  };

  boost::asio::awaitable<void> AwaitReadiness();
  std::optional<OwnReply> Admit();
  boost::asio::awaitable<void> RunToEnd();
  boost::asio::awaitable<RunEnd> RunOnce(std::shared_ptr<PlacedAttempt> run);
  boost::asio::awaitable<bool> WaitToPlace();
  std::string UpstreamBytes(const PlacedAttempt& run) const;
  UpstreamRun::Request UpstreamRequestFor(const PlacedAttempt& run) const;
  boost::asio::awaitable<bool> BeginStream(const PassedReply& head);
  boost::asio::awaitable<bool> PassEvents(std::string_view bytes);
  boost::asio::awaitable<void> FinishStream(RunEnd end);
  // Answers by what the last run came to, where no further one is made.
  boost::asio::awaitable<void> AnswerAfter(RunEnd end);
  boost::asio::awaitable<void> AnswerUnplaced(Unplaced unplaced);
  boost::asio::awaitable<void> PassWhole(const PassedReply& reply);
  boost::asio::awaitable<void> Answer(OwnReply reply);
  bool MayTryAgain(RunEnd end);
  UpstreamOutcome OutcomeOf(RunEnd end) const;
  Duration TimeLeft() const;
  bool KeepsAlive() const;
  void ArmDeadline();
  void StopRun();
  void LogEnd();

  GatewayParts& m_parts;
  const std::shared_ptr<ClientConnection> m_client;
  const ClientRequest m_request;
  const Time m_received;
  std::shared_ptr<const RoutingConfig> m_config;
  const Route* m_route = nullptr;
  const RoutedAccount* m_account = nullptr;
  RequestFacts m_facts;
  ServiceName m_service;
  Duration m_time{0};  // From its arrival to the last use of an answer.
  boost::asio::steady_timer m_deadline;
  bool m_timed_out = false;
  bool m_client_gone = false;
  bool m_keep = true;

  // Over all runs:
  std::vector<UpstreamName> m_tried;
  uint32_t m_runs = 0;  // That may have executed.
  bool m_may_have_run = false;
  bool m_stream_begun = false;
  bool m_stream_broken = false;
  std::optional<EventSplitter> m_events;
  PassedReply m_last_reply;
  Ending m_ending;
  Duration m_first_byte{0};
  Duration m_longest_pause{0};  // Between two events.
  Time m_last_event;

  std::shared_ptr<UpstreamRun> m_run;  // The one under way.
  std::shared_ptr<PlacedAttempt> m_placed;
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_EXCHANGE_H_
