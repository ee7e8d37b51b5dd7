#include "link/problem.h"

#include <boost/json.hpp>

namespace pomeloring {
namespace {

namespace json = boost::json;

constexpr std::string_view kTypePrefix = "https://pomeloring.invalid/problems/";

HttpReply MakeProblem(unsigned status,
                      std::string_view type,
                      std::string_view outcome,
                      std::string_view detail,
                      const std::string& request_id) {
  json::object problem{{"type", std::string(kTypePrefix) + std::string(type)},
                       {"title", type},
                       {"status", status},
                       {"outcome", outcome},
                       {"detail", detail}};
  if (!request_id.empty()) {
    problem["request_id"] = request_id;
  }
  HttpReply reply;
  reply.status = status;
  reply.content_type = "application/problem+json";
  reply.body = json::serialize(problem);
  return reply;
}

void AddRetryAfter(HttpReply& reply, Duration retry_after) {
  const auto whole_seconds = std::chrono::ceil<seconds>(retry_after).count();
  reply.headers.push_back(
      {"Retry-After", std::to_string(std::max<int64_t>(1, whole_seconds))});
}

std::string_view AdviceFor(DeclineReason reason) {
  switch (reason) {
    case DeclineReason::kOverloaded:
      return "the queue is full; come back after the time in Retry-After";
    case DeclineReason::kTooLate:
      return "the target can't be met now; come back after Retry-After";
    case DeclineReason::kNoUpstream:
      return "no upstream of the service is in service; come back later";
    case DeclineReason::kNotScheduler:
    case DeclineReason::kNoScheduler:
      return "no scheduler answered in time; come back after Retry-After";
    case DeclineReason::kAccountLimit:
      return "the account has too many requests in flight; wait for some";
    case DeclineReason::kDependencyDown:
      return "a service that this one depends on is down; come back later";
    case DeclineReason::kNotReady:
      return "the instance has no configuration yet; use another one";
    case DeclineReason::kStopping:
      return "the instance is stopping; use another one";
    case DeclineReason::kLogUnavailable:
      return "the key can't be claimed while the platform's log is out; come "
             "back, or use a key bound to an instance";
    case DeclineReason::kKeyTableFull:
      return "the instance keeps too many keys; use another instance";
    case DeclineReason::kUpstreamRefused:
      return "the upstreams refused the request; come back after Retry-After";
  }
  return "come back after Retry-After";
}

HttpReply ReplyFor(const NotRun& not_run, const std::string& request_id) {
  const unsigned status =
      not_run.reason == DeclineReason::kAccountLimit ? 429 : 503;
  HttpReply reply = MakeProblem(status, ToString(not_run.reason), "not-run",
                                AdviceFor(not_run.reason), request_id);
  AddRetryAfter(reply, not_run.retry_after);
  return reply;
}

HttpReply ReplyFor(const OutcomeUnknown& unknown,
                   const std::string& request_id) {
  return MakeProblem(502, ToString(unknown.reason), "unknown",
                     "the request may have run; it will not be repeated",
                     request_id);
}

HttpReply ReplyFor(const KeyInProgress& in_progress,
                   const std::string& request_id) {
  HttpReply reply = MakeProblem(
      409, "key-in-progress", "in-progress",
      "a request with this key is running; ask for it again later", request_id);
  AddRetryAfter(reply, in_progress.retry_after);
  return reply;
}

HttpReply ReplyFor(const KeyReused&, const std::string& request_id) {
  return MakeProblem(422, "key-reused", "rejected",
                     "the key was used with another body; use a new key",
                     request_id);
}

HttpReply ReplyFor(const Replayed& replayed, const std::string&) {
  HttpReply reply;
  reply.status = replayed.answer->status;
  reply.content_type = replayed.answer->content_type;
  reply.body = replayed.answer->body;
  reply.headers.push_back({"Pomeloring-Replayed", "true"});
  return reply;
}

HttpReply ReplyFor(const Answered&, const std::string&) {
  return {};
}

}  // namespace

HttpReply ProblemFor(const BadRequest& error, const std::string& request_id) {
  HttpReply reply = MakeProblem(error.status, error.type, "rejected",
                                error.field + ": " + error.advice, request_id);
  return reply;
}

HttpReply ProblemFor(const Outcome& outcome, const std::string& request_id) {
  return std::visit(
      [&](const auto& typed) { return ReplyFor(typed, request_id); }, outcome);
}

HttpReply ProblemForStatus(unsigned status) {
  switch (status) {
    case 408:
      return ProblemFor({408, "slow-request", "the request",
                         "it took too long to arrive; send it faster"},
                        "");
    case 413:
      return ProblemFor(
          {413, "body-too-large", "the body", "send less, or split it"}, "");
    case 431:
      return ProblemFor({431, "header-too-large", "the header",
                         "send fewer or shorter header fields"},
                        "");
    default:
      return ProblemFor(
          {400, "malformed-http", "the request", "send valid HTTP/1.1"}, "");
  }
}

}  // namespace pomeloring
