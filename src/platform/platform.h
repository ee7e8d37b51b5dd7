// Defines Platform: the service that operators run already, with an append-only
// log and a lagging list of instances and upstreams.

#ifndef POMELORING_PLATFORM_PLATFORM_H_
#define POMELORING_PLATFORM_PLATFORM_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/action.h"
#include "core/config_history.h"

namespace pomeloring {

// The call had no effect, as far as the platform says.
struct PlatformRefused {
  unsigned status = 0;
};
// No reply came in time, or none that could be read: an append may have taken
// effect unheard.
struct PlatformSilent {};

struct LogPage {
  LogOffset first_retained{1};
  std::vector<LogRecord> records;
  bool is_end = false;  // The log held no more records.
};

struct PlatformList {
  std::vector<std::string> probe_addresses;  // Of instances.
  std::set<UpstreamName> leaving;
};

using AppendResult = std::variant<LogOffset, PlatformRefused, PlatformSilent>;
using ReadResult = std::variant<LogPage, PlatformRefused, PlatformSilent>;
using ListResult = std::variant<PlatformList, PlatformRefused, PlatformSilent>;

class Platform {
 public:
  virtual ~Platform() = default;

  // Appends one record. `append_id` lets the platform and the reader tell a
  // repeated append.
  virtual boost::asio::awaitable<AppendResult>
  Append(LogStream stream, std::string payload, std::string append_id) = 0;
  // Reads from `from` on; waits up to `wait` for a record to come.
  virtual boost::asio::awaitable<ReadResult>
  Read(LogStream stream, LogOffset from, std::chrono::milliseconds wait) = 0;
  virtual boost::asio::awaitable<ListResult> List() = 0;
};

// Talks to the platform at `address` (IP:port) over HTTP. Each call has a
// connection and a deadline of its own: one that went silent harms no other.
std::unique_ptr<Platform> MakeHttpPlatform(std::string address,
                                           std::chrono::milliseconds deadline);

std::string_view StreamName(LogStream stream);

}  // namespace pomeloring

#endif  // POMELORING_PLATFORM_PLATFORM_H_
