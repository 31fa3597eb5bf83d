#include "carobfall/jobs/run_bounds.h"
#include "platform/platform_settings.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

using namespace carobfall;
using namespace carobfall::platform;
using nlohmann::json;

namespace {

json entry_settings_document()
{
    return {
        {"node_name", "edge-1"},
        {"ip", "10.1.0.13"},
        {"zone", "mapo"},
        {"listen_addrs",
         {{"front", "10.1.0.13:8161"}, {"ready", "10.1.0.13:8167"}, {"control", "10.1.0.13:8166"}}},
        {"internal_port_range", {7720, 7735}},
        {"seeds", {"10.1.0.13:8166", "10.2.0.30:8166"}},
        {"limits", {{"max_fds", 4100}}},
        {"platform", {{"address", "10.200.1.7:8169"}}}};
}

} // namespace

TEST_CASE("the settings of an entry are decoded")
{
    const auto settings = parse_settings(entry_settings_document().dump(), process_role::entry);
    REQUIRE(settings);
    CHECK(settings.value().name == "edge-1");
    CHECK(settings.value().link_port == 7720);
    CHECK(settings.value().metrics_port == 7721);
    CHECK(settings.value().callers->port() == 8161);
    CHECK(settings.value().store.port() == 8169);
    CHECK(settings.value().entry_ips == std::vector<std::string>{"10.1.0.13", "10.2.0.30"});
    CHECK_FALSE(settings.value().shed_load);
    json document = entry_settings_document();
    document["overload"]["shed_load"] = true;
    CHECK(parse_settings(document.dump(), process_role::entry).value().shed_load);
    document["overload"]["shed_load"] = 1;
    CHECK_FALSE(parse_settings(document.dump(), process_role::entry));
}

// Guards against a deployment whose callers resubmit a job while its first runs still go on.
TEST_CASE("limits of the platform that violate the bounds of runs are reported")
{
    json document = entry_settings_document();
    const auto unmet = [&] {
        return parse_settings(document.dump(), process_role::entry).value().unmet_bounds;
    };
    CHECK(unmet().empty());
    document["bounds"] = {{"retry_ms", 1300}, {"max_hold_ms", 1000}, {"stop_ms", 50}};
    CHECK(unmet().empty());
    document["bounds"] = {{"retry_ms", 1000}, {"max_hold_ms", 500}, {"stop_ms", 200}};
    REQUIRE(unmet().size() == 3);
    CHECK(unmet()[0].name == "retry_ms");
    CHECK(unmet()[0].value_ms == 1000);
    CHECK(unmet()[0].needed_ms == longest_run_after_contact_ms);
}

TEST_CASE("the shares of routes are decoded, and off without the object")
{
    json document = entry_settings_document();
    const auto admission = [&] {
        return parse_settings(document.dump(), process_role::entry).value().admission;
    };
    CHECK_FALSE(admission());
    document["admission"] = {{"shares", {{"quote", 2.5}, {"booking", 1000}}}};
    REQUIRE(admission());
    CHECK(admission()->weight_of("quote") == 2.5);
    CHECK(admission()->weight_of("booking") == 1000);
    CHECK(admission()->weight_of("other") == 1);
    CHECK(admission()->floor == 0.25);
    document["admission"] = {{"shares", json::object()}, {"floor", 0}};
    CHECK(admission()->floor == 0);
}

// Guards against an entry that runs with other shares than its operator has meant to set.
TEST_CASE("malformed shares are refused with the field and a remedy")
{
    const std::vector<std::pair<json, std::string>> malformed = {
        {nullptr, "admission.shares"},
        {5, "admission.shares"},
        {{{"floor", 0.5}}, "admission.shares"},
        {{{"shares", {1, 2}}}, "admission.shares"},
        {{{"shares", {{"quote", 0}}}}, "admission.shares.quote"},
        {{{"shares", {{"quote", 1000.5}}}}, "admission.shares.quote"},
        {{{"shares", {{"quote", "2"}}}}, "admission.shares.quote"},
        {{{"shares", {{"", 2}}}}, "admission.shares"},
        {{{"shares", json::object()}, {"floor", 1.01}}, "admission.floor"},
        {{{"shares", json::object()}, {"floor", -0.1}}, "admission.floor"},
        {{{"shares", json::object()}, {"floor", nullptr}}, "admission.floor"}};
    for (const auto& [admission, field] : malformed) {
        json document = entry_settings_document();
        document["admission"] = admission;
        const auto settings = parse_settings(document.dump(), process_role::entry);
        REQUIRE_FALSE(settings);
        CHECK(settings.error().kind == error_kind::invalid_request);
        CHECK(settings.error().message.find(field) != std::string::npos);
        CHECK_FALSE(settings.error().remedy.empty());
    }
}

// Guards against placement by a factor that no platform means, such as a percentage.
TEST_CASE("the slowdown away from the data is a number from 1 to 100, or 1.5 if it is missing")
{
    json document = entry_settings_document();
    const auto parse = [&] { return parse_settings(document.dump(), process_role::entry); };
    CHECK(parse().value().placement.remote_slowdown == 1.5);
    for (const json& value : {json(1), json(2), json(3.5), json(100)}) {
        document["bounds"] = {{"remote_slowdown", value}};
        CHECK(parse().value().placement.remote_slowdown == value.get<double>());
    }
    for (const json& value : {json(0.99), json(-2), json(101), json("2"), json(nullptr)}) {
        document["bounds"] = {{"remote_slowdown", value}};
        REQUIRE_FALSE(parse());
        CHECK(parse().error().message.find("bounds.remote_slowdown") != std::string::npos);
        CHECK_FALSE(parse().error().remedy.empty());
    }
}

TEST_CASE("the settings of an agent contain the address of its worker")
{
    json document = entry_settings_document();
    document["listen_addrs"] = {{"control", "10.1.0.14:8166"}};
    CHECK_FALSE(parse_settings(document.dump(), process_role::agent));
    document["app"] = "10.1.0.14:8165";
    const auto settings = parse_settings(document.dump(), process_role::agent);
    REQUIRE(settings);
    CHECK(settings.value().worker->port() == 8165);
    CHECK(settings.value().announcements->port() == 8166);
}

// Guards against a process that runs with incomplete settings.
TEST_CASE("settings without a required field are refused with a remedy")
{
    for (const char* field :
         {"node_name", "ip", "zone", "listen_addrs", "internal_port_range", "platform"}) {
        json document = entry_settings_document();
        document.erase(field);
        const auto settings = parse_settings(document.dump(), process_role::entry);
        REQUIRE_FALSE(settings);
        CHECK(settings.error().message.find(field) != std::string::npos);
        CHECK_FALSE(settings.error().remedy.empty());
        document[field] = 5;
        CHECK_FALSE(parse_settings(document.dump(), process_role::entry));
    }
}

TEST_CASE("parsing arbitrary bytes does not crash")
{
    CHECK(rc::check([](const std::string& text) {
        static_cast<void>(parse_settings(text, process_role::agent));
    }));
}
