// Defines Store: the gateway's interface to the platform's store, which holds
// the configuration and the registered upstreams.

#ifndef POMELORING_GATEWAY_STORE_H_
#define POMELORING_GATEWAY_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"

namespace pomeloring {

enum class StoreTopic { kConfiguration, kUpstreams };

struct StoreEntry {
  std::string key;
  LogOffset offset;
  std::optional<std::string> value;  // Nothing if the key was removed.
};

// The newest entry of each key, as of `end`.
struct StoreList {
  std::vector<StoreEntry> entries;
  LogOffset end;
};

struct StorePage {
  std::vector<StoreEntry> entries;
  LogOffset end;          // The offset to continue from.
  bool has_more = false;  // The store has more entries, from `end` on.
  LogOffset first_retained;
};

// The requested entries have expired; call List() instead.
struct HistoryExpired {
  // The first entry that can still be read, if the store names it.
  std::optional<LogOffset> first_retained;
};
// The store rejected the call, or could not be reached (status 0).
struct StoreRefused {
  unsigned status = 0;
};
// No reply came in time, or a malformed one.
struct StoreNoReply {};

using StoreListResult = std::variant<StoreList, StoreRefused, StoreNoReply>;
using StorePageResult =
    std::variant<StorePage, HistoryExpired, StoreRefused, StoreNoReply>;

class Store {
 public:
  virtual ~Store() = default;
  // Returns the newest entry of each key.
  virtual boost::asio::awaitable<StoreListResult> List(StoreTopic topic) = 0;
  // Returns the entries from offset `from` on; waits up to `wait` for one.
  virtual boost::asio::awaitable<StorePageResult>
  Read(StoreTopic topic, LogOffset from, std::chrono::milliseconds wait) = 0;
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_STORE_H_
