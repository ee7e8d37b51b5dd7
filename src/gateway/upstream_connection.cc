#include "gateway/upstream_connection.h"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "link/address.h"
#include "link/socket_peek.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Upstreams are in the same region: connecting takes some milliseconds, and TCP
// resends a lost SYN only after a second.
constexpr milliseconds kConnectTimeout{300};
// Applied to the idle timeout that an upstream advertises, so that it does not
// close the connection while a request is on its way.
constexpr double kIdleTimeoutFraction = 0.5;
constexpr milliseconds kDefaultIdleTimeout{4000};
// For requests that may not be retried: one is lost if the upstream closes the
// connection meanwhile.
constexpr milliseconds kMaxFreshIdleTime{1000};
// With `keeps_idle_longer`. A request that may be retried loses a few
// milliseconds if it meets the upstream's close, which takes a network delay in
// the whole time; an earlier close is noticed before the request is sent.
constexpr milliseconds kLongIdleTimeout{15000};
constexpr milliseconds kIdleCloseMargin{1000};

// The idle timeout by the halved advertised one.
milliseconds ShortIdleTimeout(milliseconds advertised) {
  return advertised.count() > 0 ? milliseconds{static_cast<int64_t>(
                                      kIdleTimeoutFraction *
                                      static_cast<double>(advertised.count()))}
                                : kDefaultIdleTimeout;
}

milliseconds LongIdleTimeout(milliseconds advertised) {
  return advertised.count() > 0
             ? std::clamp(
                   advertised - kIdleCloseMargin, ShortIdleTimeout(advertised),
                   std::max(ShortIdleTimeout(advertised), kLongIdleTimeout))
             : kLongIdleTimeout;
}

// Until when an unsafe request may use the idle connection.
steady_clock::time_point FreshUntil(const UpstreamConnection& connection) {
  return connection.idle_since +
         std::min(kMaxFreshIdleTime,
                  ShortIdleTimeout(connection.advertised_idle_timeout));
}

milliseconds TimeUntil(steady_clock::time_point then,
                       steady_clock::time_point now) {
  return std::max(milliseconds{0},
                  std::chrono::duration_cast<milliseconds>(then - now));
}

}  // namespace

void UpstreamConnection::Close() {
  error_code ignored;
  socket.close(ignored);
}

bool UpstreamPool::IsUnusable(UpstreamConnection& connection) {
  if (steady_clock::now() - connection.idle_since >= connection.idle_timeout) {
    ++m_counts.expired;
    return true;
  }
  // Bytes on an idle connection belong to no request.
  if (PeekSocket(connection.socket) != SocketPeek::kNothing) {
    ++m_counts.closed_by_upstream;
    return true;
  }
  return false;
}

// From the most recent connection on: if one is not fresh, none before it is.
std::shared_ptr<UpstreamConnection> UpstreamPool::TakeIdle(
    Host& host,
    const ConnectionNeeds& needs) {
  for (size_t i = host.idle.size(); i-- > 0;) {
    if (!MayCarry(host.idle[i]->carried, needs.request_id)) {
      continue;
    }
    const bool is_unusable = IsUnusable(*host.idle[i]);
    const bool is_stale =
        needs.fresh_only && steady_clock::now() >= FreshUntil(*host.idle[i]);
    if (!is_unusable && is_stale && m_settings.keeps_idle_longer) {
      return nullptr;  // Kept for a request that may be retried.
    }
    auto connection = std::move(host.idle[i]);
    host.idle.erase(host.idle.begin() + static_cast<ptrdiff_t>(i));
    if (!is_unusable && !is_stale) {
      ++m_counts.reused;
      return connection;
    }
    m_counts.expired += is_unusable ? 0 : 1;
    connection->Close();
    --host.open;
  }
  return nullptr;
}

void UpstreamPool::CloseOldestIdle(Host& host) {
  host.idle.front()->Close();
  host.idle.erase(host.idle.begin());
  --host.open;
  ++m_counts.expired;
}

void UpstreamPool::ReportIdle(const std::string& address,
                              const Host& host) const {
  if (!m_settings.on_idle_change) {
    return;
  }
  const auto now = steady_clock::now();
  IdleTimes times;
  for (const auto& connection : host.idle) {
    times.retryable = std::max(
        times.retryable,
        TimeUntil(connection->idle_since + connection->idle_timeout, now));
    times.unsafe =
        std::max(times.unsafe, TimeUntil(FreshUntil(*connection), now));
  }
  m_settings.on_idle_change(address, times);
}

asio::awaitable<UpstreamConnectResult> UpstreamPool::Connect(
    ConnectionNeeds needs) {
  Host& host = m_hosts[needs.address];
  const size_t idle_before = host.idle.size();
  auto idle = TakeIdle(host, needs);
  if (!idle && host.open >= needs.max_open && !host.idle.empty()) {
    CloseOldestIdle(host);
  }
  if (host.idle.size() != idle_before) {
    ReportIdle(needs.address, host);
  }
  if (idle) {
    co_return idle;
  }
  if (host.open >= needs.max_open) {
    co_return ConnectionLimitReached{};
  }
  co_return co_await Open(std::move(needs.address));
}

asio::awaitable<UpstreamConnectResult> UpstreamPool::Open(std::string address) {
  const auto endpoint = ParseTcpAddress(address);
  if (!endpoint) {
    co_return UnreachableUpstream{address};
  }
  ++m_hosts[address].open;
  ++m_counts.opened;
  auto connection =
      std::make_shared<UpstreamConnection>(m_context.get_executor());
  connection->address = address;
  asio::steady_timer timer(m_context, kConnectTimeout);
  timer.async_wait([connection](error_code error) {
    if (!error) {
      connection->Close();
    }
  });
  error_code error;
  co_await connection->socket.async_connect(
      *endpoint, asio::redirect_error(asio::use_awaitable, error));
  timer.cancel();
  if (error || !connection->socket.is_open()) {
    RecordClosed(address);
    co_return UnreachableUpstream{address,
                                  error == asio::error::connection_refused};
  }
  connection->socket.set_option(tcp::no_delay(true), error);
  co_return connection;
}

void UpstreamPool::ReturnIdle(std::shared_ptr<UpstreamConnection> connection) {
  connection->is_reused = true;
  connection->idle_since = steady_clock::now();
  connection->idle_timeout =
      m_settings.keeps_idle_longer
          ? LongIdleTimeout(connection->advertised_idle_timeout)
          : ShortIdleTimeout(connection->advertised_idle_timeout);
  const std::string address = connection->address;
  Host& host = m_hosts[address];
  host.idle.push_back(std::move(connection));
  ReportIdle(address, host);
}

bool UpstreamPool::HasIdle(const std::string& address,
                           std::string_view request_id) const {
  const auto host = m_hosts.find(address);
  return host != m_hosts.end() &&
         std::any_of(host->second.idle.begin(), host->second.idle.end(),
                     [&](const auto& connection) {
                       return MayCarry(connection->carried, request_id);
                     });
}

void UpstreamPool::CloseIdleTo(const std::string& address) {
  const auto host = m_hosts.find(address);
  if (host == m_hosts.end()) {
    return;
  }
  for (const auto& connection : host->second.idle) {
    connection->Close();
  }
  host->second.open -= host->second.idle.size();
  host->second.idle.clear();
  ReportIdle(address, host->second);
}

void UpstreamPool::RecordClosed(const std::string& address) {
  ++m_counts.not_reusable;
  const auto host = m_hosts.find(address);
  if (host != m_hosts.end() && host->second.open > 0) {
    --host->second.open;
  }
}

// A connection that its upstream has closed must not attract a request.
void UpstreamPool::CloseIdle() {
  const auto now = steady_clock::now();
  for (auto host = m_hosts.begin(); host != m_hosts.end();) {
    auto& idle = host->second.idle;
    const size_t before = idle.size();
    std::erase_if(idle, [&](const auto& connection) {
      const bool is_closed =
          m_settings.keeps_idle_longer
              ? IsUnusable(*connection)
              : now - connection->idle_since >= connection->idle_timeout;
      if (is_closed) {
        m_counts.expired += m_settings.keeps_idle_longer ? 0 : 1;
        connection->Close();
      }
      return is_closed;
    });
    if (idle.size() != before) {
      host->second.open -= before - idle.size();
      ReportIdle(host->first, host->second);
    }
    host = host->second.open == 0 ? m_hosts.erase(host) : std::next(host);
  }
}

}  // namespace pomeloring
