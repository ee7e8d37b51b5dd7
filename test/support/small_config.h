// Defines small configurations for tests, as JSON.

#ifndef POMELORING_TEST_SUPPORT_SMALL_CONFIG_H_
#define POMELORING_TEST_SUPPORT_SMALL_CONFIG_H_

#include <string>
#include <string_view>

namespace pomeloring::test {

// Returns a configuration with the plain service `ledger` and its class `stamp`
// (tier 1, not idempotent, served late), and the model service `model` with the
// classes `question` (tier 2, dropped when late), `tag` (tier 3, not
// idempotent, served late) and `history` (tier 5, served late). Each upstream
// has `slots` slots.
std::string SmallConfig(size_t engines, size_t ledgers, uint32_t slots);

// Returns `config`, made by SmallConfig(), with engines that accept orders and
// have to load `adapter`. Odd-numbered engines check fencing numbers; the
// others ignore them.
std::string WithOrders(std::string config,
                       size_t engines,
                       std::string_view adapter);

}  // namespace pomeloring::test

#endif  // POMELORING_TEST_SUPPORT_SMALL_CONFIG_H_
