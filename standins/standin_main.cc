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
    const std::string_view argument = argv[i];
    if (argument == "--address" && i + 1 < argc) {
      options.address = argv[++i];
      continue;
    }
    const size_t equals = argument.find('=');
    if (!argument.starts_with("--") || equals == std::string_view::npos) {
      return false;
    }
    const std::string name(argument.substr(2, equals - 2));
    if (!options.numbers.contains(name)) {
      return false;
    }
    options.numbers[name] = std::stod(std::string(argument.substr(equals + 1)));
  }
  return !options.address.empty();
}

}  // namespace

int RunStandin(int argc,
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

HttpReply JsonReply(const boost::json::value& value, unsigned status) {
  HttpReply reply;
  reply.status = status;
  reply.body = boost::json::serialize(value);
  return reply;
}

HttpReply ErrorReply(std::string_view message, unsigned status) {
  return JsonReply(boost::json::object{{"error", message}}, status);
}

HttpReply NotStartedReply() {
  HttpReply reply = ErrorReply("refused", 503);
  reply.headers.push_back({"X-Not-Started", "1"});
  return reply;
}

double NumberField(const boost::json::value& value,
                   std::string_view field,
                   double default_value) {
  const boost::json::object* object = value.if_object();
  const boost::json::value* number =
      object == nullptr ? nullptr : object->if_contains(field);
  if (number == nullptr || !number->is_number()) {
    return default_value;
  }
  return number->to_number<double>();
}

std::string QueryParameter(std::string_view target, std::string_view name) {
  const std::string prefix = fmt::format("{}=", name);
  const size_t query = target.find('?');
  if (query == std::string_view::npos) {
    return {};
  }
  std::string_view remaining = target.substr(query + 1);
  while (!remaining.empty()) {
    const size_t end = std::min(remaining.find('&'), remaining.size());
    const std::string_view parameter = remaining.substr(0, end);
    if (parameter.starts_with(prefix)) {
      return std::string(parameter.substr(prefix.size()));
    }
    remaining.remove_prefix(std::min(end + 1, remaining.size()));
  }
  return {};
}

std::string HeaderValue(const HttpRequest& request, std::string_view name) {
  const auto it = request.find(std::string(name));
  return it == request.end() ? std::string() : std::string(it->value());
}

}  // namespace pomeloring::standin
