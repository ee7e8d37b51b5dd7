#include "gateway/request_write.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace pomeloring {

namespace asio = boost::asio;
using boost::system::error_code;

std::shared_ptr<RequestWrite> StartRequestWrite(
    std::shared_ptr<UpstreamConnection> connection,
    std::string bytes,
    MemoryHold hold) {
  struct Sending {
    std::string bytes;
    MemoryHold hold;
    std::shared_ptr<UpstreamConnection> connection;
  };
  auto write =
      std::make_shared<RequestWrite>(connection->socket.get_executor());
  auto sending = std::make_shared<Sending>(
      Sending{std::move(bytes), std::move(hold), std::move(connection)});
  auto& socket = sending->connection->socket;
  asio::async_write(socket, asio::buffer(sending->bytes),
                    [sending, write](error_code error, size_t) {
                      write->outcome = {!error, error};
                      write->ended.cancel();
                    });
  return write;
}

asio::awaitable<void> AwaitWrite(std::shared_ptr<RequestWrite> write) {
  while (!write->outcome.is_complete && !write->outcome.error) {
    error_code ignored;
    co_await write->ended.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

}  // namespace pomeloring
