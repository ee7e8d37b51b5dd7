// Defines rendezvous hashing: which instance schedules a cell, and which cell a
// replica belongs to, without coordination between instances.

#ifndef POMELORING_CORE_RENDEZVOUS_H_
#define POMELORING_CORE_RENDEZVOUS_H_

#include <span>
#include <string_view>
#include <vector>

#include "core/ids.h"

namespace pomeloring {

// Returns at most `count` of `candidates` for `key`, the highest weight first.
// Removing a candidate moves only the keys that were assigned to it.
std::vector<InstanceName> RendezvousOrder(
    std::string_view key,
    std::span<const InstanceName> candidates,
    size_t count);

// Returns the index of the bucket, less than `buckets`, that `key` belongs to.
size_t RendezvousBucket(std::string_view key, size_t buckets);

}  // namespace pomeloring

#endif  // POMELORING_CORE_RENDEZVOUS_H_
