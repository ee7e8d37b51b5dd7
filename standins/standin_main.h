// Defines what the stand-ins share: their command line, their server and the
// reading of control requests.

#ifndef POMELORING_STANDINS_STANDIN_MAIN_H_
#define POMELORING_STANDINS_STANDIN_MAIN_H_

#include <boost/json.hpp>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "link/http_server.h"

namespace pomeloring::standin {

struct Options {
  std::string address;
  std::map<std::string, double> numbers;  // From --name=value.
};

// Parses `--address IP:port --name=value ...`, listens, serves on one thread
// until SIGTERM and returns the exit code.
using MakeHandler = std::function<HttpHandler(const Options&, IoThreads&)>;
int RunStandin(int argc,
               char** argv,
               std::map<std::string, double> defaults,
               const MakeHandler& make_handler);

HttpReply JsonReply(const boost::json::value& value, unsigned status = 200);

HttpReply ErrorReply(std::string_view message, unsigned status);

// Refuses a request, vouching that it was not started.
HttpReply NotStartedReply();

// Returns a number in a JSON object, or `fallback`.
double NumberField(const boost::json::value& value,
                   std::string_view field,
                   double default_value);

// Returns the value of a parameter of the request's query, or nothing.
std::string QueryParameter(std::string_view target, std::string_view name);

std::string HeaderValue(const HttpRequest& request, std::string_view name);

}  // namespace pomeloring::standin

#endif  // POMELORING_STANDINS_STANDIN_MAIN_H_
