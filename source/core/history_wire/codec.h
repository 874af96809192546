// FlatBuffers encoding of the history messages and of the records in the
// journal's log.
#ifndef DAISYWIND_HISTORY_WIRE_CODEC_H_
#define DAISYWIND_HISTORY_WIRE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "history/messages.h"
#include "history/types.h"

namespace daisywind::history {

// Encodes a message as the payload of one frame.
auto EncodeMessage(const message& from) -> std::string;

// Decodes the payload of one frame. Returns nothing when it is not a valid
// message.
auto DecodeMessage(std::string_view frame) -> std::optional<message>;

// Content of one record of the journal's log.
struct disk_record {
  std::vector<turn_fact> facts;
  // Number of the view since which this disk holds every fact. Zero when the
  // record does not say so or when facts may be missing.
  view_number complete_in_view = 0;
  // Copy of the platform's store. Absent when the record holds none.
  std::optional<store_copy> store;
  // Programs whose facts in the records before this one have been removed. The
  // first record with such a list, even an empty one, shows that the log has
  // every later removal; logs of earlier versions have none.
  std::optional<std::vector<program_name>> removed = std::nullopt;

  auto operator<=>(const disk_record&) const = default;
};

auto EncodeRecord(const disk_record& from) -> std::string;

// Returns nothing when the bytes are not a valid record.
auto DecodeRecord(std::string_view bytes) -> std::optional<disk_record>;

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_WIRE_CODEC_H_
