// Streams that begin at a new software version while an instance is frozen are
// taken up at that instance as it wakes.

#include "site.h"

using namespace review;

namespace {

constexpr int kStreams = 24;

struct Client {
  Request request;
  Attempt first;
  Attempt second;
  int kept_socket = -1;  // To the instance that freezes, opened before.
};

int CountMixed(const std::vector<Client>& clients) {
  int mixed = 0;
  for (const Client& client : clients) {
    std::map<std::string, int> versions;
    for (const Attempt* attempt : {&client.first, &client.second}) {
      for (const auto& [id, data] : attempt->events) {
        ++versions[data.substr(0, data.find(' '))];
      }
    }
    std::string text;
    for (const auto& [version, count] : versions) {
      text += " " + version + "=" + std::to_string(count);
    }
    Record("client %s: events by version:%s; second attempt: status %d, %s",
           client.request.id.c_str(), text.c_str(), client.second.status,
           client.second.is_whole ? "whole" : "not whole");
    mixed += versions.size() > 1 ? 1 : 0;
  }
  return mixed;
}

}  // namespace

int main() {
  signal(SIGPIPE, SIG_IGN);
  Site site;
  const bool trouble = WithTrouble();
  Store& store = site.GetStore();
  store.Put("keyed.op", "config",
            Config(7, StreamRoute("history", "/stream/", "register-model"),
                   EngineConfig("register-model")));
  std::vector<std::unique_ptr<Replica>> replicas;
  const auto add = [&](const std::string& id, const std::string& zone,
                       const std::string& version) {
    replicas.push_back(std::make_unique<Replica>(
        store, ReplicaSettings{.id = id,
                               .service = "register-model",
                               .zone = zone,
                               .version = version,
                               .events = 60}));
  };
  add("i-1", "hall-sezana", "v1");
  add("i-2", "hall-koper", "v1");
  add("i-3", "hall-nova", "v1");
  Instance& first = site.AddInstance("front-hall-sezana-1", "hall-sezana");
  Instance& frozen = site.AddInstance("front-hall-koper-1", "hall-koper");
  Instance& third = site.AddInstance("front-hall-nova-1", "hall-nova");
  for (Instance* instance : {&first, &frozen, &third}) {
    site.Start(*instance);
  }
  for (Instance* instance : {&first, &frozen, &third}) {
    site.AwaitReady(*instance);
  }
  Sleep(4);
  std::vector<Client> clients(kStreams);
  for (int i = 0; i < kStreams; ++i) {
    clients[i].request.id = "a" + std::to_string(i);
  }
  // Each client has used a connection to each of two instances.
  for (Client& client : clients) {
    client.kept_socket = Connect(frozen.front);
  }
  const double t0 = Seconds();
  if (trouble) {
    Record("instance %s: frozen", frozen.name.c_str());
    kill(frozen.pid, SIGSTOP);
  }
  // A release: the new replicas start first, then the old ones drain.
  SleepUntil(t0 + 0.2);
  add("j-1", "hall-sezana", "v2");
  add("j-2", "hall-koper", "v2");
  add("j-3", "hall-nova", "v2");
  SleepUntil(t0 + 1.0);
  for (int i = 0; i < 3; ++i) {
    replicas[i]->Drain();
  }
  SleepUntil(t0 + 2.0);
  std::vector<std::thread> threads;
  for (Client& client : clients) {
    threads.emplace_back(
        [&client, &first] { client.first = Send(first, client.request); });
  }
  SleepUntil(t0 + 3.4);
  Record("instance %s: killed", first.name.c_str());
  site.Kill(first, SIGKILL);
  for (std::thread& thread : threads) {
    thread.join();
  }
  threads.clear();
  // The clients take their streams up at the connection that they have.
  for (int i = 0; i < kStreams; ++i) {
    Client& client = clients[i];
    if (client.first.events.empty() || client.first.is_whole) {
      Record("client %s: nothing to take up", client.request.id.c_str());
      continue;
    }
    threads.emplace_back([&client, i] {
      Request again = client.request;
      again.id = "b" + std::to_string(i);
      again.fields =
          "Last-Event-Id: " + std::to_string(client.first.events.back().first) +
          "\r\nResumes: " + client.request.id + "\r\n";
      Record("client %s: takes its stream up as %s after event %llu",
             client.request.id.c_str(), again.id.c_str(),
             static_cast<unsigned long long>(client.first.events.back().first));
      if (SendAll(client.kept_socket, Serialize(again))) {
        client.second = ReadAnswer(client.kept_socket, 13);
      }
      close(client.kept_socket);
    });
  }
  SleepUntil(t0 + 4.0);
  if (trouble) {
    kill(frozen.pid, SIGCONT);
    Record("instance %s: wakes", frozen.name.c_str());
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const int mixed = CountMixed(clients);
  Record("ORDER: %d streams hold events of two versions; allowed: 2", mixed);
  std::printf("streams with events of two versions: %d of %d\n", mixed,
              kStreams);
  site.Finish(mixed > 2 ? 1 : 0);
}
