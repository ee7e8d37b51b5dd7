// Defines ClientConnection: one client's HTTP connection. A read is always
// pending, so that a disconnect is noticed while a request is in progress.

#ifndef POMELORING_GATEWAY_CLIENT_CONNECTION_H_
#define POMELORING_GATEWAY_CLIENT_CONNECTION_H_

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "memory/memory_budget.h"
#include "routing/routing_config.h"

namespace pomeloring {

using ClientRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

// The client closed the connection or exceeded the idle timeout; no reply is
// sent.
struct ConnectionEnded {};
// The received bytes are not a request that can be served.
struct BadClientRequest {
  unsigned status = 400;
  std::string reason;
};

// Too much is held in buffers to read the request.
struct RefusedClientRequest {
  boost::beast::http::fields header;
  uint64_t body_bytes = 0;  // As far as known.
  MemoryLevel level = MemoryLevel::kNormal;
  // Whether the connection may be used for the next request.
  bool keep_alive = false;
  bool is_head = false;
};

using ReadClientResult = std::variant<ClientRequest,
                                      ConnectionEnded,
                                      BadClientRequest,
                                      RefusedClientRequest>;

// In the order in which connections give way to new ones.
enum class ConnectionUse : uint8_t {
  kRefused,  // Open until the client has got its refusal.
  kIdle,
  kArriving,  // A request, not yet whole.
  kServed,    // Or closed.
};

// Makes room for a body of `bytes`. Returns false if it is to be refused.
using MakeRoom = std::function<bool(uint64_t bytes)>;

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  // What the connection buffers is reserved in `memory`.
  ClientConnection(boost::asio::ip::tcp::socket socket, MemoryBudget& memory);

  // Starts reading. Call exactly once.
  void Start();
  // Waits for the next request, and rejects one that exceeds `limits` or that
  // HTTP parsers may interpret differently. The request's body stays reserved
  // until the next call. `make_room` is called if the body does not fit beside
  // others.
  boost::asio::awaitable<ReadClientResult> ReadRequest(ClientLimits limits,
                                                       MakeRoom make_room);
  // Writes all of `bytes`. Returns false if the client has disconnected.
  boost::asio::awaitable<bool> Write(std::string bytes);
  // Writes `bytes`, and returns once the next ones may be read from their
  // upstream; if streams are not paced, once all are written. Returns false if
  // the client has disconnected.
  boost::asio::awaitable<bool> WriteAhead(std::string bytes);
  // Waits until all bytes are written, or the client has disconnected.
  boost::asio::awaitable<void> Flush();
  void Close();
  // Closes once the client has got the reply to a request whose body was not
  // read.
  boost::asio::awaitable<void> CloseAfterRefusal();
  // Closes as if the client had disconnected, and discards what it has not
  // taken.
  void Drop();
  // Returns what the client has not taken; nothing if there are no such bytes.
  std::optional<UntakenBytes> Untaken(Time now) const;

  // Returns the request whose body is arriving; nothing if there is none.
  std::optional<UnfinishedUpload> Upload(Time now) const;
  // Refuses the request whose body is arriving. Its bytes are released.
  void EndUpload();
  const boost::asio::ip::address& ClientAddress() const {
    return m_client_address;
  }

  // Calls `on_disconnect` once when the client disconnects, or now if it has
  // done so already. Null removes the handler.
  void SetDisconnectHandler(std::function<void()> on_disconnect);
  bool IsDisconnected() const { return m_is_disconnected; }
  bool IsIdle() const { return m_idle; }
  ConnectionUse Use() const;
  // When it began to wait for the client's request.
  Time WaitsSince() const { return m_waits_since; }

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void ReadMore();
  // Reserves the bytes that the body takes once `m_buffer` is parsed. Returns
  // false if the request is to be refused.
  bool AdmitBody(Parser& parser, uint64_t max_bytes, const MakeRoom& make_room);
  // Adds `bytes` to those to be written. With paced streams only.
  void Enqueue(std::string bytes);
  void WriteMore();
  size_t UntakenCount() const;
  bool IsBroken() const { return m_is_disconnected || m_write_failed; }
  boost::asio::awaitable<void> WaitForProgress(Duration max_wait);
  boost::asio::awaitable<bool> WaitForBytes(
      std::chrono::steady_clock::time_point deadline);

  boost::asio::ip::tcp::socket m_socket;
  boost::asio::ip::address m_client_address;
  MemoryBudget& m_memory;
  MemoryHold m_request_hold;
  MemoryHold m_read_hold;
  MemoryHold m_write_hold;
  boost::asio::steady_timer m_data_arrived;
  boost::asio::steady_timer m_write_progress;
  std::string m_writing;  // Its first `m_written` bytes are written.
  size_t m_written = 0;
  std::string m_to_write;  // After `m_writing`.
  Time m_last_taken_at;
  Time m_last_arrived_at;
  Time m_waits_since;
  uint64_t m_wanted_bytes = 0;  // Of the body that is arriving.
  boost::beast::flat_buffer m_buffer;
  std::array<char, 8192> m_chunk;
  std::function<void()> m_on_disconnect;
  bool m_read_pending = false;
  bool m_write_pending = false;
  bool m_write_failed = false;
  bool m_is_disconnected = false;
  bool m_is_uploading = false;
  bool m_is_reading = false;  // A request.
  bool m_is_refused = false;
  bool m_upload_ended = false;  // By EndUpload().
  bool m_idle = true;
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_CLIENT_CONNECTION_H_
