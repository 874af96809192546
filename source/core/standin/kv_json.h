// JSON encoding of etcd's messages: 64-bit integers are strings, keys and
// values are base64. Request fields may be spelled in snake_case or
// lowerCamelCase, as etcd's gateway accepts both.
#ifndef DAISYWIND_STANDIN_KV_JSON_H_
#define DAISYWIND_STANDIN_KV_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include "common/json.h"
#include "standin/kv_store.h"

namespace daisywind::standin {

// Encodes bytes as base64 with padding.
auto EncodeBase64(std::string_view bytes) -> std::string;

// Decodes base64 with padding. Returns nullopt when the text is invalid.
auto DecodeBase64(std::string_view text) -> std::optional<std::string>;

// An integer member, encoded as a number or a string; 0 when it is absent or
// invalid.
auto KvInteger(const json::object& object, std::string_view name)
    -> std::int64_t;

auto ToKeyRange(const json::object& object) -> key_range;

auto ToPut(const json::object& object) -> put_op;
auto ToRange(const json::object& object) -> range_op;

// Parses a transaction. Returns nullopt when an operation has an unknown kind
// or an element is not an object.
auto ToTxn(const json::object& object) -> std::optional<kv_txn>;

auto ToJson(const kv_entry& entry) -> json::object;

auto ToJson(const kv_event& event) -> json::object;

// Serializes the result of an operation, without the response header.
auto ToJson(const kv_op_result& result) -> json::object;

// The field name of a result in the response to a transaction.
auto ResponseName(const kv_op_result& result) -> std::string_view;

// The size of the largest value that a put of either branch writes, in bytes.
auto LargestValue(const kv_txn& txn) -> std::size_t;

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_KV_JSON_H_
