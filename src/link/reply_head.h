// Defines ClassifyReplyHead(): whether a reply may have the head that arrived,
// and whether another one follows it.

#ifndef POMELORING_LINK_REPLY_HEAD_H_
#define POMELORING_LINK_REPLY_HEAD_H_

#include <boost/beast/http/message.hpp>

namespace pomeloring {

enum class ReplyHeadKind {
  kInterim,  // Has no body; the reply follows it.
  kFinal,
  kInvalid,  // Nothing that follows on the connection can be believed.
};

// Interim heads that may come before a final one.
inline constexpr int kMaxInterimReplies = 8;

// Takes any status of three digits.
ReplyHeadKind ClassifyReplyHead(
    const boost::beast::http::response_header<>& head);

}  // namespace pomeloring

#endif  // POMELORING_LINK_REPLY_HEAD_H_
