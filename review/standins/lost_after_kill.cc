// All instances are killed at once while two software versions serve, some
// seconds after the store has been restored from a copy, or while it is away.
// The clients take their streams up when all machines are in touch again.

#include "site.h"

using namespace review;

namespace {

constexpr int kStreams = 24;

struct Client {
  Request request;
  Attempt first;
  Attempt second;
  bool takes_up = false;
};

// The client reads for `read_s` at most, then closes its connection.
Attempt SendAndLeave(const Instance& instance,
                     const Request& request,
                     double read_s) {
  const int socket = Connect(instance.front);
  if (socket < 0) {
    return {};
  }
  Attempt attempt;
  if (SendAll(socket, Serialize(request))) {
    attempt = ReadAnswer(socket, read_s);
  }
  close(socket);
  return attempt;
}

std::string VersionOf(const Attempt& attempt) {
  return attempt.events.empty() ? "" : attempt.events[0].second.substr(0, 2);
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  const std::string disruption = argc > 1 ? argv[1] : "drill";
  const bool trouble = WithTrouble();
  const bool has_drill = trouble && disruption == "drill";
  const bool has_outage = trouble && disruption == "away";
  Site site;
  Store& store = site.GetStore();
  const std::string config =
      Config(7, StreamRoute("history", "/stream/", "register-model"),
             EngineConfig("register-model"));
  store.Put("keyed.op", "config", config);
  std::vector<std::unique_ptr<Replica>> replicas;
  const char* zones[] = {"hall-sezana", "hall-koper", "hall-nova"};
  const auto add = [&](const std::string& id, int zone,
                       const std::string& version) {
    replicas.push_back(std::make_unique<Replica>(
        store, ReplicaSettings{.id = id,
                               .service = "register-model",
                               .zone = zones[zone],
                               .version = version,
                               .events = 130}));
  };
  for (int i = 0; i < 3; ++i) {
    add("i-" + std::to_string(i + 1), i, "v1");
  }
  for (const char* zone : zones) {
    site.AddInstance(std::string("front-") + zone + "-1", zone);
  }
  auto& instances = site.Instances();
  for (auto& instance : instances) {
    site.Start(*instance);
  }
  for (auto& instance : instances) {
    site.AwaitReady(*instance);
  }
  Sleep(4);
  for (int i = 0; i < 3; ++i) {
    add("j-" + std::to_string(i + 1), i, "v2");
  }
  Sleep(5);
  if (has_outage) {
    store.SetResetting(true);
    Record("store: away");
    Sleep(0.5);
  }
  // Streams of 13 s, at both versions.
  const double began_at = Seconds();
  const double killed_at = began_at + (disruption == "drill" ? 5.5 : 2.0);
  std::vector<Client> clients(kStreams);
  std::vector<std::thread> threads;
  for (int i = 0; i < kStreams; ++i) {
    Client& client = clients[i];
    client.request.id = "a" + std::to_string(i);
    client.request.path = "/stream/" + std::to_string(i);
    Instance& instance = *instances[i % 3];
    threads.emplace_back([&client, &instance, killed_at, trouble] {
      // Without trouble, the clients lose their connections by themselves.
      client.first = SendAndLeave(instance, client.request,
                                  trouble ? 15 : killed_at - Seconds());
    });
  }
  if (has_drill) {
    SleepUntil(began_at + 1);
    Record("store: away");
    store.SetDown(true);
    Sleep(1);
    store.Restore(3);
    store.Put("keyed.op", "config", config);
    store.SetDown(false);
    Record("store: back from a copy, era %llu",
           static_cast<unsigned long long>(store.Era()));
  }
  SleepUntil(killed_at);
  if (trouble) {
    Record("all instances: killed");
    for (auto& instance : instances) {
      site.Kill(*instance, SIGKILL);
    }
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  threads.clear();
  Sleep(1.3);
  if (trouble) {
    for (auto& instance : instances) {
      site.Start(*instance, false);
    }
  }
  if (has_outage) {
    SleepUntil(began_at + 4.0);
    store.SetResetting(false);
    Record("store: back");
  }
  for (auto& instance : instances) {
    site.AwaitReady(*instance);
  }
  // In touch: stable_window_ms after the last disruption.
  SleepUntil(std::max(killed_at + 1.3, has_outage ? began_at + 4.0 : 0) + 3.2);
  std::vector<Attempt> fresh(kStreams);
  for (int i = 0; i < kStreams; ++i) {
    Client& client = clients[i];
    Instance& instance = *instances[(i + 1) % 3];
    client.takes_up = !client.first.events.empty() && !client.first.is_whole;
    // New streams beside those that are taken up.
    threads.emplace_back([&fresh, &instance, i] {
      Request request;
      request.id = "c" + std::to_string(i);
      request.deadline_s = 4;
      fresh[i] = Send(instance, request);
      Record("client %s: new stream: status %d, %zu events", request.id.c_str(),
             fresh[i].status, fresh[i].events.size());
    });
    if (!client.takes_up) {
      continue;
    }
    threads.emplace_back([&client, &instance, i] {
      Request again = client.request;
      again.deadline_s = 4;
      again.fields =
          "Last-Event-Id: " + std::to_string(client.first.events.back().first) +
          "\r\nResumes: " + client.request.id + "\r\n";
      // One retry, as the sheet has it, when the answer says so.
      for (int retry = 0; retry < 2 && client.second.events.empty(); ++retry) {
        again.id = "b" + std::to_string(i) + (retry ? "r" : "");
        client.second = Send(instance, again);
        Record("client %s (%s): taken up as %s: status %d, %zu events %s",
               client.request.id.c_str(), VersionOf(client.first).c_str(),
               again.id.c_str(), client.second.status,
               client.second.events.size(),
               client.second.events.empty() ? client.second.body.c_str()
                                            : VersionOf(client.second).c_str());
        Sleep(0.3);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  int taken_up = 0;
  int gone_on = 0;
  int begun = 0;
  int mixed = 0;
  for (int i = 0; i < kStreams; ++i) {
    const Client& client = clients[i];
    taken_up += client.takes_up ? 1 : 0;
    begun += fresh[i].events.empty() ? 0 : 1;
    if (!client.second.events.empty()) {
      ++gone_on;
      mixed += VersionOf(client.first) != VersionOf(client.second) ? 1 : 0;
    }
  }
  Record(
      "LOST: %d of %d streams that were taken up went on, %d of them at the "
      "other version; %d of %d new ones began",
      gone_on, taken_up, mixed, begun, kStreams);
  std::printf("taken up: %d, gone on: %d, mixed: %d; new: %d, begun: %d\n",
              taken_up, gone_on, mixed, kStreams, begun);
  if (taken_up < 12) {
    site.Finish(2);
  }
  site.Finish(
      mixed > 2 || 2.0 * gone_on / taken_up < 1.0 * begun / kStreams ? 1 : 0);
}
