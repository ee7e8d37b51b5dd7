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
  const UnfinishedUpload small{kLargeBodyBytes, 9 * kMegabyte, seconds(9)};
  const UnfinishedUpload busy{kMegabyte, 9 * kMegabyte, Duration{0}};
  const UnfinishedUpload busier{2 * kMegabyte, 9 * kMegabyte, Duration{0}};
  const UnfinishedUpload lone{4 * kMegabyte, 4 * kMegabyte, Duration{0}};
  const UnfinishedUpload stalled{kMegabyte, kMegabyte, seconds(2)};
  const auto choose = [](std::vector<UnfinishedUpload> uploads) {
    return ChooseUploadToEnd(uploads);
  };
  CHECK(choose({}) == std::nullopt);
  CHECK(choose({small}) == std::nullopt);
  CHECK(choose({small, lone}) == 1);
  CHECK(choose({lone, busy, busier}) == 2);
  CHECK(choose({lone, busier, stalled}) == 2);
}

}  // namespace
}  // namespace pomeloring
