#include "link/sleep.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pomeloring {

namespace asio = boost::asio;

asio::awaitable<void> SleepFor(std::chrono::milliseconds duration) {
  boost::system::error_code ignored;
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}  // namespace pomeloring
