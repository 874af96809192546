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

// Applies a JSON Patch. Fails with document_error, whose path is that of the
// operation within the patch or of the value it does not fit; the value passed
// in is then unchanged.
auto ApplyJsonPatch(const json::value& from, const json::value& patch)
    -> leaf::result<json::value>;

// Applies a merge patch, which fits any value.
auto ApplyMergePatch(const json::value& from, const json::value& patch)
    -> json::value;

// Applies a patch of the given kind. Fails with document_error.
auto ApplyPatch(const json::value& from,
                patch_kind kind,
                const json::value& patch) -> leaf::result<json::value>;

// The merge patch that turns one value without nulls into another.
auto MergePatchBetween(const json::value& from, const json::value& to)
    -> json::value;

// JSON pointers of the members in which two values differ, in order, at most
// the given number of them. Arrays are compared as a whole.
auto DifferingPaths(const json::value& a,
                    const json::value& b,
                    std::size_t limit) -> std::vector<std::string>;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_PATCH_H_
