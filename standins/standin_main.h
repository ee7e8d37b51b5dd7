// Shared by the stand-ins: command line, HTTP server and helpers that read
// requests and make replies.

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
  std::string address;                    // IP:port to listen on.
  std::map<std::string, double> numbers;  // From --name=value.
};

// Creates the request handler of a stand-in.
using MakeHandler = std::function<HttpHandler(const Options&, IoThreads&)>;

// Parses `--address IP:port --name=value ...`, serves on one thread until
// SIGTERM or SIGINT and returns the exit code: 0, 2 for bad arguments or 4 if
// the address can't be used. `defaults` holds the options that are allowed and
// their values.
int RunStandin(int argc,
               char** argv,
               std::map<std::string, double> defaults,
               const MakeHandler& make_handler);

// Returns a reply with `value` as its JSON body.
HttpReply JsonReply(const boost::json::value& value, unsigned status = 200);

// Returns a reply with the body {"error": message}.
HttpReply ErrorReply(std::string_view message, unsigned status);

// Returns 503 with the header that guarantees that the request was not started.
HttpReply NotStartedReply();

// Returns a number from a JSON object, or `default_value` if `value` is no
// object or the field is missing or not a number.
double NumberField(const boost::json::value& value,
                   std::string_view field,
                   double default_value);

// Returns a query parameter of the request target, or an empty string.
std::string QueryParameter(std::string_view target, std::string_view name);

// Returns a header of the request, or an empty string.
std::string HeaderValue(const HttpRequest& request, std::string_view name);

}  // namespace pomeloring::standin

#endif  // POMELORING_STANDINS_STANDIN_MAIN_H_
