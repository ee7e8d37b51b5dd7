// Defines SleepFor(): suspends a coroutine on its own executor.

#ifndef POMELORING_LINK_SLEEP_H_
#define POMELORING_LINK_SLEEP_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>

namespace pomeloring {

boost::asio::awaitable<void> SleepFor(std::chrono::milliseconds duration);

}  // namespace pomeloring

#endif  // POMELORING_LINK_SLEEP_H_
