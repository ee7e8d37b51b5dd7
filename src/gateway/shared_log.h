// Defines SharedLog: the gateway's interface to topics of its own in the
// platform's log, where state that must outlive all instances is kept.

#ifndef POMELORING_GATEWAY_SHARED_LOG_H_
#define POMELORING_GATEWAY_SHARED_LOG_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"

namespace pomeloring {

// Positions rise for good: the era of the log stands above the offset, as in
// the positions of Store.
struct LogAppended {
  LogOffset position;  // Of the record.
};
// The partition does not end where the condition requires. Nothing was
// appended.
struct LogConditionFailed {
  LogOffset end;  // Where it does end.
};
// Nothing was appended, or read. Status 0: no connection.
struct LogCallRefused {
  unsigned status = 0;
};
// An append may have taken effect, or may take effect seconds later if its
// condition still holds.
struct LogCallUnanswered {};

using SharedAppendResult = std::
    variant<LogAppended, LogConditionFailed, LogCallRefused, LogCallUnanswered>;

struct SharedLogRecord {
  LogOffset position;
  std::string bytes;
};

struct SharedLogPage {
  std::vector<SharedLogRecord> records;
  LogOffset first_retained;
  LogOffset end;  // Of the partition, not of the page.
};
// Records from the requested position on have expired, or the position is of an
// earlier era. Continue from `first_retained`.
struct SharedLogExpired {
  LogOffset first_retained;
};

using SharedReadResult = std::
    variant<SharedLogPage, SharedLogExpired, LogCallRefused, LogCallUnanswered>;

// The newest value of each key of a keyed topic.
struct SharedLogList {
  std::map<std::string, std::string> values;
  uint64_t restores = 0;  // Of the log from an older copy.
};

using SharedListResult =
    std::variant<SharedLogList, LogCallRefused, LogCallUnanswered>;

// All topics have one partition. A topic is created by its first append. Keyed
// topics have names of their own, and retain the newest value of each key
// without a limit.
class SharedLog {
 public:
  virtual ~SharedLog() = default;
  // Appends one record of at most 256 KiB; with `expected_end`, only if the
  // partition ends there.
  virtual boost::asio::awaitable<SharedAppendResult> Append(
      std::string topic,
      std::string record,
      std::optional<LogOffset> expected_end) = 0;
  // Returns the records from `from` on; waits up to `wait` for one.
  virtual boost::asio::awaitable<SharedReadResult>
  Read(std::string topic, LogOffset from, std::chrono::milliseconds wait) = 0;
  // Replaces the value of a key, which has 1 to 255 bytes, in a keyed topic.
  virtual boost::asio::awaitable<SharedAppendResult> Put(std::string topic,
                                                         std::string key,
                                                         std::string value) = 0;
  // Returns a keyed topic; one that does not exist yet is empty.
  virtual boost::asio::awaitable<SharedListResult> List(std::string topic) = 0;
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_SHARED_LOG_H_
