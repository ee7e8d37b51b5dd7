// Defines MatchReply: whether the reply that arrives on a connection to an
// upstream is the one to the request in progress there.

#ifndef POMELORING_GATEWAY_REPLY_MATCH_H_
#define POMELORING_GATEWAY_REPLY_MATCH_H_

#include <boost/beast/http/message.hpp>
#include <string_view>

#include "gateway/wire_codec.h"

namespace pomeloring {

enum class ReplyMatch {
  kDue,        // To the request in progress.
  kForeign,    // To another request: the one that is due may follow.
  kOutOfStep,  // Nothing that the connection brings can be believed.
};

std::string_view ToString(ReplyMatch match);

// The request in progress and what its connection has brought for it so far.
struct ExpectedReply {
  std::string_view request_id;
  bool is_first_request = false;  // On this connection.
  int foreign_replies = 0;        // Since the request was sent.
};

ReplyMatch MatchReply(const ExpectedReply& expected,
                      const boost::beast::http::response_header<>& head,
                      const ReplyMetadata& metadata);

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_REPLY_MATCH_H_
