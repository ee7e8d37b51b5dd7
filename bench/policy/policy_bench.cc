// Measures a policy on a workload in virtual time.

#include <fmt/format.h>
#include <getopt.h>

#include <boost/json.hpp>
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

bool ParseOptions(int argc, char** argv, Options& options) {
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
      case 's':
        options.seed = std::strtoull(optarg, nullptr, 10);
        break;
      case 'j':
        options.json = true;
        break;
      default:
        return false;
    }
  }
  const bool is_known =
      options.policy == "bound" || ParsePolicy(options.policy).has_value();
  return !options.deployment.empty() && !options.workload.empty() && is_known;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

double Share(size_t part, size_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

void PrintJson(const Options& options,
               const Workload& workload,
               const Score& score) {
  json::object classes;
  for (const auto& [name, of_class] : score.classes) {
    classes[name.value] = json::object{
        {"requests", of_class.requests},
        {"attainment", Share(of_class.attained, of_class.requests)},
        {"answered", of_class.answered},
        {"declined", of_class.declined},
        {"longest_wait_s",
         std::chrono::duration<double>(of_class.longest_wait).count()}};
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
  for (const auto& [name, of_class] : score.classes) {
    fmt::print(
        "  {:<18} {:>6} requests, attained {:.4f}, declined {:>5}, "
        "longest wait {:.2f} s\n",
        name.value, of_class.requests,
        Share(of_class.attained, of_class.requests), of_class.declined,
        std::chrono::duration<double>(of_class.longest_wait).count());
  }
}

int Main(int argc, char** argv) {
  Options options;
  if (!ParseOptions(argc, argv, options)) {
    fmt::print(stderr, "{}", kUsage);
    return 2;
  }
  const std::string config_text = ReadFile(options.deployment);
  const auto parsed = ParseConfiguration(config_text);
  if (const auto* error = std::get_if<ConfigurationError>(&parsed)) {
    fmt::print(stderr, "{}: {}\n", options.deployment, Describe(*error));
    return 3;
  }
  const auto parsed_workload = ParseWorkload(ReadFile(options.workload));
  if (const auto* error = std::get_if<ConfigurationError>(&parsed_workload)) {
    fmt::print(stderr, "{}: {}\n", options.workload, Describe(*error));
    return 3;
  }
  const auto& configuration = std::get<Configuration>(parsed);
  const auto& workload = std::get<Workload>(parsed_workload);
  const auto trace = MakeTrace(workload, configuration, options.seed);
  const Score score =
      options.policy == "bound"
          ? MakeBound(workload, configuration, trace)
          : RunPolicy(*ParsePolicy(options.policy), workload, config_text,
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
