#include "gateway/serve_connection.h"

#include "gateway/exchange.h"

namespace pomeloring {

namespace asio = boost::asio;

asio::awaitable<void> ServeConnection(
    GatewayParts& parts,
    std::shared_ptr<ClientConnection> client) {
  client->Start();
  while (true) {
    const auto config = parts.router.Config();
    const ClientLimits limits = config ? config->limits : ClientLimits();
    auto read = co_await client->ReadRequest(limits);
    if (std::holds_alternative<ConnectionEnded>(read)) {
      client->Close();
      co_return;
    }
    if (auto* bad = std::get_if<BadClientRequest>(&read)) {
      CountEvent(parts.metrics, "bad_requests");
      parts.log.Write(
          LogLevel::kInfo, "bad-request",
          {{"status", std::to_string(bad->status)}, {"reason", bad->reason}});
      const OwnReply reply{bad->status, "bad-request", bad->reason};
      const ReplyContext context{"", "", false};
      std::string bytes = WriteOwnReply(reply, context);
      co_await client->Write(std::move(bytes));
      client->Close();
      co_return;
    }
    ++parts.exchanges;
    const auto exchange = std::make_shared<Exchange>(
        parts, client, std::get<ClientRequest>(std::move(read)));
    const bool keeps = co_await exchange->Serve();
    --parts.exchanges;
    if (!keeps) {
      client->Close();
      co_return;
    }
  }
}

}  // namespace pomeloring
