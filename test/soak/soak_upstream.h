// Defines SoakUpstream: an in-process upstream with injectable faults, which
// records each request that it receives.

#ifndef POMELORING_TEST_SOAK_SOAK_UPSTREAM_H_
#define POMELORING_TEST_SOAK_SOAK_UPSTREAM_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "soak/oracle.h"

namespace pomeloring::soak {

struct UpstreamFaults {
  double failure_rate = 0;        // Fraction of requests answered with 500.
  double lost_reply_rate = 0;     // Fraction aborted before the reply.
  double broken_stream_rate = 0;  // Fraction of streams aborted halfway.
  double slow_factor = 1;         // Multiplies all times.
  bool is_draining = false;
  // Named in each reply:
  bool is_leaving = false;
  double request_limit = 0;  // In requests a second; 0: none.
  // Turn each request away and ask for a pause of so many seconds; 0: do not.
  double pause_s = 0;
};

// Faults of an upstream that writes replies of a connection again.
struct CopyFaults {
  double refusal_rate = 0;  // Fraction of requests refused before they run.
  double copy_rate = 0;     // Fraction of replies with a copy beside them.
};

// Faults of an upstream that answers requests before it has read them.
struct EarlyFaults {
  double reset_rate = 0;    // Fraction of replies cut off by a reset.
  double interim_rate = 0;  // Fraction of the others behind interim replies.
};

class SoakUpstream {
 public:
  // Listens on the address `listen_at`; port 0 selects a free port.
  SoakUpstream(boost::asio::io_context& context,
               Oracle& oracle,
               std::string id,
               bool serves_streams,
               const std::string& listen_at,
               uint64_t seed);

  UpstreamFaults faults;
  CopyFaults copy_faults;
  EarlyFaults early_faults;
  const std::string& Id() const { return m_id; }
  bool ServesStreams() const { return m_serves_streams; }
  std::string Address() const;
  // Stops as a killed process does: closes the listener and resets all
  // connections.
  void Crash();
  bool HasCrashed() const { return m_has_crashed; }

 private:
  using Socket = boost::asio::ip::tcp::socket;
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  struct SentReply {
    std::string request_id;
    std::string bytes;
  };
  struct Connection {
    Socket& socket;
    std::vector<SentReply> replies;  // Those sent so far.
  };
  // When a copy of an earlier reply is written: on arrival of the next request,
  // while that runs, or after its reply.
  enum class CopyTime { kOnArrival, kWhileRunning, kAfterReply };
  struct Copy {
    CopyTime time = CopyTime::kOnArrival;
    std::string bytes;
    bool is_whole = true;  // What follows it can be read.
    std::string repeated;  // Follows the copy until the gateway closes.
    bool closes = false;
  };
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(std::shared_ptr<Socket> socket);
  // Returns the header lines of what the upstream asks, and records that it
  // does.
  std::string SignalFields(const std::string& request, unsigned status);
  // Replies to a request. Returns whether the connection stays open.
  boost::asio::awaitable<bool> SendReply(Connection& connection,
                                         const Request& request);
  boost::asio::awaitable<bool> SendStreamReply(Connection& connection,
                                               const Request& request,
                                               UpstreamAttempt& attempt);
  boost::asio::awaitable<bool> Run(Connection& connection,
                                   const Request& request,
                                   UpstreamAttempt& attempt);
  // Answers a request whose body was not read with a head that no reply may
  // have, or a part of a reply without a length, and resets the connection.
  boost::asio::awaitable<void> ResetEarly(std::shared_ptr<Socket> socket,
                                          const Request& head);
  std::string BrokenReply(const Request& head, UpstreamAttempt& attempt);
  std::string RandomRefusal(const std::string& id, const std::string& key);
  UpstreamAttempt& RecordAttempt(const std::string& key,
                                 const Request& request);
  // Selects an earlier reply of the connection to write again: always one with
  // the same id if there is one.
  std::optional<Copy> RandomCopy(const Connection& connection,
                                 std::string_view request_id);
  // Writes a part of the copy, or bytes without end after it.
  void BreakCopy(Copy& copy);
  size_t RandomCut(std::string_view bytes);
  boost::asio::awaitable<bool> WriteReply(Connection& connection,
                                          SentReply reply);
  // Returns whether the connection can be used further.
  boost::asio::awaitable<bool> WriteCopy(Socket& socket, const Copy& copy);
  boost::asio::awaitable<bool> Write(Socket& socket, std::string bytes);
  boost::asio::awaitable<void> Sleep(double ms);
  bool Chance(double rate);
  uint64_t RandomForCopy(uint64_t below);
  bool CopyChance(double rate);
  uint64_t RandomForEarly(uint64_t below);

  boost::asio::io_context& m_context;
  Oracle& m_oracle;
  const std::string m_id;
  const bool m_serves_streams;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::list<std::weak_ptr<Socket>> m_connections;
  uint64_t m_random;
  uint64_t m_copy_random;  // Of its own: the other draws stay the same.
  uint64_t m_early_random;
  uint64_t m_attempt_count = 0;
  bool m_had_limit = false;
  bool m_has_crashed = false;
};

}  // namespace pomeloring::soak

#endif  // POMELORING_TEST_SOAK_SOAK_UPSTREAM_H_
