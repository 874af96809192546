#include "front/directory.h"

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "common/process_clock.h"
#include "test_site.h"

namespace daisywind::front {
namespace {

struct fixture {
  fixture() { known.Start(); }
  ~fixture() { known.Stop(); }

  auto Run() -> void {
    context.restart();
    context.run_for(std::chrono::milliseconds(20));
  }

  auto Has(const char* id) -> bool {
    return known.endpoints().Find(endpoint_id(id)) != nullptr;
  }

  auto Item(const std::string& key, const std::string& value, kv::revision at)
      -> kv::key_value {
    return {key, value, at, at};
  }

  boost::asio::io_context context{1};
  testing::fake_store store{context};
  test_codec codec;
  int configurations = 0;
  directory known{context,
                  store,
                  codec,
                  {},
                  {[](const history::view&) {}, [this] { ++configurations; }}};
};

TEST_CASE_FIXTURE(fixture, "keys that exist and that change are followed") {
  store.Put("configuration", "3");
  store.Put("endpoints/a", "127.0.0.1:1");
  Run();
  CHECK(known.routes().version() == 3);
  CHECK(Has("a"));
  store.Put("endpoints/b", "127.0.0.1:2");
  store.Remove("endpoints/a");
  Run();
  CHECK(Has("b"));
  CHECK_FALSE(Has("a"));
}

TEST_CASE_FIXTURE(fixture,
                  "a configuration is never replaced by an older one") {
  store.Put("configuration", "5");
  Run();
  store.Put("configuration", "4");
  Run();
  store.Put("configuration", "no number");
  Run();
  CHECK(known.routes().version() == 5);
  CHECK(configurations == 1);
}

TEST_CASE_FIXTURE(fixture, "an unreadable entry names no endpoint") {
  store.Put("endpoints/a", "nonsense");
  store.Put("endpoints/b", "127.0.0.1:2");
  Run();
  CHECK_FALSE(Has("a"));
  CHECK(Has("b"));
}

TEST_CASE_FIXTURE(fixture,
                  "what is known stays in use while the store is away") {
  store.Put("configuration", "3");
  store.Put("endpoints/a", "127.0.0.1:1");
  Run();
  store.SetDown(true);
  Run();
  known.Tick(Now() + 60s);
  CHECK(Has("a"));
  CHECK(known.IsConfigured());
}

TEST_CASE_FIXTURE(fixture, "lost history is made up for by a listing") {
  store.Put("configuration", "3");
  Run();
  store.Put("endpoints/a", "127.0.0.1:1");
  store.DropHistory();
  Run();
  CHECK(Has("a"));
}

TEST_CASE_FIXTURE(fixture,
                  "many entries gone at once are used on for a while") {
  for (const auto* id : {"a", "b", "c", "d"}) {
    store.Put(std::string("endpoints/") + id, "127.0.0.1:1");
  }
  Run();
  for (const auto* id : {"a", "b", "c"}) {
    store.Remove(std::string("endpoints/") + id);
  }
  store.DropHistory();
  Run();
  CHECK(Has("a"));
  known.Tick(Now() + 3s);
  CHECK_FALSE(Has("a"));
  CHECK(Has("d"));
}

TEST_CASE_FIXTURE(fixture, "another VM's copy is taken if it is newer") {
  store.SetDown(true);
  Run();
  known.ImportCopy(
      {7,
       {Item("configuration", "3", 5), Item("endpoints/a", "127.0.0.1:1", 6)}});
  CHECK(known.routes().version() == 3);
  CHECK(Has("a"));
  known.ImportCopy({6, {Item("configuration", "9", 6)}});
  CHECK(known.routes().version() == 3);
  // What a newer copy lacks may come back, so it is used on for a while.
  known.ImportCopy({8, {Item("configuration", "4", 8)}});
  CHECK(known.routes().version() == 4);
  CHECK(Has("a"));
  known.Tick(Now() + 3s);
  CHECK_FALSE(Has("a"));
}

}  // namespace
}  // namespace daisywind::front
