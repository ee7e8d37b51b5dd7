#include "gateway/serve_connection.h"

#include "gateway/exchange.h"

namespace pomeloring {

namespace asio = boost::asio;

asio::awaitable<void> ServeConnection(
    GatewayContext& gateway,
    std::shared_ptr<ClientConnection> client) {
  client->Start();
  while (true) {
    const auto config = gateway.router.Config();
    const ClientLimits limits = config ? config->limits : ClientLimits();
    auto read = co_await client->ReadRequest(limits);
    if (std::holds_alternative<ConnectionEnded>(read)) {
      client->Close();
      co_return;
    }
    if (auto* bad = std::get_if<BadClientRequest>(&read)) {
      CountEvent(gateway.metrics, "bad_requests");
      gateway.log.Write(
          LogLevel::kInfo, "bad-request",
          {{"status", std::to_string(bad->status)}, {"reason", bad->reason}});
      const LocalReply reply{bad->status, "bad-request", bad->reason};
      const ReplyContext context{"", "", false};
      std::string bytes = WriteLocalReply(reply, context);
      co_await client->Write(std::move(bytes));
      client->Close();
      co_return;
    }
    ++gateway.active_exchanges;
    const auto exchange = std::make_shared<Exchange>(
        gateway, client, std::get<ClientRequest>(std::move(read)));
    const bool keeps = co_await exchange->Serve();
    --gateway.active_exchanges;
    if (!keeps) {
      client->Close();
      co_return;
    }
  }
}

}  // namespace pomeloring
