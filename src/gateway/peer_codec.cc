#include "gateway/peer_codec.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "peer_digest.pb.h"

namespace pomeloring {
namespace {

void EncodeDelta(const TextDelta& delta, wire::TextDelta& out) {
  out.set_base_hash(delta.base_hash);
  out.set_target_hash(delta.target_hash);
  for (const DeltaStep& step : delta.steps) {
    wire::DeltaStep& entry = *out.add_steps();
    entry.set_copy_from(step.copy_from);
    entry.set_copy_bytes(step.copy_bytes);
    entry.set_literal(step.literal);
  }
}

TextDelta DecodeDelta(const wire::TextDelta& in) {
  TextDelta delta{in.base_hash(), in.target_hash(), {}};
  for (const wire::DeltaStep& entry : in.steps()) {
    delta.steps.push_back(
        {entry.copy_from(), entry.copy_bytes(), entry.literal()});
  }
  return delta;
}

int64_t ToWholeMillis(Duration duration) {
  return duration.count() / 1000;
}

void EncodeTraitNotice(const TraitNotice& notice, wire::TraitNotice& out) {
  out.set_trait(notice.trait);
  out.set_is_whole_request(notice.kind == TraitKind::kWholeRequest);
  out.set_epoch(notice.epoch);
  for (const auto& [process, is_strong] : notice.exits) {
    wire::UpstreamExit& exit = *out.add_exits();
    exit.set_process(process);
    exit.set_is_strong(is_strong);
  }
  out.set_had_answers(notice.had_answers);
  out.set_is_quarantined(notice.is_quarantined);
  out.set_trials(notice.trials);
  out.set_first_exit_age_ms(ToWholeMillis(notice.first_exit_age));
  out.set_last_change_age_ms(ToWholeMillis(notice.last_change_age));
  out.set_quarantine_age_ms(ToWholeMillis(notice.quarantine_age));
  out.set_until_next_trial_ms(ToWholeMillis(notice.until_next_trial));
}

// Durations beyond this are not sent by any instance.
constexpr int64_t kMaxNoticeMillis = int64_t{7} * 24 * 3600 * 1000;

Duration FromWholeMillis(int64_t ms) {
  return milliseconds{std::clamp(ms, -kMaxNoticeMillis, kMaxNoticeMillis)};
}

void EncodeAccountWork(const ServiceAccountWork& work, wire::PeerDigest& out) {
  for (const auto& [service, accounts] : work) {
    bool is_first = true;
    for (const auto& [account, account_work] : accounts) {
      wire::AccountWork& entry = *out.add_account_work();
      entry.set_account(account);
      if (std::exchange(is_first, false)) {
        entry.set_service(service.value);
      }
      entry.set_work(static_cast<float>(account_work));
    }
  }
}

// Other values than positive ones are not sent by any instance.
ServiceAccountWork DecodeAccountWork(const wire::PeerDigest& in) {
  ServiceAccountWork work;
  ServiceName service;
  for (const wire::AccountWork& entry : in.account_work()) {
    if (!entry.service().empty()) {
      service.value = entry.service();
    }
    if (std::isfinite(entry.work()) && entry.work() > 0) {
      work[service][entry.account()] += entry.work();
    }
  }
  return work;
}

TraitNotice DecodeTraitNotice(const wire::TraitNotice& in) {
  TraitNotice notice;
  notice.trait = in.trait();
  notice.kind =
      in.is_whole_request() ? TraitKind::kWholeRequest : TraitKind::kPromptPart;
  notice.epoch = in.epoch();
  for (const wire::UpstreamExit& exit : in.exits()) {
    notice.exits.emplace_back(exit.process(), exit.is_strong());
  }
  notice.had_answers = in.had_answers();
  notice.is_quarantined = in.is_quarantined();
  notice.trials = in.trials();
  notice.first_exit_age = FromWholeMillis(in.first_exit_age_ms());
  notice.last_change_age = FromWholeMillis(in.last_change_age_ms());
  notice.quarantine_age = FromWholeMillis(in.quarantine_age_ms());
  notice.until_next_trial = FromWholeMillis(in.until_next_trial_ms());
  return notice;
}

// In requests a second; smaller rates are sent as this one.
constexpr double kMinDemandRate = 0.001;

void EncodeFlows(const FlowDigest& flows, wire::PeerDigest& out) {
  out.set_failure_domain(flows.failure_domain.value);
  for (const auto& [key, demand] : flows.demands) {
    wire::DomainDemand& entry = *out.add_demands();
    entry.set_service(key.first.value);
    entry.set_failure_domain(key.second.value);
    const double rate = std::max(demand.requests_per_s, kMinDemandRate);
    entry.set_requests_per_s(static_cast<float>(rate));
    entry.set_mean_slot_ms(static_cast<float>(1000 * demand.slots / rate));
    entry.set_mean_bytes(static_cast<float>(demand.bytes_per_s / rate));
  }
  for (const auto& [key, fraction] : flows.flows) {
    wire::DomainFlow& entry = *out.add_flows();
    entry.set_service(key.first.value);
    entry.set_from(key.second.first.value);
    entry.set_to(key.second.second.value);
    entry.set_fraction(static_cast<float>(fraction));
  }
}

// Bounds what a damaged digest can add to the sums: more than any fleet's.
constexpr float kMaxDemandValue = 1e9F;

double Bounded(float value, float max) {
  return value >= 0 ? std::min(value, max) : 0;  // 0 also for NaN.
}

FlowDigest DecodeFlows(const wire::PeerDigest& in) {
  FlowDigest flows;
  flows.failure_domain.value = in.failure_domain();
  for (const wire::DomainDemand& entry : in.demands()) {
    const double rate = Bounded(entry.requests_per_s(), kMaxDemandValue);
    flows.demands[{{entry.service()}, {entry.failure_domain()}}] = {
        rate, rate * Bounded(entry.mean_slot_ms(), kMaxDemandValue) / 1000,
        rate * Bounded(entry.mean_bytes(), kMaxDemandValue)};
  }
  for (const wire::DomainFlow& entry : in.flows()) {
    flows.flows[{{entry.service()}, {{entry.from()}, {entry.to()}}}] =
        Bounded(entry.fraction(), 1);
  }
  return flows;
}

}  // namespace

std::string EncodeDigest(const PeerDigest& digest) {
  wire::PeerDigest out;
  out.set_sender(digest.sender.value);
  out.set_incarnation(digest.incarnation.value);
  out.set_sequence(digest.sequence);
  out.set_ready(digest.ready);
  out.set_leaving(digest.leaving);
  out.set_config_version(digest.config_version);
  out.set_upstreams_as_of(digest.upstreams_as_of.value);
  out.set_upstreams_hash(digest.upstreams_hash);
  out.set_reads_store(digest.reads_store);
  for (const auto& [name, load] : digest.loads) {
    wire::UpstreamUse& entry = *out.add_uses();
    entry.set_upstream(name.value);
    entry.set_running(load.running);
    for (const uint64_t tokens : load.pending_prefill_tokens) {
      entry.add_unread_tokens(tokens);
    }
    entry.set_pause_sensitive(load.gap_sensitive);
    entry.set_read_load(static_cast<float>(load.prefill_load));
    entry.set_held_tokens(load.held_tokens);
  }
  std::map<UpstreamName, wire::CachedParts*> parts_of;
  for (const auto& [name, part] : digest.cached_parts) {
    wire::CachedParts*& entry = parts_of[name];
    if (entry == nullptr) {
      entry = out.add_cached_parts();
      entry->set_upstream(name.value);
    }
    entry->add_parts(part);
  }
  out.set_has_changed_uses_only(digest.changed_loads_only);
  out.set_scope(static_cast<uint32_t>(digest.scope));
  out.set_relayed_by(digest.relayed_by.value);
  for (const uint32_t name : digest.serving) {
    out.add_serving(name);
  }
  out.mutable_lost_upstreams()->Assign(digest.lost_upstreams.begin(),
                                       digest.lost_upstreams.end());
  out.set_is_cut_off(digest.is_cut_off);
  out.mutable_cut_off()->Assign(digest.cut_off.begin(), digest.cut_off.end());
  for (const ExitNotice& exit : digest.exits) {
    wire::ExitNotice& entry = *out.add_exits();
    entry.set_process(exit.process);
    entry.set_held_for_ms(ToWholeMillis(exit.held_for));
  }
  for (const UpstreamNotice& notice : digest.notices) {
    wire::UpstreamNotice& entry = *out.add_notices();
    entry.set_upstream(notice.upstream.value);
    entry.set_started_at_ms(notice.started_at_ms);
    entry.set_is_leaving(notice.is_leaving);
    entry.set_limit_revision(notice.limit_revision);
    if (notice.request_limit) {
      entry.set_requests_per_s(*notice.request_limit);
    }
    entry.set_room_revision(notice.room_revision);
    if (notice.max_rejections) {
      entry.set_max_rejections(*notice.max_rejections);
    }
    entry.set_room(notice.room);
    entry.set_full_for_ms(std::max<int64_t>(0, ToWholeMillis(notice.full_for)));
  }
  for (const TraitNotice& notice : digest.trait_notices) {
    EncodeTraitNotice(notice, *out.add_traits());
  }
  out.set_duty_position(digest.duties.position.value);
  out.set_duty_holder(digest.duties.holder.value);
  out.set_is_duty_released(digest.duties.is_released);
  for (const auto& [service, backlog] : digest.backlogs) {
    wire::ServiceBacklog& entry = *out.add_backlogs();
    entry.set_service(service.value);
    entry.set_waiting(backlog.waiting);
    entry.set_refused(backlog.refused);
  }
  for (const SpeedObservation& speed : digest.speeds) {
    wire::SpeedObservation& entry = *out.add_speeds();
    entry.set_upstream(speed.upstream);
    entry.set_weight(speed.weight);
    entry.set_log_ratio(speed.log_ratio);
    entry.set_served(speed.served);
    entry.set_failed(speed.failed);
  }
  EncodeFlows(digest.flows, out);
  EncodeAccountWork(digest.account_work, out);
  return out.SerializeAsString();
}

std::optional<PeerDigest> DecodeDigest(std::string_view bytes) {
  wire::PeerDigest in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      in.sender().empty() ||
      in.scope() > static_cast<uint32_t>(DigestScope::kAll)) {
    return std::nullopt;
  }
  PeerDigest digest;
  digest.scope = static_cast<DigestScope>(in.scope());
  digest.relayed_by.value = in.relayed_by();
  digest.changed_loads_only = in.has_changed_uses_only();
  digest.serving.assign(in.serving().begin(), in.serving().end());
  for (const wire::ExitNotice& exit : in.exits()) {
    digest.exits.push_back(
        {exit.process(), FromWholeMillis(exit.held_for_ms())});
  }
  digest.lost_upstreams.assign(in.lost_upstreams().begin(),
                               in.lost_upstreams().end());
  digest.is_cut_off = in.is_cut_off();
  digest.cut_off.assign(in.cut_off().begin(), in.cut_off().end());
  digest.sender.value = in.sender();
  digest.incarnation.value = in.incarnation();
  digest.sequence = in.sequence();
  digest.ready = in.ready();
  digest.leaving = in.leaving();
  digest.config_version = in.config_version();
  digest.upstreams_as_of.value = in.upstreams_as_of();
  digest.upstreams_hash = in.upstreams_hash();
  digest.reads_store = in.reads_store();
  for (const wire::UpstreamUse& entry : in.uses()) {
    UpstreamLoad load;
    load.running = entry.running();
    load.gap_sensitive = entry.pause_sensitive();
    load.prefill_load = entry.read_load();
    load.held_tokens = entry.held_tokens();
    for (int i = 0; i < entry.unread_tokens_size(); ++i) {
      const size_t rank = std::min(static_cast<size_t>(i), kUrgencyRanks - 1);
      load.pending_prefill_tokens[rank] += entry.unread_tokens(i);
    }
    digest.loads.emplace_back(UpstreamName{entry.upstream()}, load);
  }
  for (const wire::CachedParts& entry : in.cached_parts()) {
    for (const uint64_t part : entry.parts()) {
      digest.cached_parts.emplace_back(UpstreamName{entry.upstream()}, part);
    }
  }
  for (const wire::UpstreamNotice& entry : in.notices()) {
    UpstreamNotice notice{{entry.upstream()},
                          entry.started_at_ms(),
                          entry.is_leaving(),
                          entry.limit_revision(),
                          std::nullopt};
    if (entry.has_requests_per_s()) {
      notice.request_limit = entry.requests_per_s();
    }
    notice.room_revision = entry.room_revision();
    if (entry.has_max_rejections()) {
      notice.max_rejections = entry.max_rejections();
    }
    notice.room = entry.room();
    notice.full_for = FromWholeMillis(entry.full_for_ms());
    digest.notices.push_back(std::move(notice));
  }
  for (const wire::TraitNotice& entry : in.traits()) {
    digest.trait_notices.push_back(DecodeTraitNotice(entry));
  }
  digest.duties = {
      {in.duty_position()}, {in.duty_holder()}, in.is_duty_released()};
  for (const wire::ServiceBacklog& entry : in.backlogs()) {
    digest.backlogs[{entry.service()}] = {entry.waiting(), entry.refused()};
  }
  for (const wire::SpeedObservation& entry : in.speeds()) {
    digest.speeds.push_back({entry.upstream(), entry.weight(),
                             entry.log_ratio(), entry.served(),
                             entry.failed()});
  }
  digest.flows = DecodeFlows(in);
  digest.account_work = DecodeAccountWork(in);
  return digest;
}

std::string EncodeStoreUpdate(const StoreUpdate& update) {
  wire::PeerState out;
  out.set_config_version(update.config_version);
  if (update.config) {
    out.set_config(*update.config);
  }
  if (update.config_delta) {
    EncodeDelta(*update.config_delta, *out.mutable_config_delta());
  }
  out.set_upstreams_as_of(update.upstreams_as_of.value);
  out.set_is_whole_list(update.is_whole_list);
  for (const StoredUpstream& upstream : update.upstreams) {
    wire::StoredUpstream& entry = *out.add_upstreams();
    entry.set_id(upstream.id.value);
    entry.set_offset(upstream.offset.value);
    if (upstream.value) {
      entry.set_value(*upstream.value);
    }
  }
  return out.SerializeAsString();
}

std::optional<StoreUpdate> DecodeStoreUpdate(std::string_view bytes) {
  wire::PeerState in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  StoreUpdate update;
  update.config_version = in.config_version();
  if (in.has_config()) {
    update.config = in.config();
  }
  if (in.has_config_delta()) {
    update.config_delta = DecodeDelta(in.config_delta());
  }
  update.upstreams_as_of.value = in.upstreams_as_of();
  update.is_whole_list = in.is_whole_list();
  for (const wire::StoredUpstream& entry : in.upstreams()) {
    StoredUpstream upstream{{entry.id()}, {entry.offset()}, {}};
    if (entry.has_value()) {
      upstream.value = entry.value();
    }
    update.upstreams.push_back(std::move(upstream));
  }
  return update;
}

std::string EncodeOrigins(std::span<const KeyedOrigin> streams) {
  wire::StreamOrigins out;
  for (const auto& [key, origin] : streams) {
    wire::StreamOrigin& entry = *out.add_streams();
    entry.set_stream(key);
    entry.set_service(origin.service.value);
    entry.set_software_version(origin.software_version);
  }
  return out.SerializeAsString();
}

std::optional<std::vector<KeyedOrigin>> DecodeOrigins(std::string_view bytes) {
  wire::StreamOrigins in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  std::vector<KeyedOrigin> streams;
  for (const wire::StreamOrigin& entry : in.streams()) {
    streams.push_back(
        {entry.stream(), {{entry.service()}, entry.software_version()}});
  }
  return streams;
}

std::string EncodeOriginReport(const StreamOriginReport& report) {
  wire::StreamOriginReport out;
  if (report.origin) {
    out.mutable_origin()->set_service(report.origin->service.value);
    out.mutable_origin()->set_software_version(report.origin->software_version);
  }
  for (const std::string& version : report.recent_versions) {
    out.add_recent_versions(version);
    const auto age = report.version_ages.find(version);
    out.add_version_ages_ms(
        age == report.version_ages.end() ? 0 : ToWholeMillis(age->second));
  }
  out.set_knows_all_versions(report.knows_all_versions);
  out.set_is_current(report.is_current);
  out.set_complete_as_of(report.complete_as_of.value);
  return out.SerializeAsString();
}

std::optional<StreamOriginReport> DecodeOriginReport(std::string_view bytes) {
  wire::StreamOriginReport in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  StreamOriginReport report;
  if (in.has_origin()) {
    report.origin =
        StreamOrigin{{in.origin().service()}, in.origin().software_version()};
  }
  report.recent_versions.insert(in.recent_versions().begin(),
                                in.recent_versions().end());
  report.knows_all_versions = in.knows_all_versions();
  report.is_current = in.is_current();
  report.complete_as_of = {in.complete_as_of()};
  for (int i = 0;
       i < in.version_ages_ms_size() && i < in.recent_versions_size(); ++i) {
    report.version_ages[in.recent_versions(i)] =
        FromWholeMillis(in.version_ages_ms(i));
  }
  return report;
}

}  // namespace pomeloring
