// A stand-in for a plain service that counts the requests that it executed, by
// body. POST /control makes it delay or refuse requests, or drop the replies of
// requests that it executed.

#include <fmt/format.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "standin_main.h"

namespace pomeloring::standin {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

struct State {
  std::string address;
  std::map<std::string, int64_t> executed_attempts;  // By request body.
  int64_t total = 0;
  int delay_ms = 0;      // Between execution and reply.
  int lose_replies = 0;  // Replies to drop, starting with the next.
  bool refuses = false;
};

HttpReply CountsReply(const State& state) {
  json::object executed_attempts;
  for (const auto& [body, count] : state.executed_attempts) {
    executed_attempts[body] = count;
  }
  return JsonReply(
      json::object{{"total", state.total}, {"runs", executed_attempts}});
}

HttpReply ExecutedReply(const State& state, std::string_view path) {
  return JsonReply(json::object{
      {"ran", state.total}, {"service", state.address}, {"path", path}});
}

void ApplyControl(State& state, const json::value& control) {
  state.delay_ms =
      static_cast<int>(NumberField(control, "delay_ms", state.delay_ms));
  state.lose_replies = static_cast<int>(
      NumberField(control, "lose_replies", state.lose_replies));
  state.refuses = NumberField(control, "refuses", state.refuses) != 0;
}

asio::awaitable<void> Execute(State& state, HttpExchange& exchange) {
  ++state.total;
  ++state.executed_attempts[exchange.Request().body()];
  if (state.delay_ms > 0) {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(std::chrono::milliseconds(state.delay_ms));
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (state.lose_replies > 0) {
    --state.lose_replies;
    exchange.Abort();
    co_return;
  }
  co_await exchange.Respond(ExecutedReply(state, exchange.Request().target()));
}

asio::awaitable<void> Serve(State& state, HttpExchange& exchange) {
  const std::string path(exchange.Request().target());
  if (path == "/control") {
    json::error_code error;
    ApplyControl(state, json::parse(exchange.Request().body(), error));
    co_await exchange.Respond(JsonReply(json::object()));
  } else if (path == "/counts") {
    co_await exchange.Respond(CountsReply(state));
  } else if (path == "/health") {
    co_await exchange.Respond(JsonReply(json::object()));
  } else if (state.refuses) {
    co_await exchange.Respond(NotStartedReply());
  } else {
    co_await Execute(state, exchange);
  }
}

}  // namespace
}  // namespace pomeloring::standin

int main(int argc, char** argv) {
  using namespace pomeloring;
  return standin::RunStandin(
      argc, argv, {{"delay_ms", 0}},
      [](const standin::Options& options, IoThreads&) -> HttpHandler {
        auto state = std::make_shared<standin::State>();
        state->address = options.address;
        state->delay_ms = static_cast<int>(options.numbers.at("delay_ms"));
        return [state](HttpExchange& exchange) {
          return standin::Serve(*state, exchange);
        };
      });
}
