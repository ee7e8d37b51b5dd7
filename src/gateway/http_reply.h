// Defines the serialization of local replies of the gateway and of the heads of
// forwarded replies.

#ifndef POMELORING_GATEWAY_HTTP_REPLY_H_
#define POMELORING_GATEWAY_HTTP_REPLY_H_

#include <boost/beast/http/fields.hpp>
#include <set>
#include <string>
#include <string_view>

#include "core/ids.h"

namespace pomeloring {

// Returns the lower-case names of the fields that are not forwarded: those of
// one connection only, including those that Connection lists, and those that
// the gateway handles itself.
std::set<std::string> HopByHopFields(const boost::beast::http::fields& fields);
std::string LowerCaseName(std::string_view name);

// A reply that the gateway generates itself, with a problem as its body.
struct LocalReply {
  unsigned status = 503;
  std::string type;    // Problem type: lower case with hyphens.
  std::string detail;  // Human-readable.
  Duration retry_after{0};
};

struct ReplyContext {
  std::string request_id_field;
  std::string request_id;
  bool keep_alive = true;
  bool is_head = false;  // The reply has no body.
};

std::string WriteLocalReply(const LocalReply& reply,
                            const ReplyContext& context);

// Serializes the head of an upstream's reply for the client. The body has
// `*length` bytes, or is chunked if `length` is null.
std::string WriteReplyHead(unsigned status,
                           const boost::beast::http::fields& fields,
                           const size_t* length,
                           bool keep_alive);

std::string WriteChunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_HTTP_REPLY_H_
