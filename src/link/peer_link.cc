#include "link/peer_link.h"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

#include "link/codec.h"
#include "link/generated/pomeloring.grpc.pb.h"

namespace pomeloring {
namespace {

constexpr std::chrono::milliseconds kDeliverTimeout{400};
constexpr std::chrono::seconds kFetchTimeout{3};
// Beyond it, the oldest message is dropped.
constexpr size_t kMaxQueuedMessages = 20'000;
constexpr size_t kMaxMessagesPerBatch = 256;
// This many deferred messages are sent without waiting for another message.
constexpr size_t kMinDeferredToSend = 2;
// Calls in flight to one peer. More than one, so that a message need not wait
// for the round trip of the previous one.
constexpr int kMaxCallsPerPeer = 4;

std::vector<SlotMessage> DecodeAll(
    const google::protobuf::RepeatedPtrField<wire::SlotMessage>& messages) {
  std::vector<SlotMessage> all;
  for (const wire::SlotMessage& message : messages) {
    if (auto decoded = Decode(message)) {
      all.push_back(std::move(*decoded));
    }
  }
  return all;
}

class Service final : public wire::InstanceLink::CallbackService {
 public:
  Service(InstanceName self, PeerLinkHandlers handlers)
      : m_self(std::move(self)), m_handlers(std::move(handlers)) {}

  grpc::ServerUnaryReactor* Deliver(
      grpc::CallbackServerContext* context,
      const wire::SlotBatch* batch,
      wire::SlotBatchReceived* received) override {
    const SlotReplies replies =
        m_handlers.on_messages({batch->from()}, DecodeAll(batch->messages()),
                               {batch->stamp_us(), batch->stamp_counter()});
    if (!replies.messages.empty()) {
      received->set_from(m_self.value);
      received->set_stamp_us(replies.stamp.micros);
      received->set_stamp_counter(replies.stamp.counter);
    }
    for (const SlotMessage& reply : replies.messages) {
      Encode(reply, *received->add_replies());
    }
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  grpc::ServerUnaryReactor* FetchConfiguration(
      grpc::CallbackServerContext* context,
      const wire::ConfigurationRequest*,
      wire::ConfigurationState* state) override {
    if (const auto in_force = m_handlers.configuration()) {
      Encode(*in_force, *state);
    }
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

 private:
  const InstanceName m_self;
  const PeerLinkHandlers m_handlers;
};

std::shared_ptr<grpc::Channel> OpenChannel(const std::string& address,
                                           int generation) {
  grpc::ChannelArguments arguments;
  // A distinct argument keeps gRPC from reusing the old connection.
  arguments.SetInt("pomeloring.generation", generation);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 100);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  return grpc::CreateCustomChannel(
      "ipv4:" + address, grpc::InsecureChannelCredentials(), arguments);
}

// Counts the calls in flight, so that the link can wait for their callbacks
// before the objects they use, and gRPC itself, are destroyed. A callback must
// have released all that refers to a channel before it leaves: gRPC destroys
// its completion queue with its last channel, which must not happen on a thread
// that polls this queue, as those that run callbacks do.
class CallGate {
 public:
  // Returns false once the gate is closed; the call must not start then.
  bool Enter() {
    const std::lock_guard lock(m_mutex);
    m_calls += m_is_closed ? 0 : 1;
    return !m_is_closed;
  }

  void Leave() {
    const std::lock_guard lock(m_mutex);
    --m_calls;
    m_changed.notify_all();
  }

  void CloseAndWait() {
    std::unique_lock lock(m_mutex);
    m_is_closed = true;
    m_changed.wait(lock, [this] { return m_calls == 0; });
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  int m_calls = 0;
  bool m_is_closed = false;
};

struct DeliverCall {
  grpc::ClientContext context;
  wire::SlotBatch batch;
  wire::SlotBatchReceived received;
  int generation = 0;
  bool is_retry = false;
};

struct FetchCall {
  grpc::ClientContext context;
  wire::ConfigurationRequest request;
  wire::ConfigurationState state;
};

// The connection to one other instance and the messages queued for it. Exists
// until all its calls have left the gate.
class Peer {
 public:
  Peer(InstanceName self,
       std::string address,
       const PeerLinkHandlers& handlers,
       CallGate& gate)
      : m_self(std::move(self)),
        m_address(std::move(address)),
        m_handlers(handlers),
        m_gate(gate) {
    Reconnect();
  }

  void Send(SlotMessage message, HybridTime stamp) {
    std::shared_ptr<DeliverCall> call;
    {
      const std::lock_guard lock(m_mutex);
      if (m_queue.size() >= kMaxQueuedMessages) {
        m_queue.pop_front();
      }
      m_queue.push_back(std::move(message));
      m_stamp = std::max(m_stamp, stamp);
      call = MakeNextCall();
    }
    Start(call);
  }

  void SendDeferred(SlotMessage message, HybridTime stamp) {
    std::shared_ptr<DeliverCall> call;
    {
      const std::lock_guard lock(m_mutex);
      const bool has_earlier = !m_deferred.empty();
      m_deferred.push_back(std::move(message));
      m_stamp = std::max(m_stamp, stamp);
      if (has_earlier) {
        call = MakeNextCall();
      }
    }
    Start(call);
  }

  void Fetch() {
    if (!m_gate.Enter()) {
      return;
    }
    auto call = std::make_shared<FetchCall>();
    call->context.set_deadline(std::chrono::system_clock::now() +
                               kFetchTimeout);
    std::shared_ptr<wire::InstanceLink::Stub> stub;
    {
      const std::lock_guard lock(m_mutex);
      stub = m_stub;
    }
    stub->async()->FetchConfiguration(
        &call->context, &call->request, &call->state,
        [this, call, stub](const grpc::Status& status) mutable {
          auto state = status.ok() ? Decode(call->state) : std::nullopt;
          if (state) {
            m_handlers.on_configuration(std::move(*state));
          }
          call.reset();
          stub.reset();
          m_gate.Leave();
        });
  }

 private:
  void Reconnect() {
    ++m_generation;
    m_stub = wire::InstanceLink::NewStub(OpenChannel(m_address, m_generation));
  }

  // Returns the next call to start, or null. m_mutex must be held.
  std::shared_ptr<DeliverCall> MakeNextCall() {
    if ((m_queue.empty() && m_deferred.size() < kMinDeferredToSend) ||
        m_calls >= kMaxCallsPerPeer) {
      return nullptr;
    }
    std::move(m_deferred.begin(), m_deferred.end(),
              std::back_inserter(m_queue));
    m_deferred.clear();
    auto call = std::make_shared<DeliverCall>();
    call->batch.set_from(m_self.value);
    call->batch.set_stamp_us(m_stamp.micros);
    call->batch.set_stamp_counter(m_stamp.counter);
    while (!m_queue.empty() &&
           static_cast<size_t>(call->batch.messages_size()) <
               kMaxMessagesPerBatch) {
      Encode(m_queue.front(), *call->batch.add_messages());
      m_queue.pop_front();
    }
    call->generation = m_generation;
    ++m_calls;
    return call;
  }

  void Start(const std::shared_ptr<DeliverCall>& call) {
    if (call == nullptr || !m_gate.Enter()) {
      return;
    }
    std::shared_ptr<wire::InstanceLink::Stub> stub;
    {
      const std::lock_guard lock(m_mutex);
      stub = m_stub;
    }
    call->context.set_deadline(std::chrono::system_clock::now() +
                               kDeliverTimeout);
    stub->async()->Deliver(
        &call->context, &call->batch, &call->received,
        [this, held = call, stub](const grpc::Status& status) mutable {
          HandleDelivered(held, status.ok());
          if (status.ok()) {
            HandleReplies(held->received);
          }
          held.reset();
          stub.reset();
          m_gate.Leave();
        });
  }

  void HandleDelivered(const std::shared_ptr<DeliverCall>& call,
                       bool succeeded) {
    std::shared_ptr<DeliverCall> next;
    {
      const std::lock_guard lock(m_mutex);
      // Another failed call may have replaced the connection already.
      if (!succeeded && call->generation == m_generation) {
        Reconnect();
      }
      if (!succeeded && !call->is_retry) {
        next = std::make_shared<DeliverCall>();
        next->batch = call->batch;
        next->generation = m_generation;
        next->is_retry = true;
      } else {
        --m_calls;
        next = MakeNextCall();
      }
    }
    Start(next);
  }

  void HandleReplies(const wire::SlotBatchReceived& received) {
    if (received.replies().empty()) {
      return;
    }
    const SlotReplies replies =
        m_handlers.on_messages({received.from()}, DecodeAll(received.replies()),
                               {received.stamp_us(), received.stamp_counter()});
    for (const SlotMessage& reply : replies.messages) {
      Send(reply, replies.stamp);
    }
  }

  const InstanceName m_self;
  const std::string m_address;
  const PeerLinkHandlers& m_handlers;
  CallGate& m_gate;
  std::mutex m_mutex;
  std::shared_ptr<wire::InstanceLink::Stub> m_stub;
  int m_generation = 0;
  int m_calls = 0;
  std::deque<SlotMessage> m_queue;
  std::vector<SlotMessage> m_deferred;
  HybridTime m_stamp;
};

class GrpcPeerLink final : public PeerLink {
 public:
  GrpcPeerLink(InstanceName self, PeerLinkHandlers handlers)
      : m_self(std::move(self)),
        m_handlers(std::move(handlers)),
        m_service(m_self, m_handlers) {}

  ~GrpcPeerLink() override { Shutdown(); }

  bool Listen(const std::string& address) {
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&m_service);
    m_server = builder.BuildAndStart();
    return m_server != nullptr && port != 0;
  }

  void Send(const std::string& address,
            SlotMessage message,
            HybridTime stamp) override {
    FindOrAddPeer(address)->Send(std::move(message), stamp);
  }

  void SendDeferred(const std::string& address,
                    SlotMessage message,
                    HybridTime stamp) override {
    FindOrAddPeer(address)->SendDeferred(std::move(message), stamp);
  }

  void Fetch(const std::string& address) override {
    FindOrAddPeer(address)->Fetch();
  }

  void Shutdown() override {
    m_gate.CloseAndWait();
    if (m_server != nullptr) {
      m_server->Shutdown(std::chrono::system_clock::now() +
                         std::chrono::milliseconds(200));
      m_server.reset();
    }
  }

 private:
  std::shared_ptr<Peer> FindOrAddPeer(const std::string& address) {
    const std::lock_guard lock(m_mutex);
    std::shared_ptr<Peer>& peer = m_peers[address];
    if (peer == nullptr) {
      peer = std::make_shared<Peer>(m_self, address, m_handlers, m_gate);
    }
    return peer;
  }

  const InstanceName m_self;
  const PeerLinkHandlers m_handlers;
  Service m_service;
  CallGate m_gate;
  std::unique_ptr<grpc::Server> m_server;
  std::mutex m_mutex;
  std::map<std::string, std::shared_ptr<Peer>> m_peers;
};

}  // namespace

std::variant<std::unique_ptr<PeerLink>, PeerLinkListenError> StartPeerLink(
    const InstanceName& self,
    const std::string& listen_address,
    PeerLinkHandlers handlers) {
  auto link = std::make_unique<GrpcPeerLink>(self, std::move(handlers));
  if (!link->Listen(listen_address)) {
    return PeerLinkListenError{listen_address};
  }
  return link;
}

}  // namespace pomeloring
