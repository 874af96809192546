#include "front/directory.h"

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "common/process_clock.h"
#include "front_harness.h"

namespace daisywind::front {
namespace {

struct directory_fixture {
  directory_fixture() { service_directory.Start(); }
  ~directory_fixture() { service_directory.Stop(); }

  auto Run() -> void {
    context.restart();
    context.run_for(std::chrono::milliseconds(20));
  }

  // Returns whether the condition holds within 30 s, which allows for a busy
  // machine.
  auto RunUntil(const std::function<bool()>& condition) -> bool {
    const auto end = Now() + 30s;
    while (!condition() && Now() < end) {
      Run();
    }
    return condition();
  }

  auto HasEndpoint(const char* id) -> bool {
    return service_directory.endpoints().Find(endpoint_id(id)) != nullptr;
  }

  auto Item(const std::string& key, const std::string& value, kv::revision at)
      -> kv::key_value {
    return {key, value, at, at};
  }

  boost::asio::io_context context{1};
  testing::fake_store store{context};
  test_directory_codec directory_codec;
  int configurations = 0;
  directory service_directory{
      context,
      store,
      directory_codec,
      {},
      {[](const history::view&) {}, [this] { ++configurations; }}};
};

TEST_CASE_FIXTURE(directory_fixture,
                  "existing keys are read and changes are followed") {
  store.Put("configuration", "3");
  store.Put("endpoints/a", "127.0.0.1:1");
  Run();
  CHECK(service_directory.routes().version() == 3);
  CHECK(HasEndpoint("a"));
  store.Put("endpoints/b", "127.0.0.1:2");
  store.Remove("endpoints/a");
  Run();
  CHECK(HasEndpoint("b"));
  CHECK_FALSE(HasEndpoint("a"));
}

TEST_CASE_FIXTURE(
    directory_fixture,
    "a configuration is not replaced by an older or invalid one") {
  store.Put("configuration", "5");
  Run();
  store.Put("configuration", "4");
  Run();
  store.Put("configuration", "no number");
  Run();
  CHECK(service_directory.routes().version() == 5);
  CHECK(configurations == 1);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "the store's age counts from its newest answer") {
  store.SetDown(true);
  Run();
  CHECK_FALSE(service_directory.StoreAge(Now()));
  store.SetDown(false);
  REQUIRE(RunUntil([this] { return service_directory.IsStoreReachable(); }));
  const auto age = service_directory.StoreAge(Now());
  REQUIRE(age);
  CHECK(service_directory.StoreAge(Now() + 5s) >= *age + 5s);
}

TEST_CASE_FIXTURE(directory_fixture, "an invalid endpoint entry is ignored") {
  store.Put("endpoints/a", "nonsense");
  store.Put("endpoints/b", "127.0.0.1:2");
  Run();
  CHECK_FALSE(HasEndpoint("a"));
  CHECK(HasEndpoint("b"));
}

TEST_CASE_FIXTURE(directory_fixture,
                  "known entries stay in use while the store is unreachable") {
  store.Put("configuration", "3");
  store.Put("endpoints/a", "127.0.0.1:1");
  Run();
  store.SetDown(true);
  Run();
  service_directory.Tick(Now() + 60s);
  CHECK(HasEndpoint("a"));
  CHECK(service_directory.IsConfigured());
}

TEST_CASE_FIXTURE(directory_fixture,
                  "lost watch history is recovered by listing all keys") {
  store.Put("configuration", "3");
  Run();
  store.Put("endpoints/a", "127.0.0.1:1");
  store.DropHistory();
  Run();
  CHECK(HasEndpoint("a"));
}

TEST_CASE_FIXTURE(directory_fixture,
                  "a bulk removal keeps its endpoints for a grace period") {
  for (const auto* id : {"a", "b", "c", "d"}) {
    store.Put(std::string("endpoints/") + id, "127.0.0.1:1");
  }
  Run();
  for (const auto* id : {"a", "b", "c"}) {
    store.Remove(std::string("endpoints/") + id);
  }
  store.DropHistory();
  Run();
  CHECK(HasEndpoint("a"));
  service_directory.Tick(Now() + 3s);
  CHECK_FALSE(HasEndpoint("a"));
  CHECK(HasEndpoint("d"));
}

TEST_CASE_FIXTURE(directory_fixture,
                  "another VM's copy is imported if it is newer") {
  store.SetDown(true);
  Run();
  service_directory.ImportCopy(
      {7,
       {Item("configuration", "3", 5), Item("endpoints/a", "127.0.0.1:1", 6)}});
  CHECK(service_directory.routes().version() == 3);
  CHECK(HasEndpoint("a"));
  service_directory.ImportCopy({6, {Item("configuration", "9", 6)}});
  CHECK(service_directory.routes().version() == 3);
  // An endpoint that the newer copy lacks stays in use for the grace period.
  service_directory.ImportCopy({8, {Item("configuration", "4", 8)}});
  CHECK(service_directory.routes().version() == 4);
  CHECK(HasEndpoint("a"));
  service_directory.Tick(Now() + 3s);
  CHECK_FALSE(HasEndpoint("a"));
}

}  // namespace
}  // namespace daisywind::front
