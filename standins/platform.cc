// A stand-in for the platform's store: a log with topics, some of them keyed,
// that serves the platform's API, and the calls that one instance makes for
// all. POST /control writes the records of operators and upstreams, and injects
// faults; GET /calls lists the calls.

#include <fmt/format.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/verb.hpp>
#include <deque>
#include <map>

#include "platform/log_client.h"
#include "standin_main.h"

namespace pomeloring::standin {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr int64_t kPollIntervalMs = 2;
// The names of keyed topics start with it.
constexpr std::string_view kKeyedPrefix = "keyed.";
constexpr size_t kMaxListItems = 500;
constexpr size_t kMaxRecordsPerRead = 512;

struct Topic {
  uint64_t first = 0;  // Offset of the oldest retained record.
  std::deque<std::string> records;
  // Keyed topics only.
  std::map<std::string, platform::KeyedRecord> latest_by_key;
};

struct State {
  std::map<std::string, Topic> topics;
  bool is_down = false;          // Replies 503 to every call.
  bool is_silent = false;        // Closes every connection without a reply.
  int refuse_status = 0;         // Status of the reply to every call, unless 0.
  int delay_ms = 0;              // Before each call is handled.
  int lose_replies = 0;          // Appends to apply without a reply.
  size_t retention = 1'000'000;  // Max records per topic.
  // Calls to the API.
  json::array api_calls;      // As received, in their order.
  int api_refuse_status = 0;  // Status of the reply to every call, unless 0.
  int api_delay_ms = 0;       // Before each reply.
  int api_lose_replies = 0;   // Calls to accept without a reply.
};

asio::awaitable<void> Sleep(int64_t ms) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(std::chrono::milliseconds(ms));
  co_await timer.async_wait(asio::use_awaitable);
}

uint64_t EndOffset(const Topic& topic) {
  return topic.first + topic.records.size();
}

uint64_t ParseNumber(const std::string& text, uint64_t default_value) {
  return text.empty() ? default_value : std::stoull(text);
}

// Encodes a number as 8 bytes.
std::string BigEndian(uint64_t number) {
  std::string out;
  for (int shift = 56; shift >= 0; shift -= 8) {
    out += static_cast<char>(number >> shift & 0xFF);
  }
  return out;
}

// Appends a record to a topic, updates the latest value of its key and drops
// records beyond the retention limit.
void AddRecord(State& state, const std::string& name, std::string record) {
  Topic& topic = state.topics[name];
  if (name.starts_with(kKeyedPrefix)) {
    if (auto keyed = platform::ParseKeyedRecord(record, EndOffset(topic))) {
      if (keyed->value) {
        topic.latest_by_key[keyed->key] = *keyed;
      } else {
        topic.latest_by_key.erase(keyed->key);
      }
    }
  }
  topic.records.push_back(std::move(record));
  while (topic.records.size() > state.retention) {
    topic.records.pop_front();
    ++topic.first;
  }
}

asio::awaitable<void> ServeAppend(State& state,
                                  const std::string& name,
                                  HttpExchange& exchange) {
  // The body has the format of a read reply without its 16-byte header.
  const auto parsed =
      platform::ParseRecords(std::string(16, '\0') + exchange.Request().body());
  if (!parsed) {
    HttpReply refusal = ErrorReply("not records", 400);
    co_await exchange.Respond(std::move(refusal));
    co_return;
  }
  const uint64_t offset = EndOffset(state.topics[name]);
  const std::string at = QueryParameter(exchange.Request().target(), "at");
  if (!at.empty() && ParseNumber(at, 0) != offset) {
    json::object differs;
    differs["end"] = offset;
    co_await exchange.Respond(JsonReply(differs, 412));
    co_return;
  }
  for (const std::string& record : parsed->records) {
    AddRecord(state, name, record);
  }
  if (state.lose_replies > 0) {
    --state.lose_replies;
    exchange.Abort();
    co_return;
  }
  json::object answer;
  answer["offset"] = offset;
  answer["end"] = EndOffset(state.topics[name]);
  co_await exchange.Respond(JsonReply(answer));
}

// Sends the records from an offset on. If there is none yet, waits up to
// `wait_ms` for one. Replies 410 with the oldest retained offset if the record
// at that offset has expired.
asio::awaitable<void> ServeRead(State& state,
                                const std::string& name,
                                HttpExchange& exchange) {
  const std::string_view target = exchange.Request().target();
  const uint64_t from = ParseNumber(QueryParameter(target, "from"), 0);
  const auto deadline = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds(
                            ParseNumber(QueryParameter(target, "wait_ms"), 0));
  while (from >= EndOffset(state.topics[name]) &&
         std::chrono::steady_clock::now() < deadline) {
    co_await Sleep(kPollIntervalMs);
  }
  const Topic& topic = state.topics[name];
  if (from < topic.first) {
    json::object expired;
    expired["first"] = topic.first;
    co_await exchange.Respond(JsonReply(expired, 410));
    co_return;
  }
  HttpReply reply;
  reply.content_type = "application/octet-stream";
  reply.body = BigEndian(EndOffset(topic)) + BigEndian(topic.first);
  size_t count = 0;
  for (uint64_t at = from; at < EndOffset(topic) && count < kMaxRecordsPerRead;
       ++at, ++count) {
    reply.body += platform::EncodeRecord(topic.records[at - topic.first]);
  }
  co_await exchange.Respond(std::move(reply));
}

// Lists the latest values of a keyed topic in pages, from the key after
// `after`.
HttpReply ListLatest(const Topic& topic, const std::string& after) {
  json::array items;
  auto record = after.empty() ? topic.latest_by_key.begin()
                              : topic.latest_by_key.upper_bound(after);
  for (; record != topic.latest_by_key.end() && items.size() < kMaxListItems;
       ++record) {
    items.push_back(
        json::object{{"key", record->first},
                     {"value", platform::EncodeBase64(*record->second.value)},
                     {"offset", record->second.offset}});
  }
  return JsonReply(json::object{{"items", std::move(items)},
                                {"more", record != topic.latest_by_key.end()},
                                {"end", EndOffset(topic)}});
}

// Writes the records in the `put` field of a control request:
// {"put": [{"topic": "...", "key": "...", "value": "..."}]}. An entry without a
// value removes the key.
void PutRecords(State& state, const json::value& control) {
  const json::object* object = control.if_object();
  const json::value* put = object ? object->if_contains("put") : nullptr;
  if (put == nullptr || !put->is_array()) {
    return;
  }
  for (const json::value& entry : put->get_array()) {
    const json::value* value = entry.as_object().if_contains("value");
    const std::string text =
        value == nullptr ? "" : std::string(value->as_string());
    AddRecord(state, std::string(entry.at("topic").as_string()),
              platform::EncodeKeyedRecord(
                  std::string(entry.at("key").as_string()), text));
  }
}

void ApplyControl(State& state, const json::value& control) {
  state.is_down = NumberField(control, "down", state.is_down) != 0;
  state.is_silent = NumberField(control, "silent", state.is_silent) != 0;
  state.refuse_status =
      static_cast<int>(NumberField(control, "refuse", state.refuse_status));
  state.delay_ms =
      static_cast<int>(NumberField(control, "delay_ms", state.delay_ms));
  state.lose_replies = static_cast<int>(
      NumberField(control, "lose_replies", state.lose_replies));
  state.retention = static_cast<size_t>(
      NumberField(control, "retention", static_cast<double>(state.retention)));
  state.api_refuse_status = static_cast<int>(
      NumberField(control, "api_refuse", state.api_refuse_status));
  state.api_delay_ms = static_cast<int>(
      NumberField(control, "api_delay_ms", state.api_delay_ms));
  state.api_lose_replies = static_cast<int>(
      NumberField(control, "api_lose_replies", state.api_lose_replies));
  PutRecords(state, control);
}

// Records the call with its sender and when it came.
asio::awaitable<void> ServeApiCall(State& state,
                                   const std::string& path,
                                   HttpExchange& exchange) {
  const HttpRequest& request = exchange.Request();
  json::error_code error;
  json::value body = json::parse(request.body(), error);
  const auto holder = request.find("X-Duty-Holder");
  const auto token = request.find("X-Fencing-Token");
  if (error || holder == request.end() || token == request.end()) {
    HttpReply refusal = ErrorReply("not a call of a holder", 400);
    co_await exchange.Respond(std::move(refusal));
    co_return;
  }
  json::object call;
  call["path"] = path;
  call["holder"] = std::string(holder->value());
  call["token"] = ParseNumber(std::string(token->value()), 0);
  call["at_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::steady_clock::now().time_since_epoch())
                      .count();
  call["status"] = state.api_refuse_status == 0 ? 200 : state.api_refuse_status;
  call["body"] = std::move(body);
  state.api_calls.push_back(std::move(call));
  const int status = state.api_refuse_status;
  if (state.api_delay_ms > 0) {
    co_await Sleep(state.api_delay_ms);
  }
  if (state.api_lose_replies > 0) {
    --state.api_lose_replies;
    exchange.Abort();
    co_return;
  }
  json::object empty;
  HttpReply reply = status == 0
                        ? JsonReply(empty)
                        : ErrorReply("refused", static_cast<unsigned>(status));
  co_await exchange.Respond(std::move(reply));
}

asio::awaitable<void> Serve(State& state, HttpExchange& exchange) {
  const HttpRequest& request = exchange.Request();
  const std::string target(request.target());
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/control") {
    json::error_code error;
    ApplyControl(state, json::parse(request.body(), error));
    co_await exchange.Respond(JsonReply(json::object()));
    co_return;
  }
  if (path == "/calls") {
    json::object calls;
    calls["calls"] = state.api_calls;
    co_await exchange.Respond(JsonReply(calls));
    co_return;
  }
  // Its faults are its own.
  if (path == "/usage" || path == "/scale") {
    co_await ServeApiCall(state, path, exchange);
    co_return;
  }
  if (state.delay_ms > 0) {
    co_await Sleep(state.delay_ms);
  }
  if (state.is_silent) {
    exchange.Abort();
    co_return;
  }
  if (state.is_down || state.refuse_status != 0) {
    co_await exchange.Respond(ErrorReply(
        "refused",
        state.is_down ? 503U : static_cast<unsigned>(state.refuse_status)));
    co_return;
  }
  const std::string topic = QueryParameter(target, "topic");
  if (path == "/api/log-append" && request.method() == http::verb::post) {
    co_await ServeAppend(state, topic, exchange);
  } else if (path == "/api/log-read") {
    co_await ServeRead(state, topic, exchange);
  } else if (path == "/api/log-newest") {
    co_await exchange.Respond(
        ListLatest(state.topics[topic], QueryParameter(target, "after")));
  } else {
    co_await exchange.Respond(ErrorReply("no path", 404));
  }
}

}  // namespace
}  // namespace pomeloring::standin

int main(int argc, char** argv) {
  using namespace pomeloring;
  return standin::RunStandin(
      argc, argv, {}, [](const standin::Options&, IoThreads&) -> HttpHandler {
        auto state = std::make_shared<standin::State>();
        return [state](HttpExchange& exchange) {
          return standin::Serve(*state, exchange);
        };
      });
}
