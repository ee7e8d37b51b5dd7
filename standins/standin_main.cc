#include "standin_main.h"

#include <fmt/format.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <future>

#include "link/problem.h"

namespace pomeloring::standin {
namespace {

bool ParseOptions(int argc, char** argv, Options& options) {
  for (int i = 1; i < argc; ++i) {
    const std::string_view word = argv[i];
    if (word == "--address" && i + 1 < argc) {
      options.address = argv[++i];
      continue;
    }
    const size_t equals = word.find('=');
    if (!word.starts_with("--") || equals == std::string_view::npos) {
      return false;
    }
    const std::string name(word.substr(2, equals - 2));
    if (!options.numbers.contains(name)) {
      return false;
    }
    options.numbers[name] = std::stod(std::string(word.substr(equals + 1)));
  }
  return !options.address.empty();
}

}  // namespace

int Main(int argc,
         char** argv,
         std::map<std::string, double> defaults,
         const MakeHandler& make_handler) {
  Options options;
  options.numbers = std::move(defaults);
  if (!ParseOptions(argc, argv, options)) {
    fmt::print(stderr, "usage: {} --address IP:port", argv[0]);
    for (const auto& [name, value] : options.numbers) {
      fmt::print(stderr, " [--{}={}]", name, value);
    }
    fmt::print(stderr, "\n");
    return 2;
  }
  IoThreads threads(1);
  auto server =
      StartHttpServer(threads, options.address, {},
                      make_handler(options, threads), ProblemForStatus);
  if (auto* error = std::get_if<ListenError>(&server)) {
    fmt::print(stderr, "{}: {}: {}\n", argv[0], error->address, error->reason);
    return 4;
  }
  std::promise<void> stopped;
  boost::asio::signal_set signals(threads.First(), SIGTERM, SIGINT);
  signals.async_wait(
      [&](boost::system::error_code, int) { stopped.set_value(); });
  threads.Start();
  stopped.get_future().wait();
  threads.Stop();
  return 0;
}

HttpReply Json(const boost::json::value& value, unsigned status) {
  HttpReply reply;
  reply.status = status;
  reply.body = boost::json::serialize(value);
  return reply;
}

HttpReply Error(std::string_view what, unsigned status) {
  return Json(boost::json::object{{"error", what}}, status);
}

HttpReply NotStarted() {
  HttpReply reply = Error("refused", 503);
  reply.headers.push_back({"X-Not-Started", "1"});
  return reply;
}

double NumberIn(const boost::json::value& value,
                std::string_view field,
                double fallback) {
  const boost::json::object* object = value.if_object();
  const boost::json::value* number =
      object == nullptr ? nullptr : object->if_contains(field);
  if (number == nullptr || !number->is_number()) {
    return fallback;
  }
  return number->to_number<double>();
}

std::string QueryOf(std::string_view target, std::string_view name) {
  const std::string wanted = fmt::format("{}=", name);
  const size_t query = target.find('?');
  if (query == std::string_view::npos) {
    return {};
  }
  std::string_view rest = target.substr(query + 1);
  while (!rest.empty()) {
    const size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view part = rest.substr(0, end);
    if (part.starts_with(wanted)) {
      return std::string(part.substr(wanted.size()));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

std::string HeaderOf(const HttpRequest& request, std::string_view name) {
  const auto it = request.find(std::string(name));
  return it == request.end() ? std::string() : std::string(it->value());
}

}  // namespace pomeloring::standin
