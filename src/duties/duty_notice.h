// Defines DutyNotice: what instances tell each other of the lease of the
// duties.

#ifndef POMELORING_DUTIES_DUTY_NOTICE_H_
#define POMELORING_DUTIES_DUTY_NOTICE_H_

#include "core/ids.h"

namespace pomeloring {

// The newest record that an instance knows of. Position 0: none.
struct DutyNotice {
  LogOffset position;
  InstanceName holder;
  bool is_released = false;
  bool operator==(const DutyNotice&) const = default;
};

}  // namespace pomeloring

#endif  // POMELORING_DUTIES_DUTY_NOTICE_H_
