#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "pomeloring/core.h"
#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

// A change of one byte: what is written, where, and how.
struct Edit {
  uint32_t at = 0;
  uint8_t byte = 0;
  uint8_t kind = 0;
};

}  // namespace
}  // namespace pomeloring::test

namespace rc {

template <>
struct Arbitrary<pomeloring::test::Edit> {
  static Gen<pomeloring::test::Edit> arbitrary() {
    using pomeloring::test::Edit;
    return gen::build<Edit>(gen::set(&Edit::at), gen::set(&Edit::byte),
                            gen::set(&Edit::kind));
  }
};

}  // namespace rc

namespace pomeloring::test {
namespace {

void showValue(const Edit& edit, std::ostream& out) {
  out << edit.at << ":" << int{edit.byte} << "/" << int{edit.kind};
}

std::string Apply(std::string text, const std::vector<Edit>& edits) {
  for (const Edit& edit : edits) {
    const size_t at = text.empty() ? 0 : edit.at % text.size();
    const char byte = static_cast<char>(edit.byte);
    switch (edit.kind % 4) {
      case 0:
        if (!text.empty()) {
          text[at] = byte;
        }
        break;
      case 1:
        text.insert(at, 1, byte);
        break;
      case 2:
        text = text.substr(0, at);
        break;
      case 3:
        // Doubles a part, which gives duplicate names and deep nesting.
        text.insert(at, text.substr(at, edit.byte));
        break;
    }
  }
  return text;
}

std::string ValidText() {
  return WithOrders(SmallConfig(2, 1, 4), 2, "karst");
}

TEST_CASE("a configuration text gives a configuration or a named error") {
  CHECK(rc::check("any text", [](const std::vector<Edit>& edits) {
    const auto parsed = ParseConfiguration(Apply(ValidText(), edits));
    if (const auto* error = std::get_if<ConfigurationError>(&parsed)) {
      RC_ASSERT(!Describe(*error).empty());
      return;
    }
    for (const auto& [name, request_class] :
         std::get<Configuration>(parsed).classes) {
      RC_ASSERT(std::get<Configuration>(parsed).services.contains(
          request_class.service));
    }
  }));
}

TEST_CASE("a change gives a text that can be checked, or a named error") {
  CHECK(rc::check("any change", [](const std::vector<Edit>& edits) {
    const std::string change =
        R"({"accounts":[{"name":"three","key_sha256":"00"}],)"
        R"("remove":{"classes":["tag"]}})";
    const auto applied = ApplyChanges(ValidText(), Apply(change, edits));
    if (const auto* text = std::get_if<std::string>(&applied)) {
      ParseConfiguration(*text);
    }
  }));
}

TEST_CASE("a record of the log is read or called unreadable") {
  PublishRecord publish{"p1", Revision{3}, ValidText(), ""};
  const std::string records[] = {
      EncodeConfigRecord(publish),
      EncodeConfigRecord(MarkRecord{"engine-1", MarkState::kLeaving}),
      EncodeConfigRecord(SnapshotRecord{LogOffset{4},
                                        Revision{3},
                                        ValidText(),
                                        {{"a", MarkState::kStopping}}}),
      EncodeClaimRecord({Incarnation{9}, {{1, 2}, {3, 4}}})};
  CHECK(rc::check("any record", [&](const std::vector<Edit>& edits) {
    for (const std::string& record : records) {
      const std::string bytes = Apply(record, edits);
      DecodeConfigRecord(bytes);
      DecodeClaimRecord(bytes);
    }
  }));
}

// What a reader makes of any records, it can go on from.
TEST_CASE("a history that read any record still takes the next") {
  CHECK(rc::check("any history", [](const std::vector<Edit>& edits) {
    const std::string first =
        EncodeConfigRecord(PublishRecord{"p1", Revision{0}, ValidText(), ""});
    ConfigHistory history;
    ApplyRecords(history, {{LogOffset{1}, Apply(first, edits)}}, LogOffset{1},
                 Time{});
    const Revision before =
        history.in_force ? history.in_force->revision : Revision{0};
    ApplyRecords(history,
                 {{LogOffset{2}, EncodeConfigRecord(PublishRecord{
                                     "p2", before, ValidText(), ""})}},
                 LogOffset{1}, Time{});
    RC_ASSERT(history.in_force.has_value());
    RC_ASSERT(history.in_force->revision == Revision{2});
  }));
}

}  // namespace
}  // namespace pomeloring::test
