#include "../support/fake_table_service.h"
#include "carobfall/config/configuration_builder.h"
#include "carobfall/config/declarations.h"
#include "carobfall/platform/configuration_store.h"

#include <doctest/doctest.h>
#include <doctest/trompeloeil.hpp>

using namespace carobfall;
using namespace carobfall::testing;

namespace {

class mock_table_service : public table_service {
public:
    MAKE_MOCK1(read, result<std::optional<table_row>>(std::string_view), override);
    MAKE_MOCK1(scan, result<std::vector<table_row>>(std::string_view), override);
    MAKE_MOCK1(commit, result<void>(const table_transaction&), override);
};

configuration_change_set set_of(const std::string& name, bool out, const std::string& id,
                                std::optional<std::uint64_t> expected = std::nullopt)
{
    return {{data_centre_change(name, out)}, id, expected};
}

struct store_fixture {
    fake_table_service table;
    std::vector<absl::Duration> pauses;
    configuration_store store{table, {}, [this](absl::Duration pause) { pauses.push_back(pause); }};
};

} // namespace

// Guards against changes that a reader misses, and rows that differ from their log.
TEST_CASE("the changes and a snapshot give readers the same configuration")
{
    store_fixture s;
    CHECK(s.store.load().value().version() == 0);
    const auto account = to_change(client_account{"a", "0123456789abcdef", {}});
    CHECK(s.store.apply({{account, data_centre_change("mapo", true)}, "c1", 0}).value() == 2);
    rpc::configuration_change removal;
    removal.set_key("data_centre/mapo");
    removal.set_deleted(true);
    CHECK(s.store.apply({{removal}, "c2", 2}).value() == 3);
    configuration_builder follower;
    REQUIRE(follower.apply(s.store.changes_since(0).value()).has_value());
    configuration_builder loaded;
    REQUIRE(loaded.apply(s.store.load().value()).has_value());
    for (const configuration_builder* builder : {&follower, &loaded}) {
        CHECK(builder->version() == 3);
        CHECK(builder->build()->find_account("a") != nullptr);
        CHECK_FALSE(builder->build()->is_out("mapo"));
    }
    const std::size_t before = s.table.operations();
    CHECK(s.store.changes_since(3).value().changes().empty());
    CHECK(s.table.operations() == before + 1);
}

// Guards against repeated or empty changes that use up versions, and reused change ids.
TEST_CASE("identical content and repeated requests change nothing")
{
    store_fixture s;
    REQUIRE(s.store.apply(set_of("mapo", true, "c1")).value() == 1);
    CHECK(s.store.apply(set_of("mapo", true, "c2")).value() == 1);
    CHECK(s.store.apply(set_of("mapo", false, "c3")).value() == 2);
    CHECK(s.store.apply(set_of("mapo", true, "c1")).value() == 1);
    CHECK(s.store.load().value().changes(0).value() == "in");
    const result<std::uint64_t> reused = s.store.apply(set_of("guro", true, "c1"));
    CHECK(reused.error().kind == error_kind::conflict);
    CHECK(reused.error().remedy == "use a new change id");
    CHECK(s.store.apply({{}, "c4", std::nullopt}).error().kind == error_kind::invalid_request);
    CHECK(s.store.apply(set_of("mapo", true, "no spaces")).error().kind ==
          error_kind::invalid_request);
    CHECK(s.store.apply(set_of("", true, "c5")).error().kind == error_kind::invalid_request);
}

// Guards against one operator's change that is silently overwritten by another's.
TEST_CASE("a change fails with a conflict if another operator has changed the row since its base")
{
    store_fixture s;
    REQUIRE(s.store.apply(set_of("mapo", true, "c1", 0)).has_value());
    const result<std::uint64_t> late = s.store.apply(set_of("mapo", false, "c2", 0));
    REQUIRE(late.error().kind == error_kind::conflict);
    CHECK(late.error().message == "data_centre/mapo was changed by another operator in version 1");
    CHECK(late.error().remedy.find("present data_centre/mapo") != std::string::npos);
    CHECK(s.store.apply(set_of("guro", true, "c3", 0)).value() == 2);
    CHECK(s.store.apply(set_of("guro", true, "c4", 9)).error().kind == error_kind::conflict);

    // The other operator commits between this one's reads and its commit.
    bool raced = false;
    s.table.set_hook([&](table_operation operation, std::string_view) {
        if (operation == table_operation::commit && !std::exchange(raced, true)) {
            REQUIRE(s.store.apply(set_of("mapo", false, "c5")).has_value());
        }
    });
    rpc::configuration_change removal = data_centre_change("mapo", true);
    removal.set_deleted(true);
    CHECK(s.store.apply({{removal}, "c6", std::nullopt}).error().kind == error_kind::conflict);
    raced = false;
    CHECK(s.store.apply(set_of("seongnam", true, "c7")).has_value());
}

// Guards against a change that is applied twice or reported as failed because a response was lost.
TEST_CASE("after a lost response, the change id shows whether the change was applied")
{
    store_fixture s;
    s.table.lose_answers(1);
    CHECK(s.store.apply(set_of("mapo", true, "c1")).value() == 1);
    s.table.lose_commits(1);
    CHECK(s.store.apply(set_of("mapo", false, "c2")).value() == 2);
    s.table.lose_commits(100);
    CHECK(s.store.apply(set_of("mapo", true, "c3")).error().kind == error_kind::outcome_unknown);
    s.table.lose_commits(0);
    CHECK(s.store.apply(set_of("mapo", true, "c3")).value() == 3);

    // The outage hides whether the commit was applied.
    s.table.lose_answers(1);
    s.table.set_hook([&](table_operation operation, std::string_view) {
        s.table.set_outage(operation != table_operation::commit && s.table.rows().size() > 8);
    });
    const result<std::uint64_t> unresolved = s.store.apply(set_of("guro", true, "c4"));
    REQUIRE(unresolved.error().kind == error_kind::outcome_unknown);
    CHECK(unresolved.error().remedy.find("same change id") != std::string::npos);
    s.table.set_hook(nullptr);
    s.table.set_outage(false);
    CHECK(s.store.apply(set_of("guro", true, "c4")).value() == 4);
    CHECK(s.store.load().value().version() == 4);
}

// Guards against retries without end or without pause, and against retries during an outage.
TEST_CASE("throttled calls are retried with bounded, growing pauses and an outage fails at once")
{
    store_fixture s;
    s.table.throttle(3);
    CHECK(s.store.apply(set_of("mapo", true, "c1")).has_value());
    REQUIRE(s.pauses.size() == 3);
    const absl::Duration first = store_retry_policy().first_pause;
    for (std::size_t i = 0; i < s.pauses.size(); ++i) {
        CHECK(s.pauses[i] >= first * (1 << i) / 2);
        CHECK(s.pauses[i] <= first * (1 << i));
    }
    s.pauses.clear();
    s.table.throttle(1000);
    CHECK(s.store.load().error().kind == error_kind::overloaded);
    CHECK(s.pauses.size() == 7);
    s.table.throttle(0);
    s.table.set_outage(true);
    CHECK(s.store.apply(set_of("mapo", false, "c2")).error().kind == error_kind::unavailable);
    CHECK(s.pauses.size() == 7);
}

// Guards against a transaction that isn't conditional on the head, or that writes other rows.
TEST_CASE("a change is a single transaction that requires an unchanged head")
{
    mock_table_service table;
    configuration_store store(table, {1, {}, {}}, [](absl::Duration) {});
    ALLOW_CALL(table, read(trompeloeil::_)).RETURN(std::nullopt);
    REQUIRE_CALL(table, read("config/head")).RETURN(table_row{"config/head", "41", 7});
    REQUIRE_CALL(table, commit(trompeloeil::_))
        .WITH(_1.conditions.size() == 1 && _1.conditions[0].key == "config/head" &&
              _1.conditions[0].version == 7 && _1.writes.size() == 4 &&
              _1.writes[1].key == "config/log/00000000000000000042")
        .RETURN(success());
    CHECK(store.apply(set_of("mapo", true, "c1")).value() == 42);
}

// Guards against a snapshot that mixes two versions when a change is committed while it is read.
TEST_CASE("a snapshot that is read during a commit has a single version")
{
    store_fixture s;
    REQUIRE(s.store.apply(set_of("mapo", true, "c1")).has_value());
    int reads = 0;
    s.table.set_hook([&](table_operation, std::string_view key) {
        if (key == configuration_head_key && ++reads == 2) {
            s.table.set_hook(nullptr);
            REQUIRE(s.store.apply(set_of("guro", true, "c2")).has_value());
        }
    });
    const rpc::push_configuration_request snapshot = s.store.load().value();
    CHECK(snapshot.version() == 2);
    CHECK(snapshot.changes_size() == 2);
}

// Guards against a bound that is shorter than a deadline that entries accept or have accepted.
TEST_CASE("a longer deadline raises the account's bound at once, a shorter one doesn't lower it")
{
    store_fixture s;
    const auto apply = [&](const char* account, const char* name, int seconds, const char* id) {
        dispatch_template declared;
        declared.client_account = account;
        declared.name = name;
        declared.max_deadline = absl::Seconds(seconds);
        rpc::configuration_change change = to_change(declared);
        change.set_deleted(seconds == 0);
        return s.store.apply({{change}, id, std::nullopt});
    };
    const auto bound = [&](const char* account, absl::Time now = absl::InfiniteFuture()) {
        configuration_builder builder;
        REQUIRE(builder.apply(s.store.load().value()).has_value());
        return builder.build()->longest_time_to_deadline(account, "seoul", now) / absl::Seconds(1);
    };
    CHECK(apply("a", "short", 5, "c1").value() == 2);
    CHECK(bound("a") == 5);
    CHECK(apply("a", "other", 4, "c2").value() == 3); // no change of the bound
    s.table.lose_answers(1);
    CHECK(apply("a", "short", 60, "c3").value() == 5);
    CHECK(apply("a", "short", 60, "c3").value() == 5);
    CHECK(bound("a") == 60);
    CHECK(apply("a", "short", 0, "c4").value() == 7);
    CHECK(bound("a") == 60);
    CHECK(apply("a", "other", 0, "c5").has_value());
    CHECK(bound("a") == 60);
    CHECK(apply("a", "short", 5, "c6").has_value()); // declared again
    CHECK(bound("a") == 60);

    // Another operator raises the bound between this one's reads and its commit.
    bool raced = false;
    s.table.set_hook([&](table_operation operation, std::string_view) {
        if (operation == table_operation::commit && !std::exchange(raced, true)) {
            REQUIRE(apply("a", "long", 90, "c7").has_value());
        }
    });
    CHECK(apply("a", "other", 4, "c8").has_value());
    s.table.set_hook(nullptr);
    CHECK(bound("a") == 90);

    // An earlier version wrote no bound; it may have lowered a deadline just before.
    REQUIRE(apply("b", "short", 5, "d1").has_value());
    REQUIRE(s.table.commit({{}, {{configuration_row_key(deadline_bound_key("b")), std::nullopt}}})
                .has_value());
    CHECK(bound("b") == 300);
    REQUIRE(apply("b", "short", 4, "d2").has_value());
    CHECK(bound("b") == 300);
    s.table.put(std::string(configuration_head_key), std::to_string(kept_versions + 1));
    REQUIRE(apply("new", "short", 5, "d3").has_value());
    CHECK(bound("new") == 300);
}

// Guards against a log that grows without bound and a reader that can't continue after a trim.
TEST_CASE("old log rows and deletions are trimmed and a reader far behind loads a snapshot")
{
    store_fixture s;
    rpc::configuration_change removal = data_centre_change("gone", true);
    removal.set_deleted(true);
    REQUIRE(s.store.apply(set_of("gone", true, "g1")).has_value());
    REQUIRE(s.store.apply({{removal}, "g2", std::nullopt}).value() == 2);
    for (std::uint64_t version = 3; version <= kept_versions + 10; ++version) {
        REQUIRE(s.store.apply(set_of("mapo", version % 2 == 0, "c" + std::to_string(version)))
                    .value() == version);
    }
    // The head and one row, and for each kept version a log row and a change id.
    CHECK(s.table.rows().size() == 2 + 2 * kept_versions);
    CHECK(s.store.changes_since(1).value().snapshot());
    CHECK(s.store.changes_since(kept_versions).value().changes_size() == 10);
    CHECK(s.store.apply(set_of("gone", true, "g3", 2)).error().kind == error_kind::conflict);
}
