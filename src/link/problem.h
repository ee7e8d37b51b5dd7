// Defines the problem replies (RFC 9457) that tell a caller the typed outcome
// of its request.

#ifndef POMELORING_LINK_PROBLEM_H_
#define POMELORING_LINK_PROBLEM_H_

#include <string>
#include <string_view>

#include "core/outcome.h"
#include "link/http_server.h"

namespace pomeloring {

// A request that can't be accepted as it is: it was not run, and to send it
// again unchanged is of no use.
struct BadRequest {
  unsigned status = 400;
  std::string_view type;  // E.g. "unknown-model".
  std::string field;      // What is wrong: a field, header or path.
  std::string advice;     // What to do.
};

HttpReply ProblemFor(const BadRequest& error, const std::string& request_id);

// `outcome` is any but Answered. Every "not run" carries Retry-After.
HttpReply ProblemFor(const Outcome& outcome, const std::string& request_id);

// For requests that break a limit of the server before they are read.
HttpReply ProblemForStatus(unsigned status);

}  // namespace pomeloring

#endif  // POMELORING_LINK_PROBLEM_H_
