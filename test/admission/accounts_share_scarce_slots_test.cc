// Decides which accounts may start requests from given numbers alone. Guards
// against accounts over their share that push others aside, against accounts
// within it that are held back, and against any effect without a shortage.

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

#include "admission/account_shares.h"

namespace pomeloring {
namespace {

constexpr Time kNow{seconds(1000)};
constexpr size_t kEngines = 100;
constexpr AccountId kBusy = 1;
constexpr AccountId kQuiet = 2;
constexpr double kFree = std::numeric_limits<double>::infinity();

// 24 accounts with a work of 1000 each, but for `busy_work` of kBusy. An
// account of priority 0 and one of priority 1 have asked lately.
AccountShares SharesWith(double busy_work, double free_slots) {
  AccountShares shares;
  shares.updated_at = kNow;
  for (AccountId account = 1; account <= 24; ++account) {
    shares.own[account] = 1000;
  }
  shares.own[kBusy] = busy_work;
  UpdateShares(shares, {}, {}, kNow);
  MeasureSlots(shares, free_slots, kEngines, kNow);
  return shares;
}

ShareQuestion QuestionOf(AccountId account, uint64_t ticket = 1) {
  ShareQuestion question;
  question.account = account;
  question.route_priority = 1;
  question.ticket = ticket;
  question.work = 100;
  question.time_left = seconds(12);
  question.latency_target = seconds(2);
  question.run_ms = 1000;
  return question;
}

struct LevelCase {
  std::vector<ShareDemand> demands;
  double capacity;
  double level;
};

TEST_CASE("Unused shares go to the accounts that want more") {
  const LevelCase cases[] = {
      {{}, 10, kFree},
      {{{2}, {3}}, 10, kFree},
      {{{8}, {8}}, 10, 5},
      {{{2}, {9}}, 10, 8},
      {{{1}, {4}, {9}, {9}}, 15, 5},
      {{{1, 10}, {50}}, 40, 30},
      {{{3, 10}, {50}}, 22, 2},
  };
  for (const LevelCase& each : cases) {
    CAPTURE(each.capacity);
    CAPTURE(each.demands.size());
    CHECK(MaxMinLevel(each.demands, each.capacity) == each.level);
  }
}

struct VerdictCase {
  const char* name;
  AccountId account;
  double busy_work;
  double free_slots;
  uint32_t others_route_priority;  // Of what kQuiet asked.
  Duration waited;
  Duration time_left;
  ShareVerdict verdict;
};

TEST_CASE("An account over its share waits for others, and only then") {
  // The share of each is a 24th of all work: 1375 of 33000, 1029 of 24700.
  const auto start = ShareVerdict::kStart;
  const auto wait = ShareVerdict::kWait;
  const auto refuse = ShareVerdict::kRefuse;
  const Duration none{0};
  const VerdictCase cases[] = {
      {"over", kBusy, 10000, 50, 1, none, seconds(12), wait},
      {"a little over", kBusy, 1700, 50, 1, none, seconds(12), wait},
      {"within tolerance", kBusy, 1500, 50, 1, none, seconds(12), start},
      {"under", kQuiet, 10000, 50, 1, none, seconds(12), start},
      {"under, late", kQuiet, 10000, 0, 1, seconds(8), seconds(1), start},
      {"no shortage", kBusy, 10000, 150, 1, none, seconds(12), start},
      {"others are lower", kBusy, 10000, 50, 2, none, seconds(12), start},
      {"others are higher", kBusy, 10000, 50, 0, none, seconds(12), wait},
      {"target missed", kBusy, 10000, 50, 1, seconds(2), seconds(9), refuse},
      {"no time to end", kBusy, 10000, 50, 1, none, seconds(1), refuse},
  };
  for (const VerdictCase& each : cases) {
    CAPTURE(each.name);
    AccountShares shares = SharesWith(each.busy_work, each.free_slots);
    ShareQuestion other = QuestionOf(kQuiet, 2);
    other.route_priority = each.others_route_priority;
    DecideShare(shares, other, kNow, 0);
    ShareQuestion question = QuestionOf(each.account);
    question.waited = each.waited;
    question.time_left = each.time_left;
    // A credit of 100, the level with this random value, is not enough.
    CHECK(DecideShare(shares, question, kNow, 512).verdict == each.verdict);
  }
}

TEST_CASE(
    "A request that finds no place makes others wait without full slots") {
  AccountShares shares = SharesWith(10000, 500);
  DecideShare(shares, QuestionOf(kQuiet, 2), kNow, 0);
  CHECK(DecideShare(shares, QuestionOf(kBusy), kNow, 512).verdict ==
        ShareVerdict::kStart);
  // What the busy account itself cannot place says nothing about others.
  RecordShareUnplaced(shares, kBusy, 0, kNow);
  CHECK(DecideShare(shares, QuestionOf(kBusy), kNow, 512).verdict ==
        ShareVerdict::kStart);
  RecordShareUnplaced(shares, kQuiet, 0, kNow);
  CHECK(DecideShare(shares, QuestionOf(kBusy), kNow, 512).verdict ==
        ShareVerdict::kWait);
  CHECK(DecideShare(shares, QuestionOf(kQuiet, 3), kNow, 512).verdict ==
        ShareVerdict::kStart);
}

TEST_CASE("Shares are those of one account priority") {
  AccountShares shares = SharesWith(10000, 50);
  UpdateShares(shares, {}, {{kBusy, 0}, {3, 1}, {4, 1}}, kNow);
  CHECK(shares.fair_share.at(1) == doctest::Approx(1000));
  // An account alone in its priority has no one to share with.
  shares.own = {{kBusy, 10000}, {kQuiet, 1000}};
  UpdateShares(shares, {}, {{kQuiet, 1}}, kNow);
  DecideShare(shares, QuestionOf(kQuiet, 2), kNow, 0);
  CHECK(DecideShare(shares, QuestionOf(kBusy), kNow, 512).verdict ==
        ShareVerdict::kStart);
}

// An account that took most of the capacity while nobody knew must not be
// entitled to it: the others have only started what was left to them.
TEST_CASE("Requests without a place show that the others want more") {
  AccountShares shares = SharesWith(40000, 0);
  CHECK(shares.fair_share.at(0) > 20000);
  RecordShareUnplaced(shares, kQuiet, 0, kNow);
  UpdateShares(shares, {}, {}, kNow);
  CHECK(shares.fair_share.at(0) < 3000);
}

TEST_CASE("An account without work in the window starts its large request") {
  AccountShares shares = SharesWith(1000, 0);
  ShareQuestion large = QuestionOf(99);
  large.work = 20000;
  DecideShare(shares, QuestionOf(kQuiet, 2), kNow, 0);
  CHECK(DecideShare(shares, large, kNow, 0).verdict == ShareVerdict::kStart);
}

TEST_CASE("After a restart nothing is known and all accounts start") {
  AccountShares shares;
  MeasureSlots(shares, 0, kEngines, kNow);
  DecideShare(shares, QuestionOf(kQuiet, 2), kNow, 0);
  CHECK(DecideShare(shares, QuestionOf(kBusy), kNow, 0).verdict ==
        ShareVerdict::kStart);
}

// Requests of `account` wait at each of some instances, which know all work,
// while capacity is short for 12 s. Returns the least work started in 4 s.
double LeastStarted(size_t instances, double work) {
  std::vector<AccountShares> all(instances, SharesWith(10000, 0));
  uint64_t random = 7;
  uint64_t ticket = 10;
  std::vector<double> started(600);
  std::vector<uint64_t> tickets(instances);
  std::generate(tickets.begin(), tickets.end(), [&] { return ++ticket; });
  for (size_t step = 0; step < started.size(); ++step) {
    const Time now = kNow + static_cast<int>(step) * milliseconds(20);
    for (size_t i = 0; i < instances; ++i) {
      all[i].instances = instances;
      all[i].total[kBusy] = 10000;  // Over its share all the time.
      DecideShare(all[i], QuestionOf(kQuiet, 2), now, 0);
      ShareQuestion question = QuestionOf(kBusy, tickets[i]);
      question.work = work;
      if (DecideShare(all[i], question, now, NextRandom(random)).verdict ==
          ShareVerdict::kStart) {
        started[step] += work;
        all[i].waiters.erase(tickets[i]);
        tickets[i] = ++ticket;
      }
    }
  }
  double least = kFree;
  for (size_t from = 0; from + 200 <= started.size(); from += 20) {
    double sum = 0;
    for (size_t step = from; step < from + 200; ++step) {
      sum += started[step];
    }
    least = std::min(least, sum);
  }
  return least;
}

TEST_CASE("An account over its share starts half of it in any 4 s") {
  CHECK(LeastStarted(1, 100) >= 1375 / 2.0);
  CHECK(LeastStarted(6, 50) >= 1375 / 2.0);
  CHECK(LeastStarted(85, 10) >= 1375 / 2.0);
}

struct ReturnCase {
  double busy_work;
  Duration time_left;
  double min_ms;
  double max_ms;
};

TEST_CASE("A refused caller is told when its share is free again") {
  // 4 s x ln(work / 1.5 x share): 6.3 s and 0.39 s. At most a third of the time
  // left; returns are spread over a fifth of that.
  const ReturnCase cases[] = {
      {10000, seconds(12), 3200, 4000},
      {1700, seconds(12), 386, 487},
      {1700, milliseconds(900), 240, 300},
      {1700, milliseconds(0), 0, 0},
  };
  for (const ReturnCase& each : cases) {
    CAPTURE(each.busy_work);
    double least = kFree;
    double most = 0;
    for (uint64_t random = 512; random < 1024; random += 7) {
      AccountShares shares = SharesWith(each.busy_work, 0);
      DecideShare(shares, QuestionOf(kQuiet, 2), kNow, 0);
      ShareQuestion question = QuestionOf(kBusy);
      question.waited = seconds(3);
      question.time_left = each.time_left;
      question.work = 200;
      const ShareDecision decision =
          DecideShare(shares, question, kNow, random);
      REQUIRE(decision.verdict == ShareVerdict::kRefuse);
      least = std::min(least, ToMillis(decision.retry_after));
      most = std::max(most, ToMillis(decision.retry_after));
    }
    CHECK(least >= each.min_ms);
    CHECK(most <= each.max_ms);
    CHECK(most - least >= (each.max_ms - each.min_ms) / 4);
  }
}

constexpr uint64_t kRefused = 5000;  // The contents of a refused request.

// Refuses a request at kNow. Returns when its caller is told to return.
Time RefuseOne(AccountShares& shares) {
  DecideShare(shares, QuestionOf(kQuiet, 2), kNow, 0);
  ShareQuestion question = QuestionOf(kBusy, 3);
  question.waited = seconds(3);
  question.request = kRefused;
  const ShareDecision decision = DecideShare(shares, question, kNow, 0);
  REQUIRE(decision.verdict == ShareVerdict::kRefuse);
  return kNow + decision.retry_after;
}

TEST_CASE("A caller that returns when it was told goes before new ones") {
  AccountShares shares = SharesWith(10000, 0);
  const Time due = RefuseOne(shares);
  const auto ask = [&](uint64_t ticket, Duration waited, Time now) {
    DecideShare(shares, QuestionOf(kQuiet, 2), now, 0);
    ShareQuestion question = QuestionOf(kBusy, ticket);
    question.waited = waited;
    question.request = ticket * 1000;
    return DecideShare(shares, question, now, 1023);
  };
  shares.total[kBusy] = 10000;
  shares.credits[kBusy] = {0, due};
  const Time early = due - milliseconds(100);
  CHECK(ask(4, milliseconds(500), early).ahead == 0);
  CHECK(ask(5, Duration{0}, due).ahead == 0);  // Returns.
  CHECK(shares.returns == 1);
  CHECK(ask(4, milliseconds(600), due).ahead == 1);
  CHECK(ask(6, Duration{0}, due).ahead == 2);
  // With one turn, it starts; then the older one.
  shares.free_slots = 200;
  shares.turns = 1;
  CHECK(ask(4, milliseconds(620), due + milliseconds(20)).verdict ==
        ShareVerdict::kWait);
  CHECK(ask(5, milliseconds(20), due + milliseconds(20)).verdict ==
        ShareVerdict::kStart);
  shares.turns = 1;
  CHECK(ask(4, milliseconds(640), due + milliseconds(40)).verdict ==
        ShareVerdict::kStart);
}

TEST_CASE("Work is kept for the caller that is due back") {
  // The account is just within its share, but not with what it was promised.
  AccountShares shares = SharesWith(10000, 0);
  const Time due = RefuseOne(shares);
  shares.total[kBusy] = 1.5 * shares.fair_share.at(0) - 50;
  const auto verdict = [&](uint64_t ticket, uint64_t request, Time now) {
    DecideShare(shares, QuestionOf(kQuiet, 2), now, 0);
    ShareQuestion question = QuestionOf(kBusy, ticket);
    question.request = request;
    return DecideShare(shares, question, now, 512).verdict;
  };
  CHECK(verdict(4, 77, due - milliseconds(100)) == ShareVerdict::kStart);
  CHECK(verdict(5, 77, due) == ShareVerdict::kWait);
  CHECK(verdict(6, kRefused, due) == ShareVerdict::kStart);
  CHECK(verdict(7, 77, due) == ShareVerdict::kStart);
  // A promise that nobody claims ends.
  shares.total[kBusy] = 10000;
  RefuseOne(shares);
  UpdateShares(shares, {}, {}, kNow + seconds(8));
  CHECK(shares.promises.empty());
}

TEST_CASE("The sums of many accounts stay small and lose no work") {
  ServiceAccountWork total;
  ServiceAccountWork part;
  for (AccountId account = 1; account <= 11000; ++account) {
    total[{"a"}][account] = 100 + account % 977;
    part[{"a"}][account] = 50;
  }
  const auto sum = [](const ServiceAccountWork& work) {
    double all = 0;
    for (const auto& [account, account_work] : work.at({"a"})) {
      all += account_work;
    }
    return all;
  };
  const double all = sum(total);
  KeepMostWork(total, kMaxReportedAccounts);
  CHECK(total.at({"a"}).size() <= kMaxReportedAccounts + 1);
  CHECK(sum(total) == doctest::Approx(all));
  KeepMostWork(part, kMaxReportedAccounts);
  SubtractWork(total, part, 1);
  CHECK(sum(total) == doctest::Approx(all - 50 * 11000));
  SubtractWork(total, total, 1);
  CHECK(total.empty());
}

// Peers list 48 of 2000 accounts. A share of what they list alone would be over
// ten times as large.
TEST_CASE("Accounts that peers do not list have a part in the shares") {
  AccountShares of_all;
  for (AccountId account = 1; account <= 2000; ++account) {
    of_all.own[account] = 1000 + account % 7;
  }
  of_all.own[kBusy] = 100000;
  of_all.updated_at = kNow;
  const AccountWork reported = OwnWork(of_all, kNow);
  CHECK(reported.size() == kMaxReportedAccounts + 1);
  AccountShares shares;
  shares.updated_at = kNow;
  UpdateShares(shares, reported, {}, kNow);
  UpdateShares(of_all, {}, {}, kNow);
  CHECK(shares.fair_share.at(0) ==
        doctest::Approx(of_all.fair_share.at(0)).epsilon(0.05));
}

}  // namespace
}  // namespace pomeloring
