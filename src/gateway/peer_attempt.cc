#include "gateway/peer_attempt.h"

#include <fmt/format.h>

#include <array>
#include <utility>

#include "peer_digest.pb.h"

namespace pomeloring {
namespace {

constexpr std::array<std::pair<PeerOutcome, std::string_view>, 8> kNames = {{
    {PeerOutcome::kReplied, "replied"},
    {PeerOutcome::kConnected, "connected"},
    {PeerOutcome::kRefused, "refused"},
    {PeerOutcome::kUpstreamLost, "upstream-lost"},
    {PeerOutcome::kBusy, "busy"},
    {PeerOutcome::kUpstreamBlock, "upstream-block"},
    {PeerOutcome::kBroken, "broken"},
    {PeerOutcome::kSilent, "silent"},
}};

}  // namespace

std::string_view ToString(PeerOutcome outcome) {
  for (const auto& [known, name] : kNames) {
    if (known == outcome) {
      return name;
    }
  }
  return "unknown";
}

std::optional<PeerOutcome> ParsePeerOutcome(std::string_view text) {
  for (const auto& [outcome, name] : kNames) {
    if (name == text) {
      return outcome;
    }
  }
  return std::nullopt;
}

std::string EncodePeerAttempt(const PeerAttempt& attempt) {
  wire::PeerAttempt out;
  out.set_upstream(attempt.upstream.value);
  out.set_request_id(attempt.request_id);
  out.set_is_retryable(attempt.is_retryable);
  out.set_is_head(attempt.is_head);
  out.set_request(attempt.bytes);
  out.set_sender(attempt.sender.value);
  out.set_incarnation(attempt.incarnation.value);
  return out.SerializeAsString();
}

std::string WritePeerAttempt(const PeerAttempt& attempt,
                             std::string_view address) {
  const std::string body = EncodePeerAttempt(attempt);
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/x-protobuf\r\n"
      "Content-Length: {}\r\n\r\n{}",
      kPeerAttemptPath, address, body.size(), body);
}

std::optional<PeerAttempt> DecodePeerAttempt(std::string_view body) {
  wire::PeerAttempt in;
  if (!in.ParseFromArray(body.data(), static_cast<int>(body.size())) ||
      in.upstream().empty()) {
    return std::nullopt;
  }
  return PeerAttempt{{in.sender()},   {in.incarnation()}, {in.upstream()},
                     in.request_id(), in.is_retryable(),  in.is_head(),
                     in.request()};
}

}  // namespace pomeloring
