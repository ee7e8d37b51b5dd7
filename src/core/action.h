// Defines Action: a side effect that the core requests from the daemon or a
// test harness.

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

// Sends the request to the upstream. The daemon reports how the attempt ended.
struct StartUpstreamAttempt {
  AttemptId attempt;
  Upstream upstream;
  uint32_t resume_from = 0;  // Tokens already delivered to the caller.
};

struct CancelUpstreamAttempt {
  AttemptId attempt;
};

// Sends the caller its final outcome.
struct FinishRequest {
  RequestId request;
  Outcome outcome;
};

// Forwards the request to the instance that its key is bound to.
struct ForwardRequest {
  RequestId request;
  InstanceName owner;
  std::string caller_address;
};

// Appends to the platform's log. The daemon reports the result.
struct AppendRecord {
  LogStream stream = LogStream::kConfiguration;
  std::string payload;
};

// Requests the configuration that a peer has in force.
struct FetchConfiguration {
  InstanceName from;
  std::string link_address;
};

// Sends an order to an engine or, if the call has none, reads the engine's
// state. The daemon reports the result.
struct CallEngine {
  EngineCall call;
  // An order that is not sent by this time is stale, because the process was
  // paused, and is dropped.
  Time send_by;
};

// Another process uses this instance's name with a later incarnation, or its
// incarnation under a name that sorts first: this process must exit.
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
