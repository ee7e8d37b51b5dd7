#include "gateway/reply_match.h"

#include <algorithm>

namespace pomeloring {
namespace {

namespace http = boost::beast::http;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

// Whether `text` holds the begin of a status line, as in "HTTP/1.1 200".
bool HoldsStatusLine(std::string_view text) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr size_t kRest = 5;  // A digit, a space and the status.
  for (size_t at = text.find(kVersion); at != std::string_view::npos;
       at = text.find(kVersion, at + 1)) {
    const std::string_view rest = text.substr(at + kVersion.size());
    if (rest.size() >= kRest && IsDigit(rest[0]) && rest[1] == ' ' &&
        std::all_of(rest.begin() + 2, rest.begin() + kRest, IsDigit)) {
      return true;
    }
  }
  return false;
}

// A reply that breaks off within its head takes the next one as its rest: the
// status of the one would count with the id of the other.
bool IsJoined(const http::response_header<>& head) {
  return HoldsStatusLine(head.reason()) ||
         std::any_of(head.begin(), head.end(), [](const auto& field) {
           return HoldsStatusLine(field.value());
         });
}

}  // namespace

std::string_view ToString(ReplyMatch match) {
  switch (match) {
    case ReplyMatch::kDue:
      return "due";
    case ReplyMatch::kForeign:
      return "foreign";
    case ReplyMatch::kOutOfStep:
      return "out-of-step";
  }
  return "unknown";
}

// The id tells whose reply it is, since a connection carries each id once (see
// MayCarry()). Upstreams may write replies that are not due, whole or cut off.
// After one, an answer is still delivered under its id, but "not executed" is
// no longer believed: a wrong answer can be told by its signature, and a
// request that is wrongly taken for refused runs twice.
ReplyMatch MatchReply(const ExpectedReply& expected,
                      const http::response_header<>& head,
                      const ReplyMetadata& metadata) {
  if (IsJoined(head)) {
    return ReplyMatch::kOutOfStep;
  }
  const bool is_named = metadata.request_id == expected.request_id;
  const bool is_only_one = metadata.request_id.empty() &&
                           expected.is_first_request &&
                           expected.foreign_replies == 0;
  if (!is_named && !is_only_one) {
    return ReplyMatch::kForeign;
  }
  return metadata.not_executed && expected.foreign_replies > 0
             ? ReplyMatch::kOutOfStep
             : ReplyMatch::kDue;
}

}  // namespace pomeloring
