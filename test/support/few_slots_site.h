// Defines FewSlotsSite: many routers before engines with few slots and of three
// speeds, under loads that burst, in virtual time.

#ifndef POMELORING_TEST_SUPPORT_FEW_SLOTS_SITE_H_
#define POMELORING_TEST_SUPPORT_FEW_SLOTS_SITE_H_

#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "support/engine_fleet.h"
#include "support/routing_site.h"

namespace pomeloring {

inline constexpr uint32_t kFewSlots = 12;

struct FewSlotsKind {
  EngineKind engine{"few-slots", kFewSlots, 62, 3, 0.25, 400, 5};
  Duration question_gap_target{0};  // Of the most urgent route.
};

struct LoadClass {
  std::string route;
  double arrivals_per_s = 0;
  uint32_t prompt_tokens = 0;
  uint32_t mean_output_tokens = 0;
  double burst = 1;
  AccountId account = kNoAccount;
  // Different shared parts of prompts, of half of the tokens each; 0: prompts
  // share nothing.
  uint32_t shared_parts = 0;
};

// Of all requests of a route that arrived during or shortly after the burst.
struct RouteScore {
  int arrived = 0;
  int refused = 0;
  int refused_late = 0;  // After waiting.
};

// Of all requests of an account that arrived during the burst.
struct AccountScore {
  int arrived = 0;
  int started = 0;
  int refused = 0;     // Or not started before the timeout.
  int over_share = 0;  // Of the refused ones, those refused for that.
  Duration waited{0};  // Sum over the started ones.
};

// Each router knows the loads of all others as one relay sends them, 100 ms
// old.
class FewSlotsSite {
 public:
  // `settings` are those of all routers, but for name and seed.
  FewSlotsSite(int instances,
               int engines,
               const FewSlotsKind& kind,
               const RouterSettings& settings);

  void Run(std::span<const LoadClass> loads,
           Duration burst_from,
           Duration burst_to,
           Duration end);

  const FleetResult& Result(const std::string& route) const {
    return m_engines.Results().at(route);
  }
  const RouteScore& Score(const std::string& route) { return m_scores[route]; }
  const AccountScore& Score(AccountId account) { return m_accounts[account]; }
  // Digests of this time are lost.
  void LoseDigests(Duration from, Duration to) {
    m_lost_from = from;
    m_lost_to = to;
  }
  size_t StillWaiting() const { return m_waiting.size(); }
  const Router& FirstRouter() const { return *m_routers.front(); }

 private:
  struct Waiting {
    size_t router = 0;
    const LoadClass* load = nullptr;
    uint32_t output_tokens = 0;
    Time arrived;
    Time next_poll;
    uint64_t ticket = 0;
    std::vector<PromptPart> parts;
    bool is_scored = false;  // Arrived during the burst.
  };

  double Exponential();
  void Arrive(const LoadClass& load, bool is_scored, Time now);
  void Poll(Time now);
  void SendDigests(Time now);

  EngineFleet m_engines;
  std::vector<std::unique_ptr<Router>> m_routers;
  std::vector<uint32_t> m_serving;
  std::vector<Waiting> m_waiting;
  std::map<std::string, RouteScore> m_scores;
  std::map<AccountId, AccountScore> m_accounts;
  Duration m_lost_from{0};
  Duration m_lost_to{0};
  uint64_t m_sequence = 0;
  uint64_t m_tickets = 0;
  uint64_t m_random = 7;
};

}  // namespace pomeloring

#endif  // POMELORING_TEST_SUPPORT_FEW_SLOTS_SITE_H_
