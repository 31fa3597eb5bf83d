#include "carobfall/config/declarations.h"
#include "carobfall/config/settings_sources.h"

#include <doctest/doctest.h>

using namespace carobfall;

namespace {

constexpr const char* valid_text = R"(# comment
kind: client_account
name: dambi
token: 0123456789abcdef
---
kind: template
client_account: dambi
name: check
idempotent: true
rerun_lost: true
limits_are_elsewhere: 1
)";

error refusal_of(const std::string& line)
{
    const std::string text =
        "kind: template\nclient_account: a\nname: t\n" + line + "\nmax_result_bytes: 5\n";
    const result<std::vector<declaration>> parsed = parse_declarations(text, "f.yaml");
    REQUIRE_MESSAGE(!parsed.has_value(), line);
    CHECK(parsed.error().kind == error_kind::invalid_request);
    CHECK_FALSE(parsed.error().remedy.empty());
    return parsed.error();
}

} // namespace

// Guards against example files that `carobfall template apply` refuses, and against a canonical
// text that differs from the declaration in meaning.
TEST_CASE("the example declarations are valid and survive the round trip")
{
    for (const std::string name : {"dambi", "ombili"}) {
        const std::string path = CAROBFALL_EXAMPLES "/declarations/" + name + ".yaml";
        const settings_sources file = read_settings_file(path).value();
        const result<std::vector<declaration>> parsed = parse_declarations(file.text, path);
        REQUIRE_MESSAGE(parsed.has_value(), parsed.error().message);
        CHECK(parsed.value().size() == 4);
        for (const declaration& value : parsed.value()) {
            const std::string text = to_yaml(value);
            const result<std::vector<declaration>> again = parse_declarations(text, name);
            REQUIRE_MESSAGE(again.has_value(), again.error().message, "\n", text);
            CHECK(to_yaml(again.value().front()) == text);
            CHECK(key_of(again.value().front()) == key_of(value));
        }
    }
}

// Guards against string values that are read as numbers, booleans or null, or changed.
TEST_CASE("parameters keep their types and values")
{
    const std::string text = R"(kind: template
client_account: a
name: t
parameters:
  quoted: "12"
  word: yes
  zero: "007"
  octal_like: 007
  number: 1.50
  large: 18446744073709551615
  nothing: ~
  flag: false
  nested: {list: [1, "a: b", [x, "null"]], empty: {}}
  "on": "line\nbreak \u00e9 \" \\ # : '"
)";
    const result<std::vector<declaration>> parsed = parse_declarations(text, "f.yaml");
    REQUIRE_MESSAGE(parsed.has_value(), parsed.error().message);
    const auto& first = std::get<dispatch_template>(parsed.value().front());
    CHECK(nlohmann::json::parse(first.parameters_json) ==
          nlohmann::json::parse(R"({"quoted":"12","word":"yes","zero":"007","octal_like":"007",
            "number":1.5,"large":18446744073709551615,"nothing":null,"flag":false,
            "nested":{"list":[1,"a: b",["x","null"]],"empty":{}},
            "on":"line\nbreak é \" \\ # : '"})"));
    const std::string canonical = to_yaml(first);
    const result<std::vector<declaration>> again = parse_declarations(canonical, "f.yaml");
    REQUIRE_MESSAGE(again.has_value(), again.error().message, "\n", canonical);
    CHECK(std::get<dispatch_template>(again.value().front()).parameters_json ==
          first.parameters_json);
}

// Guards against mistakes in a declaration that are accepted or reported at another line.
TEST_CASE("mistakes are refused with line and key")
{
    struct wrong_line {
        const char* line;
        const char* message;
    };
    const std::vector<wrong_line> cases{
        {"max_taks: 5", "f.yaml:4: unknown key max_taks"},
        {"rerun_lost: true", "f.yaml:4: rerun_lost needs idempotent: true"},
        {"idempotent: yes", "f.yaml:4: the value \"yes\" of idempotent"},
        {"expected_run: 2m", "f.yaml:1: expected_run is longer than max_deadline"},
        {"max_deadline: 301s", "f.yaml:4: the value \"301s\""},
        {"max_payload_bytes: 010k", "f.yaml:4"},
        {"max_tasks: 671", "f.yaml:4"},
        {"request_path: v1/run", "f.yaml:4"},
        {"data_centres: [mapo, mapo]", "f.yaml:4: the value of data_centres"},
        {"parameters: [1]", "f.yaml:4: the value of parameters"},
        {"parameters: {a: 1, a: 2}", "f.yaml:4: the value of parameters"},
        {"parameters: {a: \"\xff\"}", "f.yaml:4: the value of parameters"},
        {"requirements: 3", "f.yaml:4: requirements is not a mapping"},
        {"requirements: {cpus: 3}", "f.yaml:4: unknown key requirements.cpus"},
        {"? [a]\n: 1", "f.yaml:4"},
        {"\tname: x", "f.yaml:4: not valid YAML"},
    };
    for (const wrong_line& wrong : cases) {
        const error refusal = refusal_of(wrong.line);
        CHECK_MESSAGE(refusal.message.starts_with(wrong.message), refusal.message);
    }
}

// Guards against a small text with repeated aliases that expands to a huge value.
TEST_CASE("aliases can't be used to exhaust memory")
{
    std::string line = "parameters:\n  a0: &a0 [1, 1, 1, 1, 1, 1, 1, 1, 1, 1]\n";
    for (int level = 1; level < 9; ++level) {
        const std::string alias = "*a" + std::to_string(level - 1);
        const std::string anchor = "a" + std::to_string(level);
        line += "  " + anchor + ": &" + anchor + " [" + alias;
        for (int i = 1; i < 10; ++i) {
            line += ", " + alias;
        }
        line += "]\n";
    }
    CHECK(refusal_of(line).message.find("of parameters") != std::string::npos);
}

// Guards against confusion of the documents in a file, and against tokens in messages.
TEST_CASE("a file may hold several documents, each declared once")
{
    const std::string text = valid_text;
    CHECK(parse_declarations(text, "f.yaml").error().message ==
          "f.yaml:11: unknown key limits_are_elsewhere");
    const std::string valid = text.substr(0, text.find("limits_are"));
    REQUIRE(parse_declarations(valid, "f.yaml").value().size() == 2);
    CHECK(key_of(parse_declarations(valid, "f.yaml").value()[1]) == "template/dambi/check");
    CHECK(parse_declarations(valid + "---\n" + valid, "f.yaml").error().message ==
          "f.yaml:13: account/dambi is declared twice");
    CHECK(parse_declarations("kind: tempalte\n", "f.yaml").error().message.starts_with("f.yaml:1"));
    const error refusal =
        parse_declarations("kind: client_account\nname: a\ntoken: secret\n", "f.yaml").error();
    CHECK(refusal.message.starts_with("f.yaml:3"));
    CHECK(refusal.message.find("secret") == std::string::npos);
    const auto with_token = [](const std::string& token) {
        return parse_declarations("kind: client_account\nname: a\ntoken: " + token, "f.yaml");
    };
    const auto digest = with_token("sha256:" + std::string(64, 'a'));
    REQUIRE(digest);
    CHECK(parse_declarations(to_yaml(digest.value()[0]), "f.yaml"));
    CHECK_FALSE(with_token("sha256:" + std::string(63, 'a')));
    CHECK_FALSE(with_token("sha256:" + std::string(64, 'A')));
}
