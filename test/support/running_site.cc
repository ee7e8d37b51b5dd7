#include "support/running_site.h"

#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "link/address.h"
#include "link/caller_api.h"
#include "link/event_stream.h"

namespace pomeloring::test {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::chrono::seconds kWaitTimeout{60};
constexpr char kAdminKey[] = "operators-key";

// A process has one site at a time, but several test processes may run in
// parallel, so each reserves its own range of ports. All ranges lie below the
// kernel's ephemeral ports, which outgoing connections use.
constexpr int kFirstPort = 12000;
constexpr int kPortsPerSite = 100;
constexpr int kMaxSites = 200;
constexpr int kReservationOffset = 99;

// Reserves a range of ports for the lifetime of the process by listening on the
// last port of the range.
class PortRange {
 public:
  PortRange() : m_reservation(m_context) {
    for (int i = 0; i < kMaxSites; ++i) {
      const int range_index = (getpid() + i) % kMaxSites;
      m_base = kFirstPort + range_index * kPortsPerSite;
      if (Reserve()) {
        return;
      }
    }
    throw std::runtime_error("all port ranges for test sites are in use");
  }

  int Base() const { return m_base; }

 private:
  bool Reserve() {
    boost::system::error_code error;
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::address_v4::loopback(),
        static_cast<uint16_t>(m_base + kReservationOffset));
    m_reservation.open(endpoint.protocol(), error);
    m_reservation.bind(endpoint, error);
    if (!error) {
      m_reservation.listen(1, error);
    }
    if (!error) {
      return true;
    }
    m_reservation.close(error);
    return false;
  }

  asio::io_context m_context;
  asio::ip::tcp::acceptor m_reservation;
  int m_base = 0;
};

int BasePort() {
  static const PortRange range_index;
  return range_index.Base();
}

std::string LowerCase(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

}  // namespace

HttpResponse Call(const HttpCall& call) {
  HttpResponse answer;
  asio::io_context context;
  beast::tcp_stream stream(context);
  const auto endpoint = ParseTcpAddress(call.address);
  boost::system::error_code error;
  stream.socket().connect(*endpoint, error);
  if (error) {
    return answer;
  }
  http::request<http::string_body> request{http::string_to_verb(call.method),
                                           call.target, 11};
  request.set(http::field::host, call.address);
  for (const auto& [name, value] : call.headers) {
    request.set(name, value);
  }
  request.keep_alive(false);
  request.body() = call.body;
  request.prepare_payload();
  http::write(stream, request, error);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  http::read(stream, buffer, parser, error);
  // The body is kept even if the reply was cut off, so that tests can check it.
  answer.body = parser.get().body();
  if (error) {
    return answer;
  }
  answer.status = parser.get().result_int();
  for (const auto& field : parser.get()) {
    answer.headers[LowerCase(std::string(field.name_string()))] =
        std::string(field.value());
  }
  return answer;
}

std::string SendRaw(const std::string& address, const std::string& bytes) {
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect(*ParseTcpAddress(address), error);
  asio::write(socket, asio::buffer(bytes), error);
  std::string answer;
  error.clear();
  asio::read(socket, asio::dynamic_buffer(answer), error);
  return answer;
}

RunningSite::RunningSite(RunningSiteOptions options)
    : m_options(std::move(options)),
      m_base_port(BasePort()),
      m_folder(fmt::format("{}/pomeloring-test-{}",
                           std::filesystem::temp_directory_path().string(),
                           getpid())) {
  std::filesystem::create_directories(m_folder);
  platform = std::make_unique<Process>(
      "pomeloring-standin-platform",
      std::vector<std::string>{"--address", PlatformAddress()});
  for (size_t i = 0; i < m_options.engines; ++i) {
    engines.push_back(std::make_unique<Process>(
        "pomeloring-standin-engine",
        std::vector<std::string>{
            "--address", EngineAddress(i), "--step_ms=" + m_options.step_ms,
            fmt::format("--checks_fencing={}", ChecksFencing(i) ? 1 : 0)}));
  }
  for (size_t i = 0; i < m_options.ledgers; ++i) {
    ledgers.push_back(std::make_unique<Process>(
        "pomeloring-standin-plain",
        std::vector<std::string>{"--address", LedgerAddress(i)}));
  }
  nodes.resize(m_options.instances);
  for (size_t i = 0; i < m_options.instances; ++i) {
    StartInstance(i);
  }
  WriteConfig();
}

RunningSite::~RunningSite() {
  nodes.clear();
  engines.clear();
  ledgers.clear();
  platform.reset();
  std::filesystem::remove_all(m_folder);
}

std::string RunningSite::Address(int offset) const {
  return fmt::format("127.0.0.1:{}", m_base_port + offset);
}
std::string RunningSite::CallerAddress(size_t instance) const {
  return Address(static_cast<int>(instance));
}
std::string RunningSite::AdminAddress(size_t instance) const {
  return Address(10 + static_cast<int>(instance));
}
std::string RunningSite::EngineAddress(size_t engine) const {
  return Address(40 + static_cast<int>(engine));
}
std::string RunningSite::LedgerAddress(size_t ledger) const {
  return Address(60 + static_cast<int>(ledger));
}
std::string RunningSite::PlatformAddress() const {
  return Address(80);
}

void RunningSite::StartInstance(size_t instance) {
  json::array peers;
  for (size_t i = 0; i < m_options.instances; ++i) {
    peers.emplace_back(Address(30 + static_cast<int>(i)));
  }
  const json::object settings{
      {"name", fmt::format("entry-{}", instance)},
      {"failure_domain", fmt::format("domain-{}", instance)},
      {"caller_address", CallerAddress(instance)},
      {"admin_address", AdminAddress(instance)},
      {"link_address", Address(20 + static_cast<int>(instance))},
      {"probe_address", Address(30 + static_cast<int>(instance))},
      {"admin_key_sha256", Sha256Hex(kAdminKey)},
      {"platform_address", PlatformAddress()},
      {"keep_addresses_s", 1},
      {"peers", peers}};
  const std::string path = fmt::format("{}/node-{}.json", m_folder, instance);
  std::ofstream(path) << json::serialize(settings);
  nodes[instance] = std::make_unique<Process>(
      "pomeloring-node", std::vector<std::string>{"--settings", path});
}

void RunningSite::WriteConfig() const {
  const auto upstreams = [](const std::string& prefix, size_t count,
                            const auto& address_of) {
    json::array list;
    for (size_t i = 0; i < count; ++i) {
      list.push_back(json::object{{"name", fmt::format("{}-{}", prefix, i)},
                                  {"address", address_of(i)},
                                  {"failure_domain", "domain-0"},
                                  {"checks_fencing", ChecksFencing(i)},
                                  {"slots", 16}});
    }
    return list;
  };
  const json::object config{
      {"services",
       json::array{
           json::object{{"name", "model"},
                        {"kind", "model"},
                        {"models", json::array{"cask-7b"}},
                        {"takes_orders", true},
                        {"adapters", json::array{m_adapter}},
                        {"upstreams", upstreams("engine", m_options.engines,
                                                [&](size_t i) {
                                                  return EngineAddress(i);
                                                })}},
           json::object{{"name", "ledger"},
                        {"kind", "plain"},
                        {"path_prefix", "/ledger"},
                        {"upstreams", upstreams("ledger", m_options.ledgers,
                                                [&](size_t i) {
                                                  return LedgerAddress(i);
                                                })}}}},
      {"classes", json::array{json::object{{"name", "stamp"},
                                           {"service", "ledger"},
                                           {"tier", 1},
                                           {"answer_ms", 2000},
                                           {"idempotent", false},
                                           {"when_late", "serve"}},
                              json::object{{"name", "question"},
                                           {"service", "model"},
                                           {"tier", 2},
                                           {"first_token_ms", 20000},
                                           {"between_tokens_ms", 1000}},
                              json::object{{"name", "history"},
                                           {"service", "model"},
                                           {"tier", 5},
                                           {"answer_ms", 600000},
                                           {"when_late", "serve"}}}},
      {"accounts", json::array{json::object{
                       {"name", "one"}, {"key_sha256", Sha256Hex("key")}}}}};
  std::ofstream(ConfigPath()) << json::serialize(config);
}

void RunningSite::WaitUntil(const std::function<bool()>& done,
                            std::source_location where) {
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) {
      throw std::runtime_error(fmt::format("waited for too long at {}:{}",
                                           where.file_name(), where.line()));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

bool RunningSite::ListsEntries(size_t instance, size_t count) const {
  const HttpResponse answer =
      Call({.address = CallerAddress(instance), .target = "/v1/entries"});
  size_t known = 0;
  for (size_t at = answer.body.find("\"address\""); at != std::string::npos;
       at = answer.body.find("\"address\"", at + 1)) {
    ++known;
  }
  return known == count;
}

int RunningSite::PublishAdapter(const std::string& adapter,
                                const std::string& base) {
  m_adapter = adapter;
  WriteConfig();
  return RunProgram("pomeloring-ctl",
                    {"--platform", PlatformAddress(), "publish", ConfigPath(),
                     "--base", base});
}

bool RunningSite::OrdersContain(size_t engine, const std::string& text) const {
  const HttpResponse state =
      Call({.address = EngineAddress(engine), .target = "/orders"});
  return state.body.find(text) != std::string::npos;
}

void RunningSite::CheckRunning() const {
  const auto check = [](std::string_view kind, const auto& processes) {
    for (size_t i = 0; i < processes.size(); ++i) {
      const auto end = processes[i] ? processes[i]->TryWait() : std::nullopt;
      if (end) {
        throw std::runtime_error(fmt::format(
            "{} {} has exited with {} during the start", kind, i, *end));
      }
    }
  };
  check("instance", nodes);
  check("engine", engines);
  check("ledger", ledgers);
  if (const auto end = platform->TryWait()) {
    throw std::runtime_error(
        fmt::format("the platform has exited with {} during the start", *end));
  }
}

void RunningSite::PublishAndWait() {
  WaitUntil([&] {
    CheckRunning();
    return Call({.address = PlatformAddress(),
                 .target = "/api/log-newest?topic=keyed.status&part=0"})
               .status == 200;
  });
  const int published =
      RunProgram("pomeloring-ctl", {"--platform", PlatformAddress(), "publish",
                                    ConfigPath(), "--base", "0"});
  if (published != 0) {
    throw std::runtime_error(
        fmt::format("the publication ended with {}", published));
  }
  for (size_t i = 0; i < m_options.instances; ++i) {
    WaitUntil([&] {
      CheckRunning();
      return Call({.address = AdminAddress(i), .target = "/readyz"}).status ==
                 200 &&
             ListsEntries(i, m_options.instances);
    });
  }
  for (size_t i = 0; i < m_options.engines; ++i) {
    WaitUntil([&] {
      CheckRunning();
      return Call({.address = EngineAddress(i), .target = "/health"}).status ==
             200;
    });
  }
  for (size_t i = 0; i < m_options.ledgers; ++i) {
    WaitUntil([&] {
      CheckRunning();
      return Call({.address = LedgerAddress(i), .target = "/health"}).status ==
             200;
    });
  }
}

HttpResponse RunningSite::SendQuestion(size_t instance,
                                       const std::string& question,
                                       int tokens,
                                       bool stream) const {
  const json::object body{
      {"model", "cask-7b"},
      {"stream", stream},
      {"max_tokens", tokens},
      {"messages",
       json::array{json::object{{"role", "user"}, {"content", question}}}}};
  return Call({.address = CallerAddress(instance),
               .method = "POST",
               .target = "/v1/chat/completions",
               .headers = {{"Authorization", "Bearer key"},
                           {"Pomeloring-Class", "question"}},
               .body = json::serialize(body)});
}

HttpResponse RunningSite::PostStamp(size_t instance,
                                    const std::string& body,
                                    const std::string& key) const {
  std::vector<std::pair<std::string, std::string>> headers = {
      {"Authorization", "Bearer key"}};
  if (!key.empty()) {
    headers.emplace_back("Idempotency-Key", key);
  }
  return Call({.address = CallerAddress(instance),
               .method = "POST",
               .target = "/ledger/stamps",
               .headers = headers,
               .body = body});
}

std::string RunningSite::KeyPrefix(size_t instance) const {
  const HttpResponse answer =
      Call({.address = CallerAddress(instance), .target = "/v1/entries"});
  const json::value value = json::parse(answer.body);
  for (const json::value& entry : value.at("entries").as_array()) {
    if (entry.at("address").as_string() == CallerAddress(instance)) {
      return std::string(entry.at("key_prefix").as_string());
    }
  }
  return {};
}

void RunningSite::PostControl(const std::string& address,
                              const std::string& control) const {
  Call({.address = address,
        .method = "POST",
        .target = "/control",
        .body = control});
}

std::string RunningSite::FetchCounts(const std::string& address) const {
  return Call({.address = address, .target = "/counts"}).body;
}

int64_t RunningSite::FetchCount(const std::string& address,
                                const std::string& field) const {
  json::error_code error;
  const json::value counts = json::parse(FetchCounts(address), error);
  const json::value* value =
      counts.is_object() ? counts.get_object().if_contains(field) : nullptr;
  return value != nullptr && value->is_int64() ? value->get_int64() : -1;
}

std::optional<size_t> RunningSite::SchedulerOf(
    const std::string& service) const {
  for (size_t i = 0; i < m_options.instances; ++i) {
    const HttpResponse answer = Call(
        {.address = AdminAddress(i),
         .target = "/v1/cells",
         .headers = {{"Authorization", std::string("Bearer ") + kAdminKey}}});
    if (answer.status != 200) {
      continue;
    }
    const json::value value = json::parse(answer.body);
    for (const json::value& cell : value.at("cells").as_array()) {
      const std::string_view name = cell.at("cell").as_string();
      if (name.starts_with(service + "/") &&
          cell.at("is_scheduler").as_bool()) {
        return i;
      }
    }
  }
  return std::nullopt;
}

StreamContent ParseStream(const std::string& body) {
  StreamContent streamed;
  EventStreamReader reader;
  for (const std::string& event : reader.Feed(body)) {
    if (event == "[DONE]") {
      streamed.is_complete = true;
      continue;
    }
    const json::value value = json::parse(event);
    if (const auto token = ParseCompletionToken(value.as_object())) {
      streamed.text += token->text;
    }
  }
  return streamed;
}

}  // namespace pomeloring::test
