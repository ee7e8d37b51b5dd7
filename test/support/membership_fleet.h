// Defines MembershipFleet: many membership state machines in virtual time,
// without the rest of the instance. Datagrams are delivered immediately.

#ifndef POMELORING_TEST_SUPPORT_MEMBERSHIP_FLEET_H_
#define POMELORING_TEST_SUPPORT_MEMBERSHIP_FLEET_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "pomeloring/core.h"

namespace pomeloring::test {

class MembershipFleet {
 public:
  // Starts `count` members at once; all use the first two as seeds.
  explicit MembershipFleet(size_t count);

  void Run(Duration length);
  // Whether every live member lists exactly the live members.
  bool HasConverged() const;
  void Crash(size_t member) { m_crashed.insert(member); }

  double drop_rate = 0;  // Fraction of datagrams lost.
  // Called for each datagram that is sent, before it may be dropped.
  std::function<void(const MembershipMessage&)> on_datagram;

 private:
  void Send(size_t from, MembershipOutput output);
  bool ShouldDrop();

  std::vector<MembershipState> m_states;
  std::map<std::string, size_t> m_index;  // By probe address.
  std::set<size_t> m_crashed;
  Time m_now{seconds(1000)};
  uint64_t m_random = 1;
};

}  // namespace pomeloring::test

#endif  // POMELORING_TEST_SUPPORT_MEMBERSHIP_FLEET_H_
