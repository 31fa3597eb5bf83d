#include "carobfall/config/configuration_builder.h"
#include "carobfall/config/declarations.h"

#include <doctest/doctest.h>

using namespace carobfall;

namespace {

rpc::configuration_change at(std::uint64_t version, rpc::configuration_change change)
{
    change.set_version(version);
    return change;
}

rpc::configuration_change deleted(const std::string& key)
{
    rpc::configuration_change change;
    change.set_key(key);
    change.set_deleted(true);
    return change;
}

rpc::push_configuration_request update(std::vector<rpc::configuration_change> changes,
                                       bool snapshot = false)
{
    rpc::push_configuration_request request;
    request.set_snapshot(snapshot);
    for (rpc::configuration_change& change : changes) {
        request.set_version(change.version());
        *request.add_changes() = std::move(change);
    }
    return request;
}

} // namespace

// Guards against a return to an older configuration when pushes arrive late, twice or with gaps.
TEST_CASE("changes apply in version order, once and without gaps")
{
    configuration_builder builder;
    const auto out = update({at(1, data_centre_change("mapo", true))});
    REQUIRE(builder.apply(out).has_value());
    const configuration_ptr first = builder.build();
    CHECK(first->is_out("mapo"));
    REQUIRE(builder
                .apply(update({at(1, data_centre_change("mapo", true)),
                               at(2, data_centre_change("mapo", false))}))
                .has_value());
    REQUIRE(builder.apply(out).has_value());
    CHECK(builder.version() == 2);
    CHECK_FALSE(builder.build()->is_out("mapo"));
    CHECK(first->is_out("mapo"));
    const auto gap = update({at(4, data_centre_change("guro", true))});
    CHECK(builder.apply(gap).error().kind == error_kind::conflict);
    CHECK(builder.version() == 2);

    auto snapshot = update({at(3, data_centre_change("guro", true))}, true);
    snapshot.set_version(7);
    REQUIRE(builder.apply(snapshot).has_value());
    CHECK(builder.version() == 7);
    REQUIRE(builder.apply(update({at(2, data_centre_change("mapo", true))}, true)).has_value());
    CHECK(builder.build()->is_out("guro"));
    CHECK_FALSE(builder.build()->is_out("mapo"));
}

// Guards against snapshots that lack rows or contain deleted ones.
TEST_CASE("a snapshot has the accounts, templates and data centres, and no deleted rows")
{
    dispatch_template check;
    check.client_account = "dambi";
    check.name = "check";
    configuration_builder builder;
    REQUIRE(builder
                .apply(update({at(1, to_change(client_account{"dambi", "0123456789abcdef", {}})),
                               at(2, to_change(check)), at(3, data_centre_change("mapo", true)),
                               at(4, to_change(client_account{"x", "0123456789abcdef", {}})),
                               at(5, deleted("account/x")), at(6, deleted("data_centre/mapo")),
                               at(7, bound_change("dambi", {check.max_deadline, {}}))}))
                .has_value());
    configuration_builder copy;
    REQUIRE(copy.apply(builder.snapshot()).has_value());
    const configuration_ptr built = copy.build();
    CHECK(built->version == 7);
    CHECK(built->accounts.size() == 1);
    REQUIRE(built->find_template("dambi", "check") != nullptr);
    CHECK(built->find_account("dambi")->token == "0123456789abcdef");
    CHECK(built->data_centres_out.empty());
    CHECK(copy.snapshot().changes_size() == 3);
    CHECK(built->longest_time_to_deadline("dambi", "seoul", absl::UnixEpoch()) ==
          check.max_deadline);
    CHECK(built->longest_time_to_deadline("x", "seoul", absl::UnixEpoch()) == max_deadline);
}

// Guards against an unreadable row that leaves a half-applied configuration.
TEST_CASE("an update with an invalid change is refused as a whole")
{
    rpc::configuration_change wrong = to_change(client_account{"a", "0123456789abcdef", {}});
    wrong.set_key("account/b");
    configuration_builder builder;
    CHECK(builder.apply(update({at(1, data_centre_change("mapo", true)), at(2, wrong)}))
              .error()
              .kind == error_kind::invalid_request);
    CHECK(builder.version() == 0);
    CHECK(builder.build()->data_centres_out.empty());
    for (const char* key : {"", "account", "account/", "template/a", "template//b", "other/a",
                            "data_centre/a/b", "account/.a"}) {
        CHECK_MESSAGE(!canonical_change(deleted(key)).has_value(), key);
    }
    rpc::configuration_change sideways = data_centre_change("mapo", true);
    sideways.set_value("sideways");
    CHECK_FALSE(canonical_change(sideways).has_value());
}

// Guards against a bound that ends while submissions accepted under it can still be resubmitted.
TEST_CASE("an earlier bound counts in a region until its value and the retention have passed")
{
    const absl::Time now = absl::FromUnixSeconds(1000);
    const absl::Duration minute = absl::Seconds(60);
    const auto lowered = changed_bound({minute, {}}, minute, absl::Seconds(5));
    CHECK(lowered.at("seoul", absl::InfiniteFuture()) == minute);
    const auto confirmed = decode_bound(encode_bound(confirmed_bound(lowered, "seoul", now)));
    const absl::Time end = now + minute + record_retention;
    CHECK(confirmed.value().at("seoul", end - absl::Milliseconds(1)) == minute);
    CHECK(confirmed.value().at("seoul", end) == absl::Seconds(5));
    CHECK(confirmed.value().is_unconfirmed("khomas"));
    CHECK(confirmed.value().at("khomas", end) == minute);

    // A second reduction keeps the end of the earlier value. If the bound has been raised to the
    // earlier value again, the next reduction removes the end.
    const auto again = changed_bound(confirmed.value(), absl::Seconds(5), absl::Seconds(1));
    CHECK(again.at("seoul", end) == absl::Seconds(5));
    CHECK(confirmed_bound(again, "seoul", now + minute).at("seoul", end) == absl::Seconds(5));
    const auto raised = changed_bound(confirmed.value(), absl::Seconds(5), minute);
    CHECK(changed_bound(raised, minute, absl::Seconds(1)).is_unconfirmed("seoul"));

    deadline_bound many{absl::Seconds(100), {}};
    for (int seconds = 99; seconds > 0; --seconds) {
        many = confirmed_bound(changed_bound(many, many.longest, absl::Seconds(seconds)), "seoul",
                               now - absl::Hours(1));
        CHECK(many.earlier_values.size() <= 16);
    }
    CHECK(many.earlier_values.contains(absl::Seconds(100)));
    CHECK_FALSE(decode_bound("{}").has_value());
}

// Guards against a recorded change for a declaration that differs only in comments or key order.
TEST_CASE("equal declarations have the same canonical change")
{
    const rpc::configuration_change canonical =
        to_change(client_account{"a", "0123456789abcdef", {}});
    rpc::configuration_change commented = canonical;
    commented.set_value("# note\ntoken: 0123456789abcdef\nname: a\nkind: client_account\n");
    CHECK(canonical_change(commented).value().value() == canonical.value());
    CHECK(canonical_change(data_centre_change("mapo", true)).value().value() == "out");
}
