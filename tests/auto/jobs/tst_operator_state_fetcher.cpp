#include "carobfall/jobs/operator_state_fetcher.h"
#include "carobfall/jobs/operator_state_provider.h"
#include "carobfall/jobs/state_transfer_bounds.h"

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <string>

using namespace carobfall;

namespace {

const absl::Time start = absl::UnixEpoch();
const absl::Time store_late = start + store_precedence;

fleet::operator_state state(std::uint64_t version, int routes = 1000)
{
    fleet::operator_state result;
    result.set_version(version);
    result.set_configuration_version(version);
    for (int i = 0; i < routes; ++i) {
        result.add_routes()->set_host(absl::StrCat("host-", version, "-", i, ".example"));
    }
    return result;
}

/// A process that holds a state.
struct holder {
    explicit holder(const fleet::operator_state& held) { REQUIRE(view.adopt(held, start)); }

    operator_view view;
    operator_state_provider provider{view};
};

/// A process that holds an earlier state.
struct fetcher_fixture {
    fetcher_fixture() { REQUIRE(view.adopt(state(1, 1), start)); }

    /// Sends requests to the holder until there is none. Returns their number.
    int fetch_all(holder& peer, absl::Time now)
    {
        int requests = 0;
        while (const auto fetch = fetcher.next_request(now)) {
            ++requests;
            last = fetcher.on_part(fetch->peer,
                                   peer.provider.answer(fetch->peer, fetch->request, now), now);
        }
        return requests;
    }

    operator_view view;
    operator_state_fetcher fetcher{view, [](std::size_t) { return 0; }};
    state_part_outcome last{state_part_outcome::unexpected};
};

} // namespace

TEST_CASE("a later state is fetched from one peer after the store had time to deliver it")
{
    fetcher_fixture test;
    holder peer(state(7));
    test.fetcher.on_stamp(1, peer.view.stamp(), start);
    test.fetcher.on_stamp(2, peer.view.stamp(), start);
    CHECK_FALSE(test.fetcher.next_request(store_late - absl::Milliseconds(1)));
    const int parts = static_cast<int>(peer.view.content().size() / state_part_bytes) + 1;
    CHECK(test.fetch_all(peer, store_late) == parts);
    CHECK(test.last == state_part_outcome::adopted);
    CHECK(test.view.stamp().digest == peer.view.stamp().digest);
    CHECK(test.view.state().routes_size() == 1000);
}

// Guards against callers that are refused longer than necessary after a restart without the store.
TEST_CASE("a process without a state leaves the store less time to deliver the first one")
{
    operator_view view;
    operator_state_fetcher fetcher(view, [](std::size_t) { return 0; });
    const holder peer(state(7));
    fetcher.on_stamp(1, peer.view.stamp(), start);
    CHECK_FALSE(fetcher.next_request(start + first_state_precedence - absl::Milliseconds(1)));
    CHECK(fetcher.next_request(start + first_state_precedence));
}

TEST_CASE("nothing is fetched once the store has delivered the state")
{
    fetcher_fixture test;
    const holder peer(state(7));
    test.fetcher.on_stamp(1, peer.view.stamp(), start);
    REQUIRE(test.view.adopt(state(7), start + absl::Milliseconds(100)));
    CHECK_FALSE(test.fetcher.next_request(store_late));
}

// Guards against a transfer that begins anew with each lost peer.
TEST_CASE("another peer continues the transfer of a peer that falls silent or is lost")
{
    fetcher_fixture test;
    holder first(state(7));
    holder second(state(7));
    test.fetcher.on_stamp(1, first.view.stamp(), start);
    test.fetcher.on_stamp(2, second.view.stamp(), start);
    const auto begin = test.fetcher.next_request(store_late);
    REQUIRE(begin);
    CHECK(test.fetcher.on_part(1, first.provider.answer(1, begin->request, store_late),
                               store_late) == state_part_outcome::stored);
    REQUIRE(test.fetcher.next_request(store_late));
    CHECK_FALSE(test.fetcher.next_request(store_late));
    SUBCASE("silent") {}
    SUBCASE("lost")
    {
        test.fetcher.on_peer_lost(1);
    }
    const auto next = test.fetcher.next_request(store_late + state_part_timeout);
    REQUIRE(next);
    CHECK(next->peer == 2);
    CHECK(next->request.offset() == state_part_bytes);
    CHECK(test.fetcher.on_part(1, first.provider.answer(1, begin->request, store_late),
                               store_late) == state_part_outcome::unexpected);
}

TEST_CASE("a peer that holds another state by now sends that one from its beginning")
{
    fetcher_fixture test;
    holder peer(state(7));
    test.fetcher.on_stamp(1, peer.view.stamp(), start);
    const auto begin = test.fetcher.next_request(store_late);
    REQUIRE(begin);
    CHECK(test.fetcher.on_part(1, peer.provider.answer(1, begin->request, store_late),
                               store_late) == state_part_outcome::stored);
    REQUIRE(peer.view.adopt(state(9), store_late));
    test.fetch_all(peer, store_late);
    CHECK(test.last == state_part_outcome::adopted);
    CHECK(test.view.state().configuration_version() == 9);
}

TEST_CASE("a process serves few peers at a time and refuses the others at once")
{
    holder sender(state(7));
    fleet::state_request request;
    request.set_digest(sender.view.stamp().digest);
    for (peer_number peer = 1; peer <= max_state_receivers; ++peer) {
        CHECK(sender.provider.answer(peer, request, start).size() > 0);
    }
    const peer_number next = max_state_receivers + 1;
    const fleet::state_part refusal = sender.provider.answer(next, request, start);
    CHECK(refusal.refused());
    CHECK(refusal.content().empty());
    CHECK(sender.provider.answer(next, request, start + state_part_timeout).size() > 0);

    fetcher_fixture test;
    test.fetcher.on_stamp(1, sender.view.stamp(), start);
    REQUIRE(test.fetcher.next_request(store_late));
    CHECK(test.fetcher.on_part(1, refusal, store_late) == state_part_outcome::refused);
    const absl::Time retry_at = store_late + state_retry_pause;
    CHECK_FALSE(test.fetcher.next_request(retry_at));
    test.fetcher.on_stamp(1, sender.view.stamp(), store_late);
    CHECK_FALSE(test.fetcher.next_request(retry_at - absl::Milliseconds(1)));
    CHECK(test.fetcher.next_request(retry_at));
}

// Guards against requests without end for a state before the first configuration.
TEST_CASE("a state without content is fetched")
{
    fleet::operator_state none;
    none.set_version(2);
    holder peer(none);
    fetcher_fixture test;
    test.fetcher.on_stamp(1, peer.view.stamp(), start);
    CHECK(test.fetch_all(peer, store_late) == 1);
    CHECK(test.last == state_part_outcome::adopted);
    CHECK(test.view.version() == 2);
}

// Guards against parts of other writers: they must neither be adopted nor stop the transfer.
TEST_CASE("a malformed part is refused, and the state is fetched from another peer")
{
    fetcher_fixture test;
    holder peer(state(7));
    const operator_state_stamp stamp = peer.view.stamp();
    test.fetcher.on_stamp(1, stamp, start);
    test.fetcher.on_stamp(2, stamp, start);
    REQUIRE(test.fetcher.next_request(store_late));
    fleet::state_part part;
    part.set_version(stamp.version);
    part.set_digest(stamp.digest);
    part.set_size(3);
    part.set_content("odd");
    state_part_outcome expected = state_part_outcome::malformed;
    SUBCASE("damaged content") {}
    SUBCASE("more than announced")
    {
        part.set_size(2);
    }
    SUBCASE("another offset")
    {
        part.set_offset(1);
    }
    SUBCASE("no content")
    {
        part.clear_content();
    }
    SUBCASE("too large")
    {
        part.set_size(max_state_bytes + 1);
    }
    SUBCASE("earlier version")
    {
        part.set_version(0);
        expected = state_part_outcome::outdated;
    }
    CHECK(test.fetcher.on_part(1, part, store_late) == expected);
    CHECK(test.view.version() == 1);
    const absl::Time retry_at = store_late + state_retry_pause;
    const auto next = test.fetcher.next_request(retry_at);
    REQUIRE(next);
    CHECK(next->peer == 2);
    CHECK(next->request.offset() == 0);
    test.fetcher.on_part(2, peer.provider.answer(2, next->request, retry_at), retry_at);
    test.fetch_all(peer, retry_at);
    CHECK(test.view.version() == 7);
}
