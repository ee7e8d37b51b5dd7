// Buffers that are counted twice, or not released, would refuse callers for
// ever; buffers that are not counted would let the process be killed.

#include <doctest/doctest.h>

#include <initializer_list>
#include <utility>

#include "memory/memory_budget.h"

namespace pomeloring {
namespace {

constexpr uint64_t kMegabyte = uint64_t{1024} * 1024;
constexpr size_t kKilobyte = 1024;

MemoryBudget BudgetAt(double use) {
  MemoryBudget budget{100 * kMegabyte};
  budget.held[0] =
      static_cast<uint64_t>(use * static_cast<double>(budget.limit));
  return budget;
}

TEST_CASE("The limit leaves room for everything but buffers") {
  for (const auto& [memory_mb, limit] :
       {std::pair{0, 0}, {10, 8}, {54, 8}, {120, 48}, {500, 276}}) {
    CAPTURE(memory_mb);
    CHECK(BufferLimit(static_cast<uint64_t>(memory_mb)) / kMegabyte ==
          static_cast<uint64_t>(limit));
  }
}

TEST_CASE("A hold is released once, wherever it was moved") {
  MemoryBudget budget{kMegabyte};
  {
    MemoryHold first(budget, MemoryKind::kStreams, 100);
    MemoryHold second(budget, MemoryKind::kReplies, 10);
    CHECK(HeldBytes(budget) == 110);
    second = std::move(first);
    CHECK(budget.held[static_cast<size_t>(MemoryKind::kReplies)] == 0);
    CHECK(HeldBytes(budget) == 100);
    const MemoryHold third = std::move(second);
    second.Set(1000);  // NOLINT(bugprone-use-after-move): it holds nothing.
    CHECK(HeldBytes(budget) == 100);
    CHECK(third.Bytes() == 100);
  }
  CHECK(HeldBytes(budget) == 0);
}

struct LevelCase {
  double use = 0;
  MemoryLevel level = MemoryLevel::kNormal;
  bool admits_small = true;
  bool admits_large = true;
  size_t held_at_once = 0;  // Of a stream, in KB.
  size_t held_after_3_s = 0;
};

TEST_CASE("Each level allows what the ones below it do, or less") {
  for (const LevelCase& expected : {
           LevelCase{0, MemoryLevel::kNormal, true, true, 64, 1088},
           LevelCase{0.69, MemoryLevel::kNormal, true, true, 64, 1088},
           LevelCase{0.71, MemoryLevel::kBackpressure, true, true, 0, 256},
           LevelCase{0.86, MemoryLevel::kRefuseLarge, true, false, 0, 0},
           LevelCase{1.01, MemoryLevel::kRefuseAll, false, false, 0, 0},
       }) {
    CAPTURE(expected.use);
    const MemoryLevel level = LevelOf(BudgetAt(expected.use));
    CHECK(level == expected.level);
    CHECK(AdmitsRequest(level, kLargeBodyBytes) == expected.admits_small);
    CHECK(AdmitsRequest(level, kLargeBodyBytes + 1) == expected.admits_large);
    CHECK(MaxHeldOfStream(level, milliseconds(0)) ==
          expected.held_at_once * kKilobyte);
    CHECK(MaxHeldOfStream(level, seconds(3)) ==
          expected.held_after_3_s * kKilobyte);
  }
  MemoryBudget unlimited;
  unlimited.held[0] = 1000 * kMegabyte;
  CHECK(LevelOf(unlimited) == MemoryLevel::kNormal);
}

TEST_CASE("A stream in backpressure is still read once a second") {
  for (int second = 1; second < 10; ++second) {
    CHECK(MaxHeldOfStream(MemoryLevel::kBackpressure, seconds(second)) >
          MaxHeldOfStream(MemoryLevel::kBackpressure, seconds(second - 1)));
  }
  CHECK(MaxHeldOfStream(MemoryLevel::kBackpressure, seconds(1000)) ==
        1088 * kKilobyte);
}

TEST_CASE(
    "Only callers that take nothing are dropped, and only over the limit") {
  const UntakenBytes callers[] = {{30 * kMegabyte, milliseconds(4900)},
                                  {2 * kMegabyte, seconds(6)},
                                  {3 * kMegabyte, seconds(6)},
                                  {1 * kMegabyte, seconds(60)}};
  CHECK(ChooseCallersToDrop(BudgetAt(0.99), callers).empty());
  CHECK(ChooseCallersToDrop(BudgetAt(1.005), callers) ==
        std::vector<size_t>{3});
  CHECK(ChooseCallersToDrop(BudgetAt(1.03), callers) ==
        std::vector<size_t>{3, 2});
  CHECK(ChooseCallersToDrop(BudgetAt(1.5), callers).size() == 3);
}

TEST_CASE("Refused callers do not return together") {
  CHECK(RetryAfterRefusal(MemoryLevel::kRefuseAll, 0) == seconds(1));
  for (uint64_t random = 0; random < 1000; ++random) {
    const Duration retry_after =
        RetryAfterRefusal(MemoryLevel::kRefuseLarge, random * 7919);
    CHECK(retry_after >= milliseconds(500));
    CHECK(retry_after <= milliseconds(750));
  }
}

}  // namespace
}  // namespace pomeloring
