// Defines small configuration texts for tests.

#ifndef POMELORING_TEST_SUPPORT_SMALL_CONFIG_H_
#define POMELORING_TEST_SUPPORT_SMALL_CONFIG_H_

#include <string>
#include <string_view>

namespace pomeloring::test {

// A small configuration: a plain service `ledger` with the class `stamp`
// (tier 1, not idempotent, served late), a model service `model` with the
// classes `question` (tier 2, dropped when late) and `history` (tier 5).
std::string SmallConfig(size_t engines, size_t ledgers, uint32_t slots);

// Makes the engines of a small configuration take orders to load `adapter`.
// Those with odd numbers check fencing numbers, the others ignore them.
std::string WithOrders(std::string config,
                       size_t engines,
                       std::string_view adapter);

}  // namespace pomeloring::test

#endif  // POMELORING_TEST_SUPPORT_SMALL_CONFIG_H_
