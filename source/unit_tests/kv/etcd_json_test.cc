#include "kv/etcd_json.h"

#include <doctest/doctest.h>

#include "kv/base64.h"

namespace daisywind::kv {

TEST_CASE("base64 follows RFC 4648") {
  CHECK(EncodeBase64("") == "");
  CHECK(EncodeBase64("f") == "Zg==");
  CHECK(EncodeBase64("foobar") == "Zm9vYmFy");
  for (const auto* text : {"", "f", "fo", "foo", "foob", "fooba", "foobar"}) {
    CHECK(DecodeBase64(EncodeBase64(text)) == text);
  }
  const auto binary = std::string("\0\xff\0", 3);
  CHECK(DecodeBase64(EncodeBase64(binary)) == binary);
  for (const auto* text : {"Z", "Zg=", "Zg=a", "====", "Z===", "Zm9v!mFy"}) {
    CHECK_FALSE(DecodeBase64(text));
  }
}

TEST_CASE("a transaction is encoded as etcd's gateway expects it") {
  const auto request = txn_request{{{"k", 7}},
                                   {put_request{"k", "v", 5}},
                                   {range_request{"k", "l", 2, false}}};
  CHECK(EncodeTxn(request) ==
        R"({"compare":[{"key":"aw==","target":"MOD","result":"EQUAL",)"
        R"("mod_revision":"7"}],"success":[{"request_put":{"key":"aw==",)"
        R"("value":"dg==","lease":"5"}}],"failure":[{"request_range":)"
        R"({"key":"aw==","range_end":"bA==","limit":"2"}}]})");
}

TEST_CASE("valid responses are decoded") {
  const auto txn = DecodeTxn(
      R"({"header":{"revision":"9"},"succeeded":true,"responses":[)"
      R"({"response_put":{}},{"response_range":{"kvs":[{"key":"aw==",)"
      R"("value":"dg==","create_revision":"3","mod_revision":"8"}],)"
      R"("more":true}}]})");
  REQUIRE(txn);
  CHECK(*txn ==
        txn_response{9, true, {range_response{{{"k", "v", 3, 8}}, true}}});
  CHECK(DecodeGrant(R"({"ID":"77","TTL":"10"})") == lease_state{77, 10});
  CHECK(DecodeKeepAlive(R"({"result":{"ID":"77"}})") == lease_state{77, 0});
  const auto watch = DecodeWatch(
      R"({"result":{"events":[{"type":"DELETE","kv":{"key":"aw=="}}]}})");
  REQUIRE(watch);
  CHECK(watch->changes.at(0).is_deleted);
}

TEST_CASE("invalid responses are rejected") {
  for (const auto* text :
       {"", "[]", "{", R"({"kvs":[]})",
        R"({"header":{"revision":"1"},"kvs":[{"key":"!"}]})"}) {
    CHECK_FALSE(DecodeRange(text));
  }
  CHECK_FALSE(DecodeTxn(R"({"header":{},"responses":[1]})"));
  CHECK_FALSE(DecodeWatch(R"({"error":{"message":"x"}})"));
  CHECK_FALSE(DecodeGrant("{}"));
}

}  // namespace daisywind::kv
