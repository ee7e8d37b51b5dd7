// Defines the problem replies (RFC 9457) that report the typed outcome of a
// request to its caller.

#ifndef POMELORING_LINK_PROBLEM_H_
#define POMELORING_LINK_PROBLEM_H_

#include <string>
#include <string_view>

#include "core/outcome.h"
#include "link/http_server.h"

namespace pomeloring {

// A request that was rejected as invalid. It was not run, and would be rejected
// again if it were resent unchanged.
struct BadRequest {
  unsigned status = 400;
  std::string_view type;  // E.g. "unknown-model".
  std::string field;      // The invalid field, header or path.
  std::string advice;     // How to correct the request.
};

HttpReply ProblemFor(const BadRequest& error, const std::string& request_id);

// `outcome` must not be Answered. Every reply for NotRun has a Retry-After
// header.
HttpReply ProblemFor(const Outcome& outcome, const std::string& request_id);

// For requests that the HTTP server rejects before a handler sees them.
HttpReply ProblemForStatus(unsigned status);

}  // namespace pomeloring

#endif  // POMELORING_LINK_PROBLEM_H_
