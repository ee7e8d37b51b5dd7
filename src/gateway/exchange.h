// Defines Exchange: serves one request of a client, from its arrival to its
// only final reply.

#ifndef POMELORING_GATEWAY_EXCHANGE_H_
#define POMELORING_GATEWAY_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "gateway/client_connection.h"
#include "gateway/gateway_context.h"
#include "gateway/http_reply.h"
#include "gateway/upstream_attempt.h"
#include "routing/event_splitter.h"

namespace pomeloring {

// Retry-After when it is unknown when an upstream will have capacity: about the
// time until an upstream is registered again or found by a retry.
inline constexpr Duration kDefaultRetryAfter = milliseconds(300);

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(GatewayContext& gateway,
           std::shared_ptr<ClientConnection> client,
           ClientRequest request);

  // Serves the request. Returns false if the connection must be closed.
  boost::asio::awaitable<bool> Serve();
  // Stops an attempt that has no event yet if one of its traits has been
  // quarantined: its upstream would exit.
  void StopIfQuarantined();

 private:
  // The client has disconnected; `reason` tells during what.
  struct ClientGone {
    std::string reason;
  };
  // Why no attempt follows.
  using RequestEnd = std::variant<ClientGone, LocalReply, Unplaced, AttemptEnd>;
  // How the request ended, for the log and the metrics.
  struct RequestResult {
    std::string outcome;
    std::string reason;
  };

  boost::asio::awaitable<void> AwaitReadiness();
  std::optional<LocalReply> Admit();
  // Finds out at which version the stream began that the request takes up.
  // Returns the reply if it can't go on.
  boost::asio::awaitable<StreamOriginReport> CollectOriginReport();
  boost::asio::awaitable<std::optional<LocalReply>> FindOriginOfResumed();
  Duration ObservedTime() const;
  bool IsResumption() const;
  StreamKey KeyOfStream() const;
  // Nothing if the version of the stream need not outlive the instances.
  std::optional<StreamKey> KeyOfNewStream() const;
  void KeepResolvedOrigin();
  // Returns false if the event must not be passed on: nobody could tell its
  // version after a loss of all instances.
  boost::asio::awaitable<bool> RecordFirstEvent();
  // Counts the request for its account, once.
  void CountUsage(Time began);
  // Counts a request without a stream if its attempt has run, most probably.
  void CountUsageOfAttempt(AttemptEnd end, std::optional<Time> sent_at);
  boost::asio::awaitable<RequestEnd> RunAttempts();
  boost::asio::awaitable<AttemptEnd> RunAttempt(
      std::shared_ptr<PlacedAttempt> attempt);
  // Finds out whether the upstream of a broken attempt has exited.
  boost::asio::awaitable<void> CheckForExit(const PlacedAttempt& attempt);
  // Returns how the request has ended meanwhile, if it has.
  boost::asio::awaitable<std::optional<RequestEnd>> WaitForCapacity();
  std::string SerializeForUpstream(const PlacedAttempt& attempt) const;
  UpstreamAttempt::Request MakeUpstreamRequest(
      const std::shared_ptr<PlacedAttempt>& attempt) const;
  boost::asio::awaitable<bool> BeginStream(const UpstreamReply& head);
  boost::asio::awaitable<bool> ForwardEvents(std::string_view bytes);
  // Records that what an upstream sent in a stream is not forwarded.
  void RejectEvent(bool is_too_long);
  // The only exit: ends the stream if one has begun, else replies.
  boost::asio::awaitable<void> Finish(RequestEnd end);
  boost::asio::awaitable<void> FinishStream(AttemptEnd end);
  LocalReply ReplyTo(AttemptEnd end) const;
  LocalReply ReplyTo(const Unplaced& unplaced);
  boost::asio::awaitable<void> ForwardLastReply();
  boost::asio::awaitable<void> SendLocalReply(LocalReply reply);
  bool ShouldRetry(AttemptEnd end);
  UpstreamOutcome OutcomeOf(AttemptEnd end) const;
  Duration TimeLeft() const;
  // Whether an upstream may have run the request or a part of it.
  bool HasRun() const;
  bool ShouldKeepAlive() const;
  // Whether the reply has no body.
  bool IsHead() const;
  void ArmDeadline();
  void StopAttempt();
  void LogQuarantine(const RequestTrait& trait) const;
  void LogShare(std::string_view event, const ShareDecision& share) const;
  void LogNoMemory(const Unplaced& unplaced) const;
  void LogResult();

  GatewayContext& m_gateway;
  const std::shared_ptr<ClientConnection> m_client;
  const ClientRequest m_request;
  const Time m_received_at;
  std::shared_ptr<const RoutingConfig> m_config;
  const Route* m_route = nullptr;
  const RoutedAccount* m_account = nullptr;
  AccountId m_account_id = kNoAccount;
  RequestMetadata m_metadata;
  ServiceName m_service;
  TraitId m_whole_request = 0;
  Duration m_timeout{0};  // From arrival; a later reply is useless.
  boost::asio::steady_timer m_deadline;
  bool m_timed_out = false;
  bool m_client_disconnected = false;
  bool m_keep_alive = true;

  // Over all attempts:
  std::vector<UpstreamName> m_failed_upstreams;
  uint32_t m_executed_attempts = 0;  // Those that may have executed.
  bool m_may_have_executed = false;
  // Its engine has exited, and it may have caused that.
  bool m_is_suspected = false;
  bool m_is_counted = false;  // As usage of its account.
  bool m_stream_started = false;
  bool m_stream_broken = false;
  bool m_has_invalid_event = false;  // The attempt in progress.
  // Where the stream began, once it has an event; it goes on only there.
  std::optional<StreamOrigin> m_origin;
  OriginSource m_origin_source = OriginSource::kMemory;
  // Why the recorded shares did not tell it.
  std::optional<ShareRefusal> m_share_refusal;
  std::optional<EventSplitter> m_event_splitter;
  UpstreamReply m_last_reply;
  MemoryHold m_last_reply_hold;
  MemoryHold m_partial_event_hold;
  RequestResult m_result;
  Duration m_time_to_first_byte{0};
  Duration m_max_event_gap{0};  // Between two events.
  Time m_last_event_at;

  std::shared_ptr<UpstreamAttempt> m_upstream_attempt;  // In progress, or null.
  std::shared_ptr<PlacedAttempt> m_placed_attempt;
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_EXCHANGE_H_
