// Defines rendezvous hashing: which instance schedules a cell, and which cell
// a replica belongs to, without any agreement between instances.

#ifndef POMELORING_CORE_RENDEZVOUS_H_
#define POMELORING_CORE_RENDEZVOUS_H_

#include <span>
#include <string_view>
#include <vector>

#include "core/ids.h"

namespace pomeloring {

// Returns at most `count` of `candidates` for `key`, the highest weight first.
// Taking a candidate away moves only the keys that it held.
std::vector<InstanceName> RendezvousOrder(
    std::string_view key,
    std::span<const InstanceName> candidates,
    size_t count);

// Returns which of `buckets` `key` belongs to.
size_t RendezvousBucket(std::string_view key, size_t buckets);

}  // namespace pomeloring

#endif  // POMELORING_CORE_RENDEZVOUS_H_
