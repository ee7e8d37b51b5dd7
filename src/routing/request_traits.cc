#include "routing/request_traits.h"

#include <algorithm>
#include <cctype>
#include <string>

namespace pomeloring {

std::string_view ToString(TraitKind kind) {
  return kind == TraitKind::kPromptPart ? "prompt-part" : "whole-request";
}

TraitId IdOfRequest(const RequestIdentity& request) {
  std::string host(request.host);
  std::transform(host.begin(), host.end(), host.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  TraitId id = 0;
  for (const std::string_view field :
       {request.account, request.method, std::string_view(host), request.target,
        request.body}) {
    id = StableHash(field, id);
  }
  return std::max<TraitId>(id, 1);  // 0 stands for no trait.
}

std::vector<RequestTrait> TraitsOf(std::span<const PromptPart> parts,
                                   TraitId whole_request) {
  std::vector<RequestTrait> traits;
  for (size_t i = 0; i + 1 < parts.size(); ++i) {
    traits.push_back({parts[i].id, TraitKind::kPromptPart});
  }
  if (whole_request != 0) {
    traits.push_back({whole_request, TraitKind::kWholeRequest});
  }
  return traits;
}

}  // namespace pomeloring
