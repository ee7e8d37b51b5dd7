#include "gateway/http_reply.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <boost/json.hpp>

namespace pomeloring {
namespace {

namespace http = boost::beast::http;

std::string StatusLine(unsigned status) {
  return fmt::format("HTTP/1.1 {} {}\r\n", status,
                     std::string_view(http::obsolete_reason(
                         static_cast<http::status>(status))));
}

}  // namespace

std::string LowerCaseName(std::string_view name) {
  std::string lower(name);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return lower;
}

std::set<std::string> HopByHopFields(const http::fields& fields) {
  std::set<std::string> names = {
      "connection", "keep-alive",         "proxy-connection",   "te",
      "trailer",    "transfer-encoding",  "content-length",     "upgrade",
      "expect",     "proxy-authenticate", "proxy-authorization"};
  const auto range = fields.equal_range(http::field::connection);
  for (auto field = range.first; field != range.second; ++field) {
    std::string_view rest = field->value();
    while (!rest.empty()) {
      const size_t comma = std::min(rest.find(','), rest.size());
      std::string_view token = rest.substr(0, comma);
      rest.remove_prefix(std::min(comma + 1, rest.size()));
      while (token.starts_with(' ') || token.starts_with('\t')) {
        token.remove_prefix(1);
      }
      while (token.ends_with(' ') || token.ends_with('\t')) {
        token.remove_suffix(1);
      }
      if (!token.empty()) {
        names.insert(LowerCaseName(token));
      }
    }
  }
  return names;
}

std::string WriteLocalReply(const LocalReply& reply,
                            const ReplyContext& context) {
  const std::string body =
      boost::json::serialize(boost::json::object{{"type", reply.type},
                                                 {"status", reply.status},
                                                 {"detail", reply.detail}});
  std::string head = StatusLine(reply.status);
  if (!context.request_id.empty()) {
    head +=
        fmt::format("{}: {}\r\n", context.request_id_field, context.request_id);
  }
  if (reply.retry_after.count() > 0) {
    head += fmt::format("Retry-After: {:.3f}\r\n",
                        static_cast<double>(reply.retry_after.count()) / 1e6);
  }
  head += fmt::format(
      "Content-Type: application/problem+json\r\nContent-Length: {}\r\n{}\r\n",
      body.size(), context.keep_alive ? "" : "Connection: close\r\n");
  return context.is_head ? head : head + body;
}

std::string WriteReplyHead(unsigned status,
                           const http::fields& fields,
                           const size_t* length,
                           bool keep_alive) {
  const auto dropped = HopByHopFields(fields);
  std::string head = StatusLine(status);
  for (const auto& field : fields) {
    const std::string_view name = field.name_string();
    if (!dropped.contains(LowerCaseName(name))) {
      head += fmt::format("{}: {}\r\n", name, std::string_view(field.value()));
    }
  }
  head += length != nullptr ? fmt::format("Content-Length: {}\r\n", *length)
                            : std::string("Transfer-Encoding: chunked\r\n");
  head += keep_alive ? "\r\n" : "Connection: close\r\n\r\n";
  return head;
}

std::string WriteChunk(std::string_view bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

}  // namespace pomeloring
