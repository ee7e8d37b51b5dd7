// A crowd of unfinished uploads must give way to others: whoever came next was
// refused while uploads that went nowhere kept their room.

#include <doctest/doctest.h>

#include "memory/memory_budget.h"

namespace pomeloring {
namespace {

constexpr uint64_t kMegabyte = uint64_t{1024} * 1024;

TEST_CASE("One large body is admitted alone, more only within their part") {
  MemoryBudget budget{8 * kMegabyte};
  uint64_t& requests = budget.held[static_cast<size_t>(MemoryKind::kRequests)];
  CHECK(AdmitsBody(budget, 0, 6 * kMegabyte));
  requests = 2 * kMegabyte;
  CHECK(AdmitsBody(budget, 0, 2 * kMegabyte));
  CHECK_FALSE(AdmitsBody(budget, 0, 3 * kMegabyte));
  CHECK(AdmitsBody(budget, 2 * kMegabyte, 6 * kMegabyte));
  requests = 5 * kMegabyte;
  CHECK(AdmitsBody(budget, 0, kLargeBodyBytes));
  CHECK_FALSE(AdmitsBody(budget, 0, kLargeBodyBytes + 1));
}

TEST_CASE("The upload that gives way stalls, or its address holds most") {
  const uint64_t all = 9 * kMegabyte;
  const UnfinishedUpload small{kLargeBodyBytes, 0, all, seconds(9)};
  const UnfinishedUpload busy{kMegabyte, kMegabyte, all, Duration{0}};
  const UnfinishedUpload busier{2 * kMegabyte, 2 * kMegabyte, all, Duration{0}};
  const UnfinishedUpload lone{4 * kMegabyte, 0, 4 * kMegabyte, Duration{0}};
  const UnfinishedUpload stalled{kMegabyte, kMegabyte, kMegabyte, seconds(2)};
  // Half of the limit is for large bodies.
  MemoryBudget budget{16 * kMegabyte};
  budget.held[static_cast<size_t>(MemoryKind::kRequests)] = 6 * kMegabyte;
  using Indices = std::vector<size_t>;
  const auto choose = [&](std::vector<UnfinishedUpload> uploads, size_t asker,
                          uint64_t megabytes) {
    return ChooseUploadsToEnd(budget, uploads, asker, megabytes * kMegabyte);
  };
  CHECK(choose({lone}, 0, 4).empty());
  CHECK(choose({small, lone}, 1, 4).empty());
  CHECK(choose({lone, busy, busier}, 0, 4) == Indices{2});
  CHECK(choose({lone, busier, stalled}, 0, 3) == Indices{2});
  CHECK(choose({lone, busier, stalled}, 0, 4) == Indices{2, 1});
  // The asker comes first itself.
  CHECK(choose({busy, busier}, 1, 4).empty());
  // Not even all of them would make room: none is ended.
  CHECK(choose({lone, busy, stalled}, 0, 5).empty());
}

}  // namespace
}  // namespace pomeloring
