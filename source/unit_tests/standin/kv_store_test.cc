#include "standin/kv_store.h"

#include <doctest/doctest.h>

#include "standin/kv_json.h"

namespace daisywind::standin {
namespace {

auto Entries(kv_store& store, const key_range& range) -> std::vector<kv_entry> {
  const auto result = store.Apply(kv_op{range_op{range, 0}});
  return std::get<range_result>(*result).entries;
}

auto Put(std::string key, std::string value, lease_id lease = 0) -> kv_op {
  return put_op{std::move(key), std::move(value), lease};
}

}  // namespace

TEST_CASE("each write creates one revision") {
  auto store = kv_store();
  store.Apply(Put("a", "1"));
  store.Apply(Put("a", "2"));
  const auto expected = kv_entry{"a", "2", 2, 3, 2, 0};
  CHECK(Entries(store, {"a", ""}) == std::vector{expected});
  CHECK(store.revision() == 3);
}

TEST_CASE("ranges are half-open, and a zero byte as their end means no limit") {
  auto store = kv_store();
  for (const auto* key : {"a", "b", "c"}) {
    store.Apply(Put(key, ""));
  }
  CHECK(Entries(store, {"a", "c"}).size() == 2);
  CHECK(Entries(store, {"b", std::string(1, '\0')}).size() == 2);
  CHECK(Entries(store, {"b", ""}).size() == 1);
}

TEST_CASE("a transaction compares and writes atomically in one revision") {
  auto store = kv_store();
  const auto txn = kv_txn{
      {{"a", compare_target::kModRevision, compare_result::kEqual, "", 0}},
      {Put("a", "1"), Put("b", "1")},
      {range_op{{"a", ""}, 0}}};
  CHECK(store.Apply(txn)->has_succeeded);
  CHECK(store.revision() == 2);
  const auto again = store.Apply(txn);
  CHECK_FALSE(again->has_succeeded);
  CHECK(std::get<range_result>(again->results.front()).count == 1);
  CHECK(store.revision() == 2);
}

TEST_CASE("the keys of an expired lease are deleted") {
  auto store = kv_store();
  const auto id = store.Grant(0, 10s, instant());
  store.Apply(Put("a", "", id));
  store.Apply(Put("b", "", id));
  store.Apply(Put("b", ""));
  CHECK(store.KeepAlive(id, instant(5s)) == 10s);
  store.ExpireLeases(instant(14s));
  CHECK(Entries(store, {"a", ""}).size() == 1);
  store.ExpireLeases(instant(15s));
  CHECK(Entries(store, {"a", ""}).empty());
  CHECK(Entries(store, {"b", ""}).size() == 1);
  CHECK_FALSE(store.KeepAlive(id, instant(15s)));
  CHECK_FALSE(store.Apply(Put("c", "", id)).has_value());
}

TEST_CASE("events are selected by key range and start revision") {
  auto store = kv_store();
  store.Apply(Put("a", "1"));
  store.Apply(Put("x", "1"));
  store.Apply(kv_op{delete_op{{"a", ""}}});
  const auto events = store.EventsFrom({"a", "b"}, 2);
  REQUIRE(events.size() == 2);
  CHECK_FALSE(events[0].is_delete);
  CHECK(events[1].is_delete);
  CHECK(events[1].entry.mod_revision == 4);
  CHECK(store.EventsFrom({"a", "b"}, 3).size() == 1);
}

TEST_CASE("base64 round-trips and invalid text is rejected") {
  for (const auto* text : {"", "a", "ab", "abc", "abcd"}) {
    CHECK(DecodeBase64(EncodeBase64(text)) == text);
  }
  CHECK_FALSE(DecodeBase64("a"));
  CHECK_FALSE(DecodeBase64("!!!!"));
}

TEST_CASE("a transaction is parsed in both field spellings of etcd") {
  const auto* text = R"({"compare":[{"key":"YQ==","target":"CREATE",
      "result":"NOT_EQUAL","createRevision":"7"}],
      "success":[{"requestPut":{"key":"YQ==","value":"MQ=="}},
                 {"request_delete_range":{"key":"Yg=="}}]})";
  const auto parsed = ParseJson(text);
  const auto txn = ToTxn(parsed->as_object());
  REQUIRE(txn);
  CHECK(txn->compares[0].target == compare_target::kCreateRevision);
  CHECK(txn->compares[0].result == compare_result::kNotEqual);
  CHECK(txn->compares[0].number == 7);
  CHECK(std::get<put_op>(txn->success[0]).value == "1");
  CHECK(std::get<delete_op>(txn->success[1]).range.key == "b");
}

}  // namespace daisywind::standin
