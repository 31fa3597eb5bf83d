#include "commands.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>

using namespace carobfall;
using namespace carobfall::stateful;

namespace {

constexpr int default_runs = 200;
constexpr int default_size = 100;
constexpr const char* default_seed = "20261204";

int setting(const char* name, int otherwise)
{
    const char* text = std::getenv(name);
    int value = otherwise;
    return text != nullptr && absl::SimpleAtoi(text, &value) ? value : otherwise;
}

rc::Gen<command> any_command()
{
    const auto what = rc::gen::weightedElement<action>({{40, action::run},
                                                        {8, action::step_entry},
                                                        {8, action::step_agent},
                                                        {40, action::step_thread},
                                                        {6, action::take_tasks},
                                                        {30, action::submit},
                                                        {3, action::submit_other_body},
                                                        {6, action::status},
                                                        {3, action::cancel},
                                                        {1, action::cancel_wave},
                                                        {24, action::fault},
                                                        {14, action::deliver_late},
                                                        {2, action::drop_late},
                                                        {5, action::kill},
                                                        {9, action::restart},
                                                        {4, action::pause},
                                                        {7, action::resume},
                                                        {5, action::cut},
                                                        {1, action::isolate},
                                                        {5, action::heal},
                                                        {2, action::restart_agent},
                                                        {3, action::pause_agent},
                                                        {5, action::resume_agent},
                                                        {2, action::backend},
                                                        {3, action::outage},
                                                        {3, action::lose_store_answer},
                                                        {2, action::delay_store},
                                                        {2, action::release_store},
                                                        {3, action::data_centre_out},
                                                        {4, action::data_centre_in},
                                                        {2, action::operators_race},
                                                        {2, action::wait}});
    return rc::gen::build<command>(rc::gen::set(&command::what, what),
                                   rc::gen::set(&command::first, rc::gen::inRange(0, 60)),
                                   rc::gen::set(&command::second, rc::gen::inRange(0, 60)));
}

/// Outcome of a campaign: what the sequences reached, and whether all rules held.
struct campaign {
    bool passed{false};
    std::size_t starts{0};
    std::size_t complete{0};
    std::size_t unsettled{0};
};

campaign run_campaign(rule_removed mutation)
{
    const int size = setting("CAROBFALL_FUZZ_SIZE", default_size);
    const char* seed = std::getenv("CAROBFALL_FUZZ_SEED");
    setenv("RC_PARAMS",
           absl::StrCat("seed=", seed == nullptr ? default_seed : seed,
                        " max_success=", setting("CAROBFALL_FUZZ_RUNS", default_runs))
               .c_str(),
           1);
    silence_logs();
    campaign outcome;
    outcome.passed = rc::check("region", [&] {
        const auto commands = *rc::gen::container<std::vector<command>>(
            static_cast<std::size_t>(size), any_command());
        world region(mutation);
        RC_ASSERT(region.begin());
        for (const command& step : commands) {
            apply(region, step);
            RC_ASSERT(region.violation() == "");
        }
        const bool recovered = region.recover();
        RC_ASSERT(region.violation() == "");
        RC_ASSERT(recovered);
        outcome.starts += region.facts().total_starts();
        outcome.complete += region.facts().complete_answers();
        outcome.unsettled += region.turns().unsettled();
    });
    return outcome;
}

} // namespace

// Guards against a task that starts twice, a wrong or partial answer, an untrue `not_run`, starts
// in a data centre that is out, and a configuration that goes back, under any combination of
// faults; and against a region that doesn't recover from them.
TEST_CASE("no rule is broken under random faults")
{
    const campaign outcome = run_campaign(rule_removed::none);
    CHECK(outcome.passed);
    // The rules mean little unless work was done.
    CHECK(outcome.starts > 0);
    CHECK(outcome.complete > 0);
    MESSAGE("starts: " << outcome.starts << ", complete answers: " << outcome.complete
                       << ", unsettled: " << outcome.unsettled);
}
