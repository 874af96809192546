// The JSON form of etcd's messages: 64-bit integers as strings, keys and values
// in base64, field names in either of the two spellings that etcd accepts.
#ifndef DAISYWIND_STANDIN_KV_JSON_H_
#define DAISYWIND_STANDIN_KV_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include "common/json.h"
#include "standin/kv_store.h"

namespace daisywind::standin {

// Encodes bytes in base64 with padding.
auto EncodeBase64(std::string_view bytes) -> std::string;

// Decodes base64 with padding. Returns nothing on any other text.
auto DecodeBase64(std::string_view text) -> std::optional<std::string>;

// An integer given as a number or as a string; 0 when it is absent.
auto KvInteger(const json::object& object, std::string_view name)
    -> std::int64_t;

// The keys of a request.
auto ToKeyRange(const json::object& object) -> key_range;

auto ToPut(const json::object& object) -> put_op;
auto ToRange(const json::object& object) -> range_op;

// Reads a transaction. Returns nothing when an operation is of no known kind.
auto ToTxn(const json::object& object) -> std::optional<kv_txn>;

// Renders an entry.
auto ToJson(const kv_entry& entry) -> json::object;

// Renders an event.
auto ToJson(const kv_event& event) -> json::object;

// Renders the result of an operation without its header.
auto ToJson(const kv_op_result& result) -> json::object;

// The name of a result within the answer to a transaction.
auto ResponseName(const kv_op_result& result) -> std::string_view;

// The size of the largest value that an operation writes, in bytes.
auto LargestValue(const kv_txn& txn) -> std::size_t;

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_KV_JSON_H_
