// After a start, each of many instances sees few answers. With an estimate of
// its own alone, it takes fast engines for overloaded and refuses requests that
// they could serve.

#include <doctest/doctest.h>

#include <limits>

#include "routing/engine_estimate.h"

namespace pomeloring {
namespace {

constexpr Time kNow{seconds(1000)};
constexpr double kDelayMs = 62;
constexpr double kMsPerToken = 0.0085;
const ServiceName kService{"engines"};

double TrueMs(double tokens) {
  return kDelayMs + tokens * kMsPerToken;
}

ServiceFirstEvents FewObservations() {
  EngineEstimate estimate;
  for (const double tokens : {600.0, 12000.0}) {
    RecordFirstEvent(estimate, tokens,
                     Duration{static_cast<int64_t>(1000 * TrueMs(tokens))},
                     kNow);
  }
  return {{kService, estimate.sums}};
}

TEST_CASE("An instance without observations expects what others observe") {
  ServiceFirstEvents peers;
  for (int instance = 0; instance < 85; ++instance) {
    AddFirstEvents(peers, FewObservations());
  }
  EngineEstimate alone;
  EngineEstimate estimate;
  ApplyPeerSums(estimate, peers.at(kService), kNow);
  for (const double tokens : {600.0, 2000.0, 12000.0}) {
    CAPTURE(tokens);
    const double expected_ms = ExpectedFirstEventMs(estimate, 0, tokens);
    CHECK(expected_ms == doctest::Approx(TrueMs(tokens)).epsilon(0.15));
  }
  CHECK(ExpectedFirstEventMs(alone, 0, 12000) > 1.5 * TrueMs(12000));
}

TEST_CASE("What an instance has sent is not sent back to it") {
  const ServiceFirstEvents own = FewObservations();
  ServiceFirstEvents total = own;
  ServiceFirstEvents others = FewObservations();
  AddFirstEvents(total, others);
  SubtractFirstEvents(total, own);
  CHECK(total.at(kService).weight ==
        doctest::Approx(others.at(kService).weight));
  CHECK(total.at(kService).tokens_ms ==
        doctest::Approx(others.at(kService).tokens_ms));
}

TEST_CASE("Sums of a faulty peer are not used") {
  FirstEventSums sums = FewObservations().at(kService);
  CHECK(IsValid(sums));
  sums.tokens = -1;
  CHECK_FALSE(IsValid(sums));
  sums.tokens = std::numeric_limits<double>::infinity();
  CHECK_FALSE(IsValid(sums));
}

}  // namespace
}  // namespace pomeloring
