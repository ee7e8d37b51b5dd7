#include "daemon/metrics.h"

#include <fmt/format.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace pomeloring {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

using LatencyStats =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

LatencyStats MakeLatencyStats() {
  return LatencyStats(acc::extended_p_square_probabilities = kQuantiles);
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void WriteLatency(std::string& out,
                  std::string_view name,
                  const ClassName& class_name,
                  const LatencyStats& latency) {
  if (acc::count(latency) == 0) {
    return;
  }
  for (double quantile : kQuantiles) {
    out += fmt::format(
        "{}{{class=\"{}\",quantile=\"{}\"}} {:.6f}\n", name, class_name.value,
        quantile, acc::quantile(latency, acc::quantile_probability = quantile));
  }
  out += fmt::format("{}_sum{{class=\"{}\"}} {:.6f}\n", name, class_name.value,
                     acc::sum(latency));
  out += fmt::format("{}_count{{class=\"{}\"}} {}\n", name, class_name.value,
                     acc::count(latency));
}

void WriteCells(std::string& out, const Instance& instance, Time now) {
  out += "# TYPE pomeloring_cell_waiting gauge\n";
  for (const CellSummary& cell : instance.Cells(now)) {
    for (const auto& [tier, waiting] : cell.waiting) {
      out +=
          fmt::format("pomeloring_cell_waiting{{cell=\"{}\",tier=\"{}\"}} {}\n",
                      cell.id.value, tier.value, waiting);
    }
    for (const ReplicaSummary& replica : cell.replicas) {
      out += fmt::format(
          "pomeloring_upstream_running{{cell=\"{}\",upstream=\"{}\"}} {}\n",
          cell.id.value, replica.upstream.value, replica.running);
      out += fmt::format(
          "pomeloring_upstream_limit{{cell=\"{}\",upstream=\"{}\"}} {:.2f}\n",
          cell.id.value, replica.upstream.value, replica.limit);
    }
  }
}

}  // namespace

struct Metrics::ClassMetrics {
  std::map<std::string, uint64_t, std::less<>> outcomes;
  uint64_t met_target = 0;
  uint64_t tokens = 0;
  uint64_t wasted_tokens = 0;
  LatencyStats first_token = MakeLatencyStats();
  LatencyStats total = MakeLatencyStats();
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Add(const RequestSummary& summary) {
  const std::lock_guard lock(m_mutex);
  auto& metrics = m_classes[summary.request_class];
  if (metrics == nullptr) {
    metrics = std::make_unique<ClassMetrics>();
  }
  ++metrics->outcomes[std::string(summary.outcome)];
  metrics->met_target += summary.met_target ? 1 : 0;
  metrics->tokens += summary.tokens;
  metrics->wasted_tokens += summary.wasted_tokens;
  if (summary.first_token.count() > 0) {
    metrics->first_token(ToSeconds(summary.first_token));
  }
  if (summary.outcome == "answered") {
    metrics->total(ToSeconds(summary.total));
  }
}

std::string Metrics::Format(const Instance& instance, Time now) const {
  std::string out = "# TYPE pomeloring_requests_total counter\n";
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, metrics] : m_classes) {
      for (const auto& [outcome, count] : metrics->outcomes) {
        out += fmt::format(
            "pomeloring_requests_total{{class=\"{}\",outcome=\"{}\"}} {}\n",
            name.value, outcome, count);
      }
      out += fmt::format("pomeloring_met_target_total{{class=\"{}\"}} {}\n",
                         name.value, metrics->met_target);
      out += fmt::format("pomeloring_tokens_total{{class=\"{}\"}} {}\n",
                         name.value, metrics->tokens);
      out += fmt::format("pomeloring_wasted_tokens_total{{class=\"{}\"}} {}\n",
                         name.value, metrics->wasted_tokens);
      WriteLatency(out, "pomeloring_first_token_seconds", name,
                   metrics->first_token);
      WriteLatency(out, "pomeloring_answer_seconds", name, metrics->total);
    }
  }
  WriteCells(out, instance, now);
  const auto view = instance.View();
  out += fmt::format("pomeloring_configuration_revision {}\n",
                     view->config.revision.value);
  out += fmt::format("pomeloring_configuration_as_of {}\n",
                     view->config.as_of.value);
  out += fmt::format("pomeloring_members_live {}\n", view->live.size());
  out += fmt::format("pomeloring_in_flight {}\n", instance.InFlight());
  return out;
}

}  // namespace pomeloring
