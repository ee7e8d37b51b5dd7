// The cases of the second review that are scripts. The first argument names the
// case, the second one its folder. With TROUBLE=0 in the environment, a case
// does the same without the disruption.

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <thread>

#include "scene.h"

namespace review {
namespace {

// SYSTEM.md, Sodarna Kras: 4,100 descriptors a machine.
constexpr size_t kMaxFiles = 4100;
// And 260 MB, which the gateway would else ask the kernel.
constexpr char kMemoryOfMachine[] = ",\"memory_mb\":260";
constexpr size_t kPerProcess = 900;
constexpr size_t kCallers = 8;
constexpr int kCallIntervalMs = 250;
constexpr double kRouteTimeoutS = 0.8;

bool HasTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::strcmp(text, "0") != 0;
}

// Before threads lose what they use.
[[noreturn]] void Finish(bool is_broken) {
  Record(is_broken ? "the rule was broken" : "the rule held");
  StopAll();
  _exit(is_broken ? kBroken : kHeld);
}

struct Answers {
  size_t calls = 0;
  size_t served = 0;
  size_t other = 0;       // With another status than 200.
  size_t unanswered = 0;  // No answer by the deadline, or none at all.
  size_t ready = 0;       // Questions to the ready address with a 200.
  size_t not_ready = 0;
  // Sent, and not answered by the route's timeout; of these, not answered half
  // a second later.
  size_t late = 0;
  size_t still_unanswered = 0;
  std::map<std::string, size_t> failures;
};

std::string Text(const Answers& answers) {
  std::string text = "ordinary calls " + std::to_string(answers.calls) +
                     ", served " + std::to_string(answers.served) +
                     ", other status " + std::to_string(answers.other) +
                     ", no answer " + std::to_string(answers.unanswered) +
                     ", late " + std::to_string(answers.late) +
                     ", unanswered half a second later " +
                     std::to_string(answers.still_unanswered) + "; ready 200 " +
                     std::to_string(answers.ready) + ", else " +
                     std::to_string(answers.not_ready);
  for (const auto& [failure, count] : answers.failures) {
    text += "; " + failure + " " + std::to_string(count);
  }
  return text;
}

// Ordinary callers: each opens a new connection for a safe request, again and
// again. The platform asks the ready address once a second.
Answers CallFor(const Gateway& gateway, double seconds, const char* name) {
  std::mutex mutex;
  Answers answers;
  const double ends_at = Seconds() + seconds;
  std::vector<std::thread> threads;
  for (size_t caller = 0; caller < kCallers; ++caller) {
    threads.emplace_back([&, caller] {
      for (int i = 0; Seconds() < ends_at; ++i) {
        Call call;
        call.path = "/check/" + std::to_string(i);
        call.key = "key-1";
        const std::string id = std::string(name) + "-" +
                               std::to_string(caller) + "-" + std::to_string(i);
        const Reply reply = Send(gateway.caller, call, id);
        Record(id + " " + std::to_string(reply.status) + " " + reply.failure);
        {
          const std::lock_guard lock(mutex);
          ++answers.calls;
          answers.served += reply.status == 200 ? 1 : 0;
          answers.other += reply.status != 0 && reply.status != 200 ? 1 : 0;
          const bool is_late =
              reply.failure != kNoConnection && reply.took_s >= kRouteTimeoutS;
          answers.late += is_late ? 1 : 0;
          answers.still_unanswered +=
              is_late && reply.took_s >= kRouteTimeoutS + 0.5 ? 1 : 0;
          if (reply.status == 0) {
            ++answers.unanswered;
            ++answers.failures[reply.failure];
          }
        }
        SleepMs(kCallIntervalMs);
      }
    });
  }
  threads.emplace_back([&] {
    while (Seconds() < ends_at) {
      Call call;
      call.path = "/api/ready";
      call.deadline_ms = 1000;
      const bool is_ready = Send(gateway.ready, call, "platform").status == 200;
      {
        const std::lock_guard lock(mutex);
        ++(is_ready ? answers.ready : answers.not_ready);
      }
      SleepMs(1000);
    }
  });
  for (std::thread& thread : threads) {
    thread.join();
  }
  Record(std::string(name) + ": " + Text(answers));
  return answers;
}

// One machine of Sodarna Kras with the ledger's replicas.
struct Site {
  Store store;
  std::vector<std::unique_ptr<Replica>> replicas;
  Gateway gateway;

  explicit Site(const Replica::OnRun& on_run,
                const std::string& more_settings = "") {
    store.Put("keyed.op", "config", ConfigText());
    for (int i = 0; i < 3; ++i) {
      replicas.push_back(
          std::make_unique<Replica>("i-7f3a91c" + std::to_string(i), on_run));
      store.Put("keyed.servers", replicas.back()->Id(),
                EntryOf(*replicas.back()));
    }
    gateway = StartGateway("127.0.0.1", store, PermittedFiles(kMaxFiles),
                           more_settings);
    AwaitServing(gateway, "/check/first");
    Record("the machine serves; descriptors it may open: " +
           std::to_string(PermittedFiles(kMaxFiles)));
  }
};

void RecordGateway(const Gateway& gateway) {
  Record("gateway: " + std::string(IsRunning(gateway) ? "runs" : "has ended") +
         ", open descriptors " + std::to_string(CountDescriptors(gateway)) +
         ", peak of memory " + std::to_string(PeakKilobytes(gateway)) + " KB");
}

// Nobody of the ordinary callers got an answer, though the same calls were
// served before.
bool IsDeaf(const Answers& before, const Answers& during) {
  return before.served == before.calls && before.calls > 0 &&
         during.calls > 0 && during.served + during.other == 0;
}

// Clients connect to the directory address and send nothing.
[[noreturn]] void DirectoryCrowd() {
  const Site site([](const HttpMessage&) {});
  const Answers before = CallFor(site.gateway, 4, "before");
  const size_t crowd_size = PermittedFiles(kMaxFiles) + 300;
  std::vector<pid_t> crowd;
  if (HasTrouble()) {
    Record("crowd: " + std::to_string(crowd_size) + " connections to " +
           Text(site.gateway.directory) + ", which send nothing");
    crowd = StartCrowd(crowd_size, kPerProcess, site.gateway.directory, 0,
                       [](std::vector<int>&) {});
  }
  SleepMs(6000);  // Twice stable_window_ms.
  RecordGateway(site.gateway);
  const Answers during = CallFor(site.gateway, 12, "during");
  RecordGateway(site.gateway);
  EndCrowd(crowd);
  SleepMs(3000);
  CallFor(site.gateway, 4, "after");
  RecordGateway(site.gateway);
  Finish(before.late == 0 && 2 * during.still_unanswered > during.late);
}

// Sends requests for a route that needs a key, without one, a few a second, and
// never reads.
void SendWithoutReading(std::vector<int>& sockets,
                        const std::string& more_fields) {
  constexpr int kRequests = 80;
  constexpr int kIntervalMs = 200;
  Call call;
  call.path = "/check/x";
  call.more_fields = more_fields;
  const std::string request = WriteCall(call, std::string(3000, 'c'));
  std::vector<std::pair<int, size_t>> clients;  // Sent of the last request.
  for (const int socket : sockets) {
    fcntl(socket, F_SETFL, O_NONBLOCK);
    clients.emplace_back(socket, request.size());
  }
  for (int i = 0; i < kRequests; ++i) {
    for (auto& [socket, sent] : clients) {
      sent = sent == request.size() ? 0 : sent;
      const ssize_t size = send(socket, request.data() + sent,
                                request.size() - sent, MSG_NOSIGNAL);
      sent += size > 0 ? static_cast<size_t>(size) : 0;
    }
    SleepMs(kIntervalMs);
  }
}

// Clients send requests and read no answer.
[[noreturn]] void UnreadCrowd() {
  const Site site([](const HttpMessage&) {}, kMemoryOfMachine);
  const Answers before = CallFor(site.gateway, 4, "before");
  const size_t files = PermittedFiles(kMaxFiles);
  const size_t crowd_size = files - std::min<size_t>(files / 4, 1024) + 100;
  std::vector<pid_t> crowd;
  if (HasTrouble()) {
    Record("crowd: " + std::to_string(crowd_size) + " connections to " +
           Text(site.gateway.caller) +
           ", which send requests and read nothing");
    crowd = StartCrowd(crowd_size, kPerProcess, site.gateway.caller, 4096,
                       [](auto& sockets) { SendWithoutReading(sockets, ""); });
  }
  SleepMs(20000);
  RecordGateway(site.gateway);
  const Answers during = CallFor(site.gateway, 12, "during");
  RecordGateway(site.gateway);
  EndCrowd(crowd);
  SleepMs(3000);
  CallFor(site.gateway, 4, "after");
  RecordGateway(site.gateway);
  Finish(IsDeaf(before, during) && during.ready >= during.not_ready);
}

// Returns as many fields as fit into `bytes`.
std::string ManyFields(size_t bytes) {
  std::string fields;
  while (fields.size() + 5 <= bytes) {
    fields += "a:b\r\n";
  }
  return fields;
}

// Clients send heads inside the limits, with many fields, and then nothing of a
// body of one byte. A process that exceeds the memory of its machine is killed
// and started again, as the platform does.
[[noreturn]] void ManyFieldsCrowd() {
  constexpr size_t kCrowd = 1200;  // Of 3,076 that the gateway permits.
  constexpr uint64_t kMemoryKilobytes = 260 * 1024;
  constexpr int kRounds = 3;
  if (PermittedFiles(kMaxFiles) < kMaxFiles) {
    GiveUp("a gateway may have fewer descriptors here than at the users' site");
  }
  const Site site([](const HttpMessage&) {}, kMemoryOfMachine);
  CallFor(site.gateway, 4, "before");
  const auto start = [&](const char* ip) {
    const Gateway gateway = StartGateway(
        ip, site.store, PermittedFiles(kMaxFiles), kMemoryOfMachine);
    AwaitServing(gateway, "/check/first");
    return gateway;
  };
  struct Machine {
    const char* ip;
    Gateway gateway;
    int ends = 0;
  };
  Machine machines[] = {{"127.0.0.1", site.gateway},
                        {"127.0.0.2", start("127.0.0.2")}};
  Call call;
  call.method = "POST";
  call.path = "/check/x";
  call.body = "b";
  call.more_fields = ManyFields(16'100);
  std::string head = WriteCall(call, "crowd");
  head.pop_back();
  Record("crowds: " + std::to_string(HasTrouble() ? kCrowd : 0) +
         " connections; their heads have " + std::to_string(head.size()) +
         " bytes, and their bodies don't come");
  for (int round = 0; round < kRounds; ++round) {
    for (Machine& machine : machines) {
      const std::vector<pid_t> crowd =
          StartCrowd(HasTrouble() ? kCrowd : 0, kPerProcess,
                     machine.gateway.caller, 0, [&](std::vector<int>& sockets) {
                       for (const int socket : sockets) {
                         SendAll(socket, head);
                       }
                     });
      const double ends_at = Seconds() + 5;
      bool has_ended = false;
      while (!has_ended && Seconds() < ends_at) {
        SleepMs(50);
        const uint64_t peak = PeakKilobytes(machine.gateway);
        has_ended = !IsRunning(machine.gateway) || peak > kMemoryKilobytes;
      }
      Record(std::string("machine ") + machine.ip + ":");
      RecordGateway(machine.gateway);
      if (has_ended) {
        ++machine.ends;
        Record("over its memory: the platform kills it and starts it again");
        EndCrowd({machine.gateway.pid});
      }
      EndCrowd(crowd);
      if (has_ended) {
        SleepMs(500);
        machine.gateway = start(machine.ip);
      }
    }
  }
  for (const Machine& machine : machines) {
    Record(std::string("machine ") + machine.ip + ": processes that ended " +
           std::to_string(machine.ends));
  }
  Finish(std::all_of(
      std::begin(machines), std::end(machines),
      [](const Machine& machine) { return machine.ends >= kRounds; }));
}

// A replica answers long requests before it has read them, without a length,
// and its connection is reset in the middle of the answer.
void AnswerEarly(int socket, const std::string& id, bool is_reset) {
  constexpr size_t kAnswerBytes = 800;
  std::string pending;
  char chunk[4096];
  while (pending.find("\r\n\r\n") == std::string::npos) {
    const ssize_t size = recv(socket, chunk, sizeof chunk, 0);
    if (size <= 0) {
      return;
    }
    pending.append(chunk, static_cast<size_t>(size));
  }
  const std::string name = "X-Request-Id: ";
  const size_t at = pending.find(name) + name.size();
  const std::string request = pending.substr(at, pending.find('\r', at) - at);
  SleepMs(50);
  SendAll(socket, "HTTP/1.1 200 OK\r\n" + name + request +
                      "\r\nX-Response-Seal: seal-" + id +
                      "\r\nConnection: close\r\n\r\n" +
                      std::string(kAnswerBytes / 2, 'r'));
  SleepMs(100);
  if (is_reset) {
    Record("replica " + id + ": the connection is reset after " +
           std::to_string(kAnswerBytes / 2) + " of " +
           std::to_string(kAnswerBytes) + " bytes of the answer to " + request);
    const linger now{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    return;  // Closed by the caller.
  }
  SendAll(socket, std::string(kAnswerBytes / 2, 'r'));
  Record("replica " + id + ": the answer to " + request + " is whole");
  shutdown(socket, SHUT_WR);
  while (recv(socket, chunk, sizeof chunk, 0) > 0) {
  }
}

[[noreturn]] void ResetAnswer() {
  const Site site([](const HttpMessage&) {});
  const Replica early(
      "i-5early",
      [](int socket, const std::string& id) {
        AnswerEarly(socket, id, HasTrouble());
      },
      16 * 1024);
  const_cast<Store&>(site.store)
      .Put("keyed.servers", early.Id(), EntryOf(early, "ledger-long"));
  SleepMs(3000);
  size_t cut = 0;
  size_t complete = 0;
  for (int i = 0; i < 20; ++i) {
    Call call;
    call.method = "POST";
    call.path = "/long/" + std::to_string(i);
    call.key = "key-1";
    call.body = std::string(4'000'000, 'b');
    const std::string id = "request-" + std::to_string(i);
    const Reply reply = Send(site.gateway.caller, call, id);
    Record("the client gets for " + id + ": status " +
           std::to_string(reply.status) + ", seal '" + reply.seal + "', body " +
           std::to_string(reply.body_bytes) + " bytes, " +
           (reply.is_complete ? "complete" : "not complete") + " " +
           reply.failure);
    if (reply.status == 200 && reply.is_complete) {
      ++(reply.body_bytes == 800 ? complete : cut);
    }
  }
  Record("answers that were complete: " + std::to_string(complete) +
         ", that looked complete and were not: " + std::to_string(cut));
  Finish(cut > 0);
}

// Unsafe requests inside the limits, with long ids.
[[noreturn]] void LongId() {
  std::mutex mutex;
  std::map<std::string, int> runs;
  const Site site([&](const HttpMessage& request) {
    const std::lock_guard lock(mutex);
    ++runs[request.fields.at("x-request-id")];
  });
  size_t lost = 0;
  for (int i = 0; i < 20; ++i) {
    Call call;
    call.method = "POST";
    call.path = "/stamp/" + std::to_string(i);
    call.key = "key-1";
    call.body = "stamp";
    const std::string id = "request-" + std::to_string(i) + "-" +
                           std::string(HasTrouble() ? 9000 : 9, 'd');
    const Reply reply = Send(site.gateway.caller, call, id);
    const std::lock_guard lock(mutex);
    Record("the request " + std::to_string(i) + ", its head of " +
           std::to_string(WriteCall(call, id).size() - call.body.size()) +
           " bytes, has run " + std::to_string(runs[id]) +
           " times and is answered " + std::to_string(reply.status));
    lost += runs[id] > 0 && reply.status != 200 ? 1 : 0;
  }
  Record(
      "requests that a replica ran and answered 200, and whose answer was "
      "lost: " +
      std::to_string(lost));
  Finish(lost > 0);
}

[[noreturn]] void RunCase(const std::string& name) {
  if (name == "reset-answer") {
    ResetAnswer();
  }
  if (name == "directory-crowd") {
    DirectoryCrowd();
  }
  if (name == "many-fields") {
    ManyFieldsCrowd();
  }
  if (name == "long-id") {
    LongId();
  }
  if (name == "unread-crowd") {
    UnreadCrowd();
  }
  GiveUp("no such case");
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    return review::kNotRun;
  }
  review::OpenRecord(std::string(argv[2]) + "/record.txt");
  review::RunCase(argv[1]);
}
