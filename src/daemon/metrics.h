// Defines Metrics: counters and latencies by request class, exported in the
// Prometheus text format.

#ifndef POMELORING_DAEMON_METRICS_H_
#define POMELORING_DAEMON_METRICS_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "core/instance.h"
#include "link/caller_api.h"

namespace pomeloring {

class Metrics {
 public:
  Metrics();
  ~Metrics();

  // Thread-safe.
  void Add(const RequestSummary& summary);
  // Returns the text of all metrics. Thread-safe.
  std::string Format(const Instance& instance, Time now) const;

 private:
  struct ClassMetrics;
  mutable std::mutex m_mutex;
  std::map<ClassName, std::unique_ptr<ClassMetrics>> m_classes;
};

}  // namespace pomeloring

#endif  // POMELORING_DAEMON_METRICS_H_
