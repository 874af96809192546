// The key-value service's JSON: requests out, responses in.
#ifndef DAISYWIND_KV_KV_JSON_H_
#define DAISYWIND_KV_KV_JSON_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/json.h"
#include "common/kv_types.h"

namespace daisywind::kv {

// The body of POST /v3/kv/txn.
auto TxnBody(const txn_request& request) -> std::string;

// Reads the answer to a transaction. Nothing when it is no such answer.
auto ReadTxnResponse(std::string_view body) -> std::optional<txn_response>;

// The body of POST /v3/watch for one key.
auto WatchBody(const std::string& key, revision start) -> std::string;

// Reads one line of a watch: the values written since the last one. A line
// that says that the watch is over, or that is not readable, gives nothing.
auto ReadWatchLine(std::string_view line)
    -> std::optional<std::vector<key_value>>;

// Reads a 64-bit integer, which the service writes as a string.
auto ReadInteger(const json::object& object, std::string_view key)
    -> std::int64_t;

}  // namespace daisywind::kv

#endif  // DAISYWIND_KV_KV_JSON_H_
