#include "soak/soak_caller.h"

#include <fmt/format.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

#include "link/address.h"

namespace pomeloring::soak {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds kDeadline{5000};

auto Await(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

// Returns the ids of the complete events in the text of a stream, and 0 for
// each malformed one.
std::vector<uint64_t> ParseEventIds(std::string_view text) {
  std::vector<uint64_t> events;
  for (size_t end = text.find("\n\n"); end != std::string_view::npos;
       end = text.find("\n\n")) {
    const std::string_view event = text.substr(0, end);
    uint64_t id = 0;
    // An event of any other form was spliced together from parts of two.
    const size_t line = event.find("\ndata: u");
    if (event.starts_with("id: ") && line == event.find('\n') &&
        line == event.rfind('\n')) {
      std::from_chars(event.data() + 4, event.data() + line, id);
    }
    events.push_back(id);
    text.remove_prefix(end + 2);
  }
  return events;
}

}  // namespace

asio::awaitable<void> PerformRequest(asio::io_context& context,
                                     CallerPlan plan,
                                     RequestRecord& record) {
  auto stream = std::make_shared<beast::tcp_stream>(context);
  record.sent = Clock::now();
  record.ended = Clock::now() + std::chrono::hours(1);
  stream->expires_after(plan.disconnect_after.value_or(kDeadline));
  error_code error;
  co_await stream->async_connect(*ParseTcpAddress(plan.address), Await(error));
  http::request<http::string_body> request{
      record.kind == RequestKind::kCheck ? http::verb::put : http::verb::post,
      record.path, 11};
  request.set(http::field::host, "site.example");
  request.set("X-Request-Id", plan.id);
  if (plan.id_use > 0) {
    request.set("X-Id-Use", std::to_string(plan.id_use));
  }
  request.set("X-Key", "key-1");
  request.set("X-Deadline-Ms", std::to_string(kDeadline.count()));
  if (IsStream(record.kind)) {
    request.set("X-Model", "m");
    request.set("X-Token-Counts", "600,12");
    request.set("X-Prompt-Prefix", "a1:200,b2:400");
  }
  request.body() = record.body;
  request.prepare_payload();
  if (!error) {
    co_await http::async_write(*stream, request, Await(error));
  }
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  if (!error) {
    co_await http::async_read(*stream, buffer, parser, Await(error));
  }
  record.ended = Clock::now();
  record.disconnected = error == beast::error::timeout;
  record.status = parser.is_header_done() ? parser.get().result_int() : 0;
  record.is_complete = !error;
  record.seal = std::string(parser.get()["X-Response-Seal"]);
  record.reply = parser.get().body();
  if (IsStream(record.kind)) {
    record.events = ParseEventIds(record.reply);
  }
  stream->socket().close(error);
}

}  // namespace pomeloring::soak
