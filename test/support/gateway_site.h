// Defines GatewaySite: one gateway in this process, before scripted upstreams
// and a store that holds what the test gives it.

#ifndef POMELORING_TEST_SUPPORT_GATEWAY_SITE_H_
#define POMELORING_TEST_SUPPORT_GATEWAY_SITE_H_

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "gateway/gateway.h"

namespace pomeloring::test {

// The service "engines" has the routes /ask/ (a stream that may not be
// repeated) and /draft/ (one that may be resumed), "plain" has /stamp/ (not to
// be repeated) and /check/ (idempotent). The key "key-1" is of account "one".
struct SiteUpstream {
  std::string id;
  std::string service;
  std::string address;
};

class GatewaySite {
 public:
  // The store gives its lists after `store_delay`.
  explicit GatewaySite(const std::vector<SiteUpstream>& upstreams,
                       std::chrono::milliseconds store_delay = {});
  ~GatewaySite();
  GatewaySite(const GatewaySite&) = delete;
  GatewaySite& operator=(const GatewaySite&) = delete;

  // Sends bytes over a connection of its own and returns all that comes until
  // the gateway closes, or falls silent for half a second.
  std::string Send(const std::string& bytes) const;
  // The same, but leaves after `stay` at the latest.
  std::string SendWithIdleTimeout(const std::string& bytes,
                                  std::chrono::milliseconds idle_timeout) const;
  // A request of "key-1" with id "r1" to `path`.
  std::string PostRequest(const std::string& path,
                          const std::string& more_fields = {}) const;

 private:
  std::string m_address;
  std::unique_ptr<Gateway> m_gateway;
  std::thread m_thread;
};

// A reply of an upstream to the request "r1", signed.
std::string SignedReply(unsigned status,
                        const std::string& body,
                        const std::string& more_fields = {});
// The head of a signed stream, and one event of it in its chunk.
std::string StreamHead();
std::string StreamEvent(int id);
inline constexpr char kStreamEnd[] = "0\r\n\r\n";

}  // namespace pomeloring::test

#endif  // POMELORING_TEST_SUPPORT_GATEWAY_SITE_H_
