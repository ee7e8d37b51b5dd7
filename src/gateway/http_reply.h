// Defines the writing of HTTP heads: of the gateway's own replies and of those
// that it passes on.

#ifndef POMELORING_GATEWAY_HTTP_REPLY_H_
#define POMELORING_GATEWAY_HTTP_REPLY_H_

#include <boost/beast/http/fields.hpp>
#include <set>
#include <string>
#include <string_view>

#include "core/ids.h"

namespace pomeloring {

// Fields that concern one connection only, those named in Connection among
// them, in lower case.
std::set<std::string> HopByHopFields(const boost::beast::http::fields& fields);
std::string LowerCaseName(std::string_view name);

// A reply of the gateway's own.
struct LocalReply {
  unsigned status = 503;
  std::string type;    // Of the problem: lower case with hyphens.
  std::string detail;  // For a person.
  Duration retry_after{0};
};

struct ReplyContext {
  std::string request_id_field;
  std::string request_id;
  bool keep_alive = true;
};

std::string WriteLocalReply(const LocalReply& reply,
                            const ReplyContext& context);

// Writes the head of an upstream's reply. With `length`, the body has that many
// bytes; without, it is sent in chunks.
std::string WriteReplyHead(unsigned status,
                           const boost::beast::http::fields& fields,
                           const size_t* length,
                           bool keep_alive);

std::string WriteChunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_HTTP_REPLY_H_
