// Encoding of a variant as a FlatBuffers union and back.
#ifndef DAISYWIND_WIRE_UNION_CODEC_H_
#define DAISYWIND_WIRE_UNION_CODEC_H_

#include <cstddef>
#include <string>
#include <utility>
#include <variant>

#include "wire/mapping.h"

namespace daisywind::wire {

// Writes the alternative that a variant holds. `ObjectOf<T>::type` names the
// FlatBuffers object of the alternative T.
template <template <class> class ObjectOf, class Variant, class Union>
auto WriteUnion(wire_encoder& copy, const Variant& value, Union& object)
    -> void {
  std::visit(
      [&](const auto& alternative) {
        using plain = std::remove_cvref_t<decltype(alternative)>;
        auto encoded = typename ObjectOf<plain>::type{};
        Fields(copy, alternative, encoded);
        object.Set(std::move(encoded));
      },
      value);
}

// Reads the alternative that a union holds; fails when it holds none.
// `Traits<Object>::enum_value` is the union's tag for an object.
template <template <class> class ObjectOf,
          template <class>
          class Traits,
          std::size_t kIndex = 0,
          class Variant,
          class Union>
auto ReadUnion(wire_decoder& copy, Variant& value, Union& object) -> void {
  if constexpr (kIndex == std::variant_size_v<Variant>) {
    copy.Fail();
  } else {
    using plain = std::variant_alternative_t<kIndex, Variant>;
    using native = typename ObjectOf<plain>::type;
    if (object.type == Traits<native>::enum_value) {
      Fields(copy, value.template emplace<kIndex>(),
             *static_cast<native*>(object.value));
      return;
    }
    ReadUnion<ObjectOf, Traits, kIndex + 1>(copy, value, object);
  }
}

}  // namespace daisywind::wire

#endif  // DAISYWIND_WIRE_UNION_CODEC_H_
