// FlatBuffers coding of what messages and records are made of. For this
// library's own use.
#ifndef DAISYWIND_HISTORY_WIRE_PARTS_H_
#define DAISYWIND_HISTORY_WIRE_PARTS_H_

#include <history_generated.h>

#include <memory>
#include <vector>

#include "history/messages.h"
#include "history/types.h"
#include "history/view.h"

namespace daisywind::history {

using fact_objects = std::vector<std::unique_ptr<fbs::FactT>>;

// One pair of overloads for each part.
auto Copy(const turn_fact& from) -> std::unique_ptr<fbs::FactT>;
auto Copy(fbs::FactT& from) -> turn_fact;
auto CopyAll(const std::vector<turn_fact>& from) -> fact_objects;
auto CopyAll(fact_objects& from) -> std::vector<turn_fact>;
auto Copy(const view& from) -> std::unique_ptr<fbs::ViewT>;
auto Copy(const fbs::ViewT& from) -> view;
auto Copy(const store_copy& from) -> std::unique_ptr<fbs::StoreCopyT>;
auto Copy(const fbs::StoreCopyT& from) -> store_copy;
auto Copy(const std::vector<load_sample>& from) -> std::vector<fbs::LoadSample>;
auto Copy(const std::vector<fbs::LoadSample>& from) -> std::vector<load_sample>;

// Reads a fact in place, which is faster than by way of an object.
auto Read(const fbs::Fact& from) -> turn_fact;

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_WIRE_PARTS_H_
