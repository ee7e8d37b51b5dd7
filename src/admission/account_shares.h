// Defines AccountShares: which client accounts may start requests at a service
// while its capacity is short. Free functions over plain structs, without a
// clock.

#ifndef POMELORING_ADMISSION_ACCOUNT_SHARES_H_
#define POMELORING_ADMISSION_ACCOUNT_SHARES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "core/ids.h"

namespace pomeloring {

// A hash of an account's name, the same at all instances.
using AccountId = uint32_t;
// Callers without an account, which count as one together.
inline constexpr AccountId kNoAccount = 0;
// In what instances report: all accounts that are not listed.
inline constexpr AccountId kOtherAccounts = 0xFFFFFFFF;

// Work started for each account, decaying with a time constant of 4 s. A
// request's work is its prompt tokens to be prefilled + 10 x its expected
// output tokens.
using AccountWork = std::map<AccountId, double>;
using ServiceAccountWork = std::map<ServiceName, AccountWork>;

// Entries of all services in one digest, without those of kOtherAccounts.
inline constexpr size_t kMaxReportedAccounts = 48;

// The two accounts that were seen last, the newest first.
struct RecentAccounts {
  std::array<std::pair<AccountId, Time>, 2> last;
};

// A request that waits at this instance, of an account that is or was over its
// share.
struct ShareWaiter {
  AccountId account = kNoAccount;
  bool is_returning = false;  // At the time that it was told.
  bool may_start = false;     // Has had its turn.
  Time arrived;
  Time last_asked;
};

// A refused caller was told to return at `due`.
struct SharePromise {
  Time due;
  uint64_t request = 0;  // As ShareQuestion::request.
  double work = 0;
};

// What an account over its share may start although capacity is short.
struct ShareCredit {
  double work = 0;
  Time updated_at;
};

// Of one service.
struct AccountShares {
  // Decayed up to the last UpdateShares(); `total` includes `own`.
  std::unordered_map<AccountId, double> own;
  std::unordered_map<AccountId, double> total;
  // The fair share of an account that wants more, by account priority.
  std::map<uint32_t, double> fair_share;
  Time updated_at;
  size_t instances = 1;

  // Of all usable engines, as last measured.
  double free_slots = 0;
  size_t engines = 0;
  Time measured_at;
  Duration load_age{0};  // Of the known loads of other instances.
  // Starts of waiting requests that are due to this instance.
  double turns = 0;

  // Accounts that asked, by the priorities of account and route, and those
  // within their share whose requests found no place.
  std::map<std::pair<uint32_t, uint32_t>, RecentAccounts> asked;
  RecentAccounts unplaced;
  std::unordered_map<uint64_t, ShareWaiter> waiters;  // By ticket.
  std::unordered_map<AccountId, ShareCredit> credits;
  std::unordered_map<AccountId, std::deque<SharePromise>> promises;

  // Totals, for metrics.
  uint64_t waits = 0;  // Requests that had to wait.
  uint64_t refusals = 0;
  uint64_t returns = 0;  // Of refused callers, when they were told to.
};

struct ShareQuestion {
  AccountId account = kNoAccount;
  uint32_t account_priority = 0;
  uint32_t route_priority = 0;
  uint64_t ticket = 0;  // Identifies the request; 0: it has no place in order.
  // A hash of the request's contents, the same if its caller sends it again.
  uint64_t request = 0;
  double work = 0;  // Estimated.
  Duration waited{0};
  Duration time_left{0};
  Duration latency_target{0};
  double expected_ms = 0;  // To the answer or first event, from a start now.
  double run_ms = 0;       // From a start to the end.
};

enum class ShareVerdict { kStart, kWait, kRefuse };

struct ShareDecision {
  ShareVerdict verdict = ShareVerdict::kStart;
  Duration retry_after{0};  // For kRefuse.
  // Inputs, for the log:
  bool is_new = false;  // Asks for the first time, unless it may start.
  double work = 0;      // Of the account.
  double fair_share = 0;
  double free_slots = 0;
  size_t engines = 0;
  size_t ahead = 0;  // Requests of the account that go first.
  Duration share_age{0};
  Duration load_age{0};
};

// Returns the identifier of an account's name; kNoAccount for an empty name.
AccountId AccountIdOf(std::string_view name);

// Accounts that want the same work.
struct ShareDemand {
  double work = 0;  // Of each.
  double accounts = 1;
};

// Returns the level at which `capacity` is used up if each account gets the
// lesser of its demand and the level: the max-min fair share of an account that
// wants more. Infinite if all demands together are less than the capacity.
double MaxMinLevel(std::span<const ShareDemand> demands, double capacity);

// Decays the work started here up to `now` and computes the shares. `of_peers`
// is decayed up to `now`. Accounts that `priorities` does not list have
// priority 0.
void UpdateShares(AccountShares& shares,
                  const AccountWork& of_peers,
                  const std::unordered_map<AccountId, uint32_t>& priorities,
                  Time now);

// Records the slots that are free now.
void MeasureSlots(AccountShares& shares,
                  double free_slots,
                  size_t engines,
                  Time now);

// Decides whether a request may be placed now. `random` spreads the returns of
// refused callers and the starts of instances.
ShareDecision DecideShare(AccountShares& shares,
                          const ShareQuestion& question,
                          Time now,
                          uint64_t random);

// Records that a request starts, with its work.
void RecordShareStart(AccountShares& shares,
                      const ShareQuestion& question,
                      Time now);
// Records that a request that might start found no place.
void RecordShareUnplaced(AccountShares& shares,
                         AccountId account,
                         uint32_t account_priority,
                         Time now);

// Returns the work started here, decayed up to `now`: the
// kMaxReportedAccounts accounts with the most, and the others together.
AccountWork OwnWork(const AccountShares& shares, Time now);
// Returns the factor by which work decays in `elapsed`.
double WorkDecay(Duration elapsed);
// Adds `work`, multiplied by `factor`.
void AddWork(ServiceAccountWork& total,
             const ServiceAccountWork& work,
             double factor);
// Takes off `work`, multiplied by `factor`, which must be a part of `total`.
// What `total` does not list is a part of its kOtherAccounts.
void SubtractWork(ServiceAccountWork& total,
                  const ServiceAccountWork& work,
                  double factor);
// Keeps the `count` entries with the most work and adds the others to
// kOtherAccounts of their service.
void KeepMostWork(ServiceAccountWork& work, size_t count);

}  // namespace pomeloring

#endif  // POMELORING_ADMISSION_ACCOUNT_SHARES_H_
