// Defines PerformRequest: sends one request of a caller and records its reply.

#ifndef POMELORING_TEST_SOAK_SOAK_CALLER_H_
#define POMELORING_TEST_SOAK_SOAK_CALLER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>

#include "soak/oracle.h"

namespace pomeloring::soak {

struct CallerPlan {
  std::string address;
  std::string id;
  int id_use = 0;  // Counts the requests with this id. 0: not stated.
  std::optional<std::chrono::milliseconds> disconnect_after;
};

// Sends the request that `record` describes, and fills in the rest of `record`.
boost::asio::awaitable<void> PerformRequest(boost::asio::io_context& context,
                                            CallerPlan plan,
                                            RequestRecord& record);

}  // namespace pomeloring::soak

#endif  // POMELORING_TEST_SOAK_SOAK_CALLER_H_
