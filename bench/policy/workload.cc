#include "policy/workload.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <random>

#include "core/json_reader.h"

namespace pomeloring::bench {
namespace {

namespace json = boost::json;

double NumberOf(const json::value* value, double fallback) {
  return value != nullptr && value->is_number() ? value->to_number<double>()
                                                : fallback;
}

Duration SecondsOf(double value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(value));
}

LogNormal ReadLogNormal(JsonReader& reader, std::string_view field) {
  LogNormal result;
  std::optional<JsonReader> object = reader.Object(field);
  if (object) {
    result.median = NumberOf(object->Raw("median"), 1);
    result.sigma = NumberOf(object->Raw("sigma"), 0);
    result.max_value = NumberOf(object->Raw("most"), 1e9);
    object->Finish();
  }
  return result;
}

std::vector<LoadPoint> ReadLoad(JsonReader& reader) {
  std::vector<LoadPoint> load;
  const json::value* points = reader.Raw("load");
  if (points == nullptr || !points->is_array()) {
    reader.Fail(WrongType{reader.PathOf("load"), "a list of [second, share]"});
    return load;
  }
  for (const json::value& point : points->get_array()) {
    const json::array* pair = point.if_array();
    if (pair == nullptr || pair->size() != 2) {
      reader.Fail(WrongType{reader.PathOf("load"), "[second, share] each"});
      return load;
    }
    load.push_back(
        {SecondsOf(NumberOf(&(*pair)[0], 0)), NumberOf(&(*pair)[1], 0)});
  }
  return load;
}

ClassWorkload ReadClass(JsonReader& reader) {
  ClassWorkload class_workload;
  class_workload.name.value = reader.String("class");
  class_workload.load = ReadLoad(reader);
  class_workload.output_tokens = ReadLogNormal(reader, "output_tokens");
  class_workload.prompt_tokens = ReadLogNormal(reader, "prompt_tokens");
  class_workload.plain_ms = ReadLogNormal(reader, "plain_ms");
  class_workload.prefix_tokens =
      static_cast<uint32_t>(reader.Int("prefix_tokens", 0, 0, 1'000'000));
  class_workload.prefixes =
      static_cast<uint32_t>(reader.Int("prefixes", 0, 0, 1'000'000));
  for (std::string& account : reader.Strings("accounts")) {
    class_workload.accounts.push_back({std::move(account)});
  }
  class_workload.weight = NumberOf(reader.Raw("weight"), 1);
  reader.Finish();
  return class_workload;
}

Fault ReadFault(JsonReader& reader) {
  static const std::map<std::string, FaultKind> kKinds = {
      {"straggler", FaultKind::kStraggler},
      {"engine-crash", FaultKind::kEngineCrash},
      {"instance-crash", FaultKind::kInstanceCrash},
      {"instance-pause", FaultKind::kInstancePause},
      {"platform-outage", FaultKind::kPlatformOutage}};
  Fault fault;
  const auto kind = kKinds.find(reader.String("kind"));
  if (kind == kKinds.end()) {
    reader.Fail(OutOfRange{reader.PathOf("kind"), "a kind of fault"});
  } else {
    fault.kind = kind->second;
  }
  fault.at = SecondsOf(NumberOf(reader.Raw("at_s"), 0));
  fault.length = SecondsOf(NumberOf(reader.Raw("for_s"), 0));
  fault.factor = NumberOf(reader.Raw("factor"), 1);
  fault.target = reader.String("target", false);
  reader.Finish();
  return fault;
}

EngineSpeed ReadSpeed(JsonReader& reader) {
  EngineSpeed speed;
  std::optional<JsonReader> engine = reader.Object("engine");
  if (!engine) {
    return speed;
  }
  speed.step = SecondsOf(NumberOf(engine->Raw("step_ms"), 4) / 1000);
  speed.step_per_sequence =
      SecondsOf(NumberOf(engine->Raw("step_per_sequence_ms"), 0.5) / 1000);
  speed.prefill_us_per_token =
      NumberOf(engine->Raw("prefill_us_per_token"), 60);
  speed.cached_prefixes =
      static_cast<size_t>(engine->Int("cached_prefixes", 8, 0, 100'000));
  engine->Finish();
  return speed;
}

double Mean(const LogNormal& of) {
  return std::min(of.max_value, of.median * std::exp(of.sigma * of.sigma / 2));
}

class TraceMaker {
 public:
  TraceMaker(const Workload& workload,
             const Configuration& configuration,
             uint64_t seed)
      : m_workload(workload), m_configuration(configuration), m_random(seed) {}

  std::vector<TracedRequest> Make() {
    for (const ClassWorkload& class_workload : m_workload.classes) {
      AddClass(class_workload);
    }
    std::stable_sort(m_trace.begin(), m_trace.end(),
                     [](const TracedRequest& a, const TracedRequest& b) {
                       return a.at < b.at;
                     });
    for (size_t i = 0; i < m_trace.size(); ++i) {
      m_trace[i].job.request = i;
    }
    return std::move(m_trace);
  }

 private:
  double Sample(const LogNormal& of) {
    std::normal_distribution<double> normal(0, 1);
    const double value = of.median * std::exp(of.sigma * normal(m_random));
    return std::clamp(value, 1.0, of.max_value);
  }

  // Requests per second at a load of 1, which fills the service's capacity.
  double FullRate(const ClassWorkload& class_workload, const Service& service) {
    double slots = 0;
    for (const Upstream& upstream : service.upstreams) {
      slots += upstream.slots;
    }
    if (service.kind == ServiceKind::kPlain) {
      return slots / (Mean(class_workload.plain_ms) / 1000);
    }
    Duration min_target{0};
    for (const auto& [name, other] : m_configuration.classes) {
      if (other.service == service.name &&
          other.between_tokens_target > Duration{0}) {
        min_target = other.between_tokens_target;
      }
    }
    // Prefill delays all sequences of a batch, so its time adds up.
    EngineSpeed speed = m_workload.speed;
    speed.max_running = service.upstreams.front().slots;
    const double engine_seconds =
        Mean(class_workload.output_tokens) / TokenRate(speed, min_target) +
        speed.prefill_us_per_token * Mean(class_workload.prompt_tokens) / 1e6;
    return static_cast<double>(service.upstreams.size()) / engine_seconds;
  }

  void AddClass(const ClassWorkload& class_workload) {
    const RequestClass& config_class =
        m_configuration.classes.at(class_workload.name);
    const Service& service = m_configuration.services.at(config_class.service);
    const double full_rate = FullRate(class_workload, service);
    for (size_t i = 0; i < class_workload.load.size(); ++i) {
      const Duration end = i + 1 < class_workload.load.size()
                               ? class_workload.load[i + 1].at
                               : m_workload.length;
      const double rate = full_rate * class_workload.load[i].share;
      AddInterval(class_workload, config_class, service,
                  class_workload.load[i].at, end, rate);
    }
  }

  void AddInterval(const ClassWorkload& class_workload,
                   const RequestClass& config_class,
                   const Service& service,
                   Duration begin,
                   Duration end,
                   double rate) {
    if (rate <= 0) {
      return;
    }
    std::exponential_distribution<double> gap(rate);
    for (Duration at = begin + SecondsOf(gap(m_random)); at < end;
         at += SecondsOf(gap(m_random))) {
      TracedRequest request;
      request.at = at;
      request.request_class = &config_class;
      request.weight = class_workload.weight;
      request.is_plain = service.kind == ServiceKind::kPlain;
      request.is_scored = at >= m_workload.warm_up;
      request.account =
          class_workload.accounts[m_random() % class_workload.accounts.size()];
      request.job = MakeJob(class_workload, config_class);
      m_trace.push_back(std::move(request));
    }
  }

  Job MakeJob(const ClassWorkload& class_workload,
              const RequestClass& config_class) {
    Job job;
    job.tier = config_class.tier;
    job.output_tokens =
        static_cast<uint32_t>(Sample(class_workload.output_tokens));
    job.prompt_tokens =
        static_cast<uint32_t>(Sample(class_workload.prompt_tokens)) +
        class_workload.prefix_tokens;
    job.prefix_tokens = class_workload.prefix_tokens;
    job.plain_time = SecondsOf(Sample(class_workload.plain_ms) / 1000);
    if (class_workload.prefixes > 0) {
      const std::string name =
          class_workload.name.value +
          std::to_string(m_random() % class_workload.prefixes);
      job.prefix = StableHash(name);
    }
    return job;
  }

  const Workload& m_workload;
  const Configuration& m_configuration;
  std::mt19937_64 m_random;
  std::vector<TracedRequest> m_trace;
};

}  // namespace

std::variant<Workload, ConfigurationError> ParseWorkload(
    std::string_view text) {
  const auto parsed = ParseJsonText(text);
  if (const auto* malformed = std::get_if<MalformedJson>(&parsed)) {
    return *malformed;
  }
  std::optional<ConfigurationError> error;
  JsonReader reader(std::get<json::value>(parsed), "", error);
  Workload workload;
  workload.name = reader.String("name");
  workload.length = SecondsOf(NumberOf(reader.Raw("length_s"), 60));
  workload.warm_up = SecondsOf(NumberOf(reader.Raw("warm_up_s"), 5));
  workload.report_lag = SecondsOf(NumberOf(reader.Raw("report_lag_s"), 0.5));
  workload.report_loss = NumberOf(reader.Raw("report_loss"), 0);
  workload.speed = ReadSpeed(reader);
  for (JsonReader& class_workload : reader.Objects("classes")) {
    workload.classes.push_back(ReadClass(class_workload));
  }
  for (JsonReader& fault : reader.Objects("faults")) {
    workload.faults.push_back(ReadFault(fault));
  }
  reader.Finish();
  if (error) {
    return std::move(*error);
  }
  return workload;
}

double TokenRate(const EngineSpeed& speed, Duration target) {
  double best = 0;
  for (size_t batch = 1; batch <= speed.max_running; ++batch) {
    const Duration step =
        speed.step + speed.step_per_sequence * static_cast<int64_t>(batch);
    if (target > Duration{0} && step > target) {
      break;
    }
    best = std::max(best, static_cast<double>(batch) /
                              std::chrono::duration<double>(step).count());
  }
  return best;
}

std::optional<ConfigurationError> CheckWorkload(
    const Workload& workload,
    const Configuration& configuration) {
  for (const ClassWorkload& class_workload : workload.classes) {
    if (!configuration.classes.contains(class_workload.name)) {
      return UnknownReference{"classes.class", class_workload.name.value};
    }
    for (const AccountName& account : class_workload.accounts) {
      if (!configuration.accounts.contains(account)) {
        return UnknownReference{"classes.accounts", account.value};
      }
    }
  }
  return std::nullopt;
}

std::vector<TracedRequest> MakeTrace(const Workload& workload,
                                     const Configuration& configuration,
                                     uint64_t seed) {
  return TraceMaker(workload, configuration, seed).Make();
}

}  // namespace pomeloring::bench
