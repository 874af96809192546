#include "journal/journal_node.h"

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <filesystem>
#include <map>
#include <memory>
#include <string>

#include "common/random.h"
#include "history_client/turn_client.h"
#include "history_wire/view_json.h"
#include "journal/journal_settings.h"
#include "journal/view_manager.h"
#include "testing/fake_store.h"

namespace daisywind::journal {
namespace {

namespace asio = boost::asio;
namespace fs = std::filesystem;

// Longest that a step of these tests may take on a busy machine.
constexpr auto kPatience = std::chrono::seconds(60);

// Journals on loopback before one store.
class site {
 public:
  site()
      : store(context),
        folder_(fs::temp_directory_path() /
                ("daisywind-journal-" + std::to_string(SystemSeed()))) {
    fs::create_directories(folder_);
  }
  site(const site&) = delete;
  auto operator=(const site&) -> site& = delete;
  ~site() {
    for (auto& [vm, node] : nodes_) {
      node->Stop();
    }
    // Loops see the stop before their owners go.
    RunFor(std::chrono::milliseconds(50));
    nodes_.clear();
    fs::remove_all(folder_);
  }

  // Starts a journal; its port follows from its number.
  auto Start(int number) -> journal_node& {
    const auto vm = "vm" + std::to_string(number);
    auto values = settings(JournalSchema());
    const auto text =
        R"({"vm":")" + vm +
        R"(","failure_domain":"d","region":"r","listen":{"journal":"127.0.0.1:)" +
        std::to_string(Port(number)) +
        R"("},"store":{"address":"127.0.0.1:1"},"data":{"folder":")" +
        (folder_ / vm).string() + R"("},"tolerate":{"disks":1}})";
    const auto is_read = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(values.AddText("test", text));
          BOOST_LEAF_CHECK(values.CheckRequired());
          return true;
        },
        [] { return false; });
    REQUIRE(is_read);
    auto seat = view_manager_options{};
    seat.tick = 10ms;
    seat.replace_after = 200ms;
    seat.successor_wait = 50ms;
    seat.ask_timeout = 500ms;
    seat.retire = {"wanted/", "status/", "running", "done"};
    auto node = std::make_unique<journal_node>(context, values, store, seat);
    REQUIRE(node->Start());
    nodes_[number] = std::move(node);
    return *nodes_[number];
  }

  auto Stop(int number) -> void {
    nodes_.at(number)->Stop();
    RunFor(std::chrono::milliseconds(50));
    nodes_.erase(number);
  }

  auto LoseDisk(int number) -> void {
    fs::remove_all(folder_ / ("vm" + std::to_string(number)));
  }

  // A context that has run out of work stays stopped until it is restarted.
  auto RunFor(std::chrono::milliseconds time) -> void {
    context.restart();
    context.run_for(time);
  }

  // Runs until the condition holds.
  template <class Condition>
  auto Until(Condition condition) -> bool {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      RunFor(std::chrono::milliseconds(5));
    }
    return condition();
  }

  auto View() -> history::view {
    return history::ParseView(store.Value(std::string(history::kViewKey)))
        .value_or(history::view{});
  }

  // Whether the members of the view are these VMs, complete.
  auto IsSettled(const std::set<std::string>& vms) -> bool {
    auto members = std::set<std::string>{};
    for (const auto& item : View().members) {
      members.insert(item.vm.value);
    }
    if (members != vms) {
      return false;
    }
    for (const auto& [number, node] : nodes_) {
      if (vms.contains(node->self().vm.value) && !node->state().IsComplete()) {
        return false;
      }
    }
    return true;
  }

  auto StartThree() -> void {
    for (auto number = 1; number <= 3; ++number) {
      Start(number);
    }
    REQUIRE(Until([&] { return IsSettled({"vm1", "vm2", "vm3"}); }));
  }

  // Records a turn and returns whether that was acknowledged.
  auto Record(history::turn_client& client,
              const std::string& turn,
              const std::string& parent) -> bool {
    auto fact = history::turn_fact{};
    fact.program = history::program_name("p");
    fact.turn = history::turn_id(turn);
    fact.settled_tokens = 10;
    fact.content = history::turn_content{history::turn_id(parent), "in" + turn,
                                         "out" + turn, endpoint_id("e")};
    return Await(client.Record(fact, kPatience));
  }

  auto Begin(history::turn_client& client,
             const std::string& turn,
             const std::string& parent,
             const std::string& program = "p") -> history::begin_result {
    return Await(
        client.Begin({history::program_name(program), history::turn_id(turn),
                      history::turn_id(parent), 50, 100},
                     kPatience));
  }

  template <class Value>
  auto Await(asio::awaitable<Value> work) -> Value {
    auto result = std::optional<Value>{};
    asio::co_spawn(context, std::move(work),
                   [&](const std::exception_ptr&, Value value) {
                     result = std::move(value);
                   });
    REQUIRE(Until([&] { return result.has_value(); }));
    return std::move(*result);
  }

  auto Client() -> std::unique_ptr<history::turn_client> {
    auto options = history::turn_client_options{};
    options.request_timeout = 500ms;
    options.hedge_delay = 50ms;
    options.retry_pause = 20ms;
    auto client = std::make_unique<history::turn_client>(context, options);
    client->Adopt(View());
    return client;
  }

  asio::io_context context{1};
  testing::fake_store store;

 private:
  auto Port(int number) -> int {
    auto& port = ports_[number];
    if (port == 0) {
      auto acceptor = asio::ip::tcp::acceptor(
          context,
          asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
      port = acceptor.local_endpoint().port();
    }
    return port;
  }

  fs::path folder_;
  std::map<int, int> ports_;
  std::map<int, std::unique_ptr<journal_node>> nodes_;
};

TEST_CASE("three journals form a view, and a fourth stands by") {
  auto all = site();
  all.StartThree();
  all.Start(4);
  all.RunFor(std::chrono::milliseconds(200));
  CHECK(all.IsSettled({"vm1", "vm2", "vm3"}));
}

TEST_CASE("the lost answer to a change of the view is found out by reading") {
  auto all = site();
  all.store.LoseNextAnswer();
  all.StartThree();
}

TEST_CASE("a turn is begun, recorded and continued") {
  auto all = site();
  all.StartThree();
  const auto client = all.Client();
  CHECK(all.Begin(*client, "t1", "").outcome ==
        history::begin_outcome::kGranted);
  REQUIRE(all.Record(*client, "t1", ""));
  const auto begun = all.Begin(*client, "t2", "t1");
  CHECK(begun.outcome == history::begin_outcome::kGranted);
  REQUIRE(begun.chain.size() == 1);
  CHECK(begun.chain.front().content->output == "outt1");
  CHECK(begun.spent_by_others == 10);
  CHECK(all.Begin(*client, "t3", "nowhere", "q").outcome ==
        history::begin_outcome::kUnknownTurn);
}

TEST_CASE("a budget is spent through any number of askers") {
  auto all = site();
  all.StartThree();
  const auto one = all.Client();
  const auto other = all.Client();
  CHECK(all.Begin(*one, "t1", "").outcome == history::begin_outcome::kGranted);
  CHECK(all.Begin(*other, "t2", "").outcome ==
        history::begin_outcome::kGranted);
  CHECK(all.Begin(*one, "t3", "").outcome ==
        history::begin_outcome::kBudgetSpent);
}

TEST_CASE("everything is there after all journals have restarted") {
  auto all = site();
  all.StartThree();
  REQUIRE(all.Record(*all.Client(), "t1", ""));
  for (auto number = 1; number <= 3; ++number) {
    all.Stop(number);
  }
  for (auto number = 1; number <= 3; ++number) {
    all.Start(number);
  }
  const auto begun = all.Begin(*all.Client(), "t2", "t1");
  CHECK(begun.outcome == history::begin_outcome::kGranted);
}

TEST_CASE("disks are lost one after the other and nothing with them") {
  auto all = site();
  all.StartThree();
  REQUIRE(all.Record(*all.Client(), "t1", ""));
  for (const auto number : {1, 2, 3, 1, 2}) {
    all.Stop(number);
    all.LoseDisk(number);
    const auto before = all.View().number;
    all.Start(number);
    REQUIRE(all.Until([&] {
      return all.View().number > before && all.IsSettled({"vm1", "vm2", "vm3"});
    }));
  }
  const auto begun = all.Begin(*all.Client(), "t2", "t1");
  CHECK(begun.outcome == history::begin_outcome::kGranted);
}

TEST_CASE("a VM that stands by replaces one that does not come back") {
  auto all = site();
  all.StartThree();
  REQUIRE(all.Record(*all.Client(), "t1", ""));
  all.Stop(2);
  all.Start(4);
  REQUIRE(all.Until([&] { return all.IsSettled({"vm1", "vm3", "vm4"}); }));
  CHECK(all.Begin(*all.Client(), "t2", "t1").outcome ==
        history::begin_outcome::kGranted);
}

TEST_CASE("a VM is emptied into its successor") {
  auto all = site();
  all.StartThree();
  REQUIRE(all.Record(*all.Client(), "t1", ""));
  all.Start(4);
  all.store.Put("wanted/vm1", "{}");
  REQUIRE(all.Until([&] { return all.store.Value("status/vm1") == "done"; }));
  CHECK(all.IsSettled({"vm2", "vm3", "vm4"}));
}

TEST_CASE("a VM is emptied into the others only while two disks stay") {
  auto all = site();
  all.StartThree();
  REQUIRE(all.Record(*all.Client(), "t1", ""));
  all.store.Put("wanted/vm1", "{}");
  REQUIRE(all.Until([&] { return all.store.Value("status/vm1") == "done"; }));
  CHECK(all.IsSettled({"vm2", "vm3"}));
  all.Stop(1);
  // The emptied VM's disk is gone; so is one more.
  all.Stop(2);
  all.LoseDisk(2);
  all.Start(2);
  REQUIRE(all.Until([&] { return all.IsSettled({"vm2", "vm3"}); }));
  CHECK(all.Begin(*all.Client(), "t2", "t1").outcome ==
        history::begin_outcome::kGranted);
  all.store.Put("wanted/vm2", "{}");
  all.RunFor(std::chrono::milliseconds(500));
  CHECK(all.store.Value("status/vm2") != "done");
  CHECK(all.View().members.size() == 2);
}

TEST_CASE("an asker with an old view is given the new one") {
  auto all = site();
  all.StartThree();
  const auto client = all.Client();
  REQUIRE(all.Record(*client, "t1", ""));
  all.Stop(1);
  all.LoseDisk(1);
  const auto before = all.View().number;
  all.Start(1);
  REQUIRE(all.Until([&] {
    return all.View().number > before && all.IsSettled({"vm1", "vm2", "vm3"});
  }));
  CHECK(all.Begin(*client, "t2", "t1").outcome ==
        history::begin_outcome::kGranted);
  CHECK(client->current().number == all.View().number);
}

}  // namespace
}  // namespace daisywind::journal
