// A stand-in for a model engine: continuous batching with a step time that
// grows with the batch, priorities, streams that can be resumed and cancelled,
// a delayed load report and orders with fencing numbers. POST /control injects
// faults: stalled, slow or aborted streams, a duplicate token, refused
// requests.

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <list>
#include <set>

#include "core/ids.h"
#include "standin_main.h"

namespace pomeloring::standin {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using boost::system::error_code;

constexpr std::chrono::milliseconds kHeartbeatInterval{1000};

// One request and its progress.
struct Sequence {
  explicit Sequence(const asio::any_io_executor& executor)
      : token_ready(executor) {}
  int priority = 1;
  int64_t next_token = 0;          // Index of the next token to generate.
  int64_t total_tokens = 0;        // Length of the complete answer.
  asio::steady_timer token_ready;  // Cancelled for each generated token.
};

struct Engine {
  Engine(const Options& options, asio::io_context& context)
      : step_ms(options.numbers.at("step_ms")),
        step_per_sequence_ms(options.numbers.at("step_per_sequence_ms")),
        most_running(static_cast<size_t>(options.numbers.at("most_running"))),
        checks_fencing(options.numbers.at("checks_fencing") != 0),
        timer(context) {}

  double step_ms;
  double step_per_sequence_ms;
  size_t most_running;
  bool checks_fencing;
  asio::steady_timer timer;
  std::list<std::shared_ptr<Sequence>> running;
  std::multimap<int, std::shared_ptr<Sequence>> waiting;
  bool is_stepping = false;
  // Injected faults.
  bool stalls = false;
  bool refuses = false;
  int64_t cut_after = -1;     // Aborts the next stream that gets to this token.
  int64_t double_token = -1;  // The next stream sends this token twice.
  double slow_factor = 1;     // Multiplies the step time.
  // Load samples; GET /load reports the one from `report_lag` ago.
  struct LoadSample {
    std::chrono::steady_clock::time_point at;
    size_t running = 0;
    size_t waiting = 0;
  };
  std::chrono::milliseconds report_lag{500};
  std::deque<LoadSample> samples;
  // Counters for GET /counts.
  int64_t started = 0;
  int64_t tokens = 0;
  std::map<std::string, int64_t> started_attempts;  // By prompt text.
  // State set by orders.
  int64_t fencing = 0;  // Highest fencing number received.
  std::set<std::string> adapters;
  bool is_draining = false;
};

// Moves waiting sequences into the batch until it is full.
void Admit(Engine& engine) {
  while (engine.running.size() < engine.most_running &&
         !engine.waiting.empty()) {
    engine.running.push_back(engine.waiting.begin()->second);
    engine.waiting.erase(engine.waiting.begin());
  }
}

void SampleLoad(Engine& engine) {
  const auto now = std::chrono::steady_clock::now();
  engine.samples.push_back({now, engine.running.size(), engine.waiting.size()});
  // Keep the newest sample that is at least `report_lag` old at the front.
  while (engine.samples.size() > 1 &&
         now - engine.samples[1].at >= engine.report_lag) {
    engine.samples.pop_front();
  }
}

HttpReply LoadReply(Engine& engine) {
  SampleLoad(engine);
  const Engine::LoadSample& sample = engine.samples.front();
  return JsonReply(
      json::object{{"running", sample.running}, {"waiting", sample.waiting}});
}

// Generates one token for each running sequence in every step, until no
// sequence is left.
asio::awaitable<void> StepLoop(std::shared_ptr<Engine> engine) {
  while (!engine->running.empty() || !engine->waiting.empty()) {
    Admit(*engine);
    SampleLoad(*engine);
    const double step =
        engine->slow_factor *
        (engine->step_ms + engine->step_per_sequence_ms *
                               static_cast<double>(engine->running.size()));
    engine->timer.expires_after(
        std::chrono::microseconds(static_cast<int64_t>(step * 1000)));
    error_code ignored;
    co_await engine->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    if (engine->stalls) {
      continue;
    }
    for (const auto& sequence : engine->running) {
      ++sequence->next_token;
      ++engine->tokens;
      sequence->token_ready.cancel();
    }
    std::erase_if(engine->running, [](const auto& sequence) {
      return sequence->next_token >= sequence->total_tokens;
    });
  }
  engine->is_stepping = false;
}

// Queues a sequence by priority; lower values run first.
void Enqueue(const std::shared_ptr<Engine>& engine,
             const std::shared_ptr<Sequence>& sequence) {
  ++engine->started;
  engine->waiting.emplace(sequence->priority, sequence);
  if (!engine->is_stepping) {
    engine->is_stepping = true;
    asio::co_spawn(engine->timer.get_executor(), StepLoop(engine),
                   asio::detached);
  }
}

void Cancel(Engine& engine, const std::shared_ptr<Sequence>& sequence) {
  engine.running.remove(sequence);
  std::erase_if(engine.waiting,
                [&](const auto& entry) { return entry.second == sequence; });
}

// Returns the token at `index`. Depends only on the prompt, so that every
// engine generates the same answer.
std::string TokenText(uint64_t prompt_hash, int64_t index) {
  static constexpr std::string_view kWords[] = {
      "cask", "oak", "rack", "fill", "stave", "angel", "share", "bung"};
  const uint64_t at = StableHash(std::to_string(index), prompt_hash);
  return fmt::format("{}{} ", kWords[at % std::size(kWords)], index);
}

// Returns the prompt, or the content of the last message.
std::string PromptText(const json::object& body) {
  if (const json::value* prompt = body.if_contains("prompt")) {
    return prompt->is_string() ? std::string(prompt->get_string()) : "";
  }
  const json::value* messages = body.if_contains("messages");
  if (messages == nullptr || !messages->is_array() ||
      messages->get_array().empty()) {
    return "";
  }
  const json::value& last = messages->get_array().back();
  const json::value* content =
      last.is_object() ? last.get_object().if_contains("content") : nullptr;
  return content != nullptr && content->is_string()
             ? std::string(content->get_string())
             : "";
}

std::string TokenEvent(uint64_t prompt_hash, int64_t index) {
  const json::object event{
      {"object", "chat.completion.chunk"},
      {"token_index", index},
      {"choices",
       json::array{json::object{
           {"index", 0},
           {"delta", json::object{{"content", TokenText(prompt_hash, index)}}},
           {"finish_reason", nullptr}}}}};
  return fmt::format("data: {}\n\n", json::serialize(event));
}

std::string FinalEvents(int64_t total_tokens) {
  const json::object event{
      {"object", "chat.completion.chunk"},
      {"choices", json::array{json::object{{"index", 0},
                                           {"delta", json::object{}},
                                           {"finish_reason", "stop"}}}},
      {"usage", json::object{{"completion_tokens", total_tokens}}}};
  return fmt::format("data: {}\n\ndata: [DONE]\n\n", json::serialize(event));
}

// Returns the index of the token to resume at, 0 for a new request, or -1 if
// the hash of the text received so far does not match.
int64_t ResumeIndex(const HttpRequest& request, uint64_t prompt_hash) {
  const std::string from = HeaderValue(request, "X-Resume-From");
  if (from.empty()) {
    return 0;
  }
  const int64_t index = std::stoll(from);
  std::string text;
  for (int64_t i = 0; i < index; ++i) {
    text += TokenText(prompt_hash, i);
  }
  const bool matches = HeaderValue(request, "X-Resume-Hash") ==
                       fmt::format("{:016x}", StableHash(text));
  return matches ? index : -1;
}

// Waits until the token at index `sent` is generated and meanwhile sends
// heartbeat comments. Returns false if the client has disconnected.
asio::awaitable<bool> WaitForToken(Engine& engine,
                                   Sequence& sequence,
                                   int64_t sent,
                                   HttpExchange& exchange) {
  auto heartbeat = std::chrono::steady_clock::now() + kHeartbeatInterval;
  while (sequence.next_token <= sent) {
    sequence.token_ready.expires_at(heartbeat);
    error_code ignored;
    co_await sequence.token_ready.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    if (std::chrono::steady_clock::now() >= heartbeat) {
      heartbeat += kHeartbeatInterval;
      if (!engine.stalls && !co_await exchange.WriteChunk(": heartbeat\n\n")) {
        co_return false;
      }
    }
  }
  co_return true;
}

// Streams the tokens. Returns false if the stream was aborted.
asio::awaitable<bool> SendTokens(Engine& engine,
                                 Sequence& sequence,
                                 uint64_t prompt_hash,
                                 HttpExchange& exchange) {
  for (int64_t sent = sequence.next_token; sent < sequence.total_tokens;
       ++sent) {
    if (!co_await WaitForToken(engine, sequence, sent, exchange)) {
      co_return false;
    }
    if (engine.cut_after >= 0 && sent >= engine.cut_after) {
      engine.cut_after = -1;
      exchange.Abort();
      co_return false;
    }
    std::string event = TokenEvent(prompt_hash, sent);
    if (engine.double_token == sent) {
      engine.double_token = -1;
      event += event;
    }
    if (!co_await exchange.WriteChunk(event)) {
      co_return false;
    }
  }
  co_return true;
}

asio::awaitable<void> ServeCompletion(std::shared_ptr<Engine> engine,
                                      HttpExchange& exchange) {
  json::error_code error;
  const json::value body = json::parse(exchange.Request().body(), error);
  if (error || !body.is_object()) {
    co_await exchange.Respond(ErrorReply("bad body", 400));
    co_return;
  }
  if (engine->refuses || engine->is_draining) {
    co_await exchange.Respond(NotStartedReply());
    co_return;
  }
  const std::string text = PromptText(body.get_object());
  const uint64_t prompt_hash = StableHash(text);
  auto sequence =
      std::make_shared<Sequence>(co_await asio::this_coro::executor);
  sequence->next_token = ResumeIndex(exchange.Request(), prompt_hash);
  if (sequence->next_token < 0) {
    co_await exchange.Respond(ErrorReply("no join", 409));
    co_return;
  }
  const std::string priority = HeaderValue(exchange.Request(), "X-Priority");
  sequence->priority = priority.empty() ? 1 : std::stoi(priority);
  sequence->total_tokens = static_cast<int64_t>(NumberField(
      body, "max_tokens", 8 + static_cast<double>(prompt_hash % 25)));
  ++engine->started_attempts[text];
  Enqueue(engine, sequence);
  HttpReply head;
  head.content_type = "text/event-stream";
  bool is_complete =
      co_await exchange.BeginStream(std::move(head)) &&
      co_await SendTokens(*engine, *sequence, prompt_hash, exchange);
  Cancel(*engine, sequence);
  if (is_complete) {
    co_await exchange.WriteChunk(FinalEvents(sequence->total_tokens));
    co_await exchange.EndStream();
  }
}

json::object OrderedState(const Engine& engine) {
  return {
      {"fencing", engine.fencing},
      {"adapters", json::array(engine.adapters.begin(), engine.adapters.end())},
      {"draining", engine.is_draining}};
}

HttpReply CountsReply(const Engine& engine) {
  json::object started_attempts;
  for (const auto& [text, count] : engine.started_attempts) {
    started_attempts[text] = count;
  }
  return JsonReply(json::object{{"started", engine.started},
                                {"tokens", engine.tokens},
                                {"running", engine.running.size()},
                                {"waiting", engine.waiting.size()},
                                {"runs", started_attempts},
                                {"ordered", OrderedState(engine)}});
}

void ApplyControl(Engine& engine, const json::value& control) {
  engine.stalls = NumberField(control, "stalls", engine.stalls) != 0;
  engine.refuses = NumberField(control, "refuses", engine.refuses) != 0;
  engine.cut_after =
      static_cast<int64_t>(NumberField(control, "cut_after", -1));
  engine.double_token =
      static_cast<int64_t>(NumberField(control, "double_token", -1));
  engine.slow_factor = NumberField(control, "slow_factor", engine.slow_factor);
}

// An order contains the complete desired state, so applying it twice is
// harmless.
HttpReply ApplyOrder(Engine& engine, const json::value& order) {
  const auto fencing = static_cast<int64_t>(NumberField(order, "fencing", 0));
  if (engine.checks_fencing && fencing < engine.fencing) {
    return JsonReply(
        json::object{{"error", "old fencing"}, {"fencing", engine.fencing}},
        409);
  }
  engine.fencing = std::max(engine.fencing, fencing);
  const json::object& object = order.as_object();
  engine.adapters.clear();
  for (const json::value& adapter : object.at("adapters").as_array()) {
    engine.adapters.insert(std::string(adapter.as_string()));
  }
  engine.is_draining = object.at("draining").as_bool();
  return JsonReply(OrderedState(engine));
}

asio::awaitable<void> Serve(std::shared_ptr<Engine> engine,
                            HttpExchange& exchange) {
  const std::string path(exchange.Request().target());
  const bool is_post = exchange.Request().method_string() == "POST";
  json::error_code error;
  const json::value body = is_post && (path == "/control" || path == "/orders")
                               ? json::parse(exchange.Request().body(), error)
                               : json::value{};
  if (path == "/v1/chat/completions" || path == "/v1/completions") {
    co_await ServeCompletion(engine, exchange);
  } else if (path == "/control") {
    ApplyControl(*engine, body);
    co_await exchange.Respond(JsonReply(json::object()));
  } else if (path == "/orders" && body.is_object()) {
    co_await exchange.Respond(ApplyOrder(*engine, body));
  } else if (path == "/orders") {
    co_await exchange.Respond(JsonReply(OrderedState(*engine)));
  } else if (path == "/counts") {
    co_await exchange.Respond(CountsReply(*engine));
  } else if (path == "/load") {
    co_await exchange.Respond(LoadReply(*engine));
  } else if (path == "/health") {
    co_await exchange.Respond(JsonReply(json::object()));
  } else {
    co_await exchange.Respond(ErrorReply("no path", 404));
  }
}

}  // namespace
}  // namespace pomeloring::standin

int main(int argc, char** argv) {
  using namespace pomeloring;
  return standin::RunStandin(
      argc, argv,
      {{"step_ms", 3},
       {"step_per_sequence_ms", 0.2},
       {"most_running", 32},
       {"checks_fencing", 1}},
      [](const standin::Options& options, IoThreads& threads) -> HttpHandler {
        auto engine =
            std::make_shared<standin::Engine>(options, threads.First());
        return [engine](HttpExchange& exchange) {
          return standin::Serve(engine, exchange);
        };
      });
}
