#include "gateway/gateway_metrics.h"

#include <fmt/format.h>

#include <algorithm>

namespace pomeloring {

void CountRequestEnd(GatewayMetrics& metrics,
                     std::string_view route,
                     std::string_view outcome) {
  ++metrics.requests[{std::string(route), std::string(outcome)}];
}

void ObserveFirstByte(GatewayMetrics& metrics,
                      std::string_view route,
                      Duration elapsed) {
  LatencyHistogram& histogram = metrics.first_byte[std::string(route)];
  const double ms = static_cast<double>(elapsed.count()) / 1000;
  size_t bucket = 0;
  while (bucket < kLatencyBoundsMs.size() && ms > kLatencyBoundsMs[bucket]) {
    ++bucket;
  }
  ++histogram.buckets[bucket];
  histogram.sum_ms += ms;
  ++histogram.count;
}

void CountEvent(GatewayMetrics& metrics, std::string_view name) {
  ++metrics.events[std::string(name)];
}

namespace {

std::string FormatFlowMetrics(const Router& router) {
  std::string out;
  const std::string& home = router.Settings().failure_domain.value;
  for (const auto& [service, state] : router.Flows()) {
    const std::string& name = service.value;
    const auto labels = [&](const FailureDomain& to) {
      return fmt::format("service=\"{}\",from=\"{}\",to=\"{}\"", name, home,
                         to.value);
    };
    for (const auto& [to, flow] : state.flows.out) {
      out += fmt::format("pomeloring_flow_fraction{{{}}} {:.3f}\n", labels(to),
                         flow.fraction);
    }
    for (const auto& [key, count] : state.requests) {
      out += fmt::format(
          "pomeloring_requests_left_domain_total{{{},reason=\"{}\"}} {}\n",
          labels(key.first), ToString(key.second), count);
    }
    for (const auto& [to, bytes] : state.bytes) {
      out += fmt::format("pomeloring_cross_domain_bytes_total{{{}}} {}\n",
                         labels(to), bytes);
    }
  }
  return out;
}

}  // namespace

std::string FormatMetrics(const GatewayMetrics& metrics,
                          const Router& router,
                          Time now) {
  std::string out;
  for (const auto& [labels, count] : metrics.requests) {
    out += fmt::format(
        "pomeloring_requests_total{{route=\"{}\",outcome=\"{}\"}} {}\n",
        labels.first, labels.second, count);
  }
  for (const auto& [route, histogram] : metrics.first_byte) {
    uint64_t below = 0;
    for (size_t i = 0; i < kLatencyBoundsMs.size(); ++i) {
      below += histogram.buckets[i];
      out += fmt::format(
          "pomeloring_first_byte_ms_bucket{{route=\"{}\",le=\"{}\"}} {}\n",
          route, kLatencyBoundsMs[i], below);
    }
    out += fmt::format(
        "pomeloring_first_byte_ms_bucket{{route=\"{0}\",le=\"+Inf\"}} {1}\n"
        "pomeloring_first_byte_ms_sum{{route=\"{0}\"}} {2}\n"
        "pomeloring_first_byte_ms_count{{route=\"{0}\"}} {1}\n",
        route, histogram.count, histogram.sum_ms);
  }
  for (const auto& [name, count] : metrics.events) {
    out += fmt::format("pomeloring_{}_total {}\n", name, count);
  }
  for (const auto& [result, count] : metrics.scaling_orders) {
    out += fmt::format("pomeloring_scaling_orders_total{{result=\"{}\"}} {}\n",
                       result, count);
  }
  for (const auto& [name, value] : metrics.gauges) {
    out += fmt::format("pomeloring_{} {}\n", name, value);
  }
  for (const auto& [service, slots] : router.Slots()) {
    for (const auto& [priority, slot_class] : slots.classes) {
      for (const auto& [name, count] :
           {std::pair("slot_starts", slot_class.starts),
            std::pair("slot_waits", slot_class.waits),
            std::pair("slot_refusals", slot_class.refusals),
            std::pair("slot_refusals_after_wait",
                      slot_class.refusals_after_wait)}) {
        out += fmt::format(
            "pomeloring_{}_total{{service=\"{}\",priority=\"{}\"}} {}\n", name,
            service.value, priority, count);
      }
    }
  }
  for (const auto& [service, isolated] : router.Isolated()) {
    out += fmt::format(
        "pomeloring_isolated_engines{{service=\"{0}\"}} {1}\n"
        "pomeloring_gap_sensitive_streams{{service=\"{0}\"}} {2:.0f}\n",
        service.value, isolated.count, isolated.load.sensitive_streams);
  }
  out += FormatFlowMetrics(router);
  for (const auto& [service, shares] : router.Accounts()) {
    out += fmt::format(
        "pomeloring_share_waits_total{{service=\"{0}\"}} {1}\n"
        "pomeloring_share_refusals_total{{service=\"{0}\"}} {2}\n"
        "pomeloring_share_returns_total{{service=\"{0}\"}} {3}\n"
        "pomeloring_share_accounts{{service=\"{0}\"}} {4}\n",
        service.value, shares.waits, shares.refusals, shares.returns,
        shares.total.size());
  }
  const auto config = router.Config();
  out += fmt::format(
      "pomeloring_config_version {}\npomeloring_newest_config_version {}\n"
      "pomeloring_upstreams_as_of {}\npomeloring_live_peers {}\n",
      config ? config->version : 0, router.NewestKnownConfigVersion(),
      router.Upstreams().as_of.value, router.LivePeerCount(now));
  for (const auto& [service, engines] : router.Engines()) {
    out += fmt::format(
        "pomeloring_engine_first_event_delay_ms{{service=\"{0}\"}} {1:.2f}\n"
        "pomeloring_engine_prefill_ms_per_token{{service=\"{0}\"}} {2:.5f}\n"
        "pomeloring_engine_empty_step_ms{{service=\"{0}\"}} {3:.2f}\n"
        "pomeloring_engine_full_batch_step_ms{{service=\"{0}\"}} {4:.2f}\n"
        "pomeloring_engine_observations{{service=\"{0}\"}} {5}\n",
        service.value, engines.first_event_delay_ms,
        engines.prefill_ms_per_token, engines.empty_step_ms,
        engines.full_batch_step_ms, engines.observations);
  }
  for (const auto& [service, count] : router.CountReached()) {
    out += fmt::format(
        "pomeloring_upstreams_reached{{service=\"{0}\"}} {1}\n"
        "pomeloring_upstreams_known{{service=\"{0}\"}} {2}\n",
        service.value, count.reached, count.known);
  }
  for (const TraitKind kind :
       {TraitKind::kPromptPart, TraitKind::kWholeRequest}) {
    size_t quarantined = 0;
    size_t suspected = 0;
    for (const auto& [trait, evidence] : router.Quarantine().traits) {
      const bool is_of_kind = evidence.kind == kind;
      quarantined += is_of_kind && evidence.is_quarantined ? 1 : 0;
      suspected +=
          is_of_kind && !evidence.is_quarantined && !evidence.exits.empty() ? 1
                                                                            : 0;
    }
    out += fmt::format(
        "pomeloring_quarantined_traits{{kind=\"{0}\"}} {1}\n"
        "pomeloring_suspected_traits{{kind=\"{0}\"}} {2}\n",
        ToString(kind), quarantined, suspected);
  }
  for (const UpstreamState* upstream : router.AllUpstreams()) {
    const UpstreamLoad load = TotalLoad(*upstream);
    out += fmt::format(
        "pomeloring_upstream_running{{upstream=\"{0}\"}} {1}\n"
        "pomeloring_upstream_unread_tokens{{upstream=\"{0}\"}} {2}\n"
        "pomeloring_upstream_ejected{{upstream=\"{0}\"}} {3}\n",
        upstream->record.id.value, load.running, PendingPrefillTokens(load),
        now < upstream->health.ejected_until ? 1 : 0);
    if (upstream->shared_speed) {
      out += fmt::format(
          "pomeloring_upstream_speed_factor{{upstream=\"{0}\"}} {1:.2f}\n"
          "pomeloring_upstream_failure_rate{{upstream=\"{0}\"}} {2:.3f}\n",
          upstream->record.id.value, upstream->shared_speed->factor,
          upstream->shared_speed->failure_rate);
    }
    if (load.held_tokens > 0) {
      out +=
          fmt::format("pomeloring_upstream_held_tokens{{upstream=\"{}\"}} {}\n",
                      upstream->record.id.value, load.held_tokens);
    }
    const Backpressure& asked = upstream->backpressure;
    if (asked.is_leaving) {
      out += fmt::format("pomeloring_upstream_leaving{{upstream=\"{}\"}} 1\n",
                         upstream->record.id.value);
    }
    if (now < asked.paused_until) {
      out += fmt::format(
          "pomeloring_upstream_pause_ms{{upstream=\"{}\"}} {:.0f}\n",
          upstream->record.id.value, ToMillis(asked.paused_until - now));
    }
    if (asked.limit) {
      out += fmt::format(
          "pomeloring_upstream_limit{{upstream=\"{0}\"}} {1:.3f}\n"
          "pomeloring_upstream_limit_share{{upstream=\"{0}\"}} {2:.3f}\n",
          upstream->record.id.value, *asked.limit, asked.share);
    }
  }
  return out;
}

}  // namespace pomeloring
