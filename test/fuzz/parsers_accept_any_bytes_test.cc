#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "pomeloring/core.h"
#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

// A random mutation of a text; see Apply().
struct Edit {
  uint32_t at = 0;   // Position, modulo the length.
  uint8_t byte = 0;  // The byte to write, or the length to duplicate.
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
        // Duplicates a part, for duplicate names and deep nesting.
        text.insert(at, text.substr(at, edit.byte));
        break;
    }
  }
  return text;
}

std::string ValidText() {
  return WithOrders(SmallConfig(2, 1, 4), 2, "karst");
}

TEST_CASE("any configuration text gives a configuration or a described error") {
  CHECK(rc::check("any configuration text", [](const std::vector<Edit>& edits) {
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

TEST_CASE("any change gives a text that can be parsed, or an error") {
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

TEST_CASE("any log record is decoded or reported as unreadable") {
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

// Guards against a malformed record that leaves a reader unable to apply later
// ones.
TEST_CASE("a reader applies the next record after any malformed one") {
  CHECK(rc::check("any first record", [](const std::vector<Edit>& edits) {
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
