// Defines DutyRecord: an entry of the log that says which instance holds the
// duties.

#ifndef POMELORING_DUTIES_DUTY_RECORD_H_
#define POMELORING_DUTIES_DUTY_RECORD_H_

#include <map>
#include <string>

#include "core/ids.h"

namespace pomeloring {

enum class DutyRecordKind { kClaim, kRenewal, kDecision, kRelease };

struct DutyRecord {
  DutyRecordKind kind = DutyRecordKind::kRenewal;
  InstanceName holder;
  Incarnation process;  // Of the holder.
  // The position that the append required. A record at another position was
  // written by an instance that did not know that the log had been restored.
  LogOffset at;
  LogOffset token;         // Position of the holder's claim; its own, for one.
  uint64_t append_id = 0;  // Unique within the process.
  // Renewals only: the state of tasks, by name.
  std::map<std::string, std::string> snapshots;
  // Decisions only.
  std::string task;
  std::string decision;
};

}  // namespace pomeloring

#endif  // POMELORING_DUTIES_DUTY_RECORD_H_
