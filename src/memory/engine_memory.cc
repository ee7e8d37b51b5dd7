#include "memory/engine_memory.h"

#include <algorithm>

namespace pomeloring {
namespace {

// The rest is for outputs that are longer than expected, and for requests that
// other instances have just placed.
constexpr double kUsableFraction = 0.95;

constexpr double kCrowdedFraction = 0.7;

}  // namespace

uint64_t TotalTokens(const TokenDemand& demand) {
  return demand.prompt + demand.output;
}

TokenFit FitOf(const TokenDemand& demand, uint64_t held, uint64_t memory) {
  const uint64_t tokens = held + TotalTokens(demand);
  if (held == 0 || static_cast<double>(tokens) <=
                       kUsableFraction * static_cast<double>(memory)) {
    return TokenFit::kFits;
  }
  return tokens <= memory ? TokenFit::kTight : TokenFit::kExceeds;
}

double MemoryExcess(const TokenDemand& demand, uint64_t held, uint64_t memory) {
  if (FitOf(demand, held, memory) == TokenFit::kFits) {
    return 0;
  }
  const auto tokens = static_cast<double>(held + TotalTokens(demand));
  const auto capacity = static_cast<double>(memory);
  return 1 + (tokens - kUsableFraction * capacity) / capacity;
}

double MemoryCrowding(const TokenDemand& demand,
                      uint64_t held,
                      uint64_t memory) {
  const double fill = static_cast<double>(held + TotalTokens(demand)) /
                      static_cast<double>(memory);
  return std::clamp(
      (fill - kCrowdedFraction) / (kUsableFraction - kCrowdedFraction), 0.0,
      1.0);
}

bool IsTooLarge(const TokenDemand& demand, uint64_t memory) {
  return demand.prompt > memory;
}

}  // namespace pomeloring
