#include "gateway/scaling_records.h"

#include <algorithm>
#include <cmath>

#include "scaling_records.pb.h"

namespace pomeloring {
namespace {

constexpr uint32_t kFormat = 1;
constexpr int64_t kMaxAgeMs = int64_t{24} * 3600 * 1000;
// More than the largest deployment has; bounds what a faulty record costs.
constexpr size_t kMaxServices = 1000;
constexpr size_t kMaxSubjects = 1000;
constexpr uint32_t kMaxUpstreams = 100000;
constexpr int32_t kMaxOperatorChange = 100000;

uint32_t WholeMillis(Duration duration) {
  return static_cast<uint32_t>(
      std::clamp<int64_t>(duration.count() / 1000, 0, kMaxAgeMs));
}

Duration FromMillis(uint32_t ms) {
  return milliseconds{std::min<int64_t>(ms, kMaxAgeMs)};
}

OrderReason ReasonOf(uint32_t value) {
  return value <= static_cast<uint32_t>(OrderReason::kSurplus)
             ? static_cast<OrderReason>(value)
             : OrderReason::kShortage;
}

UpstreamKind KindOf(bool is_reclaimable) {
  return is_reclaimable ? UpstreamKind::kReclaimable : UpstreamKind::kRegular;
}

void EncodeSubject(const ScalingState& state,
                   const ScalingSubject& subject,
                   const SubjectState& known,
                   Time now,
                   wire::ScalingSubject& out) {
  out.set_failure_domain(subject.domain.value);
  out.set_is_reclaimable(subject.kind == UpstreamKind::kReclaimable);
  if (known.outstanding) {
    out.set_desired(known.outstanding->desired);
    out.set_before(known.outstanding->before);
    out.set_sent_age_ms(WholeMillis(now - known.outstanding->sent_at));
    out.set_is_answered(known.outstanding->is_answered);
    out.set_reason(static_cast<uint32_t>(known.outstanding->reason));
  }
  if (known.settled) {
    out.set_settled(*known.settled);
  }
  if (known.raised_at) {
    out.set_raised_age_ms(WholeMillis(now - *known.raised_at));
  }
  if (known.lowered_at) {
    out.set_lowered_age_ms(WholeMillis(now - *known.lowered_at));
  }
  if (known.unavailable_until && *known.unavailable_until > now) {
    out.set_unavailable_left_ms(WholeMillis(*known.unavailable_until - now));
    out.set_unavailable_for_ms(WholeMillis(known.unavailable_for));
  }
  const auto change = state.operator_changes.find(subject.domain);
  if (subject.kind == UpstreamKind::kRegular &&
      change != state.operator_changes.end()) {
    out.set_operator_change(change->second);
  }
}

void DecodeSubject(const wire::ScalingSubject& in,
                   Time now,
                   ScalingState& state) {
  const ScalingSubject subject{{in.failure_domain()},
                               KindOf(in.is_reclaimable())};
  SubjectState& known = state.subjects[subject];
  if (in.has_desired() && in.desired() <= kMaxUpstreams) {
    known.outstanding = {
        in.desired(),     in.before(), now - FromMillis(in.sent_age_ms()),
        in.is_answered(), Duration{0}, ReasonOf(in.reason())};
  }
  if (in.has_settled() && in.settled() <= kMaxUpstreams) {
    known.settled = in.settled();
  }
  if (in.has_raised_age_ms()) {
    known.raised_at = now - FromMillis(in.raised_age_ms());
  }
  if (in.has_lowered_age_ms()) {
    known.lowered_at = now - FromMillis(in.lowered_age_ms());
  }
  if (in.has_unavailable_left_ms()) {
    known.unavailable_until = now + FromMillis(in.unavailable_left_ms());
    known.unavailable_for = FromMillis(in.unavailable_for_ms());
  }
  if (in.operator_change() != 0) {
    state.operator_changes[subject.domain] = std::clamp(
        in.operator_change(), -kMaxOperatorChange, kMaxOperatorChange);
  }
}

float CheckedNeed(float need) {
  return std::isfinite(need) ? std::clamp(need, 0.0F, float{kMaxUpstreams}) : 0;
}

}  // namespace

std::string EncodeScalingDecision(const ScalingDecision& decision) {
  wire::ScalingDecision out;
  out.set_format(kFormat);
  out.set_service(decision.service.value);
  out.set_failure_domain(decision.order.subject.domain.value);
  out.set_is_reclaimable(decision.order.subject.kind ==
                         UpstreamKind::kReclaimable);
  out.set_desired(decision.order.desired);
  out.set_before(decision.order.before);
  out.set_reason(static_cast<uint32_t>(decision.order.reason));
  return out.SerializeAsString();
}

std::optional<ScalingDecision> DecodeScalingDecision(std::string_view bytes) {
  wire::ScalingDecision in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      in.format() != kFormat || in.service().empty() ||
      in.desired() > kMaxUpstreams) {
    return std::nullopt;
  }
  return ScalingDecision{{in.service()},
                         {{{in.failure_domain()}, KindOf(in.is_reclaimable())},
                          in.desired(),
                          in.before(),
                          ReasonOf(in.reason())}};
}

std::string EncodeScalingSnapshot(const ScalingStates& states, Time now) {
  wire::ScalingSnapshot out;
  out.set_format(kFormat);
  for (const auto& [service, state] : states) {
    wire::ScalingServiceState& entry = *out.add_services();
    entry.set_service(service.value);
    for (const auto& [subject, known] : state.subjects) {
      EncodeSubject(state, subject, known, now, *entry.add_subjects());
    }
    for (const DemandBucket& bucket : state.window.buckets) {
      entry.add_peaks(static_cast<float>(bucket.peak));
      entry.add_means(
          static_cast<float>(bucket.sum / std::max(1U, bucket.samples)));
    }
    entry.set_is_fleet_complete(state.is_fleet_complete);
    if (state.scaled_in_at) {
      entry.set_scaled_in_age_ms(WholeMillis(now - *state.scaled_in_at));
    }
    if (state.dry_until && *state.dry_until > now) {
      entry.set_dry_left_ms(WholeMillis(*state.dry_until - now));
    }
  }
  return out.SerializeAsString();
}

std::optional<ScalingStates> DecodeScalingSnapshot(std::string_view bytes,
                                                   Time now) {
  wire::ScalingSnapshot in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      in.format() != kFormat ||
      static_cast<size_t>(in.services_size()) > kMaxServices) {
    return std::nullopt;
  }
  ScalingStates states;
  for (const wire::ScalingServiceState& entry : in.services()) {
    if (static_cast<size_t>(entry.subjects_size()) > kMaxSubjects ||
        static_cast<size_t>(entry.peaks_size()) > kMaxDemandBuckets ||
        entry.peaks_size() != entry.means_size()) {
      return std::nullopt;
    }
    ScalingState& state = states[{entry.service()}];
    for (const wire::ScalingSubject& subject : entry.subjects()) {
      DecodeSubject(subject, now, state);
    }
    for (int i = 0; i < entry.peaks_size(); ++i) {
      state.window.buckets.push_back(
          {CheckedNeed(entry.peaks(i)), CheckedNeed(entry.means(i)), 1});
    }
    state.is_fleet_complete = entry.is_fleet_complete();
    if (entry.has_scaled_in_age_ms()) {
      state.scaled_in_at = now - FromMillis(entry.scaled_in_age_ms());
    }
    if (entry.has_dry_left_ms()) {
      state.dry_until = now + FromMillis(entry.dry_left_ms());
    }
  }
  return states;
}

}  // namespace pomeloring
