// Defines VersionInquiry: has peers, or the platform's log, tell this instance
// which versions services had before it began to observe them, for streams that
// are older.

#ifndef POMELORING_GATEWAY_VERSION_INQUIRY_H_
#define POMELORING_GATEWAY_VERSION_INQUIRY_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <vector>

#include "daemon/log.h"
#include "gateway/gateway_metrics.h"
#include "routing/router.h"
#include "routing/stream_resumption.h"

namespace pomeloring {

struct VersionInquiryContext {
  boost::asio::io_context& context;
  Router& router;
  Log& log;
  GatewayMetrics& metrics;
  // Asks some peers for what they know of a stream and of its service.
  std::function<boost::asio::awaitable<StreamOriginReport>(StreamKey,
                                                           ServiceName)>
      ask_peers;
  // As ShareLog::LearnVersions(), unless others read the log for this instance.
  std::function<boost::asio::awaitable<void>()> learn_from_log;
};

// Asks until the versions of all services with resumable routes are known.
// Used from one thread.
class VersionInquiry {
 public:
  explicit VersionInquiry(VersionInquiryContext context);

  // To be called many times a second.
  void Tick(Time now);

 private:
  // Services whose versions are not all known.
  std::vector<ServiceName> UnknownServices(Time now) const;
  boost::asio::awaitable<void> Ask(std::vector<ServiceName> services);

  VersionInquiryContext m_context;
  bool m_is_asking = false;
  Time m_due_at;
  uint64_t m_random;
  std::optional<Time> m_tracking_since;
  LogOffset m_tracked_from;  // Of the table when it began.
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_VERSION_INQUIRY_H_
