// Defines Gateway: an instance that forwards requests to the upstreams that are
// registered in the platform's store.

#ifndef POMELORING_GATEWAY_GATEWAY_H_
#define POMELORING_GATEWAY_GATEWAY_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "gateway/gateway_settings.h"
#include "gateway/platform_api.h"
#include "gateway/shared_log.h"
#include "gateway/store.h"
#include "gateway/wire_codec.h"
#include "link/http_server.h"

namespace pomeloring {

enum class GatewayExit {
  kStopped,        // Graceful shutdown; no request was cut off.
  kDrainTimedOut,  // Graceful shutdown that cut off requests at its deadline.
};

// The instances that a caller should use, and how long it may cache them.
struct AddressAnswer {
  std::vector<std::string> addresses;
  std::chrono::seconds ttl{1};
};

class Gateway;

// The deployment's HTTP API for address lookups and readiness checks.
struct GatewayHandlers {
  std::function<HttpReply(const Gateway&, const HttpRequest&)> directory;
  std::function<HttpReply(const Gateway&, const HttpRequest&)> ready;
};

class Gateway {
 public:
  virtual ~Gateway() = default;
  // Serves until a graceful shutdown has ended. SIGTERM and SIGINT start one;
  // SIGHUP reloads the settings.
  virtual GatewayExit Run() = 0;
  // Starts a graceful shutdown. Safe to call from any thread.
  virtual void Stop() = 0;
  virtual bool IsReady() const = 0;
  // Returns the instances that a caller in the failure domain `caller` should
  // use.
  virtual AddressAnswer AddressesFor(const FailureDomain& caller) const = 0;
};

using GatewayError = ListenError;

class GatewayBuilder {
 public:
  // `path` is the file of the settings, which is read again on a reload.
  GatewayBuilder& WithSettings(GatewaySettings settings, std::string path);
  GatewayBuilder& WithWireCodec(WireCodec codec);
  GatewayBuilder& WithStoreCodec(StoreCodec codec);
  GatewayBuilder& WithStore(std::unique_ptr<Store> store);
  // Without a log, what is kept in it does not outlive the instances.
  GatewayBuilder& WithSharedLog(std::unique_ptr<SharedLog> log);
  // Without it, the instance has no duties.
  GatewayBuilder& WithPlatformApi(std::unique_ptr<PlatformApi> api);
  GatewayBuilder& WithHandlers(GatewayHandlers handlers);
  // Listens on all addresses of the settings; fails if one can't be used.
  std::variant<std::unique_ptr<Gateway>, GatewayError> Build();

 private:
  GatewaySettings m_settings;
  std::string m_path;
  WireCodec m_codec;
  StoreCodec m_store_codec;
  std::unique_ptr<Store> m_store;
  std::unique_ptr<SharedLog> m_shared_log;
  std::unique_ptr<PlatformApi> m_platform_api;
  GatewayHandlers m_handlers;
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_GATEWAY_H_
