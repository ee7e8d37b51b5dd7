// Defines Node: a running instance, the core's Instance wired to its sockets,
// the platform and its peers.

#ifndef POMELORING_DAEMON_NODE_H_
#define POMELORING_DAEMON_NODE_H_

#include <memory>
#include <variant>

#include "core/instance.h"
#include "daemon/platform.h"
#include "daemon/settings.h"
#include "link/http_server.h"
#include "link/peer_link.h"

namespace pomeloring {

enum class NodeEnd {
  kStopped,        // A planned stop, with nothing cut off.
  kDrainTimedOut,  // A planned stop that gave up waiting for requests.
  kSuperseded,     // Another process has this instance's name.
};

class Node {
 public:
  virtual ~Node() = default;
  // Serves until a planned stop has ended.
  virtual NodeEnd Run() = 0;
  // Begins a planned stop; safe to call from any thread.
  virtual void Stop() = 0;
};

using NodeError = std::variant<ListenError, PeerLinkListenError, InstanceError>;

class NodeBuilder {
 public:
  NodeBuilder& WithSettings(NodeSettings settings);
  NodeBuilder& WithPlatform(std::unique_ptr<Platform> platform);
  std::variant<std::unique_ptr<Node>, NodeError> Build();

 private:
  NodeSettings m_settings;
  std::unique_ptr<Platform> m_platform;
};

std::string Describe(const NodeError& error);

}  // namespace pomeloring

#endif  // POMELORING_DAEMON_NODE_H_
