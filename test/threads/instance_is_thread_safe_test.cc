#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <thread>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

constexpr int kCallerThreads = 4;
constexpr int kRequestsPerThread = 400;
constexpr Duration kTick = milliseconds(1);

Member MemberNamed(const std::string& name, uint64_t incarnation) {
  Member member;
  member.name.value = name;
  member.incarnation = Incarnation{incarnation};
  member.probe_address = "10.0.0." + std::to_string(incarnation) + ":1";
  member.link_address = member.probe_address;
  return member;
}

// An instance that gets requests, ticks, log records and datagrams from
// separate threads, as in the daemon. Each tick advances the time.
class SharedInstance {
 public:
  SharedInstance() {
    auto built = InstanceBuilder().WithSelf(MemberNamed("entry-1", 1)).Build();
    m_instance = std::get<std::unique_ptr<Instance>>(std::move(built));
    const std::string text = WithOrders(SmallConfig(4, 2, 8), 4, "karst");
    Append(PublishRecord{"p1", Revision{0}, text, ""});
  }

  Time Now() const { return Time{Duration{m_now.load()}}; }

  void Append(const ConfigRecord& record) {
    const LogOffset offset{m_next_offset++};
    Perform(m_instance->HandleLogRead(LogStream::kConfiguration,
                                      {{offset, EncodeConfigRecord(record)}},
                                      LogOffset{1}, true, Now()));
  }

  void Submit(int thread, int number) {
    static constexpr std::string_view kClasses[] = {"stamp", "question", "tag",
                                                    "history"};
    CallerRequest request;
    request.id = m_instance->NextRequestId();
    request.request_class.value = std::string(kClasses[number % 4]);
    request.account.value = "one";
    request.body_hash = static_cast<uint64_t>(number);
    if (number % 4 == 0) {
      // Two threads of a pair send the same keys.
      request.key = fmt::format("{:016x}.{}-{}", 1, thread / 2, number);
    }
    ++m_submitted;
    Perform(m_instance->HandleCallerRequest(request, Now()));
  }

  void Tick() {
    m_now += kTick.count();
    Perform(m_instance->HandleTick(Now()));
  }

  void ReceiveUpdate(uint64_t incarnation, MemberStatus status) {
    MembershipMessage message;
    message.sender = MemberNamed("entry-2", 2);
    message.updates = {MemberNamed("entry-3", incarnation)};
    message.updates[0].status = status;
    Perform(m_instance->HandleDatagram("10.0.0.2:1", message, Now()));
  }

  void ReadStatus() {
    m_instance->View();
    m_instance->Cells(Now());
    m_instance->Engines();
    m_instance->KnownMembers();
    m_instance->InFlight();
    m_instance->EventTimeline().Events();
  }

  // Whether the cells' replicas have the same leaving flags as the view.
  bool CellsMatchView() const {
    const auto view = m_instance->View();
    for (const CellSummary& cell : m_instance->Cells(Now())) {
      for (const ReplicaSummary& replica : cell.replicas) {
        if (replica.leaving != view->leaving.contains(replica.upstream)) {
          return false;
        }
      }
    }
    return true;
  }

  int Submitted() const { return m_submitted; }
  int Finished() const { return m_finished; }
  bool IsDone() const { return m_finished >= m_submitted; }
  size_t InFlight() const { return m_instance->InFlight(); }

 private:
  void Perform(const Actions& actions) {
    for (const Action& action : actions) {
      if (const auto* start = std::get_if<StartUpstreamAttempt>(&action)) {
        RunAttempt(*start);
      } else if (std::holds_alternative<FinishRequest>(action)) {
        ++m_finished;
      } else if (const auto* engine = std::get_if<CallEngine>(&action)) {
        Answer(*engine);
      }
    }
  }

  void RunAttempt(const StartUpstreamAttempt& start) {
    Perform(m_instance->HandleFirstToken(start.attempt, Now()));
    Perform(m_instance->HandleAttemptEnded(start.attempt, AttemptAnswered{}, 3,
                                           Now()));
  }

  void Answer(const CallEngine& engine) {
    if (engine.call.order) {
      Perform(m_instance->HandleOrderEnded(*engine.call.order, OrderAccepted{},
                                           Now()));
    } else {
      Perform(m_instance->HandleEngineRead(engine.call.upstream, std::nullopt,
                                           Now()));
    }
  }

  std::unique_ptr<Instance> m_instance;
  std::atomic<int64_t> m_now{1'000'000'000};
  std::atomic<int> m_submitted{0};
  std::atomic<int> m_finished{0};
  uint64_t m_next_offset = 1;
};

TEST_CASE("every request from concurrent threads is finished exactly once") {
  SharedInstance shared;
  std::atomic<bool> stop{false};
  std::vector<std::thread> others;
  others.emplace_back([&] {
    while (!stop) {
      shared.Tick();
    }
  });
  others.emplace_back([&] {
    for (uint64_t i = 0; !stop; ++i) {
      const auto state =
          i % 2 == 0 ? MarkState::kLeaving : MarkState::kInService;
      shared.Append(MarkRecord{"engine-1", state});
      std::this_thread::yield();
    }
  });
  others.emplace_back([&] {
    for (uint64_t i = 3; !stop; ++i) {
      shared.ReceiveUpdate(i, MemberStatus::kAlive);
      shared.ReceiveUpdate(i, MemberStatus::kLeft);
    }
  });
  others.emplace_back([&] {
    while (!stop) {
      shared.ReadStatus();
    }
  });
  std::vector<std::thread> callers;
  for (int thread = 0; thread < kCallerThreads; ++thread) {
    callers.emplace_back([&shared, thread] {
      for (int i = 0; i < kRequestsPerThread; ++i) {
        shared.Submit(thread, i);
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  while (!shared.IsDone()) {
    std::this_thread::yield();
  }
  stop = true;
  for (std::thread& other : others) {
    other.join();
  }
  CHECK(shared.Submitted() == kCallerThreads * kRequestsPerThread);
  CHECK(shared.Finished() == shared.Submitted());
  CHECK(shared.InFlight() == 0);
  CHECK(shared.CellsMatchView());
}

}  // namespace
}  // namespace pomeloring::test
