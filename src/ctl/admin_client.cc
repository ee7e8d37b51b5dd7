#include "ctl/admin_client.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include "link/clock.h"
#include "link/http_client.h"
#include "platform/log_platform.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::chrono::milliseconds kCallTimeout{5000};
constexpr std::chrono::milliseconds kLogReadWait{500};

AdminResult CallAdmin(const std::string& address,
                      const std::string& key,
                      http::verb verb,
                      const std::string& path) {
  AdminResult result = AdminUnreachable{address};
  RunBlocking([&]() -> asio::awaitable<void> {
    HttpRequestMessage request{verb, path, 11};
    request.set(http::field::host, address);
    request.set(http::field::authorization, "Bearer " + key);
    const HttpResult reply =
        co_await SendHttpRequest(address, std::move(request), kCallTimeout);
    const auto* response = std::get_if<HttpResponseMessage>(&reply);
    if (response == nullptr) {
      co_return;
    }
    json::error_code error;
    json::value value = json::parse(response->body(), error);
    if (response->result() != http::status::ok || error) {
      result = AdminRejected{address, response->result_int()};
      co_return;
    }
    result = std::move(value);
  });
  return result;
}

}  // namespace

void RunBlocking(const std::function<asio::awaitable<void>()>& task) {
  asio::io_context context(1);
  asio::co_spawn(context, task(), asio::detached);
  context.run();
}

AdminResult GetFromAdmin(const std::string& address,
                         const std::string& key,
                         const std::string& path) {
  return CallAdmin(address, key, http::verb::get, path);
}

AdminResult PostToAdmin(const std::string& address,
                        const std::string& key,
                        const std::string& path) {
  return CallAdmin(address, key, http::verb::post, path);
}

std::string Describe(const AdminUnreachable& error) {
  return fmt::format("{} can't be reached; check --admin", error.address);
}

std::string Describe(const AdminRejected& error) {
  return fmt::format(
      "{} rejected the call with status {}; check POMELORING_ADMIN_KEY",
      error.address, error.status);
}

std::variant<ConfigHistory, LogUnavailable> ReadConfigLog(
    const std::string& address,
    ConfigHistory history,
    const std::string& publish_id,
    std::chrono::seconds wait) {
  bool is_available = true;
  const auto deadline = std::chrono::steady_clock::now() + wait;
  RunBlocking([&]() -> asio::awaitable<void> {
    const auto client = platform::MakeLogPlatform(address, kCallTimeout);
    bool at_end = false;
    while (!at_end || std::chrono::steady_clock::now() < deadline) {
      const auto read_wait =
          publish_id.empty() ? std::chrono::milliseconds(0) : kLogReadWait;
      const ReadResult result = co_await client->Read(
          LogStream::kConfiguration, history.next_offset, read_wait);
      const auto* page = std::get_if<LogPage>(&result);
      if (page == nullptr) {
        is_available = false;
        co_return;
      }
      at_end = page->records.empty();
      ApplyRecords(history, page->records, page->first_retained, Now());
      const bool is_decided = history.outcomes.contains(publish_id);
      if (is_decided || (publish_id.empty() && at_end)) {
        co_return;
      }
    }
  });
  if (!is_available) {
    return LogUnavailable{};
  }
  return history;
}

AppendStatus AppendToConfigLog(const std::string& address,
                               const std::string& payload) {
  AppendStatus append_status = AppendStatus::kUnknown;
  RunBlocking([&]() -> asio::awaitable<void> {
    const auto client = platform::MakeLogPlatform(address, kCallTimeout);
    const AppendResult result =
        co_await client->Append(LogStream::kConfiguration, payload);
    if (std::holds_alternative<LogOffset>(result)) {
      append_status = AppendStatus::kAppended;
    } else if (std::holds_alternative<PlatformRejected>(result)) {
      append_status = AppendStatus::kRefused;
    }
  });
  return append_status;
}

}  // namespace pomeloring
