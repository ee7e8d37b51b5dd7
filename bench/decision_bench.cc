// Benchmarks one decision of a cell's scheduler, by number of replicas and of
// queued slot requests, and one placement of a router, by number of engines and
// slots.

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>

#include "pomeloring/core.h"
#include "support/routing_site.h"
#include "support/virtual_site.h"

namespace pomeloring {
namespace {

// A cell with all open slots in use and `waiting` queued slot requests.
struct LoadedCell {
  LoadedCell(size_t replicas, size_t waiting) {
    config = std::get<Configuration>(
        ParseConfiguration(test::SmallConfig(replicas, 1, 16)));
    cell.id.value = "model//0";
    cell.service.value = "model";
    ConfigureCell(cell, config, config.services.at({"model"}).upstreams, {});
    const size_t slots = replicas * 8;  // Half of them are open at first.
    for (size_t i = 0; i < slots + waiting; ++i) {
      HandleOneSlotRequest();
    }
  }

  CellReplies HandleOneSlotRequest() {
    SlotRequest slot_request;
    slot_request.attempt = {{Incarnation{1}, next++}, 1};
    slot_request.cell = cell.id;
    slot_request.request_class.value = next % 3 == 0 ? "history" : "tag";
    slot_request.account.value = next % 2 == 0 ? "one" : "two";
    slot_request.time_left = seconds(40);
    slot_request.prefix_hash = next % 50;
    now += Duration{50};
    return HandleSlotRequest(cell, {"entry"}, slot_request, now);
  }

  CellReplies HandleOneSlotReport() {
    const auto grant = cell.grants.begin();
    SlotReport report;
    report.attempt = grant->first;
    report.cell = cell.id;
    report.upstream = cell.replicas[grant->second.replica].upstream.name;
    report.total = seconds(1);
    report.first_token = milliseconds(50);
    report.tokens = 50;
    now += Duration{50};
    return HandleSlotReport(cell, {"entry"}, report, now);
  }

  Configuration config;
  CellState cell;
  uint64_t next = 1;
  Time now{seconds(1000)};
};

// Handles one slot request, then one slot report, which releases a slot and so
// leads to a grant. The queue thus keeps its length.
void BM_SlotRequestAndGrant(benchmark::State& state) {
  LoadedCell loaded(static_cast<size_t>(state.range(0)),
                    static_cast<size_t>(state.range(1)));
  std::vector<double> latencies_us;
  for (auto _ : state) {
    const auto begin = std::chrono::steady_clock::now();
    benchmark::DoNotOptimize(loaded.HandleOneSlotRequest());
    const auto middle = std::chrono::steady_clock::now();
    benchmark::DoNotOptimize(loaded.HandleOneSlotReport());
    const auto end = std::chrono::steady_clock::now();
    using Micros = std::chrono::duration<double, std::micro>;
    latencies_us.push_back(Micros(middle - begin).count());
    latencies_us.push_back(Micros(end - middle).count());
  }
  std::sort(latencies_us.begin(), latencies_us.end());
  state.counters["p50_us"] = latencies_us[latencies_us.size() / 2];
  state.counters["p99_us"] = latencies_us[latencies_us.size() * 99 / 100];
}
BENCHMARK(BM_SlotRequestAndGrant)
    ->Args({16, 1000})
    ->Args({32, 1000})
    ->Args({64, 1000})
    ->Args({64, 10})
    ->Args({64, 4000})
    ->Iterations(20000);

// Engines with `slots` slots, three quarters of them in use by other instances
// as one relay tells. Requests of the lowest priority start and end.
void BM_Placement(benchmark::State& state) {
  const auto engines = static_cast<int>(state.range(0));
  const auto slots = static_cast<uint32_t>(state.range(1));
  Time now{seconds(1000)};
  const auto router = ReadyRouter(engines, now);
  auto config = std::make_shared<RoutingConfig>(*SmallRouting(2));
  config->services.at({kEngineService}).engine->batch_slots = slots;
  IndexRoutes(*config);
  router->ApplyConfig(config);
  PeerDigest digest;
  digest.sender.value = "relay";
  digest.scope = DigestScope::kAll;
  for (uint32_t i = 0; i < 84; ++i) {
    digest.serving.push_back(i + 1);
  }
  for (int i = 0; i < engines; ++i) {
    UpstreamLoad load;
    load.running = slots * 3 / 4;
    digest.loads.emplace_back(UpstreamName{fmt::format("e{}", i)}, load);
  }
  std::vector<double> latencies_us;
  uint64_t decisions = 0;
  for (auto _ : state) {
    now += milliseconds(5);
    if (decisions++ % 20 == 0) {
      ++digest.sequence;
      router->HandleDigest(digest, now);
      router->Tick(now);
    }
    const AttemptRequest request =
        RequestOn(*router, decisions % 4 == 0 ? "question" : "draft", 600);
    const auto begin = std::chrono::steady_clock::now();
    auto result = router->StartAttempt(request, now);
    const auto end = std::chrono::steady_clock::now();
    latencies_us.push_back(
        std::chrono::duration<double, std::micro>(end - begin).count());
    if (auto* attempt = std::get_if<std::shared_ptr<PlacedAttempt>>(&result)) {
      router->EndAttempt(**attempt, UpstreamOutcome::kServed, now);
    }
  }
  std::sort(latencies_us.begin(), latencies_us.end());
  state.counters["p50_us"] = latencies_us[latencies_us.size() / 2];
  state.counters["p99_us"] = latencies_us[latencies_us.size() * 99 / 100];
}
BENCHMARK(BM_Placement)->Args({160, 12})->Args({160, 64})->Iterations(20000);

}  // namespace
}  // namespace pomeloring

BENCHMARK_MAIN();
