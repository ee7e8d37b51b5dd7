// Whatever the order of lists, reads, updates between peers, restarts, lost or
// repeated messages and forgotten removals: no table holds a registration that
// had ended before the table's position, and all tables equal the store's in
// the end.

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <array>

#include "support/routing_site.h"

namespace pomeloring {
namespace {

constexpr Time kStart{seconds(1000)};
// Longer than removals are remembered.
constexpr Duration kLongTime = seconds(700);
constexpr size_t kInstances = 4;
constexpr size_t kNames = 5;

struct Step {
  uint32_t kind = 0;
  uint32_t a = 0;
  uint32_t b = 0;
};

using Records = std::map<UpstreamName, UpstreamRecord>;

// A topic of the store, as a log of which the oldest part may have expired.
struct StoreModel {
  std::vector<UpstreamChange> log;
  size_t first_retained = 0;
  int64_t starts = 0;

  // The registrations after the first `position` writes.
  Records At(size_t position) const {
    Records records;
    for (size_t i = 0; i < position; ++i) {
      if (log[i].record) {
        records[log[i].id] = *log[i].record;
      } else {
        records.erase(log[i].id);
      }
    }
    return records;
  }

  std::vector<UpstreamChange> List() const {
    std::vector<UpstreamChange> listed;
    for (const auto& [name, record] : At(log.size())) {
      for (size_t i = log.size(); i-- > 0;) {
        if (log[i].id == name) {
          listed.push_back(log[i]);
          break;
        }
      }
    }
    return listed;
  }

  void Write(const Step& step) {
    const std::string id = fmt::format("u{}", step.a % kNames);
    UpstreamChange change = ReadyUpstream(id, log.size());
    const Records now = At(log.size());
    const auto known = now.find({id});
    if (known == now.end()) {
      change.record->started_at_ms = ++starts;
    } else if (step.b % 4 == 0) {
      change.record.reset();
    } else {
      change.record = known->second;
      change.record->draining |= step.b % 4 == 1;
    }
    log.push_back(change);
  }
};

struct Message {
  size_t to = 0;
  UpstreamUpdate update;
  bool is_from_store = false;
};

class Fleet {
 public:
  Fleet() {
    for (size_t i = 0; i < kInstances; ++i) {
      Start(i);
    }
  }

  void Run(const Step& step) {
    const size_t instance = step.a % kInstances;
    switch (step.kind % 9) {
      case 0:
      case 1:
        m_store.Write(step);
        break;
      case 2:
        m_store.first_retained +=
            step.a % (m_store.log.size() - m_store.first_retained + 1);
        break;
      case 3:
        Read(instance);
        break;
      case 4:
        Ask(instance, step.b % kInstances);
        break;
      case 5:
        Deliver(step.a, step.b % 4 == 0);
        break;
      case 6:
        if (!m_messages.empty()) {
          m_messages.erase(m_messages.begin() +
                           static_cast<long>(step.a % m_messages.size()));
        }
        break;
      case 7:
        m_now += step.b % 3 == 0 ? kLongTime : Duration{0};
        m_routers[instance]->Tick(m_now);
        break;
      default:
        if (step.b % 2 == 0) {
          Start(instance);
        }
    }
    CheckPositions();
  }

  void Settle() {
    while (!m_messages.empty()) {
      Deliver(0, false);
      CheckPositions();
    }
    Read(0);
    Deliver(0, false);
    for (size_t round = 0; round < 2 * kInstances; ++round) {
      for (size_t i = 0; i < kInstances; ++i) {
        FetchUpstreams(*m_routers[i], *m_routers[(i + round) % kInstances],
                       m_now);
      }
    }
    CheckPositions();
    for (const auto& router : m_routers) {
      RC_ASSERT(RecordsOf(*router) == m_store.At(m_store.log.size()) ||
                m_store.log.empty());
    }
  }

 private:
  void Start(size_t instance) {
    RouterSettings settings;
    settings.name.value = fmt::format("i{}", instance);
    m_routers[instance] = std::make_unique<Router>(settings);
    m_routers[instance]->ApplyConfig(SmallRouting());
    m_next[instance].reset();
    std::erase_if(m_messages, [&](const Message& message) {
      return message.to == instance;
    });
  }

  // Lists, or reads on; the reply arrives later. An instance has one call to
  // the store in progress at a time.
  void Read(size_t instance) {
    std::erase_if(m_messages, [&](const Message& message) {
      return message.to == instance && message.is_from_store;
    });
    const auto& next = m_next[instance];
    UpstreamUpdate reply;
    reply.as_of = {m_store.log.size()};
    reply.is_whole_list = !next || *next < m_store.first_retained;
    if (reply.is_whole_list) {
      reply.changes = m_store.List();
    } else {
      reply.changes.assign(m_store.log.begin() + static_cast<long>(*next),
                           m_store.log.end());
    }
    m_messages.push_back({instance, reply, true});
  }

  void Ask(size_t instance, size_t peer) {
    const PeerDigest digest = m_routers[peer]->BuildDigest(false, true, m_now);
    if (instance != peer && m_routers[instance]->AreUpstreamsBehind(digest)) {
      const LogOffset known = m_routers[instance]->UpstreamsKnownTo(digest);
      m_messages.push_back(
          {instance, UpdateSince(m_routers[peer]->Upstreams(), known), false});
    }
  }

  void Deliver(size_t index, bool again) {
    if (m_messages.empty()) {
      return;
    }
    const auto at =
        m_messages.begin() + static_cast<long>(index % m_messages.size());
    const Message message = *at;
    if (!again) {
      m_messages.erase(at);
    }
    if (message.is_from_store) {
      m_next[message.to] = message.update.as_of.value;
    }
    ApplyUpdate(*m_routers[message.to], message.update, m_now);
  }

  static Records RecordsOf(const Router& router) {
    Records records;
    for (const auto& [name, entry] : router.Upstreams().entries) {
      if (entry.record) {
        records[name] = *entry.record;
      }
    }
    return records;
  }

  void CheckPositions() const {
    for (const auto& router : m_routers) {
      if (router->Upstreams().is_complete) {
        RC_ASSERT(RecordsOf(*router) ==
                  m_store.At(router->Upstreams().as_of.value));
      }
    }
  }

  Time m_now = kStart;
  StoreModel m_store;
  std::array<std::unique_ptr<Router>, kInstances> m_routers;
  std::array<std::optional<size_t>, kInstances> m_next;
  std::vector<Message> m_messages;
};

TEST_CASE("Tables hold what the store held at their position") {
  using RawStep = std::tuple<uint8_t, uint8_t, uint8_t>;
  CHECK(rc::check("tables converge", [](const std::vector<RawStep>& steps) {
    Fleet fleet;
    for (const auto& [kind, a, b] : steps) {
      fleet.Run({kind, a, b});
    }
    fleet.Settle();
  }));
}

TEST_CASE("Tables converge after long runs") {
  CHECK(rc::check("tables converge", [](uint64_t random) {
    Fleet fleet;
    for (int i = 0; i < 400; ++i) {
      const uint64_t bits = NextRandom(random);
      fleet.Run({static_cast<uint32_t>(bits & 0xFF),
                 static_cast<uint32_t>(bits >> 8 & 0xFFFF),
                 static_cast<uint32_t>(bits >> 24 & 0xFFFF)});
    }
    fleet.Settle();
  }));
}

}  // namespace
}  // namespace pomeloring
