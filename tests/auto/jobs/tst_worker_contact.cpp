#include "region_fixture.h"

#include "carobfall/jobs/worker_contact.h"

#include <doctest/doctest.h>

using namespace carobfall;
using namespace carobfall::test;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

absl::Time after(int milliseconds)
{
    return start + absl::Milliseconds(milliseconds);
}

} // namespace

// Load pattern: a worker goes down and closes each connection. Guards against starts that are sent
// to it one after the other, of which each keeps its task from running elsewhere for a second.
TEST_CASE("a worker gets no start after a call without an answer until it answers a later call")
{
    worker_contact contact;
    contact.on_answered(start);
    CHECK(contact.permits_starts());
    contact.on_unanswered(after(10), after(11));
    CHECK_FALSE(contact.permits_starts());
    // This call was sent before the one without an answer.
    CHECK_FALSE(contact.on_answered(after(5)));
    CHECK_FALSE(contact.permits_starts());
    CHECK_FALSE(contact.is_silent(after(60)));
    CHECK(contact.is_silent(after(71)));
    contact.on_answered(after(15));
    CHECK(contact.permits_starts());
    CHECK_FALSE(contact.is_silent(after(80)));
}

// Load pattern: a worker leaves a share of its orders unanswered. Guards against a doubt by an
// early call that times out after later ones have been answered.
TEST_CASE("a call that times out is no reason to doubt a worker that has answered a later one")
{
    worker_contact contact;
    contact.on_answered(after(100));
    contact.on_unanswered(after(10), after(140));
    CHECK(contact.permits_starts());
}

TEST_CASE("an unreachable worker is used again when it answers, and its interruption is counted")
{
    worker_contact contact;
    contact.on_unanswered(start, start);
    CHECK(contact.mark_unreachable(after(60)));
    CHECK_FALSE(contact.mark_unreachable(after(70)));
    CHECK(contact.on_answered(after(80)));
    CHECK(contact.is_reachable());
    const double once = contact.interruptions_per_s(after(80));
    CHECK(once > 0);
    // The restart of a worker that was unreachable is the same interruption.
    contact.mark_unreachable(after(90));
    const double twice = contact.interruptions_per_s(after(100));
    contact.on_replaced(true, after(100));
    CHECK(contact.interruptions_per_s(after(100)) == doctest::Approx(twice));
    CHECK(twice > 1.9 * once);
    contact.on_replaced(true, after(200));
    CHECK(contact.interruptions_per_s(after(200)) > 1.4 * twice);
    // A worker that has been reliable for a minute counts like any other one.
    CHECK(contact.interruptions_per_s(after(60000)) < once / 50);
}

// Load pattern: a worker goes down and comes up by turns. Guards against tasks that its agent keeps
// or sends to it meanwhile.
TEST_CASE("the tasks that wait for a worker that goes down run elsewhere at once")
{
    region test;
    agent_fixture& down = test.add_agent("a");
    down.worker.run_time = absl::Milliseconds(300);
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 1; }));
    std::optional<job_answer> first;
    test.submit("00000000000000aa", 30, first);
    REQUIRE(test.run_until([&] { return down.worker.active() > 0; }));
    agent_fixture& other = test.add_agent("b");
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 2; }));
    down.worker.unreachable = true;
    const absl::Time down_since = boot_now();
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 1; }));
    CHECK(boot_now() - down_since < absl::Milliseconds(500));
    CHECK(test.run_until([&] { return other.worker.starts > 0; }, absl::Milliseconds(200)));
    // At most the starts that were under way when the worker went down got no answer.
    CHECK(down.worker.unanswered_starts <= 1);
    down.worker.unreachable = false;
    REQUIRE(test.run_until([&] { return first.has_value(); }));
    CHECK(first->outcome == job_outcome::succeeded);
    CHECK(test.counter.max_concurrent_runs() == 1);
}
