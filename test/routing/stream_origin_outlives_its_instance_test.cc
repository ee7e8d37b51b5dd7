// The version that began a stream must be known after the instance that served
// it is gone, and must not be taken from a process of another version.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

#include "support/routing_site.h"

namespace pomeloring {
namespace {

const Time kNow{seconds(100)};
constexpr size_t kHolders = 3;
constexpr size_t kAsked = 5;

std::vector<InstanceName> Instances(size_t count) {
  std::vector<InstanceName> names;
  for (size_t i = 0; i < count; ++i) {
    names.push_back({fmt::format("i{}", i)});
  }
  return names;
}

UpstreamChange EngineAt(const std::string& version, uint64_t offset) {
  UpstreamChange change = ReadyUpstream("e1", offset);
  change.record->software_version = version;
  return change;
}

TEST_CASE("Who is asked holds a copy, whichever two instances are gone") {
  for (const size_t count : {6, 9, 60, 295}) {
    const auto before = Instances(count);
    for (StreamKey key = 1; key < 200; ++key) {
      const auto holders = ChooseHolders(key, before, kHolders);
      auto after = before;
      std::erase(after, holders[0]);
      std::erase(after, holders[1]);
      const auto asked = ChooseHolders(key, after, kAsked);
      CHECK(std::find(asked.begin(), asked.end(), holders[2]) != asked.end());
    }
  }
}

TEST_CASE("Streams are spread evenly over their holders") {
  const auto instances = Instances(295);
  std::map<InstanceName, int> held;
  for (StreamKey key = 1; key <= 29'500; ++key) {
    for (const InstanceName& holder : ChooseHolders(key, instances, kHolders)) {
      ++held[holder];
    }
  }
  for (const auto& [name, count] : held) {
    CHECK(count > 150);
    CHECK(count < 450);
  }
  CHECK(held.size() == instances.size());
}

TEST_CASE("Peers are told of running streams when a second version comes") {
  const auto router = ReadyRouter(0, kNow);
  router->ApplyUpstreamList({EngineAt("v1", 1)}, {2}, kNow);
  auto result = router->StartAttempt(RequestOn(*router, "draft", 100), kNow);
  const auto& attempt = *std::get<std::shared_ptr<PlacedAttempt>>(result);
  CHECK_FALSE(router->RecordStreamBegin(7, attempt, kNow));
  CHECK(router->TakeOriginsToSend().empty());
  UpstreamChange other = ReadyUpstream("e2", 3);
  other.record->software_version = "v2";
  router->ApplyUpstreamChanges({other}, {4}, kNow);
  const auto sent = router->TakeOriginsToSend();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].second.software_version == "v1");
  CHECK(router->RecordStreamBegin(8, attempt, kNow));
}

TEST_CASE("A process that came back as another version is another process") {
  const auto router = ReadyRouter(0, kNow);
  router->ApplyUpstreamList({EngineAt("v1", 1)}, {2}, kNow);
  auto result = router->StartAttempt(RequestOn(*router, "draft", 100), kNow);
  const auto& placed = *std::get<std::shared_ptr<PlacedAttempt>>(result);
  router->ApplyUpstreamChanges({EngineAt("v2", 3)}, {4}, kNow);
  CHECK(router->FindSendBlock(placed, kNow) == SendBlock::kGone);
  // What had begun before still belongs to the old one.
  router->RecordStreamBegin(7, placed, kNow);
  CHECK(FindOrigin(router->Origins(), 7)->software_version == "v1");
  AttemptRequest goes_on = RequestOn(*router, "draft", 100);
  goes_on.software_version = "v1";
  CHECK(std::holds_alternative<Unplaced>(router->StartAttempt(goes_on, kNow)));
}

TEST_CASE("What peers say of streams takes bounded memory") {
  StreamOrigins origins;
  for (StreamKey key = 0; key < 100'000; ++key) {
    RecordOrigin(origins, {key, {{"engines"}, "v1"}}, false, kNow);
  }
  CHECK(origins.streams.size() <= 65'536);
  ExpireOrigins(origins, kNow + seconds(60));
  CHECK(origins.streams.empty());
}

}  // namespace
}  // namespace pomeloring
