#include "link/reply_head.h"

namespace pomeloring {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kFirstInterimStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;

// An interim reply ends with its head (RFC 9112, section 6.3). A sender that
// announces a body may write one, whose bytes would be read as the next head.
bool AnnouncesBody(const http::response_header<>& head) {
  const std::string_view length = head[http::field::content_length];
  return head.count(http::field::transfer_encoding) > 0 ||
         length.find_first_not_of('0') != std::string_view::npos;
}

}  // namespace

// No request asks for another protocol, and bytes behind a 101 are not HTTP.
// Statuses of 600 to 999 are forwarded: clients treat them as a 5xx (RFC 9110,
// section 15).
ReplyHeadKind ClassifyReplyHead(const http::response_header<>& head) {
  const unsigned status = head.result_int();
  if (status >= kFirstFinalStatus) {
    return ReplyHeadKind::kFinal;
  }
  const bool is_interim = status >= kFirstInterimStatus &&
                          status != kSwitchingProtocols && !AnnouncesBody(head);
  return is_interim ? ReplyHeadKind::kInterim : ReplyHeadKind::kInvalid;
}

}  // namespace pomeloring
