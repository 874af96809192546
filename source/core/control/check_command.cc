#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "configuration/check.h"
#include "configuration/document.h"
#include "configuration/review.h"
#include "control/commands.h"
#include "control/table.h"

namespace daisywind::control {
namespace {

namespace asio = boost::asio;
namespace config = configuration;

// A parsed file, or why it is none. A document that is not valid is kept: it
// can still be reviewed and compared.
struct checked_file {
  std::optional<config::document> value;
  std::optional<document_error> error;
};

auto ErrorOfDocument(const config::document& value)
    -> std::optional<document_error> {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<document_error>> {
        BOOST_LEAF_CHECK(config::CheckDocument(value));
        return std::nullopt;
      },
      [](const document_error& error) { return std::optional(error); },
      [] {
        return std::optional(document_error{"", "unknown error"});
      });
}

auto CheckFile(const std::string& path) -> checked_file {
  return leaf::try_handle_all(
      [&]() -> leaf::result<checked_file> {
        BOOST_LEAF_AUTO(text, ReadFile(path));
        BOOST_LEAF_AUTO(value, config::ParseDocument(text));
        auto error = ErrorOfDocument(value);
        return checked_file{std::move(value), std::move(error)};
      },
      [](const document_error& error) {
        return checked_file{std::nullopt, error};
      },
      [](const usage_error&) { return checked_file{}; },
      [] { return checked_file{}; });
}

auto ChangeName(const config::entry_change& change) -> std::string {
  if (change.before.is_null()) {
    return "added";
  }
  return change.after.is_null() ? "removed" : "changed";
}

auto ChangesToJson(const std::vector<config::entry_change>& changes,
                   bool has_values) -> json::array {
  auto list = json::array{};
  for (const auto& change : changes) {
    auto item = json::object{};
    item["path"] = change.pointer;
    item["change"] = ChangeName(change);
    if (has_values) {
      item["before"] = change.before;
      item["after"] = change.after;
    }
    list.emplace_back(std::move(item));
  }
  return list;
}

auto Finding(const std::string& path, const std::string& reason)
    -> json::object {
  auto item = json::object{};
  item["path"] = path;
  item["reason"] = reason;
  return item;
}

}  // namespace

auto RunCheck(command_context context) -> asio::awaitable<exit_code> {
  const auto& path = context.args->WordAt(2);
  const auto& against = context.args->against;
  const auto file = CheckFile(path);
  const auto base = against.empty() ? checked_file{} : CheckFile(against);
  if (!file.value && !file.error) {
    *context.errors << path << ": expected a readable file\n";
    co_return exit_code::kUsage;
  }
  if (!against.empty() && !base.value) {
    *context.errors << against << ": expected a configuration, got "
                    << (base.error
                            ? base.error->path + ": " + base.error->reason
                            : "no readable file")
                    << "\n";
    co_return exit_code::kUsage;
  }
  const auto is_json = context.args->output == output_format::kJson;
  auto report = json::object{};
  report["file"] = path;
  report["valid"] = !file.error;
  auto errors = json::array{};
  if (file.error) {
    errors.emplace_back(Finding(file.error->path, file.error->reason));
  }
  report["errors"] = std::move(errors);
  auto warnings = json::array{};
  if (file.value) {
    for (const auto& item : config::ReviewDocument(*file.value)) {
      warnings.emplace_back(Finding(item.pointer, item.reason));
    }
  }
  report["warnings"] = std::move(warnings);
  if (file.value && base.value) {
    report["changes"] = ChangesToJson(
        config::ChangedEntries(*base.value, *file.value), is_json);
  }
  const auto value = json::value(std::move(report));
  *context.output << (is_json ? RenderIndented(value) : RenderTable(value));
  co_return file.error ? exit_code::kRefused : exit_code::kDone;
}

}  // namespace daisywind::control
