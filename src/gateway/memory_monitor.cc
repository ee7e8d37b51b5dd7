#include "gateway/memory_monitor.h"

#include <fmt/format.h>

#include <map>
#include <optional>
#include <vector>

#include "gateway/client_connection.h"
#include "link/clock.h"

namespace pomeloring {
namespace {

// The log buffers no lines: it writes or drops each one, of at most this size.
constexpr size_t kLogLineBytes = 4096;

}  // namespace

bool EndUploadsFor(GatewayContext& gateway,
                   const ClientConnection& asker,
                   uint64_t bytes) {
  const Time now = Now();
  std::vector<ClientConnection*> callers;
  std::vector<UnfinishedUpload> uploads;
  std::map<boost::asio::ip::address, uint64_t> held_by;
  std::optional<size_t> asker_index;
  for (ClientConnection* caller : gateway.callers) {
    if (const auto upload = caller->Upload(now)) {
      if (caller == &asker) {
        asker_index = uploads.size();
      }
      callers.push_back(caller);
      uploads.push_back(*upload);
      held_by[caller->ClientAddress()] += upload->held;
    }
  }
  if (!asker_index) {
    return false;
  }
  for (size_t i = 0; i < uploads.size(); ++i) {
    uploads[i].held_by_address = held_by[callers[i]->ClientAddress()];
  }
  const std::vector<size_t> chosen =
      ChooseUploadsToEnd(gateway.memory, uploads, *asker_index, bytes);
  for (const size_t i : chosen) {
    CountEvent(gateway.metrics, "uploads_ended");
    callers[i]->EndUpload();
  }
  return !chosen.empty();
}

MemoryMonitor::MemoryMonitor(GatewayContext& gateway)
    : m_gateway(gateway),
      m_config_hold(gateway.memory, MemoryKind::kConfiguration),
      m_log_hold(gateway.memory, MemoryKind::kLogLines, kLogLineBytes) {}

void MemoryMonitor::Tick(size_t config_bytes, Time now) {
  m_config_hold.Set(config_bytes);
  if (m_gateway.memory.limit > 0) {
    DropCallers(now);
    LogLevelChange();
  }
}

void MemoryMonitor::LogLevelChange() {
  const MemoryBudget& budget = m_gateway.memory;
  const MemoryLevel level = LevelOf(budget);
  if (level == m_level) {
    return;
  }
  const auto held = [&](MemoryKind kind) {
    return std::to_string(budget.held[static_cast<size_t>(kind)]);
  };
  m_gateway.log.Write(level > m_level ? LogLevel::kWarning : LogLevel::kInfo,
                      "memory-level",
                      {{"level", std::string(ToString(level))},
                       {"before", std::string(ToString(m_level))},
                       {"held_bytes", std::to_string(HeldBytes(budget))},
                       {"limit_bytes", std::to_string(budget.limit)},
                       {"requests", held(MemoryKind::kRequests)},
                       {"replies", held(MemoryKind::kReplies)},
                       {"streams", held(MemoryKind::kStreams)},
                       {"upstream_sends", held(MemoryKind::kUpstreamSends)},
                       {"peer_attempts", held(MemoryKind::kPeerAttempts)},
                       {"callers", std::to_string(m_gateway.callers.size())}});
  m_level = level;
}

void MemoryMonitor::DropCallers(Time now) {
  const MemoryBudget& budget = m_gateway.memory;
  if (LevelOf(budget) != MemoryLevel::kRefuseAll) {
    return;
  }
  std::vector<std::shared_ptr<ClientConnection>> callers;
  std::vector<UntakenBytes> untaken;
  for (ClientConnection* caller : m_gateway.callers) {
    if (const auto bytes = caller->Untaken(now)) {
      callers.push_back(caller->shared_from_this());
      untaken.push_back(*bytes);
    }
  }
  for (const size_t i : ChooseCallersToDrop(budget, untaken)) {
    CountEvent(m_gateway.metrics, "callers_dropped");
    m_gateway.log.Write(
        LogLevel::kWarning, "caller-dropped",
        {{"held_by_caller", std::to_string(untaken[i].held)},
         {"untaken_ms",
          fmt::format("{:.0f}", ToMillis(untaken[i].untaken_for))},
         {"held_bytes", std::to_string(HeldBytes(budget))},
         {"limit_bytes", std::to_string(budget.limit)}});
    callers[i]->Drop();
  }
}

void MemoryMonitor::UpdateGauges() {
  const MemoryBudget& budget = m_gateway.memory;
  auto& gauges = m_gateway.metrics.gauges;
  for (size_t i = 0; i < kMemoryKinds; ++i) {
    gauges[fmt::format("memory_held_bytes{{kind=\"{}\"}}",
                       ToString(static_cast<MemoryKind>(i)))] =
        static_cast<double>(budget.held[i]);
  }
  if (budget.limit == 0) {
    return;
  }
  gauges["memory_limit_bytes"] = static_cast<double>(budget.limit);
  gauges["memory_level"] = static_cast<double>(LevelOf(budget));
}

}  // namespace pomeloring
