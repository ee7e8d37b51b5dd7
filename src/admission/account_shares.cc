#include "admission/account_shares.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <tuple>
#include <vector>

namespace pomeloring {
namespace {

constexpr double kWorkTimeConstantMs = 4000;
// Work that no longer matters: a hundredth of a small request.
constexpr double kMinWork = 20;
// An account is held back once its work is over this many times its share, so
// that the random size of a few requests does not decide.
constexpr double kShareTolerance = 1.5;
// Started work is less than what an account wants while capacity is short.
// Shares leave each account room to grow by this factor; without it, an account
// that has pushed the others aside would be entitled to what it took.
constexpr double kDemandFactor = 1.5;
// The same while requests within their share find no place.
constexpr double kUnmetDemandFactor = 4;
constexpr Duration kUnmetDemandMemory = seconds(1);
// A waiting request of another account asks every 20 ms.
constexpr Duration kUnplacedMemory = milliseconds(100);
// Accounts that have not asked for this long do not hold others back. As long
// as their work counts.
constexpr Duration kAskedMemory = seconds(4);
// A waiting request of this account, or one that was granted a start, asks
// again within this time.
constexpr Duration kWaiterTimeout = milliseconds(100);
// Of its fair share, what an account with waiting requests starts at least, in
// the mean. More than the half that is promised: instances without a waiting
// request start nothing, and the others start theirs at random times.
constexpr double kMinShare = 0.75;
// A credit that has not been used for this long is void.
constexpr Duration kCreditTimeout = seconds(8);
// Instances know the loads of others as old as this. Within that time, all of
// them together start this fraction of the slots that are free.
constexpr double kLoadAgeMs = 100;
constexpr double kUseOfFreeSlots = 0.7;
constexpr double kMaxSavedTurns = 1.5;
// The slowest engines take this much longer than the mean.
constexpr double kRunTimeMargin = 1.5;
constexpr Duration kMinRetryAfter = milliseconds(100);
// A caller that is told to return gets a second and a third chance.
constexpr int kMaxRetryAfterFraction = 3;
// Part of the time until the return by which returns are spread.
constexpr double kRetryAfterSpread = 0.25;
// A caller returns at the time that it was told if it comes no earlier than
// this before (its clock differs) and no later than this after.
constexpr Duration kPromiseMargin = milliseconds(50);
constexpr Duration kPromiseTime = seconds(2);
// Bound the memory for promises.
constexpr size_t kMaxPromisesOfAccount = 64;
constexpr size_t kMaxPromisedAccounts = 1000;

double FractionOf(uint64_t random) {
  return static_cast<double>(random % 1024) / 1024;
}

void NoteAccount(RecentAccounts& recent, AccountId account, Time now) {
  if (recent.last[0].first != account) {
    recent.last[1] = recent.last[0];
  }
  recent.last[0] = {account, now};
}

bool WasOtherSeen(const RecentAccounts& recent,
                  AccountId account,
                  Duration memory,
                  Time now) {
  return std::any_of(recent.last.begin(), recent.last.end(),
                     [&](const auto& seen) {
                       return seen.first != account && seen.second != Time{} &&
                              now - seen.second < memory;
                     });
}

// Whether other accounts have requests that this one must not delay: a higher
// priority does not wait for a lower one.
bool DoOthersAsk(const AccountShares& shares,
                 const ShareQuestion& question,
                 Time now) {
  const auto end = shares.asked.upper_bound(
      {question.account_priority, question.route_priority});
  return std::any_of(shares.asked.begin(), end, [&](const auto& entry) {
    return WasOtherSeen(entry.second, question.account, kAskedMemory, now);
  });
}

bool IsShort(const AccountShares& shares, AccountId account, Time now) {
  return shares.free_slots < static_cast<double>(shares.engines) ||
         WasOtherSeen(shares.unplaced, account, kUnplacedMemory, now);
}

double WorkOf(const AccountShares& shares, AccountId account) {
  const auto found = shares.total.find(account);
  return found == shares.total.end() ? 0 : found->second;
}

double FairShareOf(const AccountShares& shares, uint32_t account_priority) {
  const auto found = shares.fair_share.find(account_priority);
  return found == shares.fair_share.end()
             ? std::numeric_limits<double>::infinity()
             : found->second;
}

bool IsDue(const SharePromise& promise, Time now) {
  return now >= promise.due - kPromiseMargin &&
         now <= promise.due + kPromiseTime;
}

// Work of refused callers that are due back and have not returned yet. It is
// kept for them.
double PromisedWork(const AccountShares& shares, AccountId account, Time now) {
  const auto found = shares.promises.find(account);
  double work = 0;
  if (found != shares.promises.end()) {
    for (const SharePromise& promise : found->second) {
      work += IsDue(promise, now) ? promise.work : 0;
    }
  }
  return work;
}

// Whether a new request is that of a caller that returns as it was told.
bool ClaimPromise(AccountShares& shares,
                  const ShareQuestion& question,
                  Time now) {
  const auto found = shares.promises.find(question.account);
  if (found == shares.promises.end()) {
    return false;
  }
  std::deque<SharePromise>& promises = found->second;
  const auto due = std::find_if(
      promises.begin(), promises.end(), [&](const SharePromise& promise) {
        return promise.request == question.request && IsDue(promise, now);
      });
  if (due == promises.end()) {
    return false;
  }
  promises.erase(due);
  ++shares.returns;
  return true;
}

void Promise(AccountShares& shares, AccountId account, SharePromise promise) {
  if (shares.promises.size() >= kMaxPromisedAccounts &&
      !shares.promises.contains(account)) {
    return;
  }
  std::deque<SharePromise>& promises = shares.promises[account];
  promises.push_back(promise);
  if (promises.size() > kMaxPromisesOfAccount) {
    promises.pop_front();
  }
}

// Requests of the same account that wait and go before this one.
size_t CountAhead(const AccountShares& shares,
                  const ShareQuestion& question,
                  bool is_returning,
                  Time now) {
  const auto order = [](bool returns, Time arrived, uint64_t ticket) {
    return std::tuple(!returns, arrived, ticket);
  };
  const auto own = order(is_returning, now - question.waited, question.ticket);
  return static_cast<size_t>(std::count_if(
      shares.waiters.begin(), shares.waiters.end(), [&](const auto& entry) {
        const auto& [ticket, waiter] = entry;
        return waiter.account == question.account &&
               ticket != question.ticket && !waiter.may_start &&
               now - waiter.last_asked <= kWaiterTimeout &&
               order(waiter.is_returning, waiter.arrived, ticket) < own;
      }));
}

// Takes a turn, if one is due. While capacity is short, only the least share of
// the account gives one. The credits of instances start at random levels, so
// that not all of them start a request at the same time.
bool TakeTurn(AccountShares& shares,
              const ShareQuestion& question,
              const ShareDecision& decision,
              bool is_short,
              Time now,
              uint64_t random) {
  if (!is_short && shares.turns >= static_cast<double>(decision.ahead) + 1) {
    shares.turns -= 1;
    return true;
  }
  const auto [found, is_new] = shares.credits.try_emplace(question.account);
  ShareCredit& credit = found->second;
  if (is_new) {
    credit = {FractionOf(random) * question.work, now};
  }
  const Duration elapsed =
      std::min<Duration>(now - credit.updated_at, kWaiterTimeout);
  const double rate = kMinShare * decision.fair_share / kWorkTimeConstantMs /
                      static_cast<double>(shares.instances);
  credit.work = std::min(credit.work + rate * ToMillis(elapsed),
                         kMaxSavedTurns * question.work);
  credit.updated_at = now;
  if (decision.ahead == 0 && credit.work >= question.work) {
    credit.work -= question.work;
    return true;
  }
  return false;
}

// Whether a request that waits on can still end, and answer within its target.
bool CanBeInTime(const ShareQuestion& question) {
  const bool can_end =
      ToMillis(question.time_left) > kRunTimeMargin * question.run_ms;
  return can_end && (question.latency_target.count() <= 0 ||
                     ToMillis(question.waited) + question.expected_ms <
                         ToMillis(question.latency_target));
}

// The time until the account's work has decayed to what it may have.
Duration RetryAfter(const ShareDecision& decision,
                    Duration time_left,
                    uint64_t random) {
  const double free_at_ms =
      kWorkTimeConstantMs *
      std::log(std::max(
          1.0, decision.work /
                   std::max(1.0, kShareTolerance * decision.fair_share)));
  const double latest_ms =
      std::max(0.0, ToMillis(time_left) / kMaxRetryAfterFraction);
  const double earliest_ms =
      std::clamp(free_at_ms, std::min(ToMillis(kMinRetryAfter), latest_ms),
                 latest_ms / (1 + kRetryAfterSpread));
  const double ms = earliest_ms * (1 + kRetryAfterSpread * FractionOf(random));
  return Duration{static_cast<int64_t>(std::min(ms, latest_ms) * 1000)};
}

void EraseSmall(std::unordered_map<AccountId, double>& work) {
  std::erase_if(work,
                [](const auto& entry) { return entry.second < kMinWork; });
}

// Accounts of one priority.
struct ShareClass {
  std::vector<ShareDemand> demands;
  double work = 0;
};

}  // namespace

AccountId AccountIdOf(std::string_view name) {
  if (name.empty()) {
    return kNoAccount;
  }
  const auto id = static_cast<AccountId>(StableHash(name));
  return id == kNoAccount || id == kOtherAccounts ? 1 : id;
}

// Each pass takes the demands below the level out of the division; there are
// some five passes, whereas sorting thousands of demands takes ten times as
// long.
double MaxMinLevel(std::span<const ShareDemand> demands, double capacity) {
  double level = 0;
  double sharing = -1;
  while (true) {
    double met = 0;
    double unmet = 0;
    for (const ShareDemand& demand : demands) {
      (demand.work <= level ? met : unmet) +=
          demand.work <= level ? demand.work * demand.accounts
                               : demand.accounts;
    }
    if (unmet == 0) {
      return std::numeric_limits<double>::infinity();
    }
    if (unmet == sharing) {
      return level;
    }
    sharing = unmet;
    level = std::max(level, (capacity - met) / unmet);
  }
}

void UpdateShares(AccountShares& shares,
                  const AccountWork& of_peers,
                  const std::unordered_map<AccountId, uint32_t>& priorities,
                  Time now) {
  const double decay = WorkDecay(now - shares.updated_at);
  for (auto& [account, work] : shares.own) {
    work *= decay;
  }
  EraseSmall(shares.own);
  shares.updated_at = now;
  // In place: thousands of new nodes take ten times as long.
  for (auto& [account, work] : shares.total) {
    work = 0;
  }
  for (const auto& [account, work] : shares.own) {
    shares.total[account] = work;
  }
  double least_reported = std::numeric_limits<double>::infinity();
  double others = 0;
  for (const auto& [account, work] : of_peers) {
    if (account == kOtherAccounts) {
      others = work;
    } else {
      shares.total[account] += work;
      least_reported = std::min(least_reported, work);
    }
  }
  EraseSmall(shares.total);
  const bool is_unmet =
      now - shares.unplaced.last[0].second < kUnmetDemandMemory;
  const double factor = is_unmet ? kUnmetDemandFactor : kDemandFactor;
  std::map<uint32_t, ShareClass> classes;
  double listed = 0;
  for (const auto& [account, work] : shares.total) {
    const auto priority = priorities.find(account);
    ShareClass& own =
        classes[priority == priorities.end() ? 0 : priority->second];
    own.demands.push_back({factor * work});
    own.work += work;
    listed += work;
  }
  shares.fair_share.clear();
  for (auto& [priority, own] : classes) {
    // Of the accounts that peers do not list, neither the number nor the
    // priorities are known: each has at most the least work that they list.
    const double unlisted = others * own.work / std::max(listed, kMinWork);
    if (unlisted >= kMinWork && std::isfinite(least_reported)) {
      const double each = std::max(least_reported, kMinWork);
      own.demands.push_back({factor * each, unlisted / each});
      own.work += unlisted;
    }
    shares.fair_share[priority] = MaxMinLevel(own.demands, own.work);
  }
  std::erase_if(shares.waiters, [&](const auto& entry) {
    return now - entry.second.last_asked > kWaiterTimeout;
  });
  std::erase_if(shares.credits, [&](const auto& entry) {
    return now - entry.second.updated_at > kCreditTimeout;
  });
  for (auto& [account, promises] : shares.promises) {
    std::erase_if(promises, [&](const SharePromise& promise) {
      return now > promise.due + kPromiseTime;
    });
  }
  std::erase_if(shares.promises,
                [](const auto& entry) { return entry.second.empty(); });
}

void MeasureSlots(AccountShares& shares,
                  double free_slots,
                  size_t engines,
                  Time now) {
  const double spare = std::max(0.0, free_slots - static_cast<double>(engines));
  const double per_age =
      kUseOfFreeSlots * spare / static_cast<double>(shares.instances);
  const double elapsed_ms =
      std::min(kLoadAgeMs, ToMillis(now - shares.measured_at));
  shares.turns = std::min(shares.turns + per_age * elapsed_ms / kLoadAgeMs,
                          std::max(kMaxSavedTurns, per_age));
  shares.free_slots = free_slots;
  shares.engines = engines;
  shares.measured_at = now;
}

ShareDecision DecideShare(AccountShares& shares,
                          const ShareQuestion& question,
                          Time now,
                          uint64_t random) {
  NoteAccount(
      shares.asked[{question.account_priority, question.route_priority}],
      question.account, now);
  const auto known = shares.waiters.find(question.ticket);
  const bool is_new = known == shares.waiters.end();
  const bool is_returning =
      is_new ? ClaimPromise(shares, question, now) : known->second.is_returning;
  ShareDecision decision;
  decision.work = WorkOf(shares, question.account);
  decision.fair_share = FairShareOf(shares, question.account_priority);
  decision.free_slots = shares.free_slots;
  decision.engines = shares.engines;
  decision.share_age = now - shares.updated_at;
  decision.load_age = shares.load_age;
  ShareWaiter waiter = is_new ? ShareWaiter{question.account, is_returning,
                                            false, now - question.waited, now}
                              : known->second;
  waiter.last_asked = now;
  const double kept =
      is_returning ? 0 : PromisedWork(shares, question.account, now);
  const bool is_over =
      decision.work + kept > kShareTolerance * decision.fair_share;
  if (!waiter.may_start && is_over && DoOthersAsk(shares, question, now)) {
    const bool is_short = IsShort(shares, question.account, now);
    decision.ahead = CountAhead(shares, question, is_returning, now);
    const bool is_free = !is_short && is_new && decision.ahead == 0;
    if (!is_free &&
        !TakeTurn(shares, question, decision, is_short, now, random)) {
      decision.verdict = ShareVerdict::kWait;
    }
  }
  if (decision.verdict == ShareVerdict::kWait && !CanBeInTime(question)) {
    ++shares.refusals;
    shares.waiters.erase(question.ticket);
    decision.verdict = ShareVerdict::kRefuse;
    decision.retry_after = RetryAfter(decision, question.time_left, random);
    Promise(shares, question.account,
            {now + decision.retry_after, question.request, question.work});
    return decision;
  }
  waiter.may_start = decision.verdict == ShareVerdict::kStart;
  if (decision.verdict == ShareVerdict::kWait) {
    decision.is_new = is_new;
    shares.waits += is_new ? 1 : 0;
  }
  // A request that has had to wait, or was promised its turn, keeps its place
  // until it has been placed.
  if (question.ticket != 0 && (!is_new || !waiter.may_start || is_returning)) {
    shares.waiters[question.ticket] = waiter;
  }
  return decision;
}

void RecordShareStart(AccountShares& shares,
                      const ShareQuestion& question,
                      Time now) {
  if (shares.updated_at == Time{}) {
    shares.updated_at = now;
  }
  shares.own[question.account] += question.work;
  shares.total[question.account] += question.work;
  shares.free_slots -= 1;
  shares.waiters.erase(question.ticket);
}

void RecordShareUnplaced(AccountShares& shares,
                         AccountId account,
                         uint32_t account_priority,
                         Time now) {
  if (WorkOf(shares, account) <=
      kShareTolerance * FairShareOf(shares, account_priority)) {
    NoteAccount(shares.unplaced, account, now);
  }
}

double WorkDecay(Duration elapsed) {
  return std::exp(-std::max(0.0, ToMillis(elapsed)) / kWorkTimeConstantMs);
}

AccountWork OwnWork(const AccountShares& shares, Time now) {
  std::vector<std::pair<double, AccountId>> sorted;
  sorted.reserve(shares.own.size());
  for (const auto& [account, work] : shares.own) {
    sorted.emplace_back(work, account);
  }
  const size_t listed = std::min(sorted.size(), kMaxReportedAccounts);
  std::nth_element(sorted.begin(), sorted.begin() + static_cast<long>(listed),
                   sorted.end(), std::greater<>());
  const double decay = WorkDecay(now - shares.updated_at);
  AccountWork own;
  double others = 0;
  for (size_t i = 0; i < sorted.size(); ++i) {
    if (i < listed) {
      own[sorted[i].second] = decay * sorted[i].first;
    } else {
      others += decay * sorted[i].first;
    }
  }
  if (others > 0) {
    own[kOtherAccounts] = others;
  }
  return own;
}

void AddWork(ServiceAccountWork& total,
             const ServiceAccountWork& work,
             double factor) {
  for (const auto& [service, accounts] : work) {
    AccountWork& of_service = total[service];
    for (const auto& [account, account_work] : accounts) {
      of_service[account] += factor * account_work;
    }
  }
}

void SubtractWork(ServiceAccountWork& total,
                  const ServiceAccountWork& work,
                  double factor) {
  for (const auto& [service, accounts] : work) {
    AccountWork& of_service = total[service];
    for (const auto& [account, account_work] : accounts) {
      const auto listed = of_service.find(account);
      double& from = listed != of_service.end() ? listed->second
                                                : of_service[kOtherAccounts];
      from = std::max(0.0, from - factor * account_work);
    }
    std::erase_if(of_service,
                  [](const auto& entry) { return entry.second < kMinWork; });
  }
  std::erase_if(total, [](const auto& entry) { return entry.second.empty(); });
}

void KeepMostWork(ServiceAccountWork& work, size_t count) {
  std::vector<double> sorted;
  for (const auto& [service, accounts] : work) {
    for (const auto& [account, account_work] : accounts) {
      if (account != kOtherAccounts) {
        sorted.push_back(account_work);
      }
    }
  }
  if (sorted.size() <= count) {
    return;
  }
  std::nth_element(sorted.begin(), sorted.begin() + static_cast<long>(count),
                   sorted.end(), std::greater<>());
  const double least = sorted[count];
  for (auto& [service, accounts] : work) {
    double others = 0;
    std::erase_if(accounts, [&](const auto& entry) {
      const bool is_dropped =
          entry.first != kOtherAccounts && entry.second <= least;
      others += is_dropped ? entry.second : 0;
      return is_dropped;
    });
    accounts[kOtherAccounts] += others;
  }
}

}  // namespace pomeloring
