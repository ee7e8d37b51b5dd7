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

using Times =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

Times MakeTimes() {
  return Times(acc::extended_p_square_probabilities = kQuantiles);
}

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void WriteTimes(std::string& out,
                std::string_view name,
                const ClassName& of_class,
                const Times& times) {
  if (acc::count(times) == 0) {
    return;
  }
  for (double quantile : kQuantiles) {
    out += fmt::format(
        "{}{{class=\"{}\",quantile=\"{}\"}} {:.6f}\n", name, of_class.value,
        quantile, acc::quantile(times, acc::quantile_probability = quantile));
  }
  out += fmt::format("{}_sum{{class=\"{}\"}} {:.6f}\n", name, of_class.value,
                     acc::sum(times));
  out += fmt::format("{}_count{{class=\"{}\"}} {}\n", name, of_class.value,
                     acc::count(times));
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
  Times first_token = MakeTimes();
  Times total = MakeTimes();
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Add(const RequestSummary& summary) {
  const std::lock_guard lock(m_mutex);
  auto& of_class = m_classes[summary.request_class];
  if (of_class == nullptr) {
    of_class = std::make_unique<ClassMetrics>();
  }
  ++of_class->outcomes[std::string(summary.outcome)];
  of_class->met_target += summary.met_target ? 1 : 0;
  of_class->tokens += summary.tokens;
  of_class->wasted_tokens += summary.wasted_tokens;
  if (summary.first_token.count() > 0) {
    of_class->first_token(SecondsOf(summary.first_token));
  }
  if (summary.outcome == "answered") {
    of_class->total(SecondsOf(summary.total));
  }
}

std::string Metrics::Write(const Instance& instance, Time now) const {
  std::string out = "# TYPE pomeloring_requests_total counter\n";
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, of_class] : m_classes) {
      for (const auto& [outcome, count] : of_class->outcomes) {
        out += fmt::format(
            "pomeloring_requests_total{{class=\"{}\",outcome=\"{}\"}} {}\n",
            name.value, outcome, count);
      }
      out += fmt::format("pomeloring_met_target_total{{class=\"{}\"}} {}\n",
                         name.value, of_class->met_target);
      out += fmt::format("pomeloring_tokens_total{{class=\"{}\"}} {}\n",
                         name.value, of_class->tokens);
      out += fmt::format("pomeloring_wasted_tokens_total{{class=\"{}\"}} {}\n",
                         name.value, of_class->wasted_tokens);
      WriteTimes(out, "pomeloring_first_token_seconds", name,
                 of_class->first_token);
      WriteTimes(out, "pomeloring_answer_seconds", name, of_class->total);
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
