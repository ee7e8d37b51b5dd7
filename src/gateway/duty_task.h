// Defines DutyTask: work that the holder of the duties does for all instances,
// and DutySession, through which it acts.

#ifndef POMELORING_GATEWAY_DUTY_TASK_H_
#define POMELORING_GATEWAY_DUTY_TASK_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "gateway/platform_api.h"
#include "pomeloring/duties.h"

namespace pomeloring {

// Of the instance that holds the lease. Valid during one call of
// DutyTask::run.
class DutySession {
 public:
  virtual ~DutySession() = default;
  // Whether the lease outlasts a call that starts now and takes up to
  // `call_timeout`.
  virtual bool MayAct(Duration call_timeout) const = 0;
  // The identity for one call, with `may_send` set to check the lease.
  virtual DutyIdentity Identity(std::chrono::milliseconds call_timeout) = 0;
  // Appends a decision of `task` to the log. Returns false if that is not
  // known to have succeeded: then the decision must not be acted upon.
  virtual boost::asio::awaitable<bool> Record(std::string task,
                                              std::string decision) = 0;
  virtual PlatformApi& Api() = 0;
};

struct DutyTask {
  std::string name;
  // When an instance gains the lease, these rebuild the task's state from the
  // log: `reset` once, `restore` with the newest snapshot if there is any, and
  // `replay` with each later decision, in their order.
  std::function<void(const DutyTakeOver&)> reset;
  std::function<void(std::string_view snapshot)> restore;
  std::function<void(std::string_view decision)> replay;
  // The state that must outlive the instance; written about once a second. It
  // holds the decisions for which Record() has returned true: update the state
  // before the next suspension.
  std::function<std::string()> snapshot;
  // Called about every 100 ms while the lease is held, never twice at a time.
  std::function<boost::asio::awaitable<void>(DutySession&)> run;
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_DUTY_TASK_H_
