// Defines SoakSite: gateways and a store as processes, in-process upstreams and
// callers, and fault-injecting links between them.

#ifndef POMELORING_TEST_SOAK_SOAK_SITE_H_
#define POMELORING_TEST_SOAK_SOAK_SITE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "soak/fault_link.h"
#include "soak/oracle.h"
#include "soak/soak_caller.h"
#include "soak/soak_upstream.h"
#include "support/process.h"

namespace pomeloring::soak {

struct SoakPlan {
  uint64_t seed = 1;
  int gateways = 3;
  int upstreams = 4;               // Per service; there are two.
  std::chrono::seconds length{8};  // How long faults are injected.
  double requests_per_s = 120;
  // Whether upstreams ask for less: leave, pause, name limits.
  bool has_signals = false;
  // Whether gateways lose their links to all upstreams.
  bool has_cuts = false;
  // Whether upstreams refuse requests and write earlier replies again, and
  // callers repeat what was refused.
  bool has_copies = false;
  // Whether upstreams answer before they have read the request, and break off.
  bool has_early = false;
  // An earlier version's program, which gateways of odd numbers run until they
  // are started anew. Empty: none.
  std::string older_gateway;
  std::string folder;  // Receives settings files and logs.
};

class SoakSite {
 public:
  SoakSite(boost::asio::io_context& context,
           const SoakPlan& plan,
           Oracle& oracle);
  ~SoakSite();

  // Starts all processes and waits until the gateways are ready. Returns false
  // if they are not ready within 15 s.
  boost::asio::awaitable<bool> Start();
  // Sends requests at random intervals until StopSending().
  boost::asio::awaitable<void> SendRequests();
  void StopSending() { m_is_sending = false; }
  // Injects random, overlapping faults until `until`, then waits until all of
  // them have been undone.
  boost::asio::awaitable<void> InjectFaults(Instant until);

 private:
  struct Gateway {
    std::string address;  // IP address without a port.
    std::unique_ptr<test::Process> process;
    std::unique_ptr<FaultLink> store_link;
    // Its own links to the upstreams, by their number; see redirect_upstreams.
    std::map<int, std::unique_ptr<FaultLink>> upstream_links;
    bool is_cut_off = false;
    int incarnation = 0;
    bool is_busy = false;  // A process fault is in progress.
  };
  struct Upstream {
    std::unique_ptr<SoakUpstream> server;
    std::unique_ptr<FaultLink> link;
    bool is_busy = false;  // A fault or replacement is in progress.
  };
  using Task = boost::asio::awaitable<void>;

  void StartGateway(int number);
  void AddUpstream(bool serves_streams);
  Task PostControl(boost::json::object control);
  Task Register(const Upstream& upstream, std::string_view state);
  Task Unregister(const SoakUpstream& upstream);
  Task PublishConfig();
  Task SendRequest(int number);
  // Repeats a request that was refused, under its id or a new one.
  Task RepeatRequest(std::string first, RequestRecord refused, CallerPlan plan);
  // Lets upstreams ask for less until `until`, beside the other faults.
  Task InjectSignals(Instant until);
  // Cuts gateways off from all upstreams, one after the other, until `until`.
  Task InjectCuts(Instant until);
  Task CutOff(int number, bool is_silent, double length_ms);
  // Lets upstreams refuse requests and write replies again until `until`.
  Task InjectCopies(Instant until);
  // Lets upstreams answer early until `until`.
  Task InjectEarly(Instant until);
  void AddUpstreamLink(Gateway& gateway, int gateway_number, int upstream);
  std::string UpstreamLinkIp(int gateway) const;
  Task InjectSignal(size_t number, Signal signal, double length_ms);
  Task InjectRandomFault();
  Task InjectGatewayFault(int number, ProcessFault fault, double length_ms);
  Task InjectStoreFault(double length_ms);
  Task InjectStoreLinkFault(int number, double length_ms);
  Task InjectUpstreamLinkFault(size_t number, double length_ms);
  Task InjectUpstreamFault(size_t number, double length_ms);
  Task ReplaceUpstream(size_t number, bool is_planned);
  Task Sleep(double ms);
  uint64_t Random(uint64_t below);
  void LogFault(const std::string& what);

  boost::asio::io_context& m_context;
  const SoakPlan m_plan;
  Oracle& m_oracle;
  const std::string m_network;  // The first three bytes of all IPs.
  uint64_t m_random;
  uint64_t m_repeat_random;  // Of its own: the other draws stay the same.
  uint64_t m_upload_random;
  Instant m_start;
  std::unique_ptr<test::Process> m_store;
  std::vector<Gateway> m_gateways;
  std::vector<std::unique_ptr<Upstream>> m_upstreams;
  std::vector<std::unique_ptr<Upstream>> m_retired;
  int m_upstream_count = 0;
  int m_request_count = 0;
  int m_version = 0;
  int m_active_faults = 0;
  bool m_store_is_faulty = false;
  bool m_is_sending = true;
};

}  // namespace pomeloring::soak

#endif  // POMELORING_TEST_SOAK_SOAK_SITE_H_
