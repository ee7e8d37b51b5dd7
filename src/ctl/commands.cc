#include "ctl/commands.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <random>
#include <set>
#include <sstream>

#include "core/config_history.h"
#include "core/configuration.h"
#include "ctl/admin_client.h"
#include "ctl/log_report.h"
#include "ctl/timeline_report.h"

namespace pomeloring {
namespace {

namespace json = boost::json;

// Prints the message and returns `code`.
int Fail(int code, std::string_view message) {
  fmt::print(stderr, "pomeloring-ctl: {}\n", message);
  return code;
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string GeneratePublishId() {
  std::random_device random;
  return fmt::format("{:08x}{:08x}{:08x}", random(), random(), random());
}

int ReportInvalid(const CommandLine& line, const ConfigurationError& error) {
  if (line.json) {
    fmt::print("{}\n",
               json::serialize(json::object{{"valid", false},
                                            {"error", TypeName(error)},
                                            {"detail", Describe(error)}}));
    return kExitInvalid;
  }
  return Fail(kExitInvalid,
              fmt::format("{}: {}", TypeName(error), Describe(error)));
}

int Check(const CommandLine& line) {
  const auto text = ReadFile(line.positional_args[1]);
  if (!text) {
    return Fail(kExitUsage,
                line.positional_args[1] + " can't be read; check the path");
  }
  const auto parsed = ParseConfiguration(*text);
  if (const auto* error = std::get_if<ConfigurationError>(&parsed)) {
    return ReportInvalid(line, *error);
  }
  const auto& configuration = std::get<Configuration>(parsed);
  const json::object counts{{"valid", true},
                            {"services", configuration.services.size()},
                            {"classes", configuration.classes.size()},
                            {"accounts", configuration.accounts.size()}};
  if (line.json) {
    fmt::print("{}\n", json::serialize(counts));
  } else {
    fmt::print("{}: valid, {} services, {} classes, {} accounts\n",
               line.positional_args[1], configuration.services.size(),
               configuration.classes.size(), configuration.accounts.size());
  }
  return kExitOk;
}

// Maps "section/name" to the serialized entry, for each entry with a name.
// Returns nothing for a text that is not a JSON object.
std::map<std::string, std::string> CollectNamedEntries(std::string_view text) {
  std::map<std::string, std::string> entries;
  json::error_code error;
  const json::value value = json::parse(text.empty() ? "{}" : text, error);
  if (error || !value.is_object()) {
    return entries;
  }
  for (const auto& section : value.get_object()) {
    if (!section.value().is_array()) {
      continue;
    }
    for (const json::value& entry : section.value().get_array()) {
      const json::value* name =
          entry.is_object() ? entry.get_object().if_contains("name") : nullptr;
      if (name != nullptr && name->is_string()) {
        entries[fmt::format("{}/{}", std::string_view(section.key()),
                            std::string_view(name->get_string()))] =
            json::serialize(entry);
      }
    }
  }
  return entries;
}

// Prints the names of entries that were removed (-), changed (~) and added (+).
void PrintDifference(std::string_view before, std::string_view after) {
  const auto old_entries = CollectNamedEntries(before);
  const auto new_entries = CollectNamedEntries(after);
  for (const auto& [name, entry] : old_entries) {
    const auto it = new_entries.find(name);
    if (it == new_entries.end()) {
      fmt::print("- {}\n", name);
    } else if (it->second != entry) {
      fmt::print("~ {}\n", name);
    }
  }
  for (const auto& [name, entry] : new_entries) {
    if (!old_entries.contains(name)) {
      fmt::print("+ {}\n", name);
    }
  }
}

int ReportOutcome(const CommandLine& line, const PublishOutcome& outcome) {
  if (const auto* accepted = std::get_if<PublishAccepted>(&outcome)) {
    if (line.json) {
      fmt::print("{}\n", json::serialize(json::object{
                             {"outcome", "accepted"},
                             {"revision", accepted->revision.value}}));
    } else {
      fmt::print("accepted as revision {}\n", accepted->revision.value);
    }
    return kExitOk;
  }
  if (const auto* conflict = std::get_if<PublishConflict>(&outcome)) {
    if (line.json) {
      fmt::print("{}\n", json::serialize(json::object{
                             {"outcome", "conflict"},
                             {"named", conflict->requested_base.value},
                             {"in_force", conflict->in_force.value}}));
      return kExitConflict;
    }
    return Fail(
        kExitConflict,
        fmt::format("conflict: --base is {}, but revision {} is in "
                    "force; merge it into FILE and publish again",
                    conflict->requested_base.value, conflict->in_force.value));
  }
  return ReportInvalid(line, std::get<PublishInvalid>(outcome).error);
}

// Appends the record and reads the log until the outcome of the publish is
// known. The order of records in the log determines which of several concurrent
// publishes is accepted, so the outcome is found even if the reply to the
// append was lost.
int AppendAndReadBack(const CommandLine& line,
                      const std::string& publish_id,
                      const std::string& payload,
                      ConfigHistory history) {
  const AppendStatus append_status =
      AppendToConfigLog(line.platform_address, payload);
  if (append_status == AppendStatus::kRefused) {
    return Fail(kExitUnreachable,
                "the platform rejected the record; nothing was changed");
  }
  const auto read =
      ReadConfigLog(line.platform_address, std::move(history), publish_id,
                    std::chrono::seconds(line.wait_seconds));
  const auto* after = std::get_if<ConfigHistory>(&read);
  const auto outcome = after == nullptr ? decltype(after->outcomes.end()){}
                                        : after->outcomes.find(publish_id);
  if (after == nullptr || outcome == after->outcomes.end()) {
    return Fail(kExitUnknown,
                "the outcome is unknown; run 'show config' later to see which "
                "revision is in force");
  }
  return ReportOutcome(line, outcome->second);
}

int Publish(const CommandLine& line) {
  const auto text = ReadFile(line.positional_args[1]);
  if (!text) {
    return Fail(kExitUsage,
                line.positional_args[1] + " can't be read; check the path");
  }
  if (!line.base) {
    return Fail(kExitUsage,
                "publish needs --base with the revision to replace");
  }
  auto read =
      ReadConfigLog(line.platform_address, {}, "", std::chrono::seconds(0));
  auto* history = std::get_if<ConfigHistory>(&read);
  if (history == nullptr) {
    return Fail(kExitUnreachable,
                "can't read the configuration from the platform; nothing was "
                "changed");
  }
  const std::string before =
      history->in_force ? history->in_force->text : std::string();
  std::string after = *text;
  if (line.is_change) {
    auto applied = ApplyChanges(before, *text);
    if (const auto* error = std::get_if<ConfigurationError>(&applied)) {
      return ReportInvalid(line, *error);
    }
    after = std::get<std::string>(applied);
  }
  const auto parsed = ParseConfiguration(after);
  if (const auto* error = std::get_if<ConfigurationError>(&parsed)) {
    return ReportInvalid(line, *error);
  }
  if (!line.json) {
    PrintDifference(before, after);
  }
  PublishRecord record;
  record.publish_id = GeneratePublishId();
  record.base = Revision{*line.base};
  (line.is_change ? record.changes : record.text) = *text;
  return AppendAndReadBack(line, record.publish_id, EncodeConfigRecord(record),
                           std::move(*history));
}

int Mark(const CommandLine& line) {
  const auto state = ParseMarkState(line.positional_args[2]);
  if (!state) {
    return Fail(kExitUsage,
                "the state must be in-service, leaving or stopping");
  }
  const AppendStatus append_status = AppendToConfigLog(
      line.platform_address,
      EncodeConfigRecord(MarkRecord{line.positional_args[1], *state}));
  switch (append_status) {
    case AppendStatus::kAppended:
      fmt::print("{} is marked {}\n", line.positional_args[1],
                 line.positional_args[2]);
      return kExitOk;
    case AppendStatus::kRefused:
      return Fail(kExitUnreachable,
                  "the platform rejected the record; nothing was changed");
    case AppendStatus::kUnknown:
      return Fail(
          kExitUnknown,
          "no reply from the platform; run the command again, repeating "
          "it is harmless");
  }
  return kExitUnknown;
}

int FailAdmin(const AdminResult& result) {
  if (const auto* rejected = std::get_if<AdminRejected>(&result)) {
    return Fail(kExitUnreachable, Describe(*rejected));
  }
  return Fail(kExitUnreachable, Describe(std::get<AdminUnreachable>(result)));
}

std::string FormatValue(const json::value& value) {
  return value.is_string() ? std::string(value.get_string())
                           : json::serialize(value);
}

// Prints a list of objects as a table with the columns of the first object.
void PrintTable(const json::array& rows) {
  if (rows.empty()) {
    return;
  }
  std::vector<std::string> names;
  std::vector<size_t> widths;
  for (const auto& column : rows[0].as_object()) {
    names.emplace_back(column.key());
    widths.push_back(column.key().size());
  }
  for (const json::value& row : rows) {
    for (size_t i = 0; i < names.size(); ++i) {
      widths[i] =
          std::max(widths[i], FormatValue(row.as_object().at(names[i])).size());
    }
  }
  const auto print_row = [&](const auto& cell_text) {
    for (size_t i = 0; i < names.size(); ++i) {
      fmt::print("{:<{}}  ", cell_text(i), widths[i]);
    }
    fmt::print("\n");
  };
  print_row([&](size_t i) { return names[i]; });
  for (const json::value& row : rows) {
    print_row(
        [&](size_t i) { return FormatValue(row.as_object().at(names[i])); });
  }
}

int ShowCells(const json::value& reply) {
  for (const json::value& cell : reply.as_object().at("cells").as_array()) {
    const json::object& object = cell.as_object();
    fmt::print("cell {} scheduler-here={} waiting by tier {}\n",
               FormatValue(object.at("cell")),
               FormatValue(object.at("is_scheduler")),
               FormatValue(object.at("waiting")));
    PrintTable(object.at("replicas").as_array());
  }
  return kExitOk;
}

int ShowConfig(const json::value& reply) {
  const json::object& object = reply.as_object();
  if (!object.at("known").as_bool()) {
    return Fail(kExitUnreachable, "the instance has no configuration yet");
  }
  fmt::print(
      "revision {} (log read to {})\nmarks {}\n{}\n",
      FormatValue(object.at("revision")), FormatValue(object.at("as_of")),
      json::serialize(object.at("marks")), FormatValue(object.at("text")));
  return kExitOk;
}

int ShowClasses(const json::value& reply) {
  const auto parsed =
      ParseConfiguration(FormatValue(reply.as_object().at("text")));
  const auto* configuration = std::get_if<Configuration>(&parsed);
  if (configuration == nullptr) {
    return Fail(
        kExitInvalid,
        "this version of pomeloring-ctl can't parse the configuration in "
        "force");
  }
  json::array rows;
  for (const auto& [name, class_config] : configuration->classes) {
    const auto ms = [](Duration duration) { return duration.count() / 1000; };
    rows.push_back(json::object{
        {"class", name.value},
        {"service", class_config.service.value},
        {"tier", class_config.tier.value},
        {"first_token_ms", ms(class_config.first_token_target)},
        {"between_tokens_ms", ms(class_config.between_tokens_target)},
        {"answer_ms", ms(class_config.answer_target)},
        {"idempotent", class_config.idempotent},
        {"when_late",
         class_config.when_late == LatePolicy::kDrop ? "drop" : "serve"}});
  }
  PrintTable(rows);
  return kExitOk;
}

int Show(const CommandLine& line) {
  const std::string& subject = line.positional_args[1];
  static const std::map<std::string, std::string> kPaths = {
      {"config", "/v1/config"},   {"classes", "/v1/config"},
      {"members", "/v1/members"}, {"entries", "/v1/members"},
      {"cells", "/v1/cells"},     {"engines", "/v1/engines"}};
  const auto path = kPaths.find(subject);
  if (path == kPaths.end() || line.admin_addresses.empty()) {
    return Fail(kExitUsage,
                "show takes config, classes, members, cells, entries or "
                "engines, and needs an instance in --admin");
  }
  const AdminResult result =
      GetFromAdmin(line.admin_addresses.front(), line.key, path->second);
  const auto* reply = std::get_if<json::value>(&result);
  if (reply == nullptr) {
    return FailAdmin(result);
  }
  if (line.json) {
    fmt::print("{}\n", json::serialize(*reply));
    return kExitOk;
  }
  if (subject == "config") {
    return ShowConfig(*reply);
  }
  if (subject == "classes") {
    return ShowClasses(*reply);
  }
  if (subject == "cells") {
    return ShowCells(*reply);
  }
  if (subject == "engines") {
    PrintTable(reply->as_object().at("engines").as_array());
    return kExitOk;
  }
  PrintTable(reply->as_object().at("members").as_array());
  return kExitOk;
}

int Stop(const CommandLine& line) {
  if (line.admin_addresses.size() != 1) {
    return Fail(kExitUsage, "stop needs exactly one instance in --admin");
  }
  const AdminResult result =
      PostToAdmin(line.admin_addresses.front(), line.key, "/v1/stop");
  if (!std::holds_alternative<json::value>(result)) {
    return FailAdmin(result);
  }
  fmt::print("{} is stopping\n", line.admin_addresses.front());
  return kExitOk;
}

int ShowTimeline(const CommandLine& line) {
  std::vector<ReportedEvent> events;
  size_t reached_count = 0;
  for (const std::string& address : line.admin_addresses) {
    const AdminResult result = GetFromAdmin(address, line.key, "/v1/timeline");
    const auto* reply = std::get_if<json::value>(&result);
    if (reply == nullptr) {
      FailAdmin(result);
      continue;
    }
    ++reached_count;
    AddEvents(events, *reply, line.request);
  }
  if (reached_count == 0) {
    return Fail(kExitUnreachable,
                "no instance could be reached; check --admin");
  }
  SortCausally(events);
  if (!line.request_class.empty()) {
    FilterByClass(events, line.request_class);
  }
  if (line.last_seconds) {
    FilterByAge(events, std::chrono::seconds(*line.last_seconds));
  }
  FilterByKind(events, line.kind);
  if (line.format == "chrome") {
    fmt::print("{}", FormatChromeTrace(events));
  } else if (line.format == "jsonl" || line.json) {
    fmt::print("{}", FormatJsonLines(events));
  } else {
    fmt::print("{}", FormatText(events));
  }
  return kExitOk;
}

int Explain(const CommandLine& line) {
  const std::string explanation =
      ExplainRequest(ReadLogLines(std::cin), line.positional_args[1]);
  if (explanation.empty()) {
    return Fail(kExitInvalid, fmt::format("no log line mentions request {}",
                                          line.positional_args[1]));
  }
  fmt::print("{}", explanation);
  return kExitOk;
}

int Summarize(const CommandLine&) {
  fmt::print("{}", SummarizeOutcomes(ReadLogLines(std::cin)));
  return kExitOk;
}

struct Command {
  std::string_view name;
  size_t positional_count;  // Includes the command itself.
  bool needs_platform;
  int (*handler)(const CommandLine&);
};

constexpr Command kCommands[] = {
    {"check", 2, false, Check},     {"publish", 2, true, Publish},
    {"mark", 3, true, Mark},        {"show", 2, false, Show},
    {"stop", 1, false, Stop},       {"timeline", 1, false, ShowTimeline},
    {"explain", 2, false, Explain}, {"summary", 1, false, Summarize},
};

}  // namespace

int RunCommand(const CommandLine& line) {
  for (const Command& command : kCommands) {
    if (command.name != line.positional_args[0]) {
      continue;
    }
    if (line.positional_args.size() != command.positional_count) {
      return Fail(kExitUsage,
                  fmt::format("{} takes {} argument(s); see --help",
                              command.name, command.positional_count - 1));
    }
    if (command.needs_platform && line.platform_address.empty()) {
      return Fail(kExitUsage,
                  "no platform address; set --platform or POMELORING_PLATFORM");
    }
    return command.handler(line);
  }
  return Fail(kExitUsage, fmt::format("unknown command {}; see --help",
                                      line.positional_args[0]));
}

}  // namespace pomeloring
