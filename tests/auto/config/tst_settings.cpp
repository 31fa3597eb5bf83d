#include "carobfall/config/agent_settings.h"
#include "carobfall/config/entry_settings.h"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace carobfall;

namespace {

settings_sources example(const std::string& name)
{
    result<settings_sources> sources = read_settings_file(CAROBFALL_EXAMPLES "/settings/" + name);
    REQUIRE(sources.has_value());
    return sources.value();
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    REQUIRE(text.find(from) != std::string::npos);
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

// Guards against example files that the programs refuse, and against defaults that differ from the
// documented ones.
TEST_CASE("the example settings are valid and show the defaults")
{
    const result<entry_settings> entry = load_entry_settings(example("entry.yaml"));
    REQUIRE(entry.has_value());
    CHECK(entry.value().data_centre == "gangnam");
    CHECK(entry.value().operator_tokens.size() == 1);
    const entry_settings entry_defaults;
    CHECK(entry.value().limits.max_body_bytes == entry_defaults.limits.max_body_bytes);
    CHECK(entry.value().limits.held_answer_bytes == entry_defaults.limits.held_answer_bytes);
    CHECK(entry.value().intervals.poll == entry_defaults.intervals.poll);
    CHECK(entry.value().max_deadline == entry_defaults.max_deadline);

    const result<agent_settings> agent = load_agent_settings(example("agent.yaml"));
    REQUIRE(agent.has_value());
    CHECK(agent.value().entry_addresses == std::vector<std::string>{"127.0.0.1:8082"});
    CHECK(agent.value().queue_per_slot == agent_settings().queue_per_slot);
    CHECK(agent.value().ledger.max_records == agent_settings().ledger.max_records);
}

// Guards against an override that is dropped or applied in the wrong order.
TEST_CASE("the environment overrides the file and flags override both")
{
    settings_sources sources = example("agent.yaml");
    sources.environment = {{"CAROBFALL_AGENT_QUEUE_PER_SLOT", "3"},
                           {"CAROBFALL_AGENT_LEDGER_MAX_RECORDS", "2000"},
                           {"CAROBFALL_AGENT_ENTRY_ADDRESSES", "127.0.0.1:1, [::1]:2"}};
    sources.overrides = {"queue_per_slot=4", "intervals.heartbeat=100ms"};
    const result<agent_settings> agent = load_agent_settings(sources);
    REQUIRE(agent.has_value());
    CHECK(agent.value().queue_per_slot == 4);
    CHECK(agent.value().ledger.max_records == 2000);
    CHECK(agent.value().heartbeat == absl::Milliseconds(100));
    CHECK(agent.value().entry_addresses == std::vector<std::string>{"127.0.0.1:1", "[::1]:2"});
}

// Guards against mistakes in a settings file that are accepted or reported without a position.
TEST_CASE("a mistake is refused with its position and a remedy")
{
    struct wrong_file {
        const char* from;
        const char* to;
        const char* message;
        const char* remedy;
    };
    const std::vector<wrong_file> cases{
        {"rack: gangnam-r1", "rak: gangnam-r1", "agent.yaml:8: unknown key rak", "rack"},
        {"queue_per_slot: 2", "queue_per_slot: -1", "agent.yaml:18: the value \"-1\"", "0 to 1000"},
        {"queue_per_slot: 2", "queue_per_slot: many", "agent.yaml:18", "whole number"},
        {"heartbeat: 1s", "heartbeat: 500", "agent.yaml:21", "250ms"},
        {"heartbeat: 1s", "heartbeat: 3s", "agent.yaml:21", "to 1s"},
        {"max_records:", "max_recrods:", "agent.yaml:26: unknown key ledger.max_recrods",
         "max_records, max_result_bytes"},
        {"rack: gangnam-r1", "", "agent.yaml: the key rack is missing", "add it"},
        {"rack: gangnam-r1", "rack: a\nrack: b", "agent.yaml:9: the key rack is repeated", "one"},
        {"127.0.0.1:8090", "localhost:8090", "agent.yaml:10", "host names"},
        {"127.0.0.1:8090", "0.0.0.0:8090", "agent.yaml:10", "unspecified"},
        {"  - 127.0.0.1:8082", "  []", "agent.yaml:15", "list of different addresses"},
        {"ledger:\n  max_records: 65536\n  max_result_bytes: 8388608", "ledger: 5",
         "agent.yaml:25: ledger is not a mapping", "max_records, max_result_bytes"},
        {"name: worker", "name: [worker", "agent.yaml:", "syntax"},
    };
    const settings_sources valid = example("agent.yaml");
    for (const wrong_file& wrong : cases) {
        settings_sources sources = valid;
        sources.source = "agent.yaml";
        sources.text = replaced(valid.text, wrong.from, wrong.to);
        const result<agent_settings> agent = load_agent_settings(sources);
        REQUIRE_MESSAGE(!agent.has_value(), wrong.to);
        CHECK(agent.error().kind == error_kind::invalid_request);
        CHECK_MESSAGE(agent.error().message.find(wrong.message) != std::string::npos,
                      agent.error().message);
        CHECK_MESSAGE(agent.error().remedy.find(wrong.remedy) != std::string::npos,
                      agent.error().remedy);
    }
}

// Guards against a misspelt override that is silently ignored, and against tokens in messages.
TEST_CASE("unknown and invalid overrides are refused and tokens are not shown")
{
    settings_sources sources = example("entry.yaml");
    sources.environment = {{"CAROBFALL_ENTRY_POOL", "1s"}};
    CHECK(load_entry_settings(sources).error().message ==
          "unknown environment variable CAROBFALL_ENTRY_POOL");
    sources.environment = {{"CAROBFALL_ENTRY_OPERATOR_TOKENS", "tooshort"}};
    const error refusal = load_entry_settings(sources).error();
    CHECK(refusal.message.find("CAROBFALL_ENTRY_OPERATOR_TOKENS") != std::string::npos);
    CHECK(refusal.message.find("tooshort") == std::string::npos);
    sources.environment.clear();
    sources.overrides = {"nme=x"};
    CHECK(load_entry_settings(sources).error().message == "--set nme is not a setting");
    CHECK(read_settings_file("/no/such/file").error().kind == error_kind::not_found);
}

// Guards against variables of other programs that are read as settings.
TEST_CASE("the process environment is read by prefix")
{
    REQUIRE(setenv("CAROBFALL_ENTRY_NAME", "a=b", 1) == 0);
    CHECK(environment_with_prefix(entry_variable_prefix).at("CAROBFALL_ENTRY_NAME") == "a=b");
    CHECK(environment_with_prefix(agent_variable_prefix).count("CAROBFALL_ENTRY_NAME") == 0);
    unsetenv("CAROBFALL_ENTRY_NAME");
}
