// Instances of the node are stopped and started in turn while clients ask
// others for the entries.

#include "site.h"

using namespace review;

namespace {

constexpr int kInstances = 24;
constexpr int kAsked = 3;            // A tenth. They get no signal.
constexpr int kStopped = 10;         // Of the others, in turn.
constexpr int kAtOnce = 2;           // Stopped at the same moment.
constexpr double kGap = 1.3;         // Between two such moments.
constexpr int kClients = 32;         // Of each instance that is asked.
constexpr double kInterval = 0.003;  // Between two requests of a client.
constexpr double kLength = 105;
constexpr int kMaxEnds = 2;  // A process may end by itself so often.

struct Node {
  std::string name;
  int caller = 0;
  int admin = 0;
  int link = 0;
  int probe = 0;
  pid_t pid = 0;
};

class Nodes {
 public:
  explicit Nodes(Site& site) : m_site(site) {
    for (int i = 0; i < kInstances; ++i) {
      Node node;
      node.name = "entry-" + std::to_string(i);
      for (int* port : {&node.caller, &node.admin, &node.link, &node.probe}) {
        *port = FreePort();
      }
      m_nodes.push_back(node);
    }
    m_store = m_site.GetStore().AddPort();
  }

  Node& operator[](int i) { return m_nodes[i]; }

  void Start(Node& node) {
    const auto local = [](int port) {
      return "\"127.0.0.1:" + std::to_string(port) + "\"";
    };
    std::string peers;
    for (const Node& peer : m_nodes) {
      peers += (peers.empty() ? "" : ",") + local(peer.probe);
    }
    const std::string path = m_site.Folder() + "/" + node.name + ".json";
    std::ofstream(path) << "{\"name\":\"" << node.name
                        << "\",\"failure_domain\":\"domain-" << node.name
                        << "\",\"caller_address\":" << local(node.caller)
                        << ",\"admin_address\":" << local(node.admin)
                        << ",\"link_address\":" << local(node.link)
                        << ",\"probe_address\":" << local(node.probe)
                        << ",\"admin_key_sha256\":\"" << std::string(64, 'a')
                        << "\",\"platform_address\":" << local(m_store)
                        << ",\"keep_addresses_s\":1,\"peers\":[" << peers
                        << "]}";
    const std::string log = m_site.Folder() + "/" + node.name + ".log";
    node.pid = fork();
    if (node.pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      for (int fd = 3; fd < 4096; ++fd) {
        close(fd);
      }
      execl("target/bin/pomeloring-node", "pomeloring-node", "--settings",
            path.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    Record("%s: started", node.name.c_str());
  }

  // Waits for the end of a process that got SIGTERM.
  static void AwaitEnd(Node& node) {
    int status = 0;
    waitpid(node.pid, &status, 0);
    Record("%s: ended with status %d", node.name.c_str(), status);
    node.pid = 0;
  }

  // Whether the process has ended by itself. Records how.
  static bool HasCrashed(Node& node) {
    int status = 0;
    if (node.pid == 0 || waitpid(node.pid, &status, WNOHANG) != node.pid) {
      return false;
    }
    Record("%s: ended by itself, by signal %d", node.name.c_str(),
           WIFSIGNALED(status) ? WTERMSIG(status) : 0);
    node.pid = 0;
    return true;
  }

  void KillAll() {
    for (Node& node : m_nodes) {
      if (node.pid != 0) {
        kill(node.pid, SIGKILL);
        waitpid(node.pid, nullptr, 0);
      }
    }
  }

 private:
  Site& m_site;
  int m_store = 0;
  std::vector<Node> m_nodes;
};

// The number of entries that the instance lists; -1 without an answer.
int AskForEntries(int& socket, int port) {
  if (socket < 0) {
    socket = Connect(port);
  }
  std::string buffer;
  Message answer;
  if (socket < 0 ||
      !SendAll(socket, "GET /v1/entries HTTP/1.1\r\nHost: x\r\n\r\n") ||
      !ReadHead(socket, buffer, answer, 2) ||
      !ReadBody(socket, buffer, answer, 2)) {
    close(socket);
    socket = -1;
    return -1;
  }
  int entries = 0;
  for (size_t at = 0;
       (at = answer.body.find("\"address\"", at)) != std::string::npos; ++at) {
    ++entries;
  }
  return entries;
}

}  // namespace

int main() {
  signal(SIGPIPE, SIG_IGN);
  Site site;
  const bool trouble = WithTrouble();
  if (access("target/bin/pomeloring-node", X_OK) != 0) {
    site.Finish(2);
  }
  Nodes nodes(site);
  for (int i = 0; i < kInstances; ++i) {
    nodes.Start(nodes[i]);
  }
  int socket = -1;
  const double ready_by = Seconds() + 20;
  while (AskForEntries(socket, nodes[0].caller) != kInstances) {
    if (Seconds() > ready_by) {
      nodes.KillAll();
      site.Finish(2);
    }
    Sleep(0.1);
  }
  Record("%d entries are listed", kInstances);
  std::atomic<bool> has_ended{false};
  std::atomic<int> answered{0};
  std::atomic<int> unanswered{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kAsked * kClients; ++i) {
    clients.emplace_back([&, i] {
      int connection = -1;
      while (!has_ended) {
        const int entries = AskForEntries(connection, nodes[i % kAsked].caller);
        ++(entries < 0 ? unanswered : answered);
        Sleep(kInterval);
      }
    });
  }
  // Planned work: some of the other instances are stopped and started in turn.
  const double end = Seconds() + kLength;
  std::vector<int> ends(kAsked);
  const auto has_failed = [&ends] {
    return *std::min_element(ends.begin(), ends.end()) > kMaxEnds;
  };
  int stops = 0;
  std::vector<std::thread> restarts(kStopped);
  while (Seconds() < end && !has_failed()) {
    for (int i = 0; i < (trouble ? kAtOnce : 0); ++i) {
      const int which = stops % kStopped;
      if (restarts[which].joinable()) {
        restarts[which].join();
      }
      restarts[which] = std::thread([&nodes, &node = nodes[kAsked + which]] {
        Record("%s: SIGTERM", node.name.c_str());
        kill(node.pid, SIGTERM);
        Nodes::AwaitEnd(node);
        nodes.Start(node);
      });
      ++stops;
    }
    const double next = Seconds() + kGap;
    while (Seconds() < next && !has_failed()) {
      Sleep(0.05);
      for (int i = 0; i < kAsked; ++i) {
        if (Nodes::HasCrashed(nodes[i])) {
          ++ends[i];
          nodes.Start(nodes[i]);
        }
      }
    }
  }
  for (std::thread& restart : restarts) {
    if (restart.joinable()) {
      restart.join();
    }
  }
  has_ended = true;
  for (std::thread& client : clients) {
    client.join();
  }
  nodes.KillAll();
  int machines = 0;
  int total = 0;
  for (int count : ends) {
    machines += count > kMaxEnds ? 1 : 0;
    total += count;
  }
  Record(
      "%d planned stops; %d requests answered, %d not; %d ends of processes "
      "without a signal; on %d of %d machines more than %d",
      stops, answered.load(), unanswered.load(), total, machines, kInstances,
      kMaxEnds);
  std::printf("planned stops: %d; answered: %d, not: %d; crashes: %d\n", stops,
              answered.load(), unanswered.load(), total);
  site.Finish(has_failed() ? 1 : 0);
}
