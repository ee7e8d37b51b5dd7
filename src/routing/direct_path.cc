#include "routing/direct_path.h"

#include <algorithm>

namespace pomeloring {
namespace {

constexpr Duration kCheckInterval = milliseconds(250);
// After a check that has succeeded, while more are required.
constexpr Duration kConfirmInterval = milliseconds(100);
// A busy upstream sends something more often than this.
constexpr Duration kMaxSilence = milliseconds(400);
// A path that has carried a byte within this time works.
constexpr Duration kRecentByte = milliseconds(200);
// One connection may be established by luck while a link loses packets.
constexpr uint32_t kMinConnects = 2;
// A path that is lost again within this time needs twice as many, up to
// kMaxConnects.
constexpr Duration kFlapWindow = seconds(10);
constexpr uint32_t kMaxConnects = 8;
constexpr uint32_t kMinFailuresWhileDown = 2;

}  // namespace

PathChange RecordConnect(DirectPath& path, bool is_connected, Time now) {
  path.next_check_at = now + (is_connected ? kConfirmInterval : kCheckInterval);
  path.failures = is_connected ? 0 : path.failures + 1;
  if (!is_connected) {
    path.connects = 0;
    if (path.is_lost) {
      return PathChange::kNone;
    }
    const bool is_flapping =
        path.required_connects > 0 && now - path.regained_at < kFlapWindow;
    path.required_connects =
        is_flapping ? std::min(2 * path.required_connects, kMaxConnects)
                    : kMinConnects;
    path.is_lost = true;
    path.lost_at = now;
    return PathChange::kLost;
  }
  if (!path.is_lost || ++path.connects < path.required_connects) {
    return PathChange::kNone;
  }
  path.is_lost = false;
  path.regained_at = now;
  return PathChange::kRegained;
}

bool IsDown(const DirectPath& path) {
  return path.is_lost && path.failures >= kMinFailuresWhileDown;
}

void RecordSent(DirectPath& path, Time now) {
  if (path.in_flight++ == 0) {
    path.busy_since = now;
  }
}

void RecordEnded(DirectPath& path) {
  --path.in_flight;
}

bool IsCheckDue(const DirectPath& path, bool was_another_lost, Time now) {
  if (path.is_being_checked) {
    return false;
  }
  if (path.is_lost) {
    return now >= path.next_check_at;
  }
  if (was_another_lost) {
    return now - path.last_byte_at >= kRecentByte &&
           now - path.last_check_at >= kRecentByte;
  }
  const Time last_sign =
      std::max({path.last_byte_at, path.busy_since, path.last_check_at});
  return path.in_flight > 0 && now - last_sign >= kMaxSilence;
}

void BeginCheck(DirectPath& path, Time now) {
  path.is_being_checked = true;
  path.last_check_at = now;
}

void EndCheck(DirectPath& path) {
  path.is_being_checked = false;
}

}  // namespace pomeloring
