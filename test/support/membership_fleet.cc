#include "support/membership_fleet.h"

#include <fmt/format.h>

namespace pomeloring::test {
namespace {

constexpr Duration kTick = milliseconds(50);

std::string AddressOf(size_t member) {
  return fmt::format("10.20.{}.{}:7303", member / 250, member % 250);
}

}  // namespace

MembershipFleet::MembershipFleet(size_t count) : m_states(count) {
  for (size_t i = 0; i < count; ++i) {
    MembershipState& state = m_states[i];
    state.self.name.value = fmt::format("entry-{:03}", i);
    state.self.incarnation = MakeIncarnation(m_now, NextRandom(m_random));
    state.self.probe_address = AddressOf(i);
    state.self.link_address = state.self.probe_address;
    state.self.caller_address = state.self.probe_address;
    state.self.failure_domain.value = fmt::format("domain-{}", i % 11);
    state.self.region.value = fmt::format("region-{}", i % 3);
    state.random = i + 1;
    state.seeds = {AddressOf(0), AddressOf(1)};
    m_index[state.self.probe_address] = i;
  }
}

void MembershipFleet::Run(Duration length) {
  const Time end = m_now + length;
  while (m_now < end) {
    m_now += kTick;
    for (size_t i = 0; i < m_states.size(); ++i) {
      if (!m_crashed.contains(i)) {
        Send(i, TickMembership(m_states[i], m_now));
      }
    }
  }
}

bool MembershipFleet::HasConverged() const {
  const size_t live = m_states.size() - m_crashed.size();
  for (size_t i = 0; i < m_states.size(); ++i) {
    if (!m_crashed.contains(i) && LiveMembers(m_states[i]).size() != live) {
      return false;
    }
  }
  return true;
}

bool MembershipFleet::ShouldDrop() {
  return drop_rate > 0 && static_cast<double>(NextRandom(m_random) %
                                              1'000'000) < drop_rate * 1e6;
}

void MembershipFleet::Send(size_t from, MembershipOutput output) {
  for (const Datagram& datagram : output.datagrams) {
    if (on_datagram) {
      on_datagram(datagram.message);
    }
    const auto to = m_index.find(datagram.address);
    if (to == m_index.end() || m_crashed.contains(to->second) || ShouldDrop()) {
      continue;
    }
    Send(to->second,
         HandleMembershipMessage(m_states[to->second], AddressOf(from),
                                 datagram.message, m_now));
  }
}

}  // namespace pomeloring::test
