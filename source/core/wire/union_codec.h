// Conversion between variants and FlatBuffers unions.
#ifndef DAISYWIND_WIRE_UNION_CODEC_H_
#define DAISYWIND_WIRE_UNION_CODEC_H_

#include <cstddef>
#include <string>
#include <utility>
#include <variant>

#include "wire/mapping.h"

namespace daisywind::wire {

// Encodes the active alternative of a variant. `ObjectOf<T>::type` is the
// FlatBuffers object type of the alternative T.
template <template <class> class ObjectOf, class Variant, class Union>
auto WriteUnion(wire_encoder& encoder, const Variant& value, Union& object)
    -> void {
  std::visit(
      [&](const auto& alternative) {
        using alternative_type = std::remove_cvref_t<decltype(alternative)>;
        auto encoded = typename ObjectOf<alternative_type>::type{};
        Fields(encoder, alternative, encoded);
        object.Set(std::move(encoded));
      },
      value);
}

// Decodes a union into the matching alternative of a variant. Marks the decoder
// as failed when no alternative matches. `Traits<Object>::enum_value` is the
// tag of an object type in the union.
template <template <class> class ObjectOf,
          template <class>
          class Traits,
          std::size_t kIndex = 0,
          class Variant,
          class Union>
auto ReadUnion(wire_decoder& decoder, Variant& value, Union& object) -> void {
  if constexpr (kIndex == std::variant_size_v<Variant>) {
    decoder.Fail();
  } else {
    using alternative_type = std::variant_alternative_t<kIndex, Variant>;
    using object_type = typename ObjectOf<alternative_type>::type;
    if (object.type == Traits<object_type>::enum_value) {
      Fields(decoder, value.template emplace<kIndex>(),
             *static_cast<object_type*>(object.value));
      return;
    }
    ReadUnion<ObjectOf, Traits, kIndex + 1>(decoder, value, object);
  }
}

}  // namespace daisywind::wire

#endif  // DAISYWIND_WIRE_UNION_CODEC_H_
