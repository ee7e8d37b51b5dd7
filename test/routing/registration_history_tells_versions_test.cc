// The history of the registrations has no times. Its age must never be
// overestimated, or a version that has just left would be forgotten and its
// streams joined with another.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "routing/version_history.h"
#include "support/routing_site.h"

namespace pomeloring {
namespace {

const ServiceName kService{kEngineService};
constexpr Duration kLifetime = seconds(8);
constexpr uint64_t kEra = uint64_t{1} << kPositionOffsetBits;

struct Case {
  const char* name;
  int v1_records;      // Of each of two upstreams; they then leave.
  int v2_records;      // Of each of two upstreams, after those of v1.
  int v2_extra = 0;    // More, of one upstream only.
  uint64_t first = 1;  // Offset of the history; 0: nothing has expired.
  uint64_t era = 0;
  std::set<std::string> versions;
  bool is_complete = false;
  uint64_t known_up_to = 0;  // A position that includes the restores.
};

TEST_CASE("A history tells which versions served, and from when on") {
  // 8 s and 3 s more take 18 records of 0.75 s each.
  const Case cases[] = {
      {"long", 0, 30, 0, 1, 0, {"v2"}, true},
      {"too short", 0, 12, 0, 1, 0, {"v2"}, false},
      {"short, but from the beginning", 0, 12, 0, 0, 0, {"v2"}, true},
      {"the older left lately", 20, 5, 0, 1, 0, {"v1", "v2"}, true},
      {"the older left long ago", 20, 30, 0, 1, 0, {"v2"}, true},
      {"one upstream writes often", 5, 6, 100, 1, 0, {"v1", "v2"}, false},
      {"restored from a copy", 0, 40, 0, 1, 1, {"v2"}, false},
      {"restored, from the beginning", 0, 12, 0, 0, 1, {"v2"}, false},
      {"empty", 0, 0, 0, 1, 0, {}, false},
      {"known before, no gap", 0, 1, 0, 9, 0, {"v2"}, true, 9},
      {"known before, records missing since", 0, 1, 0, 9, 0, {"v2"}, false, 8},
      {"restored, known since", 0, 1, 0, 9, 1, {"v2"}, true, kEra + 9},
      {"known before the restore", 0, 40, 0, 1, 1, {"v2"}, false, 20},
      {"known before a second one", 0, 40, 0, 1, 2, {"v2"}, false, kEra + 20},
  };
  for (const Case& each : cases) {
    INFO(std::string(each.name));
    std::vector<UpstreamChange> records;
    const auto write = [&](const std::string& version, int upstream) {
      records.push_back(
          ReadyUpstream(fmt::format("{}-{}", version, upstream), 1));
      records.back().record->software_version = version;
    };
    for (int i = 0; i < 2 * each.v1_records; ++i) {
      write("v1", i % 2);
    }
    for (int i = 0; i < 2 && each.v1_records > 0; ++i) {
      records.push_back(RemovedUpstream(fmt::format("v1-{}", i), 1));
    }
    for (int i = 0; i < 2 * each.v2_records; ++i) {
      write("v2", i % 2);
    }
    for (int i = 0; i < each.v2_extra; ++i) {
      write("v2", 0);
    }
    const auto assessed = AssessHistory(
        records, {each.era << kPositionOffsetBits | each.first},
        {{kService, kLifetime}}, {{kService, {each.known_up_to}}});
    CHECK(assessed.at(kService).versions == each.versions);
    CHECK(assessed.at(kService).is_complete == each.is_complete);
  }
}

TEST_CASE("As much of the history is read as its assessment takes") {
  for (const size_t upstreams : {1, 6, 165}) {
    const uint64_t records = RecordsToRead(upstreams, kLifetime);
    CHECK(records >= 18 * upstreams);
    CHECK(records <= 40 * upstreams);
  }
}

TEST_CASE("Only services with resumable streams have a lifetime") {
  const auto lifetimes = StreamLifetimes(*SmallRouting());
  CHECK(lifetimes.size() == 1);
  CHECK(lifetimes.contains(kService));
}

}  // namespace
}  // namespace pomeloring
