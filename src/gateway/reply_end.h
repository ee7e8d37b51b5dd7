// Defines JudgeEndOfFile() and IsEndOfReply(): whether a connection that ends
// behind the bytes of a reply was closed by its other end, or reset.

#ifndef POMELORING_GATEWAY_REPLY_END_H_
#define POMELORING_GATEWAY_REPLY_END_H_

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "gateway/request_write.h"
#include "gateway/upstream_connection.h"

namespace pomeloring {

enum class EndOfFile {
  kClosed,     // By the other end, behind its last byte.
  kReset,      // Bytes may be missing.
  kUndecided,  // The outcome of the write will tell.
};

// Judges an end of file that a read has returned while `write` was in progress,
// or after it. `is_half_closed` is the result of IsHalfClosed() since then.
EndOfFile JudgeEndOfFile(bool is_half_closed, const WriteOutcome& write);

// Whether an end of file ends a reply without a length. Waits for the write
// only on a connection that the kernel has given up.
boost::asio::awaitable<bool> IsEndOfReply(
    std::shared_ptr<UpstreamConnection> connection,
    std::shared_ptr<RequestWrite> write);

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_REPLY_END_H_
