// Defines RequestTrait: a property that requests share and under which
// upstreams may exit.

#ifndef POMELORING_ROUTING_REQUEST_TRAITS_H_
#define POMELORING_ROUTING_REQUEST_TRAITS_H_

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "routing/upstream_state.h"

namespace pomeloring {

using TraitId = uint64_t;

enum class TraitKind {
  kPromptPart,    // A part of prompts; see PromptPart::id.
  kWholeRequest,  // See IdOfRequest().
};

std::string_view ToString(TraitKind kind);

struct RequestTrait {
  TraitId id = 0;
  TraitKind kind = TraitKind::kPromptPart;
};

// What makes two requests the same, whatever their ids.
struct RequestIdentity {
  std::string_view account;  // Empty for an anonymous caller.
  std::string_view method;
  std::string_view host;
  std::string_view target;  // Path and query.
  std::string_view body;
};

// Returns a hash, so that nothing of the request can be read from logs or
// digests.
TraitId IdOfRequest(const RequestIdentity& request);

// Returns the traits of a request with the prompt `parts`: those that other
// requests may share, and the request as a whole unless `whole_request` is 0.
// The last part belongs to the request or its session.
std::vector<RequestTrait> TraitsOf(std::span<const PromptPart> parts,
                                   TraitId whole_request);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_REQUEST_TRAITS_H_
