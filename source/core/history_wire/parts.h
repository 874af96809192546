// Conversion of facts, views, store copies and load samples, which messages and
// disk records contain, to and from their FlatBuffers objects. Internal to this
// library.
#ifndef DAISYWIND_HISTORY_WIRE_PARTS_H_
#define DAISYWIND_HISTORY_WIRE_PARTS_H_

#include <history_generated.h>

#include <cstdint>
#include <memory>
#include <vector>

#include "history/messages.h"
#include "history/types.h"
#include "history/view.h"

namespace daisywind::history {

using fact_objects = std::vector<std::unique_ptr<fbs::FactT>>;

// One pair of overloads for each type: to and from its FlatBuffers object.
// Converting a fact from its object moves the strings out of the object. Ages
// of a load sample, in milliseconds, and its counts are clamped to 0..65534 in
// the object; a failure age of 65535 stands for no recent failure.
auto Convert(const turn_fact& from) -> std::unique_ptr<fbs::FactT>;
auto Convert(fbs::FactT& from) -> turn_fact;
auto ConvertAll(const std::vector<turn_fact>& from) -> fact_objects;
auto ConvertAll(fact_objects& from) -> std::vector<turn_fact>;
auto Convert(const view& from) -> std::unique_ptr<fbs::ViewT>;
auto Convert(const fbs::ViewT& from) -> view;
auto Convert(const store_copy& from) -> std::unique_ptr<fbs::StoreCopyT>;
auto Convert(const fbs::StoreCopyT& from) -> store_copy;
auto Convert(const deflated_item& from) -> std::unique_ptr<fbs::ItemT>;
auto Convert(const sender_state& from) -> std::unique_ptr<fbs::SenderT>;
auto Convert(const fbs::SenderT& from) -> sender_state;
auto Convert(const std::vector<rate_limit_sample>& from)
    -> std::vector<fbs::LimitSample>;
auto Convert(const std::vector<fbs::LimitSample>& from)
    -> std::vector<rate_limit_sample>;
auto Convert(const std::vector<load_sample>& from)
    -> std::vector<fbs::LoadSample>;
auto Convert(const std::vector<fbs::LoadSample>& from)
    -> std::vector<load_sample>;

// The pace of each sample's endpoint; empty when none is known.
auto PacesOf(const std::vector<load_sample>& from)
    -> std::vector<std::uint16_t>;
// Adds paces to samples; there may be fewer of them.
auto WithPaces(std::vector<load_sample> samples,
               const std::vector<std::uint16_t>& paces)
    -> std::vector<load_sample>;

// Replaces compressed values by what they contain. Returns false if one is
// damaged, or if they are larger than a frame may be.
auto InflateItems(fbs::StoreCopyT& copy) -> bool;

// Reads a fact directly from the buffer, which is faster than unpacking it to
// an object first.
auto ReadFact(const fbs::Fact& from) -> turn_fact;

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_WIRE_PARTS_H_
