// Defines the blocking calls that pomeloring-ctl makes to instances and to the
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

struct AdminUnreachable {
  std::string address;
};
struct AdminRefused {
  std::string address;
  unsigned status = 0;
};
using AdminResult =
    std::variant<boost::json::value, AdminUnreachable, AdminRefused>;

// Runs a coroutine to its end on an event loop of its own.
void RunBlocking(const std::function<boost::asio::awaitable<void>()>& task);

AdminResult GetFromAdmin(const std::string& address,
                         const std::string& key,
                         const std::string& path);
AdminResult PostToAdmin(const std::string& address,
                        const std::string& key,
                        const std::string& path);

std::string Describe(const AdminUnreachable& error);
std::string Describe(const AdminRefused& error);

struct LogUnavailable {};

// Reads the configuration stream from `history`'s place to its end. Stops early
// once `publish_id` has an outcome.
std::variant<ConfigHistory, LogUnavailable> ReadConfigLog(
    const std::string& address,
    ConfigHistory history,
    const std::string& publish_id,
    std::chrono::seconds wait);

enum class AppendStatus { kAppended, kRefused, kUnknown };

AppendStatus AppendToConfigLog(const std::string& address,
                               const std::string& payload);

}  // namespace pomeloring

#endif  // POMELORING_CTL_ADMIN_CLIENT_H_
