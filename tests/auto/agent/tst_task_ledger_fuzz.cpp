#include "../support/fuzz.h"
#include "ledger_fixture.h"

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <map>
#include <utility>
#include <vector>

using namespace carobfall;
using carobfall::testing::fuzz_runs;

namespace {

constexpr int default_runs = 2000; // per seed
constexpr int max_commands = 200;
constexpr std::uint64_t seeds[] = {1, 2, 3, 4};

struct command {
    std::size_t kind; ///< row of `ledger_model::steps`
    std::uint32_t task;
    std::uint32_t attempt;
    std::uint32_t amount;
};

/// Executes commands on a ledger and checks it against a model: the starts of each task, the
/// attempts that the ledger has reported as not run, and the conditions for a start.
class ledger_model {
public:
    struct step {
        const char* name;
        std::function<void(ledger_model&, const command&)> run;
    };

    static const std::vector<step>& steps()
    {
        using m = ledger_model;
        using c = const command;
        static const std::vector<step> table{
            {"start",
             [](m& t, c& d) { t.send(t.f.request(d.task / 2, d.attempt, submission(d))); }},
            {"duplicate", &m::repeat},
            {"stale_start", &m::send_stale},
            {"revoke", &m::revoke},
            {"take", [](m& t, c&) { t.take(absl::ZeroDuration()); }},
            {"take_after_pause", [](m& t, c& d) { t.take(absl::Milliseconds(d.amount * 5)); }},
            {"finish", [](m& t, c& d) { t.end_task(d, true); }},
            {"unsent", [](m& t, c& d) { t.end_task(d, false); }},
            {"renew", [](m& t, c&) { t.renew(); }},
            {"pass_time", [](m& t, c& d) { t.f.now += absl::Milliseconds(d.amount); }},
            {"lapse", [](m& t, c&) { t.f.now += absl::Seconds(2); }},
            {"long_pause", &m::long_pause},
            {"fence", [](m& t, c& d) { t.f.fence(t.f.view += d.amount % 2); }},
            {"data_centre_out", [](m& t, c&) { t.set_data_centre_out(true); }},
            {"data_centre_in", [](m& t, c&) { t.set_data_centre_out(false); }},
            {"backend_leave", [](m& t, c&) { t.backend_leave(); }},
            {"backend_return", &m::backend_return},
            {"begin_leaving", &m::begin_leaving},
            {"sweep", [](m& t, c&) { t.sweep(); }},
            {"expire", [](m& t, c&) { t.f.ledger.expire(t.f.now); }},
        };
        return table;
    }

    void execute(const command& drawn)
    {
        steps()[drawn.kind].run(*this, drawn);
        check_load();
    }

private:
    static std::string submission(const command& c) { return absl::StrCat("s-", c.task % 2); }

    /// After a few long pauses the deadline and the retention have passed, and no task starts any
    /// more. Most of these commands therefore don't advance the time.
    void long_pause(const command& c) { f.now += absl::Seconds(c.amount < 300 ? 45 : 0); }

    void renew()
    {
        f.renew();
        lease_until = f.now + absl::Seconds(2);
    }

    void set_data_centre_out(bool out)
    {
        f.set_data_centre_out(out);
        lease_until = f.now + absl::Seconds(2);
    }

    void backend_leave()
    {
        f.ledger.remove_backend();
        backend_until = f.now;
    }

    /// Mostly renews the lease; rarely begins to leave, since leaving can't be undone.
    void begin_leaving(const command& c)
    {
        if (c.amount > 50) {
            return renew();
        }
        f.ledger.begin_leaving();
        leaving = true;
    }

    void backend_return(const command& c)
    {
        backend_until = f.now + absl::Milliseconds(c.amount * 10);
        f.ledger.announce_backend(2, backend_until);
    }

    void send(const rpc::start_request& request)
    {
        sent.push_back(request);
        const task_key key{from_message(request.submission()), request.tasks(0).index()};
        const rpc::start_reply reply = f.ledger.start(request, f.now);
        check_status(key, request.tasks(0).attempt(), reply.tasks(0));
    }

    /// Sends an earlier request again, at a later time and possibly from an older view.
    void repeat(const command& c)
    {
        if (!sent.empty()) {
            send(rpc::start_request(sent[c.amount % sent.size()]));
        }
    }

    void send_stale(const command& c)
    {
        rpc::start_request request = f.request(c.task / 2, c.attempt, submission(c));
        request.set_view_number(f.view - 1);
        send(request);
    }

    void revoke(const command& c)
    {
        const task_key key{{"ombili", submission(c)}, c.task / 2};
        check_status(key, c.attempt, f.revoke(key.index, c.attempt, submission(c)));
    }

    void check_status(const task_key& key, std::uint32_t attempt, const rpc::task_status& status)
    {
        const bool ran = starts[key] > 0;
        const bool reported_as_run =
            status.state() == rpc::task_state_started || status.state() == rpc::task_state_finished;
        const bool is_retained = f.now < from_unix_ms(f.deadline_ms()) + absl::Seconds(60);
        RC_ASSERT(!reported_as_run || ran);
        RC_ASSERT(!ran || reported_as_run || !is_retained);
        if (status.state() == rpc::task_state_refused ||
            status.state() == rpc::task_state_revoked) {
            RC_ASSERT(status.attempt() >= attempt || !is_retained);
            reported_not_run[key] = std::max(reported_not_run[key], status.attempt());
        }
    }

    void take(absl::Duration pause)
    {
        std::optional<startable_task> task = f.ledger.take_startable(f.now);
        if (!task) {
            return;
        }
        f.now += pause;
        if (!f.ledger.confirm_start(*task, f.now)) {
            return;
        }
        RC_ASSERT(++starts[task->key] == 1);
        RC_ASSERT(task->attempt > reported_not_run[task->key]);
        started_attempt[task->key] = task->attempt;
        RC_ASSERT(f.now < lease_until);
        RC_ASSERT(f.now < backend_until);
        RC_ASSERT(f.now < from_unix_ms(f.deadline_ms()));
        RC_ASSERT(!f.data_centre_out);
        RC_ASSERT(!leaving);
        running.push_back({task->key, task->attempt});
        RC_ASSERT(running.size() <= 2U);
    }

    void end_task(const command& c, bool finished)
    {
        if (running.empty()) {
            return;
        }
        const auto chosen = running.begin() + c.amount % running.size();
        const auto [key, attempt] = *chosen;
        running.erase(chosen);
        if (finished) {
            RC_ASSERT(f.ledger.finish(key, attempt, f.result_of(c.amount), f.now).has_value());
            return;
        }
        RC_ASSERT(f.ledger.refuse_unsent(key, attempt, rpc::refusal_backend_unavailable, f.now)
                      .has_value());
        --starts[key];
        reported_not_run[key] = std::max(reported_not_run[key], attempt);
    }

    void sweep()
    {
        for (const pending_report& report : f.ledger.sweep(f.now)) {
            RC_ASSERT(report.attempt < started_attempt[report.key] || starts[report.key] == 0);
            reported_not_run[report.key] = std::max(reported_not_run[report.key], report.attempt);
        }
    }

    void check_load()
    {
        std::size_t queued = 0;
        for (const ledger_dump_entry& entry : f.ledger.dump()) {
            queued += entry.summary.state() == rpc::task_state_queued ? 1 : 0;
        }
        RC_ASSERT(f.ledger.load().queued() == queued);
        RC_ASSERT(f.ledger.load().running() == running.size());
    }

    ledger_fixture f;
    absl::Time lease_until{f.now + absl::Seconds(2)};
    absl::Time backend_until{absl::InfiniteFuture()};
    bool leaving{false};
    std::vector<rpc::start_request> sent;
    std::map<task_key, int> starts;
    std::map<task_key, std::uint32_t> started_attempt;
    std::map<task_key, std::uint32_t> reported_not_run;
    std::vector<std::pair<task_key, std::uint32_t>> running;
};

std::ostream& operator<<(std::ostream& stream, const command& c)
{
    return stream << ledger_model::steps()[c.kind].name << "(" << c.task << "," << c.attempt << ","
                  << c.amount << ")";
}

/// At least half of the commands are `start` and `take`.
rc::Gen<command> any_command()
{
    constexpr std::size_t start = 0;
    constexpr std::size_t take = 4;
    const std::size_t kinds = ledger_model::steps().size();
    return rc::gen::map(
        rc::gen::tuple(rc::gen::inRange<std::size_t>(0, kinds * 4), rc::gen::inRange(0U, 6U),
                       rc::gen::inRange(1U, 5U), rc::gen::inRange(0U, 1000U)),
        [kinds](const std::tuple<std::size_t, std::uint32_t, std::uint32_t, std::uint32_t>& drawn) {
            const auto [kind, task, attempt, amount] = drawn;
            const std::size_t frequent = kind % 2 == 0 ? start : take;
            return command{kind >= kinds * 2 ? frequent : kind % kinds, task, attempt, amount};
        });
}

} // namespace

// Guards against a second start of a task, a start whose conditions are not met, and a start after
// the ledger has reported that the task has not run, in any order of messages, pauses and failures.
TEST_CASE("random sequences of messages and failures start no task twice")
{
    const auto property = [] {
        const auto commands =
            *rc::gen::resize(max_commands, rc::gen::container<std::vector<command>>(any_command()));
        ledger_model tested;
        for (const command& c : commands) {
            tested.execute(c);
        }
    };
    for (const std::uint64_t seed : seeds) {
        rc::detail::TestParams params;
        params.seed = seed;
        params.maxSuccess = fuzz_runs(default_runs);
        const rc::detail::TestResult outcome =
            rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
        std::ostringstream text;
        rc::detail::printResultMessage(outcome, text);
        INFO("seed ", seed, ": ", text.str());
        CHECK(outcome.is<rc::detail::SuccessResult>());
    }
}
