// Defines Platform: the interface to the operators' own service, which has an
// append-only log and an eventually consistent list of instances and upstreams.

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

// The call had no effect: the platform reported this, or no connection was
// established.
struct PlatformRejected {
  unsigned status = 0;  // HTTP status; 0 if there was no connection.
};
// No valid reply was received in time; an append may have taken effect.
struct PlatformNoReply {};

struct LogPage {
  LogOffset first_retained{1};  // Offset of the oldest retained record.
  std::vector<LogRecord> records;
  bool is_end = false;  // The log has no records after these.
};

struct PlatformList {
  std::vector<std::string> probe_addresses;  // Of instances.
  std::set<UpstreamName> leaving;            // Upstreams that are draining.
};

using AppendResult = std::variant<LogOffset, PlatformRejected, PlatformNoReply>;
using ReadResult = std::variant<LogPage, PlatformRejected, PlatformNoReply>;
using ListResult =
    std::variant<PlatformList, PlatformRejected, PlatformNoReply>;

class Platform {
 public:
  virtual ~Platform() = default;

  // Appends one record. Readers recognize a repeated append by the content of
  // the record.
  virtual boost::asio::awaitable<AppendResult> Append(LogStream stream,
                                                      std::string payload) = 0;
  // Reads records from offset `from` on; if there are none, waits up to `wait`
  // for the next.
  virtual boost::asio::awaitable<ReadResult>
  Read(LogStream stream, LogOffset from, std::chrono::milliseconds wait) = 0;
  virtual boost::asio::awaitable<ListResult> List() = 0;
  // Adds this instance to the list. Returns false on failure.
  virtual boost::asio::awaitable<bool> RegisterInstance(
      std::string name,
      std::string probe_address) = 0;
};

}  // namespace pomeloring

#endif  // POMELORING_DAEMON_PLATFORM_H_
