// Benchmarks one decision of a cell's scheduler, by number of replicas and of
// queued slot requests.

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>

#include "pomeloring/core.h"
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

}  // namespace
}  // namespace pomeloring

BENCHMARK_MAIN();
