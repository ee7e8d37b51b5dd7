// Defines Action: what the core asks its daemon, or any harness, to do.

#ifndef POMELORING_CORE_ACTION_H_
#define POMELORING_CORE_ACTION_H_

#include <string>
#include <variant>
#include <vector>

#include "core/configuration.h"
#include "core/engine_order.h"
#include "core/membership.h"
#include "core/messages.h"
#include "core/outcome.h"

namespace pomeloring {

enum class LogStream { kConfiguration, kClaims };

struct SendSlotMessage {
  InstanceName to;
  std::string link_address;
  SlotMessage message;
};

struct SendDatagram {
  std::string address;
  MembershipMessage message;
};

// Sends the request to the upstream. The daemon says how it ended.
struct StartUpstreamAttempt {
  AttemptId attempt;
  Upstream upstream;
  uint32_t resume_from = 0;  // Tokens that the caller has already got.
};

struct CancelUpstreamAttempt {
  AttemptId attempt;
};

// Gives the caller its final answer.
struct FinishRequest {
  RequestId request;
  Outcome outcome;
};

// Passes the request on to the instance that its key is bound to.
struct ForwardRequest {
  RequestId request;
  InstanceName owner;
  std::string caller_address;
};

// Appends to the platform's log; the daemon says how it ended.
struct AppendRecord {
  LogStream stream = LogStream::kConfiguration;
  std::string payload;
};

// Asks a peer for the configuration that it has in force.
struct FetchConfiguration {
  InstanceName from;
  std::string link_address;
};

// Sends an engine an order, or reads its state where there is none. The daemon
// says how it ended.
struct CallEngine {
  EngineCall call;
  // An order that is not sent by then is stale: this process was paused.
  Time send_by;
};

// Another process has this instance's name with a later incarnation, or its
// incarnation under another name: this process must end.
struct StopSuperseded {};

using Action = std::variant<SendSlotMessage,
                            SendDatagram,
                            StartUpstreamAttempt,
                            CancelUpstreamAttempt,
                            FinishRequest,
                            ForwardRequest,
                            AppendRecord,
                            FetchConfiguration,
                            CallEngine,
                            StopSuperseded>;
using Actions = std::vector<Action>;

}  // namespace pomeloring

#endif  // POMELORING_CORE_ACTION_H_
