// Defines PeerLink: the gRPC link to the other instances, which carries slot
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

// What the link hands up; called on the link's own threads.
struct PeerLinkHandlers {
  // Returns what the messages led to for `from`: it goes back in the reply to
  // the call that brought them.
  std::function<SlotReplies(const InstanceName& from,
                            std::vector<SlotMessage> messages,
                            HybridTime stamp)>
      on_messages;
  std::function<std::optional<ConfigInForce>()> configuration;
  std::function<void(ConfigInForce)> on_configuration;
};

class PeerLink {
 public:
  virtual ~PeerLink() = default;

  // Queues a message; messages to one address that queue up while a call is
  // under way share the next call. A call that gets no reply within its
  // deadline is sent once more over a new connection: the old one may be dead
  // while the peer lives. What fails then is dropped; the core asks again.
  virtual void Send(const std::string& address,
                    SlotMessage message,
                    HybridTime stamp) = 0;
  // Queues a message that rides with the next call. It goes by itself once
  // another such message comes before any call.
  virtual void SendDeferred(const std::string& address,
                            SlotMessage message,
                            HybridTime stamp) = 0;
  // Asks a peer for its configuration; the reply comes to `on_configuration`.
  virtual void Fetch(const std::string& address) = 0;
  virtual void Shutdown() = 0;
};

struct PeerLinkListenError {
  std::string address;
};

// Starts serving on `listen_address` (IP:port).
std::variant<std::unique_ptr<PeerLink>, PeerLinkListenError> StartPeerLink(
    const InstanceName& self,
    const std::string& listen_address,
    PeerLinkHandlers handlers);

}  // namespace pomeloring

#endif  // POMELORING_LINK_PEER_LINK_H_
