#include <doctest/doctest.h>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

Revision RevisionAt(const VirtualSite& site, size_t host) {
  return site.hosts[host].instance->View()->config.revision;
}

TEST_CASE("a new instance fetches the configuration from a peer") {
  SiteOptions options;
  options.config_text = SmallConfig(1, 1, 2);
  VirtualSite site(options);
  site.RunFor(seconds(3));
  site.Publish(Revision{1}, SmallConfig(1, 1, 3));
  site.RunFor(seconds(1));
  site.log.is_down = true;
  site.Restart(2);
  CHECK(!site.hosts[2].instance->IsReady());
  site.RunFor(seconds(15));
  CHECK(RevisionAt(site, 2).value == 2);
  CHECK(site.hosts[2].instance->IsReady());
}

TEST_CASE("a configuration read by one instance reaches all within 15 s") {
  SiteOptions options;
  options.instances = 9;
  options.config_text = SmallConfig(1, 1, 2);
  VirtualSite site(options);
  site.RunFor(seconds(5));
  site.Publish(Revision{1}, SmallConfig(1, 1, 3));
  // Only one instance reads the record before the outage.
  std::vector<LogRecord> records{
      {LogOffset{2}, site.log.records[LogStream::kConfiguration][1]}};
  site.log.is_down = true;
  site.hosts[4].instance->HandleLogRead(LogStream::kConfiguration, records,
                                        LogOffset{1}, true, site.Now());
  site.RunFor(seconds(15));
  for (size_t host = 0; host < 9; ++host) {
    CHECK(RevisionAt(site, host).value == 2);
  }
}

TEST_CASE("a new instance with neither log nor peers is not ready") {
  SiteOptions options;
  options.instances = 1;
  options.config_text = SmallConfig(1, 1, 2);
  VirtualSite site(options);
  site.log.is_down = true;
  site.Restart(0);
  site.RunFor(seconds(10));
  CHECK(!site.hosts[0].instance->IsReady());
  const size_t caller = site.Submit(0, "question", "q1");
  site.RunFor(seconds(1));
  const auto* not_run = std::get_if<NotRun>(&*site.callers[caller].outcome);
  REQUIRE(not_run != nullptr);
  CHECK(not_run->reason == DeclineReason::kNotReady);
}

TEST_CASE(
    "a reader puts nothing in force before it reaches the end of the log") {
  InstanceSettings settings;
  settings.self.name.value = "fresh";
  settings.self.incarnation.value = 1;
  Instance instance(settings);
  const auto record = [](uint64_t offset, uint64_t base) {
    return LogRecord{LogOffset{offset},
                     EncodeConfigRecord(PublishRecord{
                         "p" + std::to_string(offset), Revision{base},
                         SmallConfig(1, 1, 2), ""})};
  };
  instance.HandleLogRead(LogStream::kConfiguration, {record(1, 0)},
                         LogOffset{1}, false, Time{seconds(1)});
  CHECK(!instance.IsReady());
  CHECK(!instance.ConfigurationInForce());
  instance.HandleLogRead(LogStream::kConfiguration, {record(2, 1)},
                         LogOffset{1}, true, Time{seconds(1)});
  CHECK(instance.IsReady());
  CHECK(instance.ConfigurationInForce()->revision.value == 2);
}

TEST_CASE("snapshots are appended before the records expire") {
  SiteOptions options;
  options.config_text = SmallConfig(1, 1, 2);
  VirtualSite site(options);
  site.RunFor(seconds(1900));  // Half of the retention is 1800 s.
  const auto& records = site.log.records[LogStream::kConfiguration];
  CHECK(records.size() >= 2);
  CHECK(records.size() <= 4);
  site.DropRecordsBefore(LogStream::kConfiguration, records.size());
  site.Crash(1);
  site.Crash(2);
  site.Restart(0);
  site.RunFor(seconds(5));
  CHECK(RevisionAt(site, 0).value == 1);
}

}  // namespace
}  // namespace pomeloring::test
