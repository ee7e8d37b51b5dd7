#include "gateway/serve_connection.h"

#include <fmt/format.h>

#include "gateway/exchange.h"
#include "gateway/memory_monitor.h"
#include "routing/routing_config.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;

asio::awaitable<void> ReplyRefused(GatewayContext& gateway,
                                   ClientConnection& client,
                                   RefusedClientRequest refused) {
  CountEvent(gateway.metrics, "memory_refusals");
  CountRequestEnd(gateway.metrics, "none", "503");
  const auto read = gateway.codec.read_request(refused.header);
  const auto* metadata = std::get_if<RequestMetadata>(&read);
  uint64_t seed = ++gateway.memory_refusals;
  const LocalReply reply{503, "memory-short",
                         "this instance holds too much to read the request",
                         RetryAfterRefusal(refused.level, NextRandom(seed))};
  const ReplyContext context{gateway.codec.request_id_field,
                             metadata != nullptr ? metadata->id : "",
                             refused.keep_alive, refused.is_head};
  gateway.log.Write(
      LogLevel::kInfo, "request-refused",
      {{"request", context.request_id},
       {"reason", reply.type},
       {"level", std::string(ToString(refused.level))},
       {"body_bytes", std::to_string(refused.body_bytes)},
       {"held_bytes", std::to_string(HeldBytes(gateway.memory))},
       {"limit_bytes", std::to_string(gateway.memory.limit)},
       {"retry_after_ms", fmt::format("{:.0f}", ToMillis(reply.retry_after))}});
  std::string bytes = WriteLocalReply(reply, context);
  co_await client.Write(std::move(bytes));
}

asio::awaitable<void> ServeRequests(GatewayContext& gateway,
                                    std::shared_ptr<ClientConnection> client) {
  while (true) {
    const auto config = gateway.router.Config();
    const ClientLimits limits = config ? config->limits : ClientLimits();
    auto read = co_await client->ReadRequest(limits, [&](uint64_t bytes) {
      return EndUploadsFor(gateway, *client, bytes);
    });
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
      if (bad->status == 413) {
        co_await client->CloseAfterRefusal();
      } else {
        client->Close();
      }
      co_return;
    }
    if (auto* refused = std::get_if<RefusedClientRequest>(&read)) {
      const bool keeps = refused->keep_alive && !gateway.close_after_reply;
      refused->keep_alive = keeps;
      co_await ReplyRefused(gateway, *client, std::move(*refused));
      if (!keeps) {
        co_await client->CloseAfterRefusal();
        co_return;
      }
      continue;
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

}  // namespace

asio::awaitable<void> ServeConnection(
    GatewayContext& gateway,
    std::shared_ptr<ClientConnection> client) {
  client->Start();
  gateway.callers.insert(client.get());
  co_await ServeRequests(gateway, client);
  gateway.callers.erase(client.get());
}

}  // namespace pomeloring
