#include "link/engine_call.h"

#include <algorithm>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include "core/json_reader.h"
#include "link/http_client.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::string_view kOrdersPath = "/orders";

HttpRequestMessage MakeOrderRequest(const EngineOrder& order) {
  json::array adapters(order.desired.adapters.begin(),
                       order.desired.adapters.end());
  HttpRequestMessage request{http::verb::post, kOrdersPath, 11};
  request.set(http::field::host, order.address);
  request.set(http::field::content_type, "application/json");
  request.body() =
      json::serialize(json::object{{"fencing", order.fencing.value},
                                   {"adapters", std::move(adapters)},
                                   {"draining", order.desired.draining}});
  return request;
}

HttpRequestMessage MakeStateRequest(const std::string& address) {
  HttpRequestMessage request{http::verb::get, kOrdersPath, 11};
  request.set(http::field::host, address);
  return request;
}

std::optional<json::value> ParseBody(const HttpResponseMessage& response) {
  json::error_code error;
  json::value value = json::parse(response.body(), error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return value;
}

std::optional<EngineReading> ParseReading(const HttpResponseMessage& response) {
  const auto value = ParseBody(response);
  if (!value) {
    return std::nullopt;
  }
  std::optional<ConfigurationError> error;
  JsonReader reader(*value, "", error);
  EngineReading reading;
  reading.state.adapters = reader.Strings("adapters");
  std::sort(reading.state.adapters.begin(), reading.state.adapters.end());
  reading.state.draining = reader.Bool("draining", false);
  reading.fencing.value =
      static_cast<uint64_t>(reader.Int("fencing", 0, 0, INT64_MAX));
  if (error) {
    return std::nullopt;
  }
  return reading;
}

OrderOutcome ParseOutcome(const HttpResponseMessage& response) {
  if (response.result() == http::status::ok) {
    return OrderAccepted{};
  }
  if (response.result() == http::status::conflict) {
    const auto reading = ParseReading(response);
    if (reading) {
      return OrderRefused{reading->fencing};
    }
  }
  return OrderUnanswered{};
}

}  // namespace

asio::awaitable<OrderOutcome> SendEngineOrder(
    EngineOrder order,
    std::chrono::milliseconds timeout) {
  HttpRequestMessage request = MakeOrderRequest(order);
  const HttpResult result =
      co_await SendHttpRequest(order.address, std::move(request), timeout);
  const auto* response = std::get_if<HttpResponseMessage>(&result);
  if (response == nullptr) {
    co_return OrderUnanswered{};
  }
  co_return ParseOutcome(*response);
}

asio::awaitable<std::optional<EngineReading>> ReadEngineState(
    std::string address,
    std::chrono::milliseconds timeout) {
  HttpRequestMessage request = MakeStateRequest(address);
  const HttpResult result =
      co_await SendHttpRequest(address, std::move(request), timeout);
  const auto* response = std::get_if<HttpResponseMessage>(&result);
  if (response == nullptr || response->result() != http::status::ok) {
    co_return std::nullopt;
  }
  co_return ParseReading(*response);
}

}  // namespace pomeloring
