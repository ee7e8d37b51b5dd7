// A stand-in for the platform: an append-only log with offsets and retention,
// and a list of instances and upstreams. POST /control makes it fail.

#include <fmt/format.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/verb.hpp>
#include <deque>

#include "standin_main.h"

namespace pomeloring::standin {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr int64_t kPollMs = 2;

struct Stream {
  int64_t first = 1;
  std::deque<std::string> records;
};

struct State {
  std::map<std::string, Stream> streams;
  std::map<std::string, int64_t> offset_by_append_id;
  json::object list{{"instances", json::array{}}, {"upstreams", json::array{}}};
  bool is_down = false;
  int delay_ms = 0;
  int lose_replies = 0;          // Of the next appends, which take effect.
  size_t retention = 1'000'000;  // In records.
};

asio::awaitable<void> Wait(int64_t ms) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(std::chrono::milliseconds(ms));
  co_await timer.async_wait(asio::use_awaitable);
}

void Append(State& state, Stream& stream, const HttpRequest& request) {
  stream.records.push_back(request.body());
  while (stream.records.size() > state.retention) {
    stream.records.pop_front();
    ++stream.first;
  }
  const int64_t offset =
      stream.first + static_cast<int64_t>(stream.records.size()) - 1;
  const std::string id = HeaderOf(request, "X-Append-Id");
  if (!id.empty()) {
    state.offset_by_append_id[id] = offset;
  }
}

HttpReply OffsetOfLast(const Stream& stream) {
  const int64_t offset =
      stream.first + static_cast<int64_t>(stream.records.size()) - 1;
  return Json(json::object{{"offset", offset}});
}

asio::awaitable<void> ServeAppend(State& state,
                                  Stream& stream,
                                  HttpExchange& exchange) {
  Append(state, stream, exchange.Request());
  if (state.lose_replies > 0) {
    --state.lose_replies;
    exchange.Abort();
    co_return;
  }
  co_await exchange.Respond(OffsetOfLast(stream));
}

int64_t IntOf(const std::string& text, int64_t fallback) {
  return text.empty() ? fallback : std::stoll(text);
}

int64_t NextOffset(const Stream& stream) {
  return stream.first + static_cast<int64_t>(stream.records.size());
}

HttpReply Page(const Stream& stream, int64_t from, int64_t limit) {
  json::array records;
  for (int64_t offset = std::max(from, stream.first);
       offset < NextOffset(stream) &&
       static_cast<int64_t>(records.size()) < limit;
       ++offset) {
    const auto at = static_cast<size_t>(offset - stream.first);
    records.push_back(
        json::object{{"offset", offset}, {"payload", stream.records[at]}});
  }
  return Json(json::object{{"first_retained", stream.first},
                           {"records", std::move(records)}});
}

asio::awaitable<void> ServeRead(Stream& stream, HttpExchange& exchange) {
  const std::string_view target = exchange.Request().target();
  const int64_t from = IntOf(QueryOf(target, "from"), 1);
  const int64_t limit = IntOf(QueryOf(target, "limit"), 100);
  const auto until =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(IntOf(QueryOf(target, "wait_ms"), 0));
  while (from >= NextOffset(stream) &&
         std::chrono::steady_clock::now() < until) {
    co_await Wait(kPollMs);
  }
  co_await exchange.Respond(Page(stream, from, limit));
}

void TakeControl(State& state, const json::value& control) {
  state.is_down = NumberIn(control, "down", state.is_down) != 0;
  state.delay_ms =
      static_cast<int>(NumberIn(control, "delay_ms", state.delay_ms));
  state.lose_replies =
      static_cast<int>(NumberIn(control, "lose_replies", state.lose_replies));
  state.retention = static_cast<size_t>(
      NumberIn(control, "retention", static_cast<double>(state.retention)));
  const json::object* object = control.if_object();
  if (object != nullptr && object->contains("list")) {
    state.list = object->at("list").as_object();
  }
}

asio::awaitable<void> Serve(State& state, HttpExchange& exchange) {
  const HttpRequest& request = exchange.Request();
  const std::string target(request.target());
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/control") {
    json::error_code error;
    TakeControl(state, json::parse(request.body(), error));
    co_await exchange.Respond(Json(json::object()));
    co_return;
  }
  if (state.delay_ms > 0) {
    co_await Wait(state.delay_ms);
  }
  if (state.is_down) {
    co_await exchange.Respond(Error("down", 503));
    co_return;
  }
  if (path == "/instances") {
    co_await exchange.Respond(Json(state.list));
    co_return;
  }
  constexpr std::string_view kStreams = "/streams/";
  constexpr std::string_view kRecords = "/records";
  if (!path.starts_with(kStreams) || !path.ends_with(kRecords)) {
    co_await exchange.Respond(Error("no path", 404));
    co_return;
  }
  Stream& stream = state.streams[path.substr(
      kStreams.size(), path.size() - kStreams.size() - kRecords.size())];
  if (request.method() == http::verb::post) {
    co_await ServeAppend(state, stream, exchange);
  } else {
    co_await ServeRead(stream, exchange);
  }
}

}  // namespace
}  // namespace pomeloring::standin

int main(int argc, char** argv) {
  using namespace pomeloring;
  return standin::Main(argc, argv, {},
                       [](const standin::Options&, IoThreads&) -> HttpHandler {
                         auto state = std::make_shared<standin::State>();
                         return [state](HttpExchange& exchange) {
                           return standin::Serve(*state, exchange);
                         };
                       });
}
