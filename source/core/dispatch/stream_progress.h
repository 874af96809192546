// Where a stream of events that several endpoints may continue stands.
#ifndef DAISYWIND_DISPATCH_STREAM_PROGRESS_H_
#define DAISYWIND_DISPATCH_STREAM_PROGRESS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace daisywind::dispatch {

// The events of one response that its caller has received. An endpoint that
// ignores where it should go on, or continues with other weights, would
// repeat events or join the texts of two models.
class stream_progress {
 public:
  // `last_event_id` is the event after which the caller wants the stream to go
  // on; empty when it wants all of it.
  explicit stream_progress(std::string last_event_id)
      : last_event_id_(std::move(last_event_id)) {}

  // Whether the stream may go on with an event. Ids that are numbers must
  // increase, others must differ from the last one. An event without an id is
  // always accepted, and ends the time in which the stream can be resumed.
  [[nodiscard]] auto Accepts(std::string_view event_id) const -> bool;

  // Records an event that the caller has received.
  auto OnEvent(std::string_view event_id) -> void;

  // Records the version of the model's weights from here on.
  auto SetWeightsVersion(std::uint64_t version) -> void {
    weights_version_ = version;
  }

  // Whether another endpoint can be told where to go on.
  [[nodiscard]] auto CanResume() const -> bool { return can_resume_; }

  // Empty when no event has been received and the caller named none.
  [[nodiscard]] auto last_event_id() const -> const std::string& {
    return last_event_id_;
  }

  // Empty when no endpoint has named it.
  [[nodiscard]] auto weights_version() const -> std::optional<std::uint64_t> {
    return weights_version_;
  }

  auto operator<=>(const stream_progress&) const = default;

 private:
  std::string last_event_id_;
  std::optional<std::uint64_t> weights_version_;
  bool can_resume_ = true;
};

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_STREAM_PROGRESS_H_
