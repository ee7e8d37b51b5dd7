#include <doctest/doctest.h>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

struct OneCell {
  OneCell(uint32_t slots, size_t max_queue_length) {
    config =
        std::get<Configuration>(ParseConfiguration(SmallConfig(1, 1, slots)));
    cell.id.value = "model//0";
    cell.service.value = "model";
    cell.settings.max_queue_length = max_queue_length;
    cell.settings.reserved_share_per_tier = 0;
    ConfigureCell(cell, config, config.services.at({"model"}).upstreams, {});
    cell.replicas[0].limit = slots;
  }

  CellReplies RequestSlot(const std::string& name, uint64_t id, Duration left) {
    SlotRequest slot_request;
    slot_request.attempt = {{Incarnation{1}, id}, 1};
    slot_request.cell = cell.id;
    slot_request.request_class.value = name;
    slot_request.account.value = "one";
    slot_request.time_left = left;
    return HandleSlotRequest(cell, {"entry"}, slot_request, now);
  }

  CellReplies Report(uint64_t id, Duration total) {
    SlotReport report;
    report.attempt = {{Incarnation{1}, id}, 1};
    report.cell = cell.id;
    report.upstream.value = "engine-1";
    report.total = total;
    return HandleSlotReport(cell, {"entry"}, report, now);
  }

  Configuration config;
  CellState cell;
  Time now{seconds(100)};
};

template <typename T>
std::vector<uint64_t> IdsOf(const CellReplies& replies) {
  std::vector<uint64_t> ids;
  for (const CellReply& reply : replies) {
    if (const auto* message = std::get_if<T>(&reply.message)) {
      ids.push_back(message->attempt.request.sequence);
    }
  }
  return ids;
}

TEST_CASE("a full queue evicts from the lowest tier for a higher one") {
  OneCell one(1, 2);
  one.RequestSlot("history", 1, seconds(600));  // Granted.
  one.RequestSlot("history", 2, seconds(600));
  one.RequestSlot("tag", 3, seconds(50));
  const CellReplies replies = one.RequestSlot("question", 4, seconds(1));
  CHECK(IdsOf<Declined>(replies) == std::vector<uint64_t>{2});
  CHECK(IdsOf<Queued>(replies) == std::vector<uint64_t>{4});
  // Requests of the same or a lower tier evict nothing.
  one.RequestSlot("question", 5, seconds(1));
  CHECK(IdsOf<Declined>(one.RequestSlot("history", 6, seconds(600))) ==
        std::vector<uint64_t>{6});
}

TEST_CASE("the highest queued tier is granted first") {
  OneCell one(1, 10);
  one.RequestSlot("history", 1, seconds(600));
  one.RequestSlot("history", 2, seconds(600));
  one.RequestSlot("tag", 3, seconds(50));
  one.RequestSlot("question", 4, seconds(1));
  CHECK(IdsOf<Granted>(one.Report(1, seconds(1))) == std::vector<uint64_t>{4});
  CHECK(IdsOf<Granted>(one.Report(4, seconds(1))) == std::vector<uint64_t>{3});
  CHECK(IdsOf<Granted>(one.Report(3, seconds(1))) == std::vector<uint64_t>{2});
}

TEST_CASE("after a decline no lower tier is granted before that deadline") {
  OneCell one(1, 10);
  one.RequestSlot("question", 1, seconds(1));
  one.RequestSlot("history", 2, seconds(600));
  one.RequestSlot("question", 3, milliseconds(200));
  one.now += milliseconds(201);
  // Request 3 is past its deadline: it is declined and blocks no lower tier.
  CHECK(IdsOf<Declined>(TickCell(one.cell, one.now)) ==
        std::vector<uint64_t>{3});
  CHECK(IdsOf<Granted>(one.Report(1, seconds(1))) == std::vector<uint64_t>{2});
  // At 0.1 slot releases per second, request 5 is declined early, 900 ms before
  // its deadline.
  one.cell.estimate.releases = 1;
  one.cell.estimate.observed_seconds = 10;
  one.RequestSlot("history", 4, seconds(600));
  CHECK(IdsOf<Declined>(one.RequestSlot("question", 5, milliseconds(900))) ==
        std::vector<uint64_t>{5});
  CHECK(IdsOf<Granted>(one.Report(2, seconds(1))).empty());
  one.now += milliseconds(901);
  CHECK(IdsOf<Granted>(TickCell(one.cell, one.now)) ==
        std::vector<uint64_t>{4});
}

TEST_CASE("an aged request bypasses higher tiers only if they have slack") {
  OneCell one(1, 100);
  one.RequestSlot("question", 1, seconds(1));
  one.RequestSlot("history", 2, seconds(600));
  one.cell.estimate.releases = 50;
  one.cell.estimate.observed_seconds = 5;
  one.now += seconds(3600);
  SUBCASE("with slack it goes first") {
    one.RequestSlot("question", 3, seconds(100));
    CHECK(IdsOf<Granted>(one.Report(1, seconds(1))) ==
          std::vector<uint64_t>{2});
  }
  SUBCASE("without slack it waits") {
    one.RequestSlot("question", 3, milliseconds(300));
    one.now += milliseconds(200);
    CHECK(IdsOf<Granted>(one.Report(1, seconds(1))) ==
          std::vector<uint64_t>{3});
  }
}

}  // namespace
}  // namespace pomeloring::test
