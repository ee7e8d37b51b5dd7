// Defines ResumingFleet: instances in virtual time that know where streams
// began, and callers that resume streams after instances were killed.

#ifndef POMELORING_TEST_SUPPORT_RESUMING_FLEET_H_
#define POMELORING_TEST_SUPPORT_RESUMING_FLEET_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "routing/stream_resumption.h"

namespace pomeloring {

inline constexpr Duration kFleetStep = milliseconds(50);

struct ResumptionCounts {
  int continued = 0;
  int joined = 0;    // Went on at another version than the stream's.
  int refused = 0;   // Although an upstream of the version serves.
  int unserved = 0;  // Refused, or sent nowhere: none of the version serves.
};

class ResumingFleet {
 public:
  explicit ResumingFleet(size_t instances);

  void SetVersions(std::set<std::string> serving);
  // Begins a stream at an instance and at one of the versions that serve.
  void BeginStream(uint64_t random);
  void EndOldest();
  void Kill(size_t instance);
  void KillAll();
  // Resumes the stream at an instance.
  void Resume(size_t stream, size_t instance);
  // Lets kFleetStep pass.
  void Step();

  size_t RunningStreams() const { return m_streams.size(); }
  const ResumptionCounts& Counts() const { return m_counts; }
  Time Now() const { return m_now; }

 private:
  struct Stream {
    StreamKey key = 0;
    std::string version;
  };
  struct Instance {
    InstanceName name;
    StreamOrigins origins;
  };

  std::vector<InstanceName> Names() const;
  void Observe(Instance& instance);

  Time m_now{seconds(1000)};
  std::vector<Instance> m_instances;
  std::map<InstanceName, size_t> m_index;
  std::set<std::string> m_serving;
  std::vector<Stream> m_streams;
  uint64_t m_begun = 0;
  ResumptionCounts m_counts;
};

}  // namespace pomeloring

#endif  // POMELORING_TEST_SUPPORT_RESUMING_FLEET_H_
