// Defines the identifiers, time types and hashes that all parts of pomeloring
// share.

#ifndef POMELORING_CORE_IDS_H_
#define POMELORING_CORE_IDS_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace pomeloring {

// The core never reads a clock: callers pass in the current time, so that tests
// can run it in virtual time.
struct CoreClock {};
using Duration = std::chrono::microseconds;
using Time = std::chrono::time_point<CoreClock, Duration>;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline double ToMillis(Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}

// A string type that does not convert to other kinds of names.
template <typename Tag>
struct StrongString {
  std::string value;
  auto operator<=>(const StrongString&) const = default;
};

// An integer type that does not convert to other kinds of numbers.
template <typename Tag>
struct StrongInt {
  uint64_t value = 0;
  auto operator<=>(const StrongInt&) const = default;
};

using InstanceName = StrongString<struct InstanceNameTag>;
using UpstreamName = StrongString<struct UpstreamNameTag>;
using ServiceName = StrongString<struct ServiceNameTag>;
using ClassName = StrongString<struct ClassNameTag>;
using AccountName = StrongString<struct AccountNameTag>;
using FailureDomain = StrongString<struct FailureDomainTag>;
using RegionName = StrongString<struct RegionNameTag>;
using CellId = StrongString<struct CellIdTag>;

// Identifies one lifetime of an instance's process. A restart under the same
// name gets a larger value.
using Incarnation = StrongInt<struct IncarnationTag>;
// A position in the platform's log. The first record is at offset 1.
using LogOffset = StrongInt<struct LogOffsetTag>;
// The log offset of the publish record that is in force; 0 before the first.
using Revision = StrongInt<struct RevisionTag>;

// Tier 1 is the highest; a larger number is a lower tier.
struct Tier {
  uint32_t value = 1;
  auto operator<=>(const Tier&) const = default;
};

// Identifies one request of a caller, unique across all instances and their
// restarts.
struct RequestId {
  Incarnation incarnation;
  uint64_t sequence = 0;
  auto operator<=>(const RequestId&) const = default;
};

// Identifies one attempt of a request at an upstream.
struct AttemptId {
  RequestId request;
  uint32_t number = 0;
  auto operator<=>(const AttemptId&) const = default;
};

// Returns the incarnation of a process that started at `started`, in
// microseconds since 1970. The value increases with each millisecond; `random`
// distinguishes instances that started in the same one.
Incarnation MakeIncarnation(Time started, uint64_t random);

// Returns `id` as written in headers, logs and the timeline.
std::string ToString(const RequestId& id);

// Returns a 64-bit hash of `text` that is the same on every instance.
uint64_t StableHash(std::string_view text, uint64_t seed = 0);

// Returns the next value of a splitmix64 generator and advances `state`.
uint64_t NextRandom(uint64_t& state);

}  // namespace pomeloring

template <typename Tag>
struct std::hash<pomeloring::StrongString<Tag>> {
  size_t operator()(const pomeloring::StrongString<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.value);
  }
};

template <>
struct std::hash<pomeloring::RequestId> {
  size_t operator()(const pomeloring::RequestId& id) const noexcept {
    return id.sequence * 0x9E3779B97F4A7C15ULL ^ id.incarnation.value;
  }
};

template <>
struct std::hash<pomeloring::AttemptId> {
  size_t operator()(const pomeloring::AttemptId& id) const noexcept {
    return std::hash<pomeloring::RequestId>{}(id.request) * 31 + id.number;
  }
};

#endif  // POMELORING_CORE_IDS_H_
