// Defines ShareLog: records in the platform's log how this instance divides new
// streams among software versions, and finds by such records the version of a
// stream that nobody knows any more.

#ifndef POMELORING_GATEWAY_SHARE_LOG_H_
#define POMELORING_GATEWAY_SHARE_LOG_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "daemon/log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/shared_log.h"
#include "routing/origin_batch.h"
#include "routing/router.h"
#include "routing/stream_resumption.h"
#include "routing/version_shares.h"

namespace pomeloring {

struct ShareLogContext {
  boost::asio::io_context& context;
  Router& router;
  SharedLog& shared_log;
  Log& log;
  GatewayMetrics& metrics;
  // No process of the fleet has run before this one.
  bool is_first_start = false;
  std::function<std::vector<InstanceName>()> live_peers;
  // Append origins to the log, and read all of them; false or nothing: failed.
  std::function<boost::asio::awaitable<bool>(std::span<const KeyedOrigin>)>
      append_origins;
  std::function<boost::asio::awaitable<std::optional<LoggedOrigins>>()>
      read_origins;
  // Asks some peers for what they know of a stream and of its service.
  std::function<boost::asio::awaitable<StreamOriginReport>(StreamKey,
                                                           ServiceName)>
      ask_peers;
  // As StoreFeed::ConfirmUpstreams().
  std::function<boost::asio::awaitable<bool>(Time since, Duration max_wait)>
      confirm_upstreams;
};

// Does nothing while no route is resumable. Used from one thread.
class ShareLog {
 public:
  explicit ShareLog(ShareLogContext context);

  // Records changed shares. To be called many times a second.
  void Tick(Time now);
  // Returns whether within `max_wait` the origin was in the log, or needed not
  // be: its version follows from recorded shares, or is the only one.
  boost::asio::awaitable<bool> AppendOrigin(KeyedOrigin stream,
                                            Duration max_wait);
  using Resolution = std::variant<StreamOrigin, ShareRefusal>;

  // Finds the version of a stream that was taken up at `since` and that no
  // instance knows.
  boost::asio::awaitable<Resolution> Resolve(StreamKey key,
                                             ServiceName service,
                                             Time since,
                                             Duration max_wait);
  // Tells the router which versions streams in progress may have begun at, as
  // all processes have recorded them. Does nothing if it was done just now.
  boost::asio::awaitable<void> LearnVersions();

 private:
  boost::asio::awaitable<Resolution> ResolveByLog(StreamKey key,
                                                  ServiceName service,
                                                  Time since,
                                                  Time until);
  // Why what was read does not tell all streams and shares, if it does not.
  std::optional<ShareRefusal> FindGap() const;
  // All processes' records that were read, and this one's present one.
  std::vector<ShareRecord> AllRecords() const;
  void FreeUnlessInUse();
  void LearnVersionsOf(const ServiceName& service);
  struct RecordedShares {
    std::map<std::string, ShareRecord> by_key;
    uint64_t restores = 0;
  };

  // The services with a resumable route, and the shares due to each now.
  SharesByService DueShares() const;
  // Longer than a stream that has not ended may have run.
  Duration MaxStreamAge() const;
  bool IsRecordDue(const SharesByService& due) const;
  boost::asio::awaitable<void> Update(SharesByService due);
  boost::asio::awaitable<bool> FindEarlierProcesses();
  // Appends the origins of the streams of `services` that began here.
  boost::asio::awaitable<bool> AppendStreamsOf(std::set<ServiceName> services);
  // Appends the origins of the streams that began here by shares that are no
  // longer active, and records that these are not in use.
  boost::asio::awaitable<bool> AppendRetained();
  boost::asio::awaitable<bool> Put(const ShareRecord& record);
  boost::asio::awaitable<void> RemoveEarlierRecords();
  ShareRecord CurrentRecord(const SharesByService& due) const;
  std::string Key() const;
  // Whether all versions are known, here or at peers, and are only one.
  boost::asio::awaitable<bool> HasOnlyVersion(const KeyedOrigin& stream);
  boost::asio::awaitable<void> AppendWaiting();
  boost::asio::awaitable<void> ReadAll();
  bool HasRecordsOfLivePeers() const;

  ShareLogContext m_context;
  const Time m_started_at;
  ProcessShares m_shares;
  bool m_has_found_earlier = false;
  bool m_is_open = false;  // In the last record.
  Time m_open_until;
  bool m_was_recorded = false;
  uint64_t m_recorded_restores = 0;
  std::vector<std::string> m_earlier_keys;
  uint64_t m_key_sequence = 0;
  bool m_is_updating = false;
  Time m_due_at;

  std::vector<KeyedOrigin> m_waiting;  // To be appended at once.
  // Set when they are in the log.
  std::shared_ptr<bool> m_waiting_appended = std::make_shared<bool>(false);
  bool m_is_appending = false;

  bool m_is_reading = false;
  std::optional<Time> m_read_since;  // When the last successful read began.
  Time m_next_read_at;
  RecordedShares m_recorded;
  LoggedOrigins m_logged;
  size_t m_resolving = 0;  // Streams; for the last one `m_logged` is freed.
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_SHARE_LOG_H_
