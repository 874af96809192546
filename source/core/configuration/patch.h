// Patches of JSON values: JSON Patch (RFC 6902) and merge patch (RFC 7396).
#ifndef DAISYWIND_CONFIGURATION_PATCH_H_
#define DAISYWIND_CONFIGURATION_PATCH_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "common/json.h"

namespace daisywind::configuration {

enum class patch_kind : std::uint8_t { kJsonPatch, kMergePatch };

// Applies a JSON Patch. Fails with document_error, whose path points into the
// patch when an operation is malformed, and to the target value when an
// operation cannot be applied to it.
auto ApplyJsonPatch(const json::value& from, const json::value& patch)
    -> leaf::result<json::value>;

// Applies a merge patch. It can be applied to any value.
auto ApplyMergePatch(const json::value& from, const json::value& patch)
    -> json::value;

// Applies a patch of the given kind. Fails with document_error.
auto ApplyPatch(const json::value& from,
                patch_kind kind,
                const json::value& patch) -> leaf::result<json::value>;

// Computes the merge patch that transforms `from` into `to`. Neither value may
// contain nulls, which a merge patch cannot represent.
auto MergePatchBetween(const json::value& from, const json::value& to)
    -> json::value;

// JSON pointers of the members that differ between two values, sorted, at most
// `limit` of them. Arrays are compared as a whole.
auto DifferingPaths(const json::value& a,
                    const json::value& b,
                    std::size_t limit) -> std::vector<std::string>;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_PATCH_H_
