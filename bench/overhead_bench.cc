// Measures the latency that one instance adds to a request: compares requests
// sent directly to stand-in upstreams with requests sent through an instance,
// over persistent loopback connections.

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <thread>

#include "link/address.h"
#include "support/running_site.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::chrono::seconds kMeasureTime{2};

struct Target {
  // Connections are distributed over these. An instance distributes its
  // requests over all upstreams; direct ones to a single upstream would queue
  // there.
  std::vector<std::string> addresses;
  std::string path;
  std::string body;
};

// Sends requests one after another over one connection for kMeasureTime.
// Returns their latencies in milliseconds.
std::vector<double> MeasureConnection(const Target& target, size_t number) {
  const std::string& address =
      target.addresses[number % target.addresses.size()];
  asio::io_context context;
  beast::tcp_stream stream(context);
  stream.socket().connect(*ParseTcpAddress(address));
  stream.socket().set_option(asio::ip::tcp::no_delay(true));
  beast::flat_buffer buffer;
  std::vector<double> latencies_ms;
  const auto end = std::chrono::steady_clock::now() + kMeasureTime;
  while (std::chrono::steady_clock::now() < end) {
    http::request<http::string_body> request{http::verb::post, target.path, 11};
    request.set(http::field::host, address);
    request.set(http::field::authorization, "Bearer key");
    request.set("Pomeloring-Class",
                target.path.starts_with("/v1") ? "question" : "stamp");
    request.body() = target.body;
    request.prepare_payload();
    const auto begin = std::chrono::steady_clock::now();
    http::write(stream, request);
    http::response<http::string_body> response;
    http::read(stream, buffer, response);
    latencies_ms.push_back(std::chrono::duration<double, std::milli>(
                               std::chrono::steady_clock::now() - begin)
                               .count());
    if (response.result() != http::status::ok) {
      fmt::print("status {}\n", response.result_int());
      break;
    }
  }
  return latencies_ms;
}

struct LatencyStats {  // In milliseconds; the rate in requests per second.
  double p50 = 0;
  double p99 = 0;
  double rate = 0;
};

LatencyStats Measure(const Target& target, size_t connections) {
  std::vector<std::vector<double>> latencies_by_thread(connections);
  std::vector<std::thread> threads;
  for (size_t i = 0; i < connections; ++i) {
    threads.emplace_back(
        [&, i] { latencies_by_thread[i] = MeasureConnection(target, i); });
  }
  std::vector<double> all;
  for (size_t i = 0; i < connections; ++i) {
    threads[i].join();
    all.insert(all.end(), latencies_by_thread[i].begin(),
               latencies_by_thread[i].end());
  }
  std::sort(all.begin(), all.end());
  return {all[all.size() / 2], all[all.size() * 99 / 100],
          static_cast<double>(all.size()) / kMeasureTime.count()};
}

void Compare(const char* name,
             const Target& direct,
             const Target& via_instance) {
  for (const size_t connections : {1, 16, 128}) {
    const LatencyStats direct_stats = Measure(direct, connections);
    const LatencyStats via_stats = Measure(via_instance, connections);
    fmt::print(
        "{:<8} {:>3} connections: direct p50 {:.3f} p99 {:.3f} ms "
        "{:>6.0f}/s; through p50 {:.3f} p99 {:.3f} ms {:>6.0f}/s; added "
        "p50 {:.3f} p99 {:.3f} ms\n",
        name, connections, direct_stats.p50, direct_stats.p99,
        direct_stats.rate, via_stats.p50, via_stats.p99, via_stats.rate,
        via_stats.p50 - direct_stats.p50, via_stats.p99 - direct_stats.p99);
  }
}

}  // namespace
}  // namespace pomeloring

int main() {
  using namespace pomeloring;
  constexpr int kUpstreams = 8;
  test::RunningSite site(
      {.instances = 1, .engines = kUpstreams, .ledgers = kUpstreams});
  site.PublishAndWait();
  std::vector<std::string> ledgers;
  std::vector<std::string> engines;
  for (int i = 0; i < kUpstreams; ++i) {
    ledgers.push_back(site.LedgerAddress(i));
    engines.push_back(site.EngineAddress(i));
  }
  Compare("whole", {ledgers, "/ledger/stamps", "bottle"},
          {{site.CallerAddress(0)}, "/ledger/stamps", "bottle"});
  const std::string body = R"({"model":"cask-7b","stream":true,"max_tokens":8,)"
                           R"("messages":[{"role":"user","content":"q"}]})";
  Compare("streamed", {engines, "/v1/chat/completions", body},
          {{site.CallerAddress(0)}, "/v1/chat/completions", body});
}
