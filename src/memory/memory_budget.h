// Defines MemoryBudget: the bytes that an instance holds in buffers, counted by
// kind against one limit, and what is allowed at each level of use. Decisions
// are free functions over plain structs, without sockets or a clock.

#ifndef POMELORING_MEMORY_MEMORY_BUDGET_H_
#define POMELORING_MEMORY_MEMORY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "core/ids.h"

namespace pomeloring {

enum class MemoryKind : uint8_t {
  kRequests,       // Of callers: being read, waiting or running.
  kReplies,        // Of upstreams: being read, or not yet with their caller.
  kStreams,        // Bytes that their caller has not taken.
  kUpstreamSends,  // Requests that their upstream has not taken.
  kPeerAttempts,   // Requests sent through peers, or for them.
  kConfiguration,  // Configuration texts.
  kLogLines,       // Not yet written.
};
inline constexpr size_t kMemoryKinds = 7;

std::string_view ToString(MemoryKind kind);

struct MemoryBudget {
  uint64_t limit = 0;  // In bytes; 0: buffers are counted, but not limited.
  std::array<uint64_t, kMemoryKinds> held{};  // In bytes, by kind.
  // Whether streams are read ahead of their callers, within the levels below.
  bool paces_streams = false;
};

// Returns the limit for the buffers of a process that may use `memory_mb`
// megabytes (of 2^20 bytes); 0 if `memory_mb` is 0.
uint64_t BufferLimit(uint64_t memory_mb);
uint64_t HeldBytes(const MemoryBudget& budget);

// A reservation in a budget, which must outlive it.
class MemoryHold {
 public:
  MemoryHold() = default;
  MemoryHold(MemoryBudget& budget, MemoryKind kind, size_t bytes = 0);
  MemoryHold(MemoryHold&& other) noexcept;
  MemoryHold& operator=(MemoryHold&& other) noexcept;
  MemoryHold(const MemoryHold&) = delete;
  MemoryHold& operator=(const MemoryHold&) = delete;
  ~MemoryHold();

  // Replaces what is reserved. No effect on a hold without a budget.
  void Set(size_t bytes);
  size_t Bytes() const { return m_bytes; }

 private:
  MemoryBudget* m_budget = nullptr;
  MemoryKind m_kind = MemoryKind::kRequests;
  size_t m_bytes = 0;
};

enum class MemoryLevel : uint8_t {
  kNormal,
  kBackpressure,  // Streams are read at their caller's pace.
  kRefuseLarge,   // New requests with a large body are refused.
  kRefuseAll,     // All new requests are refused.
};

std::string_view ToString(MemoryLevel level);
MemoryLevel LevelOf(const MemoryBudget& budget);

// A new request with a larger body is refused from kRefuseLarge on.
inline constexpr uint64_t kLargeBodyBytes = uint64_t{16} * 1024;

// Returns whether a new request may be read whose body has at least
// `body_bytes`.
bool AdmitsRequest(MemoryLevel level, uint64_t body_bytes);
// Returns whether a body of which `held` bytes are reserved may have `bytes`.
// Large bodies share a part of the limit; one alone is always admitted.
bool AdmitsBody(const MemoryBudget& budget, uint64_t held, uint64_t bytes);

// A request whose body is still arriving.
struct UnfinishedUpload {
  uint64_t held = 0;             // In bytes, with those that it asks for.
  uint64_t reserved = 0;         // Of these, in the budget.
  uint64_t held_by_address = 0;  // By all such requests of its client address.
  Duration idle_for{0};          // Since the last byte arrived.
};

// Returns which uploads to end, by their indices, so that the body of
// `uploads[asker]` may have `bytes`: those that make no progress before those
// that do, then those whose address holds most, then the largest. None that is
// not large, and none at all if those before the asker do not suffice.
std::vector<size_t> ChooseUploadsToEnd(
    const MemoryBudget& budget,
    std::span<const UnfinishedUpload> uploads,
    size_t asker,
    uint64_t bytes);

// Returns when a refused caller should retry. `random` spreads the returns of
// callers that are refused together.
Duration RetryAfterRefusal(MemoryLevel level, uint64_t random);

// Returns whether a reply that is read whole, and has `bytes` so far, may grow
// further beside all others.
bool MayReplyGrow(const MemoryBudget& budget, size_t bytes);

// Returns how many bytes of a stream may be held when the next ones are read
// from its upstream; 0: only once its caller has taken everything.
// `untaken_for` is the time since the caller last took a byte.
size_t MaxHeldOfStream(MemoryLevel level, Duration untaken_for);

// A caller that has not taken all bytes that are ready for it.
struct UntakenBytes {
  uint64_t held = 0;        // Of its request and its reply, in bytes.
  Duration untaken_for{0};  // Since it last took a byte.
};

// Returns the callers to disconnect, by their indices in `callers`: none unless
// the budget is exceeded, and none that has taken a byte in the last seconds.
// The product of time and bytes orders them.
std::vector<size_t> ChooseCallersToDrop(const MemoryBudget& budget,
                                        std::span<const UntakenBytes> callers);

}  // namespace pomeloring

#endif  // POMELORING_MEMORY_MEMORY_BUDGET_H_
