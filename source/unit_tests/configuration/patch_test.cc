#include "configuration/patch.h"

#include <doctest/doctest.h>

#include "sample_document.h"

namespace daisywind::configuration {
namespace {

auto Patched(const char* from, const char* patch) -> std::string {
  auto text = std::string{};
  const auto error = ErrorOf([&]() -> leaf::result<void> {
    BOOST_LEAF_AUTO(value,
                    ApplyJsonPatch(json::parse(from), json::parse(patch)));
    text = json::serialize(value);
    return {};
  });
  return error.empty() ? text : "error at " + error;
}

auto Merged(const char* from, const char* patch) -> std::string {
  return json::serialize(
      ApplyMergePatch(json::parse(from), json::parse(patch)));
}

}  // namespace

TEST_CASE("JSON Patch operations of RFC 6902 appendix A") {
  CHECK(Patched(R"({"foo":"bar"})",
                R"([{"op":"add","path":"/baz","value":"qux"}])") ==
        R"({"foo":"bar","baz":"qux"})");
  CHECK(Patched(R"({"foo":["bar","baz"]})",
                R"([{"op":"add","path":"/foo/1","value":"qux"}])") ==
        R"({"foo":["bar","qux","baz"]})");
  CHECK(Patched(R"({"foo":["bar"]})",
                R"([{"op":"add","path":"/foo/-","value":["abc","def"]}])") ==
        R"({"foo":["bar",["abc","def"]]})");
  CHECK(Patched(R"({"foo":["bar","qux","baz"]})",
                R"([{"op":"remove","path":"/foo/1"}])") ==
        R"({"foo":["bar","baz"]})");
  CHECK(Patched(R"({"baz":"qux","foo":"bar"})",
                R"([{"op":"replace","path":"/baz","value":"boo"}])") ==
        R"({"baz":"boo","foo":"bar"})");
  CHECK(Patched(
            R"({"foo":{"bar":"baz","waldo":"fred"},"qux":{"corge":"grault"}})",
            R"([{"op":"move","from":"/foo/waldo","path":"/qux/thud"}])") ==
        R"({"foo":{"bar":"baz"},"qux":{"corge":"grault","thud":"fred"}})");
  CHECK(Patched(R"({"foo":["all","grass","cows","eat"]})",
                R"([{"op":"move","from":"/foo/1","path":"/foo/3"}])") ==
        R"({"foo":["all","cows","eat","grass"]})");
  CHECK(Patched(R"({"/":9,"~1":10})",
                R"([{"op":"test","path":"/~01","value":10}])") ==
        R"({"/":9,"~1":10})");
  CHECK(Patched(R"({"a":1})", R"([{"op":"copy","from":"/a","path":"/b"}])") ==
        R"({"a":1,"b":1})");
  CHECK(Patched(R"({"a":1.0})", R"([{"op":"test","path":"/a","value":1}])") ==
        R"({"a":1E0})");
}

TEST_CASE("a JSON Patch that cannot be applied fails with the path") {
  CHECK(Patched(R"({"foo":"bar"})",
                R"([{"op":"add","path":"/baz/bat","value":"qux"}])") ==
        "error at /baz/bat: cannot be added: the parent does not exist or the "
        "index is invalid");
  CHECK(Patched(R"({"a":1})", R"([{"op":"remove","path":"/b"}])") ==
        "error at /b: does not exist");
  CHECK(Patched(R"({"a":1})", R"([{"op":"test","path":"/a","value":"1"}])") ==
        "error at /a: does not have the value expected by the test operation");
  CHECK(Patched(R"({"a":[1]})",
                R"([{"op":"replace","path":"/a/01","value":2}])") ==
        "error at /a/01: does not exist");
  CHECK(Patched(R"({"a":{"b":1}})",
                R"([{"op":"move","from":"/a","path":"/a/b"}])") ==
        "error at /a/b: is inside the value to be moved");
  CHECK(Patched("{}", R"([{"op":"spam","path":"/a"}])") ==
        "error at /0/op: must be one of add, remove, replace, move, copy, "
        "test");
  CHECK(Patched("{}", R"([{"op":"add","path":"a","value":1}])") ==
        "error at /0/path: must be a JSON pointer");
  CHECK(Patched("{}", R"([{"op":"add","path":"/a"}])") ==
        "error at /0/value: is missing");
  CHECK(Patched("{}", "{}") == "error at : a JSON Patch must be an array");
}

TEST_CASE("merge patches of RFC 7396 appendix A") {
  CHECK(Merged(R"({"a":"b"})", R"({"a":"c"})") == R"({"a":"c"})");
  CHECK(Merged(R"({"a":"b"})", R"({"b":"c"})") == R"({"a":"b","b":"c"})");
  CHECK(Merged(R"({"a":"b"})", R"({"a":null})") == "{}");
  CHECK(Merged(R"({"a":["b"]})", R"({"a":"c"})") == R"({"a":"c"})");
  CHECK(Merged(R"({"a":{"b":"c"}})", R"({"a":{"b":"d","c":null}})") ==
        R"({"a":{"b":"d"}})");
  CHECK(Merged(R"(["a","b"])", R"(["c","d"])") == R"(["c","d"])");
  CHECK(Merged(R"({"a":"foo"})", "null") == "null");
  CHECK(Merged(R"({"e":null})", R"({"a":1})") == R"({"e":null,"a":1})");
  CHECK(Merged("[1,2]", R"({"a":"b","c":null})") == R"({"a":"b"})");
  CHECK(Merged("{}", R"({"a":{"bb":{"ccc":null}}})") == R"({"a":{"bb":{}}})");
}

TEST_CASE("differing paths are sorted and limited in number") {
  const auto a = json::parse(R"({"x":{"a":1,"b":2},"z":[1]})");
  const auto b = json::parse(R"({"x":{"a":1,"b":3,"c/d":4},"z":[2]})");
  CHECK(DifferingPaths(a, b, 10) ==
        std::vector<std::string>{"/x/b", "/x/c~1d", "/z"});
  CHECK(DifferingPaths(a, b, 1).size() == 1);
  CHECK(DifferingPaths(a, a, 10).empty());
}

}  // namespace daisywind::configuration
