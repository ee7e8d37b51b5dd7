// Defines OriginLog: keeps in the platform's log where streams began, for
// callers that resume them after all instances were killed at once.

#ifndef POMELORING_GATEWAY_ORIGIN_LOG_H_
#define POMELORING_GATEWAY_ORIGIN_LOG_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "daemon/log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/shared_log.h"
#include "gateway/store.h"
#include "gateway/wire_codec.h"
#include "routing/origin_batch.h"
#include "routing/router.h"

namespace pomeloring {

struct OriginLogContext {
  boost::asio::io_context& context;
  Router& router;
  Store& store;
  SharedLog& shared_log;
  const StoreCodec& codec;
  Log& log;
  GatewayMetrics& metrics;
  // The other instances that are alive.
  std::function<std::vector<InstanceName>()> live_peers;
  // Whether this instance is one of those that read the store for all.
  std::function<bool()> should_read_store;
  // Whether the store lacks some of the history of the registrations.
  std::function<bool()> is_history_partial;
  std::function<void(const InstanceName&, std::span<const KeyedOrigin>)>
      send_to_appender;
  std::function<void(std::span<const KeyedOrigin>)> send_to_holders;
};

// Does nothing while no route is resumable. Used from one thread.
class OriginLog {
 public:
  explicit OriginLog(OriginLogContext context);

  // Appends origins soon, or has another instance append them.
  void Append(std::span<const KeyedOrigin> streams);
  // Appends what a peer has sent for that.
  void AppendForPeer(std::span<const KeyedOrigin> streams);
  // Whether this instance reads the log without being asked for a stream: the
  // fleet is small, or it is one of those that read the store for all.
  bool ReadsForAll() const;
  // Appends what is due. To be called many times a second.
  void Tick(Time now);
  // Reads the log once after the start, if this instance reads it for others or
  // the fleet is small.
  boost::asio::awaitable<void> ReadAfterStart();
  // Appends a batch now. Returns false unless the log has it.
  boost::asio::awaitable<bool> AppendNow(std::span<const KeyedOrigin> streams);
  // Reads the origins in the log, whenever they were read before. Returns
  // nothing if that failed.
  boost::asio::awaitable<std::optional<LoggedOrigins>> ReadOrigins();
  // Has the log read unless it has been, and waits up to `max_wait` for that.
  boost::asio::awaitable<void> AwaitRead(Duration max_wait);

 private:
  enum class ReadState { kNotRead, kReading, kRead };

  const std::map<ServiceName, Duration>& Lifetimes();
  boost::asio::awaitable<void> AppendBatch();
  // Appends again what the log may have lost in a restore from an older copy.
  void RepeatAfterRestore(Time now);
  void AppendVersionsIfDue(Time now);
  boost::asio::awaitable<void> AppendVersions(VersionSets versions);
  // Services whose versions this instance knows, all of them.
  VersionSets KnownVersions(Time now);
  boost::asio::awaitable<void> AppendKnownVersions(VersionSets versions);
  boost::asio::awaitable<bool> AppendRecord(std::string topic,
                                            std::string record);
  bool IsReadUseful(Time now);
  void StartReading();
  // Reads until a read has succeeded or nobody needs it any more.
  boost::asio::awaitable<void> Read();
  boost::asio::awaitable<bool> ReadHistory();
  boost::asio::awaitable<bool> ReadVersions();
  struct Tail {
    std::deque<SharedLogRecord> records;
    bool is_whole = true;  // The log has no older ones.
  };
  // Returns the newest records of a topic, about `max_records` and `max_bytes`
  // at most.
  boost::asio::awaitable<std::optional<Tail>> ReadTail(std::string topic,
                                                       uint64_t max_records,
                                                       size_t max_bytes);
  boost::asio::awaitable<void> SendToHolders(std::vector<KeyedOrigin> streams);

  OriginLogContext m_context;
  const Time m_started_at;
  std::optional<uint64_t> m_lifetimes_of;  // Version of the configuration.
  std::map<ServiceName, Duration> m_lifetimes;
  OriginQueue m_queue;
  uint64_t m_restores = 0;  // Of the log, that are known here.
  bool m_is_appending = false;
  bool m_append_failed = false;
  VersionSets m_recorded_versions;
  bool m_is_appending_versions = false;
  Time m_versions_due_at;
  Time m_known_versions_due_at;
  // Up to where records in the log tell all versions.
  std::map<ServiceName, LogOffset> m_known_up_to;
  ReadState m_read_state = ReadState::kNotRead;
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_ORIGIN_LOG_H_
