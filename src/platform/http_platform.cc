#include <fmt/format.h>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include "core/json_reader.h"
#include "link/http_client.h"
#include "platform/platform.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr size_t kRecordsPerRead = 512;

std::optional<json::value> ParseReply(const HttpResponseMessage& response) {
  json::error_code error;
  json::value value = json::parse(response.body(), error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return value;
}

std::optional<LogPage> ReadPage(const json::value& value) {
  std::optional<ConfigurationError> error;
  JsonReader reader(value, "", error);
  LogPage page;
  page.first_retained.value =
      static_cast<uint64_t>(reader.Int("first_retained", 1, 0, INT64_MAX));
  for (JsonReader& record : reader.Objects("records")) {
    const auto offset =
        static_cast<uint64_t>(record.Int("offset", 0, 1, INT64_MAX));
    page.records.push_back(
        {LogOffset{offset}, record.String("payload", false)});
  }
  if (error) {
    return std::nullopt;
  }
  page.is_end = page.records.size() < kRecordsPerRead;
  return page;
}

// Statuses by which the platform says that it did nothing. Any other error may
// come from a hop after the append took effect.
bool IsWithoutEffect(http::status status) {
  return http::to_status_class(status) == http::status_class::client_error ||
         status == http::status::service_unavailable;
}

AppendResult ReadAppendReply(const HttpResponseMessage& response) {
  if (IsWithoutEffect(response.result())) {
    return PlatformRefused{response.result_int()};
  }
  const auto value = ParseReply(response);
  if (response.result() != http::status::ok || !value) {
    return PlatformSilent{};
  }
  const json::value* offset = value->get_object().if_contains("offset");
  if (offset == nullptr || !offset->is_int64()) {
    return PlatformSilent{};
  }
  return LogOffset{static_cast<uint64_t>(offset->get_int64())};
}

std::optional<PlatformList> ReadList(const json::value& value) {
  std::optional<ConfigurationError> error;
  JsonReader reader(value, "", error);
  PlatformList list;
  for (JsonReader& instance : reader.Objects("instances")) {
    list.probe_addresses.push_back(instance.String("probe_address"));
  }
  for (JsonReader& upstream : reader.Objects("upstreams")) {
    const UpstreamName name{upstream.String("name")};
    if (upstream.String("state") != "live") {
      list.leaving.insert(name);
    }
  }
  if (error) {
    return std::nullopt;
  }
  return list;
}

class HttpPlatform final : public Platform {
 public:
  HttpPlatform(std::string address, std::chrono::milliseconds deadline)
      : m_address(std::move(address)), m_deadline(deadline) {}

  asio::awaitable<AppendResult> Append(LogStream stream,
                                       std::string payload,
                                       std::string append_id) override {
    HttpRequestMessage request =
        MakeRequest(http::verb::post,
                    fmt::format("/streams/{}/records", StreamName(stream)));
    request.set("X-Append-Id", append_id);
    request.body() = std::move(payload);
    const HttpResult result =
        co_await CallOnce(m_address, std::move(request), m_deadline);
    const auto* response = std::get_if<HttpResponseMessage>(&result);
    if (response == nullptr) {
      co_return Failure<AppendResult>(result);
    }
    co_return ReadAppendReply(*response);
  }

  asio::awaitable<ReadResult> Read(LogStream stream,
                                   LogOffset from,
                                   std::chrono::milliseconds wait) override {
    HttpRequestMessage request = MakeRequest(
        http::verb::get,
        fmt::format("/streams/{}/records?from={}&limit={}&wait_ms={}",
                    StreamName(stream), from.value, kRecordsPerRead,
                    wait.count()));
    const HttpResult result =
        co_await CallOnce(m_address, std::move(request), m_deadline + wait);
    const auto* response = std::get_if<HttpResponseMessage>(&result);
    if (response == nullptr) {
      co_return Failure<ReadResult>(result);
    }
    const auto value = ParseReply(*response);
    if (response->result() != http::status::ok || !value) {
      co_return PlatformRefused{response->result_int()};
    }
    auto page = ReadPage(*value);
    if (!page) {
      co_return PlatformRefused{response->result_int()};
    }
    co_return std::move(*page);
  }

  asio::awaitable<ListResult> List() override {
    const HttpResult result = co_await CallOnce(
        m_address, MakeRequest(http::verb::get, "/instances"), m_deadline);
    const auto* response = std::get_if<HttpResponseMessage>(&result);
    if (response == nullptr) {
      co_return Failure<ListResult>(result);
    }
    const auto value = ParseReply(*response);
    auto list = value ? ReadList(*value) : std::nullopt;
    if (response->result() != http::status::ok || !list) {
      co_return PlatformRefused{response->result_int()};
    }
    co_return std::move(*list);
  }

 private:
  HttpRequestMessage MakeRequest(http::verb verb,
                                 const std::string& target) const {
    HttpRequestMessage request{verb, target, 11};
    request.set(http::field::host, m_address);
    request.set(http::field::content_type, "application/json");
    return request;
  }

  template <typename Result>
  static Result Failure(const HttpResult& result) {
    if (std::holds_alternative<ConnectFailed>(result)) {
      return PlatformRefused{0};
    }
    return PlatformSilent{};
  }

  const std::string m_address;
  const std::chrono::milliseconds m_deadline;
};

}  // namespace

std::unique_ptr<Platform> MakeHttpPlatform(std::string address,
                                           std::chrono::milliseconds deadline) {
  return std::make_unique<HttpPlatform>(std::move(address), deadline);
}

std::string_view StreamName(LogStream stream) {
  switch (stream) {
    case LogStream::kConfiguration:
      return "configuration";
    case LogStream::kClaims:
      return "claims";
  }
  return "configuration";
}

}  // namespace pomeloring
