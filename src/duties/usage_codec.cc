#include "duties/usage_codec.h"

#include <algorithm>

#include "usage.pb.h"

namespace pomeloring {
namespace {

constexpr uint32_t kFormat = 1;
// Of a datagram: fits into one packet of common links.
constexpr size_t kMaxReportBytes = 1200;
// Of a datagram without accounts: its sender's name and the numbers.
constexpr size_t kReportOverheadBytes = 100;
// Of an account's name and count beside the name itself: tag, length, count.
constexpr size_t kEntryBytes = 6;
// Larger records are not written by any instance.
constexpr size_t kMaxDecodedBytes = size_t{262'144};

// Names of accounts as indexes, for messages in which they recur.
class AccountIndexes {
 public:
  explicit AccountIndexes(wire::UsageSnapshot& out) : m_out(out) {}

  uint32_t IndexOf(const AccountName& account) {
    const auto [entry, is_new] =
        m_indexes.try_emplace(account, static_cast<uint32_t>(m_indexes.size()));
    if (is_new) {
      m_out.add_accounts(account.value);
      m_name_bytes += account.value.size() + 4;
    }
    return entry->second;
  }
  size_t NameBytes() const { return m_name_bytes; }

 private:
  wire::UsageSnapshot& m_out;
  std::map<AccountName, uint32_t> m_indexes;
  size_t m_name_bytes = 0;
};

template <typename Message>
void WriteIndexed(const AccountCounts& counts,
                  AccountIndexes& indexes,
                  Message& out) {
  for (const auto& [account, count] : counts) {
    out.add_account_indexes(indexes.IndexOf(account));
    out.add_counts(count);
  }
}

// Reads names, or indexes into `names`.
template <typename Message, typename Names>
std::optional<AccountCounts> ReadCounts(const Message& in, const Names& names) {
  const bool is_indexed = in.account_indexes_size() > 0;
  const int size = is_indexed ? in.account_indexes_size() : in.accounts_size();
  if (size != in.counts_size()) {
    return std::nullopt;
  }
  AccountCounts counts;
  for (int i = 0; i < size; ++i) {
    const auto index = is_indexed ? in.account_indexes(i) : 0;
    if (is_indexed && index >= static_cast<uint32_t>(names.size())) {
      return std::nullopt;
    }
    counts[{is_indexed ? names.Get(static_cast<int>(index)) : in.accounts(i)}] =
        in.counts(i);
  }
  return counts;
}

template <typename Message>
bool Parse(std::string_view bytes, Message& message) {
  return bytes.size() <= kMaxDecodedBytes &&
         message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) &&
         message.format() == kFormat;
}

void WriteSender(const UsageSender& sender, wire::SenderUsage& out) {
  out.set_format(kFormat);
  out.set_sender(sender.name.value);
  out.set_incarnation(sender.incarnation.value);
}

void WriteHead(const UsageDecision& decision, wire::UsageDecision& out) {
  out.set_format(kFormat);
  out.set_window(decision.window);
  out.set_senders_heard(decision.senders_heard);
  out.set_senders_missing(decision.senders_missing);
}

void WriteDecision(const UsageDecision& decision, wire::UsageDecision& out) {
  WriteHead(decision, out);
  for (const auto& [account, count] : decision.counts) {
    out.add_accounts(account.value);
    out.add_counts(count);
  }
}

template <typename Names>
std::optional<UsageDecision> ReadDecision(const wire::UsageDecision& in,
                                          const Names& names) {
  auto counts = ReadCounts(in, names);
  if (!counts) {
    return std::nullopt;
  }
  return UsageDecision{in.window(), std::move(*counts), in.senders_heard(),
                       in.senders_missing()};
}

template <typename Names>
std::optional<UsageReport> ReadSender(const wire::SenderUsage& in,
                                      const Names& names) {
  UsageReport report;
  report.sender = {{in.sender()}, {in.incarnation()}};
  report.counting_since =
      Time{Duration{static_cast<int64_t>(in.counting_since_us())}};
  for (const wire::WindowUsage& window : in.windows()) {
    auto counts = ReadCounts(window, names);
    if (!counts) {
      return std::nullopt;
    }
    report.windows.push_back({window.window(), window.total(),
                              window.has_ended(), std::move(*counts)});
  }
  if (in.has_decided_before()) {
    report.decided_before = in.decided_before();
  }
  for (const wire::UsageDecision& entry : in.unacknowledged()) {
    auto decision = ReadDecision(entry, names);
    if (!decision) {
      return std::nullopt;
    }
    report.unacknowledged.push_back(std::move(*decision));
  }
  return in.sender().empty() ? std::nullopt : std::optional(report);
}

// The open windows by sender.
std::map<UsageSender, std::vector<WindowReport>> BySender(
    const UsageCollection& collection) {
  std::map<UsageSender, std::vector<WindowReport>> by_sender;
  for (const auto& [window, senders] : collection.open) {
    for (const auto& [sender, counted] : senders) {
      by_sender[sender].push_back(
          {window, counted.total, counted.has_ended, counted.counts});
    }
  }
  return by_sender;
}

}  // namespace

std::vector<std::string> EncodeUsageReport(const UsageReport& report) {
  std::vector<std::string> datagrams;
  wire::SenderUsage message;
  size_t bytes = 0;
  const auto begin = [&] {
    message.Clear();
    WriteSender(report.sender, message);
    message.set_counting_since_us(static_cast<uint64_t>(std::max<int64_t>(
        0, report.counting_since.time_since_epoch().count())));
    if (report.decided_before) {
      message.set_decided_before(*report.decided_before);
    }
    bytes = kReportOverheadBytes + report.sender.name.value.size();
  };
  const auto add_window = [&](const WindowReport& window) {
    wire::WindowUsage* entry = message.add_windows();
    entry->set_window(window.window);
    entry->set_total(window.total);
    entry->set_has_ended(window.has_ended);
    return entry;
  };
  begin();
  for (const WindowReport& window : report.windows) {
    wire::WindowUsage* entry = add_window(window);
    for (const auto& [account, count] : window.counts) {
      bytes += account.value.size() + kEntryBytes;
      if (bytes > kMaxReportBytes) {
        datagrams.push_back(message.SerializeAsString());
        begin();
        bytes += account.value.size() + kEntryBytes;
        entry = add_window(window);
      }
      entry->add_accounts(account.value);
      entry->add_counts(count);
    }
  }
  datagrams.push_back(message.SerializeAsString());
  for (const UsageDecision& decision : report.unacknowledged) {
    begin();
    WriteDecision(decision, *message.add_unacknowledged());
    if (message.ByteSizeLong() <= kMaxReportBytes) {
      datagrams.push_back(message.SerializeAsString());
    }
  }
  return datagrams;
}

std::optional<UsageReport> DecodeUsageReport(std::string_view bytes) {
  wire::SenderUsage message;
  if (!Parse(bytes, message)) {
    return std::nullopt;
  }
  return ReadSender(message, wire::UsageSnapshot().accounts());
}

std::string EncodeUsageDecision(const UsageDecision& decision) {
  wire::UsageDecision message;
  WriteDecision(decision, message);
  return message.SerializeAsString();
}

std::optional<UsageDecision> DecodeUsageDecision(std::string_view bytes) {
  wire::UsageDecision message;
  if (!Parse(bytes, message)) {
    return std::nullopt;
  }
  return ReadDecision(message, wire::UsageSnapshot().accounts());
}

std::string EncodeUsageSnapshot(const UsageCollection& collection,
                                std::span<const InstanceName> live_members,
                                size_t max_bytes) {
  wire::UsageSnapshot message;
  message.set_format(kFormat);
  message.set_next_window(collection.next);
  if (collection.uncertain_before > collection.next) {
    message.set_uncertain_before(collection.uncertain_before);
  }
  AccountIndexes indexes(message);
  size_t bytes = 0;
  // Returns whether the entry that was added last fits.
  const auto fits = [&](size_t entry_bytes) {
    bytes += entry_bytes + 8;
    return bytes + indexes.NameBytes() <= max_bytes;
  };
  for (const auto& [window, decision] : collection.recorded) {
    wire::UsageDecision& entry = *message.add_recorded();
    WriteHead(decision, entry);
    WriteIndexed(decision.counts, indexes, entry);
    if (!fits(entry.ByteSizeLong())) {
      message.mutable_recorded()->RemoveLast();
      return message.SerializeAsString();
    }
  }
  for (const auto& [window, decision] : collection.closed) {
    wire::UsageDecision& entry = *message.add_closed();
    WriteHead(decision, entry);
    WriteIndexed(decision.counts, indexes, entry);
    if (!fits(entry.ByteSizeLong())) {
      message.mutable_closed()->RemoveLast();
      return message.SerializeAsString();
    }
  }
  const auto by_sender = BySender(collection);
  const std::set<InstanceName> live(live_members.begin(), live_members.end());
  for (const bool is_live : {false, true}) {
    for (const auto& [sender, windows] : by_sender) {
      if (live.contains(sender.name) != is_live) {
        continue;
      }
      wire::SenderUsage& entry = *message.add_senders();
      WriteSender(sender, entry);
      for (const WindowReport& window : windows) {
        wire::WindowUsage& counts = *entry.add_windows();
        counts.set_window(window.window);
        counts.set_total(window.total);
        counts.set_has_ended(window.has_ended);
        WriteIndexed(window.counts, indexes, counts);
      }
      if (!fits(entry.ByteSizeLong())) {
        message.mutable_senders()->RemoveLast();
        return message.SerializeAsString();
      }
    }
  }
  return message.SerializeAsString();
}

bool RestoreUsageSnapshot(UsageCollection& collection,
                          std::string_view bytes,
                          Time now) {
  wire::UsageSnapshot message;
  if (!Parse(bytes, message)) {
    return false;
  }
  UsageCollection restored = collection;
  restored.next = std::max(restored.next, message.next_window());
  if (message.uncertain_before() > restored.uncertain_before) {
    // Its writer may not have heard who held the duty before.
    restored.uncertain_before = message.uncertain_before();
    restored.take_over.last_holder = {};
  }
  restored.open.erase(restored.open.begin(),
                      restored.open.lower_bound(restored.next));
  const auto read = [&](const auto& entries, auto& out) {
    for (const wire::UsageDecision& entry : entries) {
      auto decision = ReadDecision(entry, message.accounts());
      if (!decision) {
        return false;
      }
      out.try_emplace(decision->window, std::move(*decision));
    }
    return true;
  };
  if (!read(message.recorded(), restored.recorded) ||
      !read(message.closed(), restored.closed)) {
    return false;
  }
  for (const wire::SenderUsage& entry : message.senders()) {
    auto report = ReadSender(entry, message.accounts());
    if (!report) {
      return false;
    }
    const auto since = restored.counting_since.find(report->sender.name);
    report->counting_since =
        since == restored.counting_since.end() ? now : since->second;
    MergeReport(restored, *report, now);
  }
  collection = std::move(restored);
  return true;
}

}  // namespace pomeloring
