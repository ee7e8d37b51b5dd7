#include "gateway/reply_end.h"

#include <boost/asio/error.hpp>

#include "link/socket_peek.h"

namespace pomeloring {

namespace asio = boost::asio;

// The kernel reports a socket's error once, to the read or to the write that
// comes first; a read after the write returns an end of file as after a clean
// close. The handlers may run in the other order: a write that has taken the
// error can still look pending when the read returns.
//
// A complete write has left the error to the read, which would have returned
// it. EPIPE tells that the reset followed the other end's FIN. Without a reset
// the write may never end, since the other end need not read on: that FIN shows
// in the connection's state.
EndOfFile JudgeEndOfFile(bool is_half_closed, const WriteOutcome& write) {
  if (write.error && write.error != asio::error::broken_pipe) {
    return EndOfFile::kReset;
  }
  const bool has_ended = write.is_complete || write.error;
  return has_ended || is_half_closed ? EndOfFile::kClosed
                                     : EndOfFile::kUndecided;
}

// On a connection that is not half closed after an end of file, each further
// write fails at once.
asio::awaitable<bool> IsEndOfReply(
    std::shared_ptr<UpstreamConnection> connection,
    std::shared_ptr<RequestWrite> write) {
  EndOfFile end =
      JudgeEndOfFile(IsHalfClosed(connection->socket), write->outcome);
  if (end == EndOfFile::kUndecided) {
    co_await AwaitWrite(write);
    end = JudgeEndOfFile(false, write->outcome);
  }
  co_return end == EndOfFile::kClosed;
}

}  // namespace pomeloring
