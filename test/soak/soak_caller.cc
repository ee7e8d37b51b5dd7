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

// The ids of the whole events in the text of a stream.
std::vector<uint64_t> EventsOf(std::string_view text) {
  std::vector<uint64_t> events;
  for (size_t end = text.find("\n\n"); end != std::string_view::npos;
       end = text.find("\n\n")) {
    const std::string_view event = text.substr(0, end);
    uint64_t id = 0;
    // An event of another form is one that was torn and joined.
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

asio::awaitable<void> MakeCall(asio::io_context& context,
                               CallerPlan plan,
                               Attempt& attempt) {
  auto stream = std::make_shared<beast::tcp_stream>(context);
  attempt.sent = Clock::now();
  attempt.ended = Clock::now() + std::chrono::hours(1);
  stream->expires_after(plan.leaves_after.value_or(kDeadline));
  error_code error;
  co_await stream->async_connect(*ParseTcpAddress(plan.address), Await(error));
  http::request<http::string_body> request{
      attempt.kind == RequestKind::kCheck ? http::verb::put : http::verb::post,
      attempt.path, 11};
  request.set(http::field::host, "site.example");
  request.set("X-Request-Id", plan.id);
  request.set("X-Key", "key-1");
  request.set("X-Deadline-Ms", std::to_string(kDeadline.count()));
  if (IsStream(attempt.kind)) {
    request.set("X-Model", "m");
    request.set("X-Token-Counts", "600,12");
    request.set("X-Prompt-Prefix", "a1:200,b2:400");
  }
  request.body() = attempt.body;
  request.prepare_payload();
  if (!error) {
    co_await http::async_write(*stream, request, Await(error));
  }
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  if (!error) {
    co_await http::async_read(*stream, buffer, parser, Await(error));
  }
  attempt.ended = Clock::now();
  attempt.left = error == beast::error::timeout;
  attempt.status = parser.is_header_done() ? parser.get().result_int() : 0;
  attempt.is_whole = !error;
  attempt.seal = std::string(parser.get()["X-Response-Seal"]);
  attempt.reply = parser.get().body();
  if (IsStream(attempt.kind)) {
    attempt.events = EventsOf(attempt.reply);
  }
  stream->socket().close(error);
}

}  // namespace pomeloring::soak
