// Defines PeerLink: the gRPC link to the other instances, which sends slot
// messages in batches and fetches a peer's configuration.

#ifndef POMELORING_LINK_PEER_LINK_H_
#define POMELORING_LINK_PEER_LINK_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/config_history.h"
#include "core/messages.h"
#include "core/timeline.h"

namespace pomeloring {

struct SlotReplies {
  std::vector<SlotMessage> messages;
  HybridTime stamp;
};

// Callbacks of the link, called on its own threads.
struct PeerLinkHandlers {
  // Handles messages received from `from` and returns the resulting messages to
  // it. Those are sent in the reply to the same call or, if `messages` came in
  // a reply, in a new call.
  std::function<SlotReplies(const InstanceName& from,
                            std::vector<SlotMessage> messages,
                            HybridTime stamp)>
      on_messages;
  // Returns the configuration to send to a peer; nothing if none is in force.
  std::function<std::optional<ConfigInForce>()> configuration;
  // Receives a configuration fetched from a peer.
  std::function<void(ConfigInForce)> on_configuration;
};

class PeerLink {
 public:
  virtual ~PeerLink() = default;

  // Queues a message. Messages to one address that are queued while its calls
  // are in flight are sent together in the next call. A call that fails or
  // times out is retried once over a new connection, since the old one may be
  // dead while the peer is alive. If the retry fails too, its messages are
  // dropped; the core resends its requests.
  virtual void Send(const std::string& address,
                    SlotMessage message,
                    HybridTime stamp) = 0;
  // Queues a message that can wait: it is sent with the next call, or in a call
  // of its own once a second deferred message is queued.
  virtual void SendDeferred(const std::string& address,
                            SlotMessage message,
                            HybridTime stamp) = 0;
  // Requests a peer's configuration and passes it to `on_configuration`.
  // Failures are not reported.
  virtual void Fetch(const std::string& address) = 0;
  // Waits for the calls in flight and stops the server. No call starts after
  // that.
  virtual void Shutdown() = 0;
};

struct PeerLinkListenError {
  std::string address;
};

// Starts the gRPC server on `listen_address` (IP:port).
std::variant<std::unique_ptr<PeerLink>, PeerLinkListenError> StartPeerLink(
    const InstanceName& self,
    const std::string& listen_address,
    PeerLinkHandlers handlers);

}  // namespace pomeloring

#endif  // POMELORING_LINK_PEER_LINK_H_
