// Defines TokenDemand and whether an engine has memory for it: the tokens that
// a request holds in an engine's memory while it runs there. Free functions
// over plain structs.

#ifndef POMELORING_MEMORY_ENGINE_MEMORY_H_
#define POMELORING_MEMORY_ENGINE_MEMORY_H_

#include <cstdint>

namespace pomeloring {

struct TokenDemand {
  uint64_t prompt = 0;
  uint64_t output = 0;  // Expected.
};

uint64_t TotalTokens(const TokenDemand& demand);

enum class TokenFit : uint8_t {
  kFits,
  kTight,    // Within the memory, but without the margin for longer output.
  kExceeds,  // Most likely beyond the memory, at which an engine crashes.
};

// `held` is what runs at an engine with `memory` tokens already. A request fits
// an engine that holds nothing, however little the margin is.
TokenFit FitOf(const TokenDemand& demand, uint64_t held, uint64_t memory);

// Returns 0 for a request that fits, and otherwise 1 plus the tokens that are
// too many as a fraction of the memory.
double MemoryExcess(const TokenDemand& demand, uint64_t held, uint64_t memory);

// Whether no engine with `memory` tokens can run the request. Only the prompt
// counts, since the output is not known.
bool IsTooLarge(const TokenDemand& demand, uint64_t memory);

// Returns 0 while most of the memory is free, and 1 from where the margin
// begins. Other instances may just have placed requests there that this one
// does not know of. `held` and `memory` as for FitOf().
double MemoryCrowding(const TokenDemand& demand,
                      uint64_t held,
                      uint64_t memory);

}  // namespace pomeloring

#endif  // POMELORING_MEMORY_ENGINE_MEMORY_H_
