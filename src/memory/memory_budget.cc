#include "memory/memory_budget.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace pomeloring {
namespace {

constexpr uint64_t kMegabyte = uint64_t{1024} * 1024;
// Part of a process's memory for buffers, less what code, tables of upstreams
// and idle connections take. The rest is for copies that are not counted and
// for the allocator.
constexpr double kBufferFraction = 0.6;
constexpr uint64_t kFixedBytes = 24 * kMegabyte;
constexpr uint64_t kMinLimit = 8 * kMegabyte;

constexpr double kBackpressureFraction = 0.7;
constexpr double kRefuseLargeFraction = 0.85;

// Of large bodies, of the limit: each is held twice while it is sent on.
constexpr double kBodyFraction = 0.5;
// Of the limit: with less than this in other requests, a body is alone.
constexpr double kAloneFraction = 0.125;
// An upload without a byte for longer makes no progress.
constexpr Duration kUploadStalled = seconds(1);

constexpr Duration kRetryAfterLarge = milliseconds(500);
// Callers that take nothing are dropped after 5 s, most others end earlier.
constexpr Duration kRetryAfterAll = seconds(1);
// A fraction of the above.
constexpr double kRetryAfterSpread = 0.5;

constexpr size_t kHeldOfStream = size_t{64} * 1024;
// Beyond kHeldOfStream, for a stream whose caller takes nothing.
constexpr size_t kMaxReadAhead = size_t{1024} * 1024;
// Upstreams cut off a reply that stays unread for some seconds; reading must
// not stop for longer than 1 s. The margin is for the interval at which
// waiting streams are checked.
constexpr Duration kMaxReadPause = milliseconds(700);

constexpr Duration kMinUntakenToDrop = seconds(5);

// Replies that are smaller are never cut.
constexpr size_t kLargeReplyBytes = size_t{256} * 1024;
// Of all replies that are read whole: a quarter of the limit, and where streams
// are not paced at most a fifth of the smallest process's memory.
constexpr uint64_t kMaxReplyBytes = 32 * kMegabyte;
constexpr uint64_t kReplyFraction = 4;

}  // namespace

std::string_view ToString(MemoryKind kind) {
  switch (kind) {
    case MemoryKind::kRequests:
      return "requests";
    case MemoryKind::kReplies:
      return "replies";
    case MemoryKind::kStreams:
      return "streams";
    case MemoryKind::kUpstreamSends:
      return "upstream-sends";
    case MemoryKind::kPeerAttempts:
      return "peer-attempts";
    case MemoryKind::kConfiguration:
      return "configuration";
    case MemoryKind::kLogLines:
      return "log-lines";
  }
  return "unknown";
}

std::string_view ToString(MemoryLevel level) {
  switch (level) {
    case MemoryLevel::kNormal:
      return "normal";
    case MemoryLevel::kBackpressure:
      return "backpressure";
    case MemoryLevel::kRefuseLarge:
      return "refuse-large";
    case MemoryLevel::kRefuseAll:
      return "refuse-all";
  }
  return "unknown";
}

uint64_t BufferLimit(uint64_t memory_mb) {
  if (memory_mb == 0) {
    return 0;
  }
  const auto share = static_cast<uint64_t>(
      kBufferFraction * static_cast<double>(memory_mb * kMegabyte));
  return std::max(kMinLimit, share - std::min(share, kFixedBytes));
}

uint64_t HeldBytes(const MemoryBudget& budget) {
  return std::accumulate(budget.held.begin(), budget.held.end(), uint64_t{0});
}

MemoryHold::MemoryHold(MemoryBudget& budget, MemoryKind kind, size_t bytes)
    : m_budget(&budget), m_kind(kind) {
  Set(bytes);
}

MemoryHold::MemoryHold(MemoryHold&& other) noexcept
    : m_budget(std::exchange(other.m_budget, nullptr)),
      m_kind(other.m_kind),
      m_bytes(std::exchange(other.m_bytes, 0)) {}

MemoryHold& MemoryHold::operator=(MemoryHold&& other) noexcept {
  if (this != &other) {
    Set(0);
    m_budget = std::exchange(other.m_budget, nullptr);
    m_kind = other.m_kind;
    m_bytes = std::exchange(other.m_bytes, 0);
  }
  return *this;
}

MemoryHold::~MemoryHold() {
  Set(0);
}

void MemoryHold::Set(size_t bytes) {
  if (m_budget == nullptr) {
    return;
  }
  uint64_t& held = m_budget->held[static_cast<size_t>(m_kind)];
  held += bytes;
  held -= m_bytes;
  m_bytes = bytes;
}

MemoryLevel LevelOf(const MemoryBudget& budget) {
  if (budget.limit == 0) {
    return MemoryLevel::kNormal;
  }
  const double use = static_cast<double>(HeldBytes(budget)) /
                     static_cast<double>(budget.limit);
  return use > 1                       ? MemoryLevel::kRefuseAll
         : use > kRefuseLargeFraction  ? MemoryLevel::kRefuseLarge
         : use > kBackpressureFraction ? MemoryLevel::kBackpressure
                                       : MemoryLevel::kNormal;
}

bool AdmitsRequest(MemoryLevel level, uint64_t body_bytes) {
  return level < MemoryLevel::kRefuseLarge ||
         (level == MemoryLevel::kRefuseLarge && body_bytes <= kLargeBodyBytes);
}

bool AdmitsBody(const MemoryBudget& budget, uint64_t held, uint64_t bytes) {
  // Without its own reservation, which would refuse it for its own size.
  MemoryBudget others = budget;
  uint64_t& requests = others.held[static_cast<size_t>(MemoryKind::kRequests)];
  requests -= std::min(requests, held);
  if (budget.limit == 0 || bytes <= kLargeBodyBytes) {
    return AdmitsRequest(LevelOf(others), bytes);
  }
  const auto limit = static_cast<double>(budget.limit);
  return AdmitsRequest(LevelOf(others), bytes) &&
         (static_cast<double>(requests + bytes) <= kBodyFraction * limit ||
          static_cast<double>(requests) <= kAloneFraction * limit);
}

// Ending some uploads and refusing the asker all the same would serve nobody.
std::vector<size_t> ChooseUploadsToEnd(
    const MemoryBudget& budget,
    std::span<const UnfinishedUpload> uploads,
    size_t asker,
    uint64_t bytes) {
  const auto rank = [&](size_t i) {
    const UnfinishedUpload& upload = uploads[i];
    return std::tuple(upload.idle_for >= kUploadStalled, upload.held_by_address,
                      upload.held);
  };
  const bool is_large = uploads[asker].held > kLargeBodyBytes;
  std::vector<size_t> order;
  for (size_t i = 0; i < uploads.size(); ++i) {
    if (i != asker && uploads[i].held > kLargeBodyBytes &&
        (!is_large || rank(i) > rank(asker))) {
      order.push_back(i);
    }
  }
  std::sort(order.begin(), order.end(),
            [&](size_t a, size_t b) { return rank(a) > rank(b); });
  MemoryBudget others = budget;
  uint64_t& requests = others.held[static_cast<size_t>(MemoryKind::kRequests)];
  for (size_t count = 0; count < order.size(); ++count) {
    requests -= std::min(requests, uploads[order[count]].reserved);
    if (AdmitsBody(others, uploads[asker].reserved, bytes)) {
      order.resize(count + 1);
      return order;
    }
  }
  return {};
}

Duration RetryAfterRefusal(MemoryLevel level, uint64_t random) {
  const Duration least =
      level == MemoryLevel::kRefuseAll ? kRetryAfterAll : kRetryAfterLarge;
  const auto spread = static_cast<uint64_t>(kRetryAfterSpread *
                                            static_cast<double>(least.count()));
  return least + Duration{static_cast<int64_t>(random % (spread + 1))};
}

// Faulty upstreams may send without end on all connections at once. Each reply
// has a bound of its own, but their sum does not.
bool MayReplyGrow(const MemoryBudget& budget, size_t bytes) {
  uint64_t max_held =
      budget.limit > 0 ? budget.limit / kReplyFraction : kMaxReplyBytes;
  if (!budget.paces_streams) {
    max_held = std::min(max_held, kMaxReplyBytes);
  }
  const auto kind = static_cast<size_t>(MemoryKind::kReplies);
  return bytes < kLargeReplyBytes || budget.held[kind] <= max_held;
}

size_t MaxHeldOfStream(MemoryLevel level, Duration untaken_for) {
  if (level >= MemoryLevel::kRefuseLarge) {
    // The rest of the budget is for new requests.
    return 0;
  }
  if (level == MemoryLevel::kNormal) {
    return untaken_for < kMaxReadPause ? kHeldOfStream
                                       : kHeldOfStream + kMaxReadAhead;
  }
  // Enough that the upstream sees its reply being read.
  const auto pauses = static_cast<size_t>(untaken_for / kMaxReadPause);
  return std::min(pauses * kHeldOfStream, kHeldOfStream + kMaxReadAhead);
}

std::vector<size_t> ChooseCallersToDrop(const MemoryBudget& budget,
                                        std::span<const UntakenBytes> callers) {
  std::vector<size_t> dropped;
  uint64_t held = HeldBytes(budget);
  if (budget.limit == 0 || held <= budget.limit) {
    return dropped;
  }
  for (size_t i = 0; i < callers.size(); ++i) {
    if (callers[i].untaken_for >= kMinUntakenToDrop) {
      dropped.push_back(i);
    }
  }
  const auto byte_seconds = [&](size_t i) {
    return static_cast<double>(callers[i].held) *
           static_cast<double>(callers[i].untaken_for.count());
  };
  std::sort(dropped.begin(), dropped.end(), [&](size_t a, size_t b) {
    return byte_seconds(a) > byte_seconds(b);
  });
  size_t count = 0;
  while (count < dropped.size() && held > budget.limit) {
    held -= std::min(held, callers[dropped[count]].held);
    ++count;
  }
  dropped.resize(count);
  return dropped;
}

}  // namespace pomeloring
