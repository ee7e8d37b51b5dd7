// Blocking calls from pomeloring-ctl to the admin API of instances and to the
// platform.

#ifndef POMELORING_CTL_ADMIN_CLIENT_H_
#define POMELORING_CTL_ADMIN_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <variant>

#include "core/config_history.h"

namespace pomeloring {

// No HTTP response arrived within the call timeout.
struct AdminUnreachable {
  std::string address;
};
// The instance replied with a status other than 200, or with a body that is not
// JSON.
struct AdminRejected {
  std::string address;
  unsigned status = 0;
};
using AdminResult =
    std::variant<boost::json::value, AdminUnreachable, AdminRejected>;

// Runs a coroutine to completion on a new single-threaded event loop.
void RunBlocking(const std::function<boost::asio::awaitable<void>()>& task);

// Calls `path` of the admin API at `address` (IP:port) and returns the parsed
// JSON body. `key` is the operators' key.
AdminResult GetFromAdmin(const std::string& address,
                         const std::string& key,
                         const std::string& path);
AdminResult PostToAdmin(const std::string& address,
                        const std::string& key,
                        const std::string& path);

// Returns the message to print for the operator.
std::string Describe(const AdminUnreachable& error);
std::string Describe(const AdminRejected& error);

// The configuration stream could not be read from the platform.
struct LogUnavailable {};

// Reads the configuration stream of the platform at `address` (IP:port) from
// `history.next_offset` to its end and returns `history` with the records
// applied. With a `publish_id`, waits up to `wait` for the outcome of that
// publish and stops as soon as it is known; `outcomes` of the result does not
// contain the id if the wait ended first.
std::variant<ConfigHistory, LogUnavailable> ReadConfigLog(
    const std::string& address,
    ConfigHistory history,
    const std::string& publish_id,
    std::chrono::seconds wait);

enum class AppendStatus {
  kAppended,
  kRefused,  // The platform rejected the record; nothing was written.
  kUnknown   // No reply; the record may have been written.
};

// Appends one encoded record to the configuration stream. Does not retry.
AppendStatus AppendToConfigLog(const std::string& address,
                               const std::string& payload);

}  // namespace pomeloring

#endif  // POMELORING_CTL_ADMIN_CLIENT_H_
