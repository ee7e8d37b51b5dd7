// Defines PlatformApi: the calls to the platform that one instance makes for
// all. See docs/design/fleet_duties_and_load.md for who may make them.

#ifndef POMELORING_GATEWAY_PLATFORM_API_H_
#define POMELORING_GATEWAY_PLATFORM_API_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <map>

#include "core/ids.h"

namespace pomeloring {

enum class ApiCallEnd {
  kAccepted,
  kUnavailable,  // No upstream of the kind is to be had there now.
  kRejected,     // Had no effect: too many calls, invalid, or not connected.
  kUnanswered,   // May have taken effect.
  kNotSent,      // `may_send` returned false.
};

struct ApiCallResult {
  ApiCallEnd end = ApiCallEnd::kUnanswered;
  unsigned status = 0;  // 0 without a reply.
};

// How a call identifies its sender.
struct DutyIdentity {
  InstanceName holder;
  uint64_t fencing_token = 0;
  // Asked again right before the first byte of the call is sent.
  std::function<bool()> may_send;
  std::chrono::milliseconds timeout{500};  // Of the whole call.
};

struct UpstreamOrder {
  ServiceName service;
  FailureDomain failure_domain;
  uint32_t desired = 0;         // Upstreams of this kind, after the order.
  bool is_reclaimable = false;  // The platform may take them away.
  bool operator==(const UpstreamOrder&) const = default;
};

using UsageCounts = std::map<AccountName, uint64_t>;

class PlatformApi {
 public:
  virtual ~PlatformApi() = default;
  // Reports the requests of each account that began to run in a window.
  virtual boost::asio::awaitable<ApiCallResult>
  ReportUsage(DutyIdentity identity, uint64_t window, UsageCounts counts) = 0;
  virtual boost::asio::awaitable<ApiCallResult> OrderUpstreams(
      DutyIdentity identity,
      UpstreamOrder order) = 0;
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_PLATFORM_API_H_
