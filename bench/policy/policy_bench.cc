// Benchmarks a scheduling policy on a workload, in virtual time.

#include <fmt/format.h>
#include <getopt.h>

#include <boost/json.hpp>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "policy/policy_run.h"

namespace pomeloring::bench {
namespace {

namespace json = boost::json;

constexpr char kUsage[] =
    "usage: policy_bench --deployment FILE --workload FILE [--policy NAME]\n"
    "                    [--seed S] [--json]\n"
    "policies: pomeloring round-robin least-reported-load two-choices\n"
    "          fifo-shared, and bound: the most that could be attained\n";

constexpr option kOptions[] = {
    {"deployment", required_argument, nullptr, 'd'},
    {"workload", required_argument, nullptr, 'w'},
    {"policy", required_argument, nullptr, 'p'},
    {"seed", required_argument, nullptr, 's'},
    {"json", no_argument, nullptr, 'j'},
    {nullptr, 0, nullptr, 0},
};

struct Options {
  std::string deployment;
  std::string workload;
  std::string policy = "pomeloring";
  uint64_t seed = 1;
  bool json = false;
};

// Parses the command line. Returns an error message, or an empty string.
std::string ParseOptions(int argc, char** argv, Options& options) {
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "d:w:p:s:j", kOptions, nullptr)) !=
         -1) {
    switch (choice) {
      case 'd':
        options.deployment = optarg;
        break;
      case 'w':
        options.workload = optarg;
        break;
      case 'p':
        options.policy = optarg;
        break;
      case 's': {
        const std::string_view text = optarg;
        const auto read = std::from_chars(
            text.data(), text.data() + text.size(), options.seed);
        if (read.ec != std::errc{} || read.ptr != text.data() + text.size()) {
          return fmt::format("--seed: not a non-negative integer: '{}'", text);
        }
        break;
      }
      case 'j':
        options.json = true;
        break;
      default:
        return "see the usage above";
    }
  }
  if (options.deployment.empty() || options.workload.empty()) {
    return "--deployment and --workload are required";
  }
  if (options.policy != "bound" && !ParsePolicy(options.policy)) {
    return fmt::format("--policy: unknown policy '{}'", options.policy);
  }
  return optind == argc ? ""
                        : fmt::format("unexpected argument '{}'", argv[optind]);
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

double Fraction(size_t part, size_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

void PrintJson(const Options& options,
               const Workload& workload,
               const Score& score) {
  json::object classes;
  for (const auto& [name, class_score] : score.classes) {
    classes[name.value] = json::object{
        {"requests", class_score.requests},
        {"attainment", Fraction(class_score.attained, class_score.requests)},
        {"answered", class_score.answered},
        {"declined", class_score.declined},
        {"longest_wait_s",
         std::chrono::duration<double>(class_score.max_wait).count()}};
  }
  fmt::print("{}\n", json::serialize(json::object{
                         {"workload", workload.name},
                         {"policy", options.policy},
                         {"seed", options.seed},
                         {"weighted_attainment", score.weighted_attainment},
                         {"goodput", score.goodput},
                         {"token_goodput", score.token_goodput},
                         {"wasted_share", score.wasted_share},
                         {"tier_violations", score.tier_violations},
                         {"classes", classes}}));
}

void PrintTable(const Options& options,
                const Workload& workload,
                const Score& score) {
  fmt::print(
      "{} {} seed {}: weighted attainment {:.4f}, goodput {:.2f}/s, "
      "{:.0f} tokens/s, wasted {:.4f}, tier violations {}\n",
      workload.name, options.policy, options.seed, score.weighted_attainment,
      score.goodput, score.token_goodput, score.wasted_share,
      score.tier_violations);
  for (const auto& [name, class_score] : score.classes) {
    fmt::print(
        "  {:<18} {:>6} requests, attained {:.4f}, declined {:>5}, "
        "longest wait {:.2f} s\n",
        name.value, class_score.requests,
        Fraction(class_score.attained, class_score.requests),
        class_score.declined,
        std::chrono::duration<double>(class_score.max_wait).count());
  }
}

constexpr int kBadUsage = 2;
constexpr int kBadFile = 3;

int ReportFileError(const std::string& path, std::string_view why) {
  fmt::print(stderr, "policy_bench: {}: {}\n", path, why);
  return kBadFile;
}

int Main(int argc, char** argv) {
  Options options;
  if (const auto error_text = ParseOptions(argc, argv, options);
      !error_text.empty()) {
    fmt::print(stderr, "{}policy_bench: {}\n", kUsage, error_text);
    return kBadUsage;
  }
  const auto config_text = ReadFile(options.deployment);
  const auto workload_text = ReadFile(options.workload);
  if (!config_text || !workload_text) {
    return ReportFileError(config_text ? options.workload : options.deployment,
                           "can't be read");
  }
  const auto parsed = ParseConfiguration(*config_text);
  if (const auto* error = std::get_if<ConfigurationError>(&parsed)) {
    return ReportFileError(options.deployment, Describe(*error));
  }
  const auto parsed_workload = ParseWorkload(*workload_text);
  if (const auto* error = std::get_if<ConfigurationError>(&parsed_workload)) {
    return ReportFileError(options.workload, Describe(*error));
  }
  const auto& configuration = std::get<Configuration>(parsed);
  const auto& workload = std::get<Workload>(parsed_workload);
  if (const auto error = CheckWorkload(workload, configuration)) {
    return ReportFileError(options.workload, Describe(*error));
  }
  const auto trace = MakeTrace(workload, configuration, options.seed);
  const Score score =
      options.policy == "bound"
          ? ComputeUpperBound(workload, configuration, trace)
          : RunPolicy(*ParsePolicy(options.policy), workload, *config_text,
                      configuration, trace, options.seed);
  if (options.json) {
    PrintJson(options, workload, score);
  } else {
    PrintTable(options, workload, score);
  }
  return 0;
}

}  // namespace
}  // namespace pomeloring::bench

int main(int argc, char** argv) {
  return pomeloring::bench::Main(argc, argv);
}
