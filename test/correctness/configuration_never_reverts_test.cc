#include <doctest/doctest.h>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

std::vector<LogRecord> RecordsOf(const std::vector<std::string>& payloads,
                                 uint64_t from,
                                 uint64_t to) {
  std::vector<LogRecord> records;
  for (uint64_t offset = from; offset <= to; ++offset) {
    records.push_back({LogOffset{offset}, payloads[offset - 1]});
  }
  return records;
}

std::string Publish(const std::string& id, uint64_t base, uint32_t slots) {
  PublishRecord record{id, Revision{base}, SmallConfig(1, 1, slots), ""};
  return EncodeConfigRecord(record);
}

TEST_CASE(
    "of two publishes with the same base, every reader accepts the first") {
  const std::vector<std::string> log = {Publish("first", 0, 1),
                                        Publish("a", 1, 2), Publish("b", 1, 3),
                                        Publish("c", 2, 4)};
  // Readers fetch the log in batches of different sizes.
  for (uint64_t piece = 1; piece <= 4; ++piece) {
    ConfigHistory history;
    for (uint64_t from = 1; from <= 4; from += piece) {
      ApplyRecords(
          history,
          RecordsOf(log, from, std::min(from + piece - 1, uint64_t{4})),
          LogOffset{1}, Time{});
    }
    CHECK(history.in_force->revision.value == 4);
    CHECK(std::holds_alternative<PublishAccepted>(history.outcomes.at("a")));
    const auto* conflict =
        std::get_if<PublishConflict>(&history.outcomes.at("b"));
    REQUIRE(conflict != nullptr);
    CHECK(conflict->in_force.value == 2);
  }
}

TEST_CASE("a publish that was appended twice is accepted once") {
  const std::vector<std::string> log = {Publish("first", 0, 1),
                                        Publish("a", 1, 2), Publish("a", 1, 2)};
  ConfigHistory history;
  ApplyRecords(history, RecordsOf(log, 1, 3), LogOffset{1}, Time{});
  CHECK(history.in_force->revision.value == 2);
  CHECK(std::holds_alternative<PublishAccepted>(history.outcomes.at("a")));
}

TEST_CASE("an invalid configuration or record has no effect") {
  PublishRecord bad{"bad", Revision{1}, "{\"services\":3}", ""};
  const std::vector<std::string> log = {Publish("first", 0, 1),
                                        EncodeConfigRecord(bad), "not JSON",
                                        Publish("a", 1, 2)};
  ConfigHistory history;
  ApplyRecords(history, RecordsOf(log, 1, 4), LogOffset{1}, Time{});
  CHECK(history.in_force->revision.value == 4);
  CHECK(std::holds_alternative<PublishInvalid>(history.outcomes.at("bad")));
}

TEST_CASE("a change replaces and removes entries by name") {
  PublishRecord change{"change", Revision{1}, "",
                       R"({"accounts":[{"name":"three","key_sha256":)"
                       R"("0000000000000000000000000000000000000000)"
                       R"(000000000000000000000003"}],)"
                       R"("remove":{"accounts":["two"]}})"};
  const std::vector<std::string> log = {Publish("first", 0, 1),
                                        EncodeConfigRecord(change)};
  ConfigHistory history;
  ApplyRecords(history, RecordsOf(log, 1, 2), LogOffset{1}, Time{});
  const auto& accounts = history.in_force->configuration->accounts;
  CHECK(accounts.contains({"one"}));
  CHECK(!accounts.contains({"two"}));
  CHECK(accounts.contains({"three"}));
}

TEST_CASE(
    "a new reader starts from a snapshot that is contiguous with its records") {
  ConfigHistory full;
  std::vector<std::string> log = {Publish("first", 0, 1), Publish("a", 1, 2)};
  ApplyRecords(full, RecordsOf(log, 1, 2), LogOffset{1}, Time{});
  const auto snapshot =
      MakeSnapshotIfDue(full, seconds(10), Time{seconds(100)});
  REQUIRE(snapshot);
  log.push_back(Publish("b", 2, 3));  // After the snapshot was taken.
  log.push_back(EncodeConfigRecord(*snapshot));
  log.push_back(Publish("c", 3, 4));
  SUBCASE("the snapshot has not been read yet: nothing is in force") {
    ConfigHistory fresh;
    ApplyRecords(fresh, RecordsOf(log, 3, 3), LogOffset{3}, Time{});
    CHECK(!fresh.in_force);
  }
  SUBCASE("records after its as_of are applied to it") {
    ConfigHistory fresh;
    ApplyRecords(fresh, RecordsOf(log, 3, 5), LogOffset{3}, Time{});
    REQUIRE(fresh.in_force);
    CHECK(fresh.in_force->revision.value == 5);
  }
  SUBCASE("a record between its as_of and the first one read has expired") {
    ConfigHistory fresh;
    ApplyRecords(fresh, RecordsOf(log, 4, 5), LogOffset{4}, Time{});
    CHECK(!fresh.in_force);
  }
}

TEST_CASE(
    "a reader with a gap keeps its state until a snapshot covers the gap") {
  std::vector<std::string> log = {Publish("first", 0, 1), Publish("a", 1, 2),
                                  Publish("b", 2, 3), Publish("c", 3, 4)};
  ConfigHistory full;
  ApplyRecords(full, RecordsOf(log, 1, 4), LogOffset{1}, Time{});
  log.push_back(EncodeConfigRecord(
      *MakeSnapshotIfDue(full, seconds(10), Time{seconds(100)})));
  ConfigHistory slow;
  ApplyRecords(slow, RecordsOf(log, 1, 1), LogOffset{1}, Time{});
  ApplyRecords(slow, RecordsOf(log, 4, 4), LogOffset{4}, Time{});
  CHECK(slow.in_force->revision.value == 1);
  ApplyRecords(slow, RecordsOf(log, 5, 5), LogOffset{4}, Time{});
  CHECK(slow.in_force->revision.value == 4);
}

TEST_CASE("an older state from a peer is not adopted") {
  std::vector<std::string> log = {Publish("first", 0, 1), Publish("a", 1, 2)};
  ConfigHistory older;
  ConfigHistory newer;
  ApplyRecords(older, RecordsOf(log, 1, 1), LogOffset{1}, Time{});
  ApplyRecords(newer, RecordsOf(log, 1, 2), LogOffset{1}, Time{});
  CHECK(!AdoptFromPeer(newer, *older.in_force, Time{}));
  CHECK(AdoptFromPeer(older, *newer.in_force, Time{}));
  CHECK(older.in_force->revision.value == 2);
  CHECK(older.next_offset.value == 3);
}

}  // namespace
}  // namespace pomeloring::test
