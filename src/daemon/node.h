// Defines Node: runs the core's Instance and connects it to sockets, the
// platform and its peers.

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
  kStopped,        // Graceful shutdown; every request was finished.
  kDrainTimedOut,  // Graceful shutdown that timed out waiting for requests.
  kSuperseded,     // Another process has this instance's name.
};

class Node {
 public:
  virtual ~Node() = default;
  // Serves until the node has stopped and returns why.
  virtual NodeEnd Run() = 0;
  // Starts a graceful shutdown. Thread-safe.
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
