// Defines WireCodec and StoreCodec: a deployment's format of requests, replies
// and stored records. The gateway itself does not depend on the format.

#ifndef POMELORING_GATEWAY_WIRE_CODEC_H_
#define POMELORING_GATEWAY_WIRE_CODEC_H_

#include <boost/beast/http/fields.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "routing/routing_config.h"
#include "routing/upstream_state.h"
#include "routing/upstream_table.h"

namespace pomeloring {

using HttpFields = boost::beast::http::fields;

// What the header of a client's request contains for the gateway.
struct RequestMetadata {
  std::string id;   // Of this attempt of the client, or empty.
  std::string key;  // Of the client account, or empty.
  std::optional<Duration> time_left;
  uint32_t prompt_tokens = 0;
  std::vector<PromptPart> prompt_parts;
  // The last event that the client has received of a stream it resumes.
  std::optional<uint64_t> resume_after;
  // The id of the attempt that brought the first event of that stream, or
  // empty.
  std::string resumes;
};

struct MalformedField {
  std::string name;
  std::string expected;  // What the field must be, for error messages.
};

using ReadRequestResult = std::variant<RequestMetadata, MalformedField>;

// Fields that the gateway adds to the client's request.
struct UpstreamFields {
  Duration time_left{0};
  UpstreamName expected;  // Any other upstream must reject the request.
  std::optional<AccountName> account;
  std::optional<uint32_t> urgency;  // 0 is the most urgent.
  std::optional<uint64_t> resume_after;
};

struct ReplyMetadata {
  std::string request_id;
  bool not_executed = false;  // Stated by the upstream.
  bool is_signed = false;     // Carries the upstream's signature.
  ReplySignals signals;
  // A field of the signals that is ignored; the reply is valid without it.
  std::optional<MalformedField> malformed;
};

struct WireCodec {
  std::function<ReadRequestResult(const HttpFields&)> read_request;
  // Whether a field of the client's request is forwarded to the upstream.
  std::function<bool(std::string_view name)> forwards_to_upstream;
  // Appends the fields as header lines to `out`.
  std::function<void(const UpstreamFields&, std::string& out)> write_upstream;
  std::function<ReplyMetadata(unsigned status, const HttpFields&)> read_reply;
  // The field that carries the id of a request.
  std::string request_id_field;
};

struct StoreCodec {
  std::function<std::variant<RoutingConfig, MalformedField>(std::string_view)>
      read_config;
  std::function<std::variant<UpstreamRecord, MalformedField>(
      std::string_view id,
      std::string_view text)>
      read_upstream;
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_WIRE_CODEC_H_
