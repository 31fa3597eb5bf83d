#include "../support/fuzz.h"
#include "submission_model.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <utility>
#include <vector>

using namespace carobfall;
using namespace carobfall::test;
using namespace carobfall::testing;

namespace {

/// A healthy region in which every entry knows every agent.
struct fuzz_run {
    explicit fuzz_run(int entry_count) : region(entry_count, 3), model(region)
    {
        region.run(12);
        for (int i = 0; i < entry_count; ++i) {
            for (int agent = 0; agent < 3; ++agent) {
                model.register_agent(agent, i);
            }
        }
    }

    [[nodiscard]] int entry_count() const { return static_cast<int>(region.entries.size()); }
    simulated_agent& agent(int number)
    {
        return region.agents[static_cast<std::size_t>(number % 3)];
    }
    void restart(int index)
    {
        const auto& entry = region.entries[static_cast<std::size_t>(index)];
        if (entry == nullptr || entry->superseded) {
            region.start(index);
        }
    }
    void recover();

    region_simulation region;
    submission_model model;
};

enum class condition { none, entry_exists, entry_runs };

/// `entry` is the entry that the first number of an event names.
struct action {
    std::size_t weight;
    const char* name;
    condition needs;
    void (*apply)(fuzz_run& run, int entry, int first, int second);
};

const std::vector<action>& actions()
{
    using enum condition;
    constexpr static int deadlines_s[] = {5, 30, 120, 299};
    static const std::vector<action> table{
        {30, "round", none, [](fuzz_run& r, int, int, int n) { r.region.run(1 + n % 4); }},
        {12, "step", entry_runs, [](fuzz_run& r, int entry, int, int) { r.region.step(entry); }},
        {2, "wait", none,
         [](fuzz_run& r, int, int, int n) { r.region.now += absl::Seconds(n * 4); }},
        {30, "submit", entry_runs,
         [](fuzz_run& r, int entry, int, int n) {
             r.model.submit(entry, n % 6, absl::Seconds(deadlines_s[n % 4]));
         }},
        {25, "start", none,
         [](fuzz_run& r, int, int first, int n) { r.model.deliver_start(first, n % 3); }},
        {12, "register", entry_runs,
         [](fuzz_run& r, int entry, int, int n) { r.model.register_agent(n % 3, entry); }},
        {5, "cut", none,
         [](fuzz_run& r, int entry, int, int n) {
             if (entry != n % r.entry_count()) {
                 r.region.cut(entry, n % r.entry_count());
             }
         }},
        {4, "heal", none, [](fuzz_run& r, int, int, int) { r.region.cuts.clear(); }},
        {4, "kill", entry_exists, [](fuzz_run& r, int entry, int, int) { r.region.kill(entry); }},
        {6, "restart", none, [](fuzz_run& r, int entry, int, int) { r.restart(entry); }},
        {3, "pause", entry_exists,
         [](fuzz_run& r, int entry, int, int) { r.region.at(entry).paused = true; }},
        {4, "resume", entry_exists,
         [](fuzz_run& r, int entry, int, int) { r.region.at(entry).paused = false; }},
        {2, "outage", none,
         [](fuzz_run& r, int, int, int) { r.region.table.set_outage(!r.region.table.outage()); }},
        {3, "lose_commit", none,
         [](fuzz_run& r, int, int, int) { r.region.table.lose_answers(1); }},
        {4, "lose_requests", none,
         [](fuzz_run& r, int, int, int n) { r.region.lost_requests = 1 + n % 5; }},
        {4, "lose_replies", none,
         [](fuzz_run& r, int, int, int n) { r.region.lost_replies = 1 + n % 5; }},
        {2, "refuse", none,
         [](fuzz_run& r, int, int, int) { r.region.hosts_refuse = !r.region.hosts_refuse; }},
        {2, "restart_agent", none,
         [](fuzz_run& r, int, int, int n) { r.region.restart_agent(n % 3); }},
        {3, "hide_agent", none,
         [](fuzz_run& r, int, int, int n) { r.agent(n).reachable = !r.agent(n).reachable; }},
    };
    return table;
}

struct event {
    std::size_t what;
    int first;
    int second;
};

std::ostream& operator<<(std::ostream& stream, const event& happened)
{
    return stream << actions()[happened.what].name << ":" << happened.first << ":"
                  << happened.second;
}

rc::Gen<event> any_event()
{
    std::vector<std::size_t> weights;
    std::vector<std::size_t> rows;
    for (const action& row : actions()) {
        weights.push_back(row.weight);
        rows.push_back(rows.size());
    }
    const rc::Gen<std::size_t> what =
        rc::gen::detail::WeightedElementGen<std::size_t>(std::move(weights), std::move(rows));
    const auto number = rc::gen::noShrink(rc::gen::inRange(0, 60));
    return rc::gen::build<event>(rc::gen::set(&event::what, what),
                                 rc::gen::set(&event::first, number),
                                 rc::gen::set(&event::second, number));
}

void apply(fuzz_run& run, const event& happened)
{
    const action& row = actions()[happened.what];
    const int index = happened.first % run.entry_count();
    const auto& entry = run.region.entries[static_cast<std::size_t>(index)];
    if ((row.needs != condition::none && entry == nullptr) ||
        (row.needs == condition::entry_runs && entry->paused)) {
        return;
    }
    row.apply(run, index, happened.first, happened.second);
}

// Ends all faults and gives the region time to come together again.
void fuzz_run::recover()
{
    region.cuts.clear();
    region.hosts_refuse = true;
    region.table.set_outage(false);
    region.table.lose_answers(0);
    region.lost_requests = 0;
    region.lost_replies = 0;
    for (int attempt = 0; attempt < 6; ++attempt) {
        for (int i = 0; i < entry_count(); ++i) {
            restart(i);
            region.at(i).paused = false;
        }
        region.run(20);
    }
    for (int i = 0; i < 3; ++i) {
        agent(i).reachable = true;
        model.register_agent(i, 0);
    }
    region.now += max_deadline + record_retention + absl::Seconds(10);
    region.run(4);
}

} // namespace

// Guards against a submission that two entries start, or that an entry takes for new although it
// has been started, under any combination of faults, and against a region that doesn't recover.
TEST_CASE("random faults never start a submission twice, and the region recovers")
{
    configure_rapidcheck(200);
    silence_logs();
    std::size_t started = 0;
    const bool passed = rc::check("region", [&] {
        fuzz_run run(*rc::gen::inRange(2, 6));
        const auto events = *rc::gen::container<std::vector<event>>(any_event());
        for (const event& happened : events) {
            apply(run, happened);
            RC_ASSERT(run.model.violation() == "");
        }
        started += run.model.started();
        run.recover();
        RC_ASSERT(run.model.violation() == "");
        const std::uint64_t number = run.region.view_at(0).view.number();
        for (int i = 0; i < run.entry_count(); ++i) {
            const ownership_snapshot snapshot = run.region.view_at(i);
            RC_ASSERT(snapshot.usable());
            RC_ASSERT(snapshot.complete);
            RC_ASSERT(snapshot.view.number() == number);
        }
    });
    CHECK(passed);
    // The property means little unless submissions were started.
    CHECK(started > 0);
    MESSAGE("submissions started: " << started);
}
