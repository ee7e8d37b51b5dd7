// Defines Store: how the gateway reads the configuration and the registered
// upstreams from the platform's store.

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
  std::optional<std::string> value;  // Nothing where the key was dropped.
};

// The newest entry of each key, as of `end`.
struct StoreList {
  std::vector<StoreEntry> entries;
  LogOffset end;
};

struct StorePage {
  std::vector<StoreEntry> entries;
  LogOffset end;  // The offset to read on from.
};

// The entries asked for have expired; the list has to be read.
struct HistoryExpired {};
// The store answered that it did nothing.
struct StoreRefused {
  unsigned status = 0;
};
// No answer came in time, or none that can be read.
struct StoreNoReply {};

using StoreListResult = std::variant<StoreList, StoreRefused, StoreNoReply>;
using StorePageResult =
    std::variant<StorePage, HistoryExpired, StoreRefused, StoreNoReply>;

class Store {
 public:
  virtual ~Store() = default;
  virtual boost::asio::awaitable<StoreListResult> List(StoreTopic topic) = 0;
  // Waits up to `wait` for entries from `from` on.
  virtual boost::asio::awaitable<StorePageResult>
  Read(StoreTopic topic, LogOffset from, std::chrono::milliseconds wait) = 0;
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_STORE_H_
