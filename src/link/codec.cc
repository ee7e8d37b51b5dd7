#include "link/codec.h"

#include "link/generated/pomeloring.pb.h"

namespace pomeloring {
namespace {

void Encode(const AttemptId& attempt, wire::AttemptId& out) {
  out.set_incarnation(attempt.request.incarnation.value);
  out.set_sequence(attempt.request.sequence);
  out.set_number(attempt.number);
}

AttemptId Decode(const wire::AttemptId& attempt) {
  return {{Incarnation{attempt.incarnation()}, attempt.sequence()},
          attempt.number()};
}

struct SlotEncoder {
  wire::SlotMessage& out;

  void operator()(const SlotRequest& request) const {
    wire::Ask& to = *out.mutable_ask();
    Encode(request.attempt, *to.mutable_attempt());
    to.set_cell(request.cell.value);
    to.set_request_class(request.request_class.value);
    to.set_account(request.account.value);
    to.set_time_left_us(request.time_left.count());
    to.set_waited_us(request.waited.count());
    to.set_prefix_hash(request.prefix_hash);
    for (const UpstreamName& name : request.excluded) {
      to.add_excluded(name.value);
    }
  }
  void operator()(const Queued& queued) const {
    Encode(queued.attempt, *out.mutable_queued()->mutable_attempt());
    out.mutable_queued()->set_cell(queued.cell.value);
  }
  void operator()(const Granted& granted) const {
    Encode(granted.attempt, *out.mutable_granted()->mutable_attempt());
    out.mutable_granted()->set_cell(granted.cell.value);
    out.mutable_granted()->set_upstream(granted.upstream.value);
  }
  void operator()(const Declined& declined) const {
    Encode(declined.attempt, *out.mutable_declined()->mutable_attempt());
    out.mutable_declined()->set_reason(static_cast<uint32_t>(declined.reason));
    out.mutable_declined()->set_retry_after_us(declined.retry_after.count());
  }
  void operator()(const Withdraw& withdraw) const {
    Encode(withdraw.attempt, *out.mutable_withdraw()->mutable_attempt());
    out.mutable_withdraw()->set_cell(withdraw.cell.value);
  }
  void operator()(const SlotReport& report) const {
    wire::SlotReport& to = *out.mutable_report();
    Encode(report.attempt, *to.mutable_attempt());
    to.set_cell(report.cell.value);
    to.set_upstream(report.upstream.value);
    to.set_outcome(static_cast<uint32_t>(report.outcome));
    to.set_first_token_us(report.first_token.count());
    to.set_total_us(report.total.count());
    to.set_tokens(report.tokens);
  }
  void operator()(const SchedulerProbe&) const { out.mutable_probe(); }
  void operator()(const SchedulerAlive&) const { out.mutable_alive(); }
  void operator()(const RunningSlots& running) const {
    wire::RunningSlots& to = *out.mutable_running();
    to.set_cell(running.cell.value);
    to.set_replicas_hash(running.replicas_hash);
    for (const RunningCount& count : running.counts) {
      to.add_counts(count.replica);
      to.add_counts(count.running);
    }
  }
};

SlotRequest DecodeSlotRequest(const wire::Ask& from) {
  SlotRequest request;
  request.attempt = Decode(from.attempt());
  request.cell.value = from.cell();
  request.request_class.value = from.request_class();
  request.account.value = from.account();
  request.time_left = Duration{from.time_left_us()};
  request.waited = Duration{from.waited_us()};
  request.prefix_hash = from.prefix_hash();
  for (const std::string& name : from.excluded()) {
    request.excluded.push_back({name});
  }
  return request;
}

std::optional<SlotMessage> DecodeReport(const wire::SlotReport& from) {
  if (from.outcome() > static_cast<uint32_t>(SlotOutcome::kFailed)) {
    return std::nullopt;
  }
  SlotReport report;
  report.attempt = Decode(from.attempt());
  report.cell.value = from.cell();
  report.upstream.value = from.upstream();
  report.outcome = static_cast<SlotOutcome>(from.outcome());
  report.first_token = Duration{from.first_token_us()};
  report.total = Duration{from.total_us()};
  report.tokens = from.tokens();
  return report;
}

RunningSlots DecodeRunning(const wire::RunningSlots& from) {
  RunningSlots running{{from.cell()}, from.replicas_hash(), {}};
  for (int i = 0; i + 1 < from.counts_size(); i += 2) {
    running.counts.push_back({from.counts(i), from.counts(i + 1)});
  }
  return running;
}

std::optional<SlotMessage> DecodeDeclined(const wire::Declined& from) {
  if (from.reason() > static_cast<uint32_t>(DeclineReason::kUpstreamRefused)) {
    return std::nullopt;
  }
  return Declined{Decode(from.attempt()),
                  static_cast<DeclineReason>(from.reason()),
                  Duration{from.retry_after_us()}};
}

void Encode(const Member& member, wire::Member& out) {
  out.set_name(member.name.value);
  out.set_incarnation(member.incarnation.value);
  out.set_version(member.version);
  out.set_status(static_cast<uint32_t>(member.status));
  out.set_leaving(member.leaving);
  out.set_probe_address(member.probe_address);
  out.set_link_address(member.link_address);
  out.set_caller_address(member.caller_address);
  out.set_failure_domain(member.failure_domain.value);
  out.set_region(member.region.value);
  out.set_relay_capacity(member.relay_capacity);
}

std::optional<Member> Decode(const wire::Member& from) {
  if (from.name().empty() ||
      from.status() > static_cast<uint32_t>(MemberStatus::kLeft)) {
    return std::nullopt;
  }
  Member member;
  member.name.value = from.name();
  member.incarnation.value = from.incarnation();
  member.version = from.version();
  member.status = static_cast<MemberStatus>(from.status());
  member.leaving = from.leaving();
  member.probe_address = from.probe_address();
  member.link_address = from.link_address();
  member.caller_address = from.caller_address();
  member.failure_domain.value = from.failure_domain();
  member.region.value = from.region();
  member.relay_capacity = from.relay_capacity();
  return member;
}

}  // namespace

void Encode(const SlotMessage& message, wire::SlotMessage& out) {
  std::visit(SlotEncoder{out}, message);
}

std::optional<SlotMessage> Decode(const wire::SlotMessage& message) {
  switch (message.body_case()) {
    case wire::SlotMessage::kAsk:
      return DecodeSlotRequest(message.ask());
    case wire::SlotMessage::kQueued:
      return Queued{Decode(message.queued().attempt()),
                    {message.queued().cell()}};
    case wire::SlotMessage::kGranted:
      return Granted{Decode(message.granted().attempt()),
                     {message.granted().cell()},
                     {message.granted().upstream()}};
    case wire::SlotMessage::kDeclined:
      return DecodeDeclined(message.declined());
    case wire::SlotMessage::kWithdraw:
      return Withdraw{Decode(message.withdraw().attempt()),
                      {message.withdraw().cell()}};
    case wire::SlotMessage::kReport:
      return DecodeReport(message.report());
    case wire::SlotMessage::kRunning:
      return DecodeRunning(message.running());
    case wire::SlotMessage::kProbe:
      return SchedulerProbe{};
    case wire::SlotMessage::kAlive:
      return SchedulerAlive{};
    case wire::SlotMessage::BODY_NOT_SET:
      return std::nullopt;
  }
  return std::nullopt;
}

std::string EncodeDatagram(const MembershipMessage& message) {
  wire::MembershipDatagram out;
  out.set_kind(static_cast<uint32_t>(message.kind));
  out.set_sequence(message.sequence);
  Encode(message.sender, *out.mutable_sender());
  out.set_target(message.target.value);
  out.set_more(message.more);
  for (const Member& update : message.updates) {
    Encode(update, *out.add_updates());
  }
  out.set_config_as_of(message.config_as_of.value);
  out.set_live_count(message.live_count);
  return out.SerializeAsString();
}

std::optional<MembershipMessage> DecodeDatagram(std::string_view bytes) {
  wire::MembershipDatagram from;
  const bool parsed =
      from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  if (!parsed ||
      from.kind() > static_cast<uint32_t>(MembershipMessageKind::kSyncReply)) {
    return std::nullopt;
  }
  const std::optional<Member> sender = Decode(from.sender());
  if (!sender) {
    return std::nullopt;
  }
  MembershipMessage message;
  message.kind = static_cast<MembershipMessageKind>(from.kind());
  message.sequence = from.sequence();
  message.sender = *sender;
  message.target.value = from.target();
  message.more = from.more();
  for (const wire::Member& update : from.updates()) {
    if (const std::optional<Member> member = Decode(update)) {
      message.updates.push_back(*member);
    }
  }
  message.config_as_of.value = from.config_as_of();
  message.live_count = from.live_count();
  return message;
}

void Encode(const ConfigInForce& state, wire::ConfigurationState& out) {
  out.set_known(true);
  out.set_as_of(state.as_of.value);
  out.set_revision(state.revision.value);
  out.set_text(state.text);
  for (const auto& [target, mark] : state.marks) {
    (*out.mutable_marks())[target] = std::string(ToString(mark));
  }
}

std::optional<ConfigInForce> Decode(const wire::ConfigurationState& state) {
  if (!state.known()) {
    return std::nullopt;
  }
  ConfigInForce in_force;
  in_force.as_of.value = state.as_of();
  in_force.revision.value = state.revision();
  in_force.text = state.text();
  for (const auto& [target, text] : state.marks()) {
    const std::optional<MarkState> mark = ParseMarkState(text);
    if (!mark) {
      return std::nullopt;
    }
    in_force.marks[target] = *mark;
  }
  return in_force;
}

}  // namespace pomeloring
