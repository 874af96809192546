#include "sample_document.h"

#include <boost/leaf/handle_errors.hpp>

namespace daisywind::configuration {

auto SampleText() -> std::string {
  return R"({
  "failure_domains": {"cordoba-a": {"region": "cordoba"}},
  "organisations": {
    "choclo": {
      "key_digest": "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
      "share": 1.0,
      "classes": {"vendor": {"rank": 0}, "customer": {"rank": 1}},
      "limits": {"tokens_per_second": 100000, "calls_per_second": 200},
      "budget": {"tokens": 500000, "calls": 200, "seconds": 7200}
    }
  },
  "models": {"agent": {"version": "1"}},
  "adapters": {"combos": {"model": "agent", "version": "1"}},
  "services": {"cart": {"lookup": false}},
  "endpoints": {
    "agent-1": {"address": "127.0.0.1:9001", "failure_domain": "cordoba-a",
                "kind": "engine", "checks_fencing": true, "capacity": 8,
                "role": "serving", "models": ["agent"], "adapters": ["combos"]},
    "cart-1": {"address": "127.0.0.1:9101", "failure_domain": "cordoba-a",
               "kind": "service", "capacity": 16,
               "role": "serving", "services": ["cart"]}
  },
  "need": {"agent": 1, "cart": 1},
  "migration": {"deadline_seconds": 3600}
})";
}

auto SampleDocument() -> document {
  return ParseDocument(SampleText()).value();
}

auto LargeDocument(std::size_t endpoints) -> document {
  auto value = SampleDocument();
  const auto item = value.endpoints.at(endpoint_id("agent-1"));
  for (auto i = std::size_t{0}; i < endpoints; ++i) {
    value.endpoints[endpoint_id("engine-" + std::to_string(i))] = item;
  }
  return value;
}

auto ErrorOf(const std::function<leaf::result<void>()>& action) -> std::string {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(action());
        return std::string();
      },
      [](const document_error& error) {
        return error.path + ": " + error.reason;
      },
      [] { return std::string("untyped error"); });
}

}  // namespace daisywind::configuration
