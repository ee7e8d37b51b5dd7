// Defines the encoding of DutyRecord in the platform's log.

#ifndef POMELORING_GATEWAY_DUTY_CODEC_H_
#define POMELORING_GATEWAY_DUTY_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "duties/duty_record.h"

namespace pomeloring {

std::string EncodeDutyRecord(const DutyRecord& record);
// Returns nothing for malformed bytes, later formats and unknown kinds.
std::optional<DutyRecord> DecodeDutyRecord(std::string_view bytes);

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_DUTY_CODEC_H_
