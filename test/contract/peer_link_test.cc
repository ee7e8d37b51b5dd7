#include <doctest/doctest.h>

#include <condition_variable>
#include <future>
#include <thread>

#include "link/codec.h"
#include "link/generated/pomeloring.pb.h"
#include "link/peer_link.h"
#include "support/scripted_server.h"

namespace pomeloring::test {
namespace {

constexpr std::chrono::seconds kWaitTimeout{30};
const AttemptId kAttempt{{Incarnation{7}, 9}, 2};

// One endpoint of a link, which records what it receives.
class LinkEndpoint {
 public:
  explicit LinkEndpoint(const std::string& name, const std::string& address) {
    PeerLinkHandlers handlers;
    handlers.on_messages = [this](const InstanceName& from,
                                  std::vector<SlotMessage> messages,
                                  HybridTime stamp) {
      const std::lock_guard lock(m_mutex);
      last_from = from;
      last_stamp = stamp;
      for (SlotMessage& message : messages) {
        m_messages.push_back(std::move(message));
      }
      m_changed.notify_all();
      return SlotReplies{std::exchange(replies, {}), {200, 1}};
    };
    handlers.configuration = [this] { return configuration; };
    handlers.on_configuration = [this](ConfigInForce state) {
      const std::lock_guard lock(m_mutex);
      m_fetched = std::move(state);
      m_changed.notify_all();
    };
    auto started = StartPeerLink({name}, address, std::move(handlers));
    link = std::get<std::unique_ptr<PeerLink>>(std::move(started));
  }
  ~LinkEndpoint() { link->Shutdown(); }

  std::vector<SlotMessage> WaitForMessages(size_t count) {
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, kWaitTimeout,
                       [&] { return m_messages.size() >= count; });
    return m_messages;
  }

  std::optional<ConfigInForce> WaitForConfiguration() {
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, kWaitTimeout,
                       [&] { return m_fetched.has_value(); });
    return m_fetched;
  }

  std::unique_ptr<PeerLink> link;
  std::optional<ConfigInForce> configuration;
  std::vector<SlotMessage> replies;  // Returned for the next messages.
  InstanceName last_from;
  HybridTime last_stamp;

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<SlotMessage> m_messages;
  std::optional<ConfigInForce> m_fetched;
};

std::string Encoded(const SlotMessage& message) {
  wire::SlotMessage out;
  Encode(message, out);
  return out.SerializeAsString();
}

std::vector<SlotMessage> OneOfEach() {
  return {SlotRequest{kAttempt,
                      {"model//0"},
                      {"question"},
                      {"one"},
                      milliseconds(900),
                      milliseconds(7),
                      0xFFFFFFFFFFFFFFFFULL,
                      {{"engine-1"}}},
          Queued{kAttempt, {"model//0"}},
          Granted{kAttempt, {"model//0"}, {"engine-2"}},
          Declined{kAttempt, DeclineReason::kTooLate, seconds(3)},
          Withdraw{kAttempt, {"model//0"}},
          SlotReport{kAttempt,
                     {"model//0"},
                     {"engine-2"},
                     SlotOutcome::kFailed,
                     milliseconds(30),
                     seconds(2),
                     17},
          RunningSlots{{"model//0"}, 0xFFFFFFFFU, {{1, 3}, {63, 1}}},
          SchedulerProbe{},
          SchedulerAlive{}};
}

TEST_CASE("every kind of message arrives unchanged and in order") {
  const std::string address = ClosedAddress();
  LinkEndpoint to("to", address);
  LinkEndpoint from("from", ClosedAddress());
  const std::vector<SlotMessage> sent = OneOfEach();
  CHECK(sent.size() == std::variant_size_v<SlotMessage>);
  for (size_t i = 0; i < sent.size(); ++i) {
    from.link->Send(address, sent[i], {100, 3});
    // Concurrent calls may arrive in any order, so wait for each message.
    const std::vector<SlotMessage> received = to.WaitForMessages(i + 1);
    REQUIRE(received.size() == i + 1);
    CHECK(Encoded(received[i]) == Encoded(sent[i]));
  }
  CHECK(to.last_from.value == "from");
  CHECK(to.last_stamp == HybridTime{100, 3});
}

TEST_CASE("messages that a handler returns are sent in the reply to the call") {
  const std::string address = ClosedAddress();
  LinkEndpoint to("to", address);
  LinkEndpoint from("from", ClosedAddress());
  const SlotMessage granted = Granted{kAttempt, {"model//0"}, {"engine-2"}};
  to.replies = {granted};
  from.link->Send(address, SlotRequest{kAttempt, {"model//0"}}, {100, 3});
  const std::vector<SlotMessage> received = from.WaitForMessages(1);
  REQUIRE(received.size() == 1);
  CHECK(Encoded(received[0]) == Encoded(granted));
  CHECK(from.last_from.value == "to");
  CHECK(from.last_stamp == HybridTime{200, 1});
}

TEST_CASE("a deferred message waits for a call or a second deferred message") {
  const std::string address = ClosedAddress();
  LinkEndpoint to("to", address);
  LinkEndpoint from("from", ClosedAddress());
  const SlotMessage running = RunningSlots{{"model//0"}, 1, {{1, 3}}};
  from.link->SendDeferred(address, running, {});
  from.link->Send(address, SchedulerProbe{}, {});
  CHECK(to.WaitForMessages(2).size() == 2);
  from.link->SendDeferred(address, running, {});
  from.link->SendDeferred(address, running, {});
  CHECK(to.WaitForMessages(4).size() == 4);
}

TEST_CASE("a burst arrives completely") {
  const std::string address = ClosedAddress();
  LinkEndpoint to("to", address);
  LinkEndpoint from("from", ClosedAddress());
  constexpr size_t kBurst = 2000;
  for (size_t i = 0; i < kBurst; ++i) {
    from.link->Send(address, Withdraw{{{Incarnation{1}, i}, 1}, {"c"}}, {});
  }
  CHECK(to.WaitForMessages(kBurst).size() == kBurst);
}

TEST_CASE("messages reach a peer that starts after the sender") {
  const std::string address = ClosedAddress();
  LinkEndpoint from("from", ClosedAddress());
  from.link->Send(address, SchedulerProbe{}, {});
  LinkEndpoint to("to", address);
  for (int i = 0; i < 300 && to.WaitForMessages(0).empty(); ++i) {
    from.link->Send(address, SchedulerProbe{}, {});
    std::this_thread::sleep_for(milliseconds(100));
  }
  CHECK_FALSE(to.WaitForMessages(1).empty());
}

TEST_CASE("an unresponsive peer delays neither other peers nor shutdown") {
  ScriptedServer silent(
      {{.reply = "", .stays_open = true}, {.reply = "", .stays_open = true}});
  const std::string address = ClosedAddress();
  LinkEndpoint to("to", address);
  {
    LinkEndpoint from("from", ClosedAddress());
    from.link->Send(silent.Address(), SchedulerProbe{}, {});
    from.link->Send(address, SchedulerProbe{}, {});
    CHECK(to.WaitForMessages(1).size() == 1);
  }
}

// A handler of which each copy takes long to release on the link's threads.
class SlowToRelease {
 public:
  explicit SlowToRelease(std::promise<void>& called)
      : m_called(&called), m_made_by(std::this_thread::get_id()) {}
  SlowToRelease(const SlowToRelease&) = default;
  SlowToRelease& operator=(const SlowToRelease&) = default;
  ~SlowToRelease() {
    if (std::this_thread::get_id() != m_made_by) {
      std::this_thread::sleep_for(milliseconds(1500));
    }
  }
  void operator()(const ConfigInForce&) const { m_called->set_value(); }
  long Copies() const { return m_token.use_count(); }

 private:
  std::promise<void>* m_called;
  std::thread::id m_made_by;
  std::shared_ptr<int> m_token = std::make_shared<int>(0);
};

// What a callback refers to after the shutdown may be the last channel: gRPC
// then destroys the completion queue on the thread that polls it, and aborts.
TEST_CASE("callbacks refer to nothing of the link once it has shut down") {
  const std::string address = ClosedAddress();
  auto to = std::make_unique<LinkEndpoint>("to", address);
  to->configuration.emplace();
  to->configuration->revision = Revision{7};
  to->configuration->text = R"({"services":[]})";
  std::promise<void> called;
  const SlowToRelease handler(called);
  {
    auto started =
        StartPeerLink({"from"}, ClosedAddress(),
                      {[](const InstanceName&, const std::vector<SlotMessage>&,
                          HybridTime) { return SlotReplies(); },
                       [] { return std::optional<ConfigInForce>(); }, handler});
    auto link = std::get<std::unique_ptr<PeerLink>>(std::move(started));
    link->Fetch(address);
    REQUIRE(called.get_future().wait_for(kWaitTimeout) ==
            std::future_status::ready);
    to.reset();
  }
  CHECK(handler.Copies() == 1);
  std::this_thread::sleep_for(milliseconds(100));
}

TEST_CASE("a fetched configuration equals the one that the peer has in force") {
  const std::string address = ClosedAddress();
  LinkEndpoint to("to", address);
  LinkEndpoint from("from", ClosedAddress());
  ConfigInForce state;
  state.as_of = LogOffset{9};
  state.revision = Revision{7};
  state.text = R"({"services":[]})";
  state.marks = {{"engine-1", MarkState::kLeaving}};
  to.configuration = state;
  from.link->Fetch(address);
  const auto fetched = from.WaitForConfiguration();
  REQUIRE(fetched);
  CHECK(fetched->as_of == state.as_of);
  CHECK(fetched->revision == state.revision);
  CHECK(fetched->text == state.text);
  CHECK(fetched->marks == state.marks);
}

TEST_CASE("an address in use is reported as a typed error") {
  const std::string address = ClosedAddress();
  LinkEndpoint first("first", address);
  const auto second = StartPeerLink({"second"}, address, {});
  REQUIRE(std::holds_alternative<PeerLinkListenError>(second));
  CHECK(std::get<PeerLinkListenError>(second).address == address);
}

struct DatagramCase {
  const char* name;
  std::string bytes;
  bool is_accepted;
};

TEST_CASE("a malformed or unknown datagram is rejected") {
  MembershipMessage message;
  message.kind = MembershipMessageKind::kSyncReply;
  message.sender.name.value = "entry-1";
  message.sender.incarnation = Incarnation{5};
  message.updates = {message.sender};
  const std::string whole = EncodeDatagram(message);
  wire::MembershipDatagram unknown_kind;
  unknown_kind.ParseFromString(whole);
  unknown_kind.set_kind(99);
  wire::MembershipDatagram unknown_status;
  unknown_status.ParseFromString(whole);
  unknown_status.mutable_sender()->set_status(99);
  const DatagramCase cases[] = {
      {"whole", whole, true},
      {"truncated", whole.substr(0, whole.size() - 3), false},
      {"another protocol", "GET / HTTP/1.1\r\n\r\n", false},
      {"unknown kind", unknown_kind.SerializeAsString(), false},
      {"unknown status", unknown_status.SerializeAsString(), false},
  };
  for (const DatagramCase& c : cases) {
    CAPTURE(c.name);
    CHECK(DecodeDatagram(c.bytes).has_value() == c.is_accepted);
  }
}

}  // namespace
}  // namespace pomeloring::test
