#include "gateway/client_connection.h"

#include <bit>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include "link/clock.h"
#include "link/socket_peek.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::steady_clock;

// Of a request that is being read.
constexpr size_t kMaxReadAheadBytes = size_t{64} * 1024;
// For the rest of a request after its header.
constexpr std::chrono::seconds kBodyTimeout{10};
// Streams that wait for their caller check the memory level this often.
constexpr Duration kLevelCheckInterval = milliseconds(200);
// After the refusal of a request whose body is still arriving: closing at once
// would reset the connection before the client has read the reply.
constexpr std::chrono::seconds kRefusalLinger{2};
// Of a refused body: a client within the default limits reads its reply.
constexpr size_t kMaxDiscardedBytes = size_t{5} * 1024 * 1024;
// Of one call to the kernel.
constexpr size_t kMaxWriteBytes = size_t{64} * 1024;
constexpr std::string_view kContinueReply = "HTTP/1.1 100 Continue\r\n\r\n";

auto Await(error_code& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

// Returns why a request is ambiguous, or nothing. Beast accepts some requests
// that another HTTP parser may interpret differently; none of them may reach an
// upstream.
std::string FindAmbiguity(const ClientRequest& request) {
  if (request.count(http::field::host) != 1) {
    return "exactly one Host field is needed";
  }
  if (request.count(http::field::content_length) > 1) {
    return "more than one Content-Length field";
  }
  if (request.count(http::field::transfer_encoding) > 0 &&
      (!request.chunked() ||
       request.count(http::field::transfer_encoding) > 1 ||
       request.count(http::field::content_length) > 0)) {
    return "a Transfer-Encoding other than chunked alone";
  }
  const std::string_view target = request.target();
  if (target.empty() || target.front() != '/') {
    return "the request target is not a path";
  }
  for (const auto& field : request) {
    for (const char c : std::string_view(field.value())) {
      if (c == '\r' || c == '\n' || c == '\0') {
        return "a control character in a field";
      }
    }
  }
  return {};
}

unsigned StatusOf(error_code error) {
  if (error == http::error::body_limit) {
    return 413;
  }
  return error == http::error::header_limit ||
                 error == http::error::buffer_overflow
             ? 431
             : 400;
}

// Resets the flags of a request that is being read.
struct ReadEnd {
  bool& is_reading;
  bool& is_uploading;
  ~ReadEnd() {
    is_reading = false;
    is_uploading = false;
  }
};

// Frees the buffer if it is empty: with thousands of connections that are idle
// or wait for a reply, their buffers alone would fill the budget.
void FreeIfEmpty(boost::beast::flat_buffer& buffer, MemoryHold& hold) {
  if (buffer.size() == 0) {
    buffer.shrink_to_fit();
  }
  hold.Set(buffer.capacity());
}

}  // namespace

ClientConnection::ClientConnection(asio::ip::tcp::socket socket,
                                   MemoryBudget& memory)
    : m_socket(std::move(socket)),
      m_memory(memory),
      m_request_hold(memory, MemoryKind::kRequests),
      m_read_hold(memory, MemoryKind::kRequests),
      m_write_hold(memory, MemoryKind::kStreams),
      m_data_arrived(m_socket.get_executor()),
      m_write_progress(m_socket.get_executor()) {
  error_code ignored;
  m_client_address = m_socket.remote_endpoint(ignored).address();
}

void ClientConnection::Start() {
  ReadMore();
}

// Little is read behind a request in progress: bytes that wait there give way
// to nobody. A read is pending until then, since only that notices a
// disconnect.
void ClientConnection::ReadMore() {
  const size_t max_bytes = m_is_reading ? kMaxReadAheadBytes : m_chunk.size();
  if (m_read_pending || m_is_disconnected || m_buffer.size() >= max_bytes) {
    return;
  }
  m_read_pending = true;
  m_socket.async_read_some(asio::buffer(m_chunk), [self = shared_from_this()](
                                                      error_code error,
                                                      size_t size) {
    self->m_read_pending = false;
    if (error) {
      self->m_is_disconnected = true;
      self->m_write_progress.cancel();
      if (auto on_disconnect = std::exchange(self->m_on_disconnect, nullptr)) {
        on_disconnect();
      }
    } else {
      asio::buffer_copy(self->m_buffer.prepare(size),
                        asio::buffer(self->m_chunk, size));
      self->m_buffer.commit(size);
      self->m_read_hold.Set(self->m_buffer.capacity());
      if (self->m_is_uploading) {
        self->m_last_arrived_at = Now();
      }
      self->ReadMore();
    }
    self->m_data_arrived.cancel();
  });
}

asio::awaitable<bool> ClientConnection::WaitForBytes(
    steady_clock::time_point deadline) {
  ReadMore();
  const size_t before = m_buffer.size();
  while (!m_is_disconnected && !m_upload_ended && m_buffer.size() == before) {
    if (steady_clock::now() >= deadline) {
      co_return false;
    }
    error_code ignored;
    m_data_arrived.expires_at(deadline);
    co_await m_data_arrived.async_wait(Await(ignored));
  }
  co_return m_buffer.size() != before;
}

// Bodies in chunks are reserved in the steps in which they grow, before they
// do: their sum is known only at their end.
bool ClientConnection::AdmitBody(Parser& parser,
                                 uint64_t max_bytes,
                                 const MakeRoom& make_room) {
  std::string& body = parser.get().body();
  uint64_t needed = body.size();
  if (parser.content_length()) {
    needed = std::max(needed, *parser.content_length());
  } else if (!parser.is_done()) {
    needed += m_buffer.size();
    needed = std::max(needed, std::min(std::bit_ceil(needed), max_bytes));
  }
  if (m_is_uploading && needed <= m_request_hold.Bytes()) {
    return true;
  }
  if (!std::exchange(m_is_uploading, true)) {
    m_last_arrived_at = Now();
  }
  m_wanted_bytes = needed;
  if (!AdmitsBody(m_memory, m_request_hold.Bytes(), m_wanted_bytes) &&
      !make_room(m_wanted_bytes)) {
    return false;
  }
  m_request_hold.Set(m_wanted_bytes);
  body.reserve(m_wanted_bytes);
  return true;
}

asio::awaitable<ReadClientResult> ClientConnection::ReadRequest(
    ClientLimits limits,
    MakeRoom make_room) {
  const auto self = shared_from_this();
  const ReadEnd read_end{m_is_reading, m_is_uploading};
  m_is_reading = true;
  m_waits_since = Now();
  m_idle = m_buffer.size() == 0;
  m_request_hold.Set(0);
  FreeIfEmpty(m_buffer, m_read_hold);
  if (m_idle &&
      !co_await WaitForBytes(steady_clock::now() + limits.idle_timeout)) {
    co_return ConnectionEnded{};
  }
  m_idle = false;
  Parser parser;
  parser.header_limit(limits.header_bytes);
  parser.body_limit(limits.body_bytes);
  parser.eager(true);
  auto deadline = steady_clock::now() + limits.header_timeout;
  bool has_header = false;
  m_wanted_bytes = 0;
  const auto refusal = [&] {
    m_request_hold.Set(0);
    return RefusedClientRequest{parser.get().base(), m_wanted_bytes,
                                LevelOf(m_memory),
                                parser.is_done() && parser.get().keep_alive() &&
                                    FindAmbiguity(parser.get()).empty(),
                                parser.get().method() == http::verb::head};
  };
  while (!parser.is_done()) {
    if (std::exchange(m_upload_ended, false)) {
      co_return refusal();
    }
    error_code error;
    const size_t used = parser.put(m_buffer.data(), error);
    m_buffer.consume(used);
    if (error && error != http::error::need_more) {
      co_return BadClientRequest{StatusOf(error), error.message()};
    }
    if (parser.is_header_done() &&
        !AdmitBody(parser, limits.body_bytes, make_room)) {
      co_return refusal();
    }
    if (!has_header && parser.is_header_done()) {
      has_header = true;
      deadline = steady_clock::now() + kBodyTimeout;
      if (parser.get()[http::field::expect] == "100-continue" &&
          !parser.is_done()) {
        std::string interim(kContinueReply);
        co_await Write(std::move(interim));
      }
    }
    if (parser.is_done()) {
      break;
    }
    if (used > 0 && m_buffer.size() > 0) {
      continue;
    }
    if (!co_await WaitForBytes(deadline) && !m_upload_ended) {
      if (m_is_disconnected) {
        co_return ConnectionEnded{};
      }
      co_return BadClientRequest{408, "the request took too long to arrive"};
    }
    if (has_header && !m_upload_ended &&
        !AdmitBody(parser, limits.body_bytes, make_room)) {
      co_return refusal();
    }
  }
  m_is_uploading = false;
  FreeIfEmpty(m_buffer, m_read_hold);
  ReadMore();
  ClientRequest request = parser.release();
  const std::string ambiguity = FindAmbiguity(request);
  if (!ambiguity.empty()) {
    co_return BadClientRequest{400, ambiguity};
  }
  co_return request;
}

std::optional<UnfinishedUpload> ClientConnection::Upload(Time now) const {
  if (!m_is_uploading || m_upload_ended) {
    return std::nullopt;
  }
  return UnfinishedUpload{
      std::max<uint64_t>(m_wanted_bytes, m_request_hold.Bytes()),
      m_request_hold.Bytes(), 0, now - m_last_arrived_at};
}

ConnectionUse ClientConnection::Use() const {
  if (m_is_disconnected || !(m_is_reading || m_is_refused)) {
    return ConnectionUse::kServed;
  }
  return m_is_refused ? ConnectionUse::kRefused
         : m_idle     ? ConnectionUse::kIdle
                      : ConnectionUse::kArriving;
}

void ClientConnection::EndUpload() {
  m_upload_ended = true;
  m_request_hold.Set(0);
  m_data_arrived.cancel();
}

asio::awaitable<bool> ClientConnection::Write(std::string bytes) {
  const auto self = shared_from_this();
  if (m_is_disconnected) {
    co_return false;
  }
  if (m_memory.paces_streams) {
    Enqueue(std::move(bytes));
    co_await Flush();
    co_return !IsBroken();
  }
  error_code error;
  m_write_hold.Set(bytes.size());
  m_last_taken_at = Now();
  const auto record_progress = [this](error_code failed, size_t) {
    m_last_taken_at = Now();
    return failed ? 0 : kMaxWriteBytes;
  };
  co_await asio::async_write(m_socket, asio::buffer(bytes), record_progress,
                             Await(error));
  m_write_hold.Set(0);
  co_return !error;
}

asio::awaitable<bool> ClientConnection::WriteAhead(std::string bytes) {
  if (!m_memory.paces_streams) {
    co_return co_await Write(std::move(bytes));
  }
  const auto self = shared_from_this();
  if (!IsBroken()) {
    Enqueue(std::move(bytes));
  }
  while (!IsBroken() && UntakenCount() > 0 &&
         UntakenCount() >=
             MaxHeldOfStream(LevelOf(m_memory), Now() - m_last_taken_at)) {
    co_await WaitForProgress(kLevelCheckInterval);
  }
  co_return !IsBroken();
}

asio::awaitable<void> ClientConnection::Flush() {
  const auto self = shared_from_this();
  while (!IsBroken() && UntakenCount() > 0) {
    co_await WaitForProgress(seconds(60));
  }
}

asio::awaitable<void> ClientConnection::WaitForProgress(Duration max_wait) {
  error_code ignored;
  m_write_progress.expires_after(max_wait);
  co_await m_write_progress.async_wait(Await(ignored));
}

size_t ClientConnection::UntakenCount() const {
  return m_writing.size() - m_written + m_to_write.size();
}

void ClientConnection::Enqueue(std::string bytes) {
  if (UntakenCount() == 0) {
    m_last_taken_at = Now();
  }
  if (m_to_write.empty()) {
    m_to_write = std::move(bytes);
  } else {
    m_to_write += bytes;
  }
  // Also while a write is pending, which WriteMore() leaves alone.
  m_write_hold.Set(m_writing.size() + m_to_write.size());
  WriteMore();
}

void ClientConnection::WriteMore() {
  if (m_write_pending || IsBroken()) {
    return;
  }
  if (m_written == m_writing.size()) {
    m_writing = std::exchange(m_to_write, {});
    m_written = 0;
  }
  m_write_hold.Set(m_writing.size() + m_to_write.size());
  if (m_writing.empty()) {
    return;
  }
  m_write_pending = true;
  m_socket.async_write_some(
      asio::buffer(m_writing) + m_written,
      [self = shared_from_this()](error_code error, size_t size) {
        self->m_write_pending = false;
        self->m_written += size;
        self->m_last_taken_at = Now();
        self->m_write_failed |= static_cast<bool>(error);
        self->WriteMore();
        self->m_write_progress.cancel();
      });
}

std::optional<UntakenBytes> ClientConnection::Untaken(Time now) const {
  if (m_write_hold.Bytes() == 0) {
    return std::nullopt;
  }
  return UntakenBytes{m_write_hold.Bytes() + m_request_hold.Bytes(),
                      now - m_last_taken_at};
}

void ClientConnection::Close() {
  error_code ignored;
  m_is_disconnected = true;
  m_on_disconnect = nullptr;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  m_socket.close(ignored);
}

asio::awaitable<void> ClientConnection::CloseAfterRefusal() {
  const auto self = shared_from_this();
  const auto deadline = steady_clock::now() + kRefusalLinger;
  error_code ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  m_is_refused = true;
  size_t discarded = 0;
  do {
    discarded += m_buffer.size();
    m_buffer.consume(m_buffer.size());
    FreeIfEmpty(m_buffer, m_read_hold);
  } while (discarded <= kMaxDiscardedBytes && co_await WaitForBytes(deadline));
  Close();
}

// A reset frees what the kernel has buffered for the client.
void ClientConnection::Drop() {
  error_code ignored;
  m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
  const auto on_disconnect = std::exchange(m_on_disconnect, nullptr);
  Close();
  m_write_progress.cancel();
  if (on_disconnect) {
    on_disconnect();
  }
}

void ClientConnection::SetDisconnectHandler(
    std::function<void()> on_disconnect) {
  m_on_disconnect = std::move(on_disconnect);
  if (!m_on_disconnect) {
    return;
  }
  // The pending read completes only after the request has been sent on.
  m_is_disconnected |= PeekSocket(m_socket) == SocketPeek::kClosed;
  if (m_is_disconnected) {
    std::exchange(m_on_disconnect, nullptr)();
  }
}

}  // namespace pomeloring
