// Defines Platform: the service that operators run already, with an append-only
// log and a lagging list of instances and upstreams.

#ifndef POMELORING_DAEMON_PLATFORM_H_
#define POMELORING_DAEMON_PLATFORM_H_

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
struct PlatformNoReply {};

struct LogPage {
  LogOffset first_retained{1};
  std::vector<LogRecord> records;
  bool is_end = false;  // The log held no more records.
};

struct PlatformList {
  std::vector<std::string> probe_addresses;  // Of instances.
  std::set<UpstreamName> leaving;
};

using AppendResult = std::variant<LogOffset, PlatformRefused, PlatformNoReply>;
using ReadResult = std::variant<LogPage, PlatformRefused, PlatformNoReply>;
using ListResult = std::variant<PlatformList, PlatformRefused, PlatformNoReply>;

class Platform {
 public:
  virtual ~Platform() = default;

  // Appends one record. A repeated append is told by what the record says.
  virtual boost::asio::awaitable<AppendResult> Append(LogStream stream,
                                                      std::string payload) = 0;
  // Reads from `from` on; waits up to `wait` for a record to come.
  virtual boost::asio::awaitable<ReadResult>
  Read(LogStream stream, LogOffset from, std::chrono::milliseconds wait) = 0;
  virtual boost::asio::awaitable<ListResult> List() = 0;
  // Puts this instance on the list; false where that did not succeed.
  virtual boost::asio::awaitable<bool> RegisterInstance(
      std::string name,
      std::string probe_address) = 0;
};

}  // namespace pomeloring

#endif  // POMELORING_DAEMON_PLATFORM_H_
