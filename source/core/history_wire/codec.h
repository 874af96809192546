// FlatBuffers coding of the messages about facts and of the journal's records.
#ifndef DAISYWIND_HISTORY_WIRE_CODEC_H_
#define DAISYWIND_HISTORY_WIRE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "history/messages.h"
#include "history/types.h"

namespace daisywind::history {

// Renders one frame.
auto EncodeMessage(const message& from) -> std::string;

// Reads one frame. Returns nothing when it is no valid message.
auto DecodeMessage(std::string_view frame) -> std::optional<message>;

// What one record of the journal's disk holds.
struct disk_record {
  std::vector<turn_fact> facts;
  // The view since which this disk holds everything; zero when not stated.
  view_number complete_in_view = 0;
  // The platform's store as last seen, when the record holds that.
  std::optional<store_copy> store;

  auto operator<=>(const disk_record&) const = default;
};

auto EncodeRecord(const disk_record& from) -> std::string;

// Returns nothing when the bytes are no valid record.
auto DecodeRecord(std::string_view bytes) -> std::optional<disk_record>;

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_WIRE_CODEC_H_
