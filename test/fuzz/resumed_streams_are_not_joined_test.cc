// Whatever the order of kills, releases, returns, lost and late appends, an
// unavailable log and one restored from an older copy: no stream goes on at
// another version than the one that began it.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "support/resuming_fleet.h"

namespace pomeloring {
namespace {

const std::set<std::string> kReleases[] = {
    {"v1"}, {"v1", "v2"}, {"v2"}, {"v2", "v3"}, {"v1", "v2", "v3"}, {"v3"}};

class Day {
 public:
  explicit Day(size_t instances) : m_instances(instances), m_fleet(instances) {
    m_fleet.SetVersions(kReleases[0]);
    Pass(seconds(15));
  }

  void Run(uint64_t bits) {
    const uint64_t a = bits >> 8;
    switch (bits % 12) {
      case 0:
        m_fleet.SetVersions(kReleases[a % std::size(kReleases)]);
        break;
      case 1:
        m_fleet.Kill(a % m_instances);
        break;
      case 2:
        m_fleet.KillAll();
        break;
      case 3:
        m_fleet.SetNextAppend(a % 2 == 0 ? AppendFate::kLost
                                         : AppendFate::kLate);
        break;
      case 4:
        m_log_back_at = m_fleet.Now() + seconds(4);
        m_fleet.SetLogAvailable(false);
        break;
      case 5:
        if (a % 8 == 0) {
          m_fleet.RestoreLog(seconds(1 + a % 5));
        }
        break;
      case 6:
        Pass(seconds(a % 12));
        break;
      case 7:
      case 8:
        Pass(kFleetStep * static_cast<int64_t>(a % 16));
        break;
      case 9:
        for (int i = 0; i < 5; ++i) {
          m_fleet.BeginStream(a + static_cast<uint64_t>(i) * 31);
        }
        break;
      default:
        if (m_fleet.RunningStreams() > 0) {
          m_fleet.Resume(a % m_fleet.RunningStreams(), a / 64 % m_instances);
        }
    }
    RC_ASSERT(m_fleet.Counts().joined == 0);
  }

  const ResumptionCounts& Counts() const { return m_fleet.Counts(); }

 private:
  void Pass(Duration time) {
    for (const Time end = m_fleet.Now() + time; m_fleet.Now() < end;) {
      m_fleet.Step();
      if (m_fleet.Now() >= m_log_back_at) {
        m_fleet.SetLogAvailable(true);
      }
    }
  }

  size_t m_instances;
  ResumingFleet m_fleet;
  Time m_log_back_at;
};

TEST_CASE("No resumed stream is joined with another version") {
  ResumptionCounts total;
  CHECK(rc::check("none is joined", [&](uint64_t random) {
    Day day(random % 2 == 0 ? 3 : 20);
    for (int i = 0; i < 300; ++i) {
      day.Run(NextRandom(random) >> 8);
    }
    total.continued += day.Counts().continued;
    total.refused += day.Counts().refused;
  }));
  MESSAGE(total.continued, " continued, ", total.refused, " refused");
  CHECK(total.continued > 0);  // Else the property would be empty.
  CHECK(total.refused > 0);
}

}  // namespace
}  // namespace pomeloring
