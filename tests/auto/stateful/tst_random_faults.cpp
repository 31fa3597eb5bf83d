#include "commands.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <numeric>
#include <sstream>

using namespace carobfall;
using namespace carobfall::stateful;

namespace {

constexpr int default_runs = 300;
constexpr int default_size = 100;
constexpr const char* default_seed = "20261204";

int setting(const char* name, int default_value)
{
    const char* text = std::getenv(name);
    int value = default_value;
    return text != nullptr && absl::SimpleAtoi(text, &value) ? value : default_value;
}

rc::Gen<command> any_command()
{
    std::vector<std::size_t> weights = command_weights();
    std::vector<std::size_t> rows(weights.size());
    std::iota(rows.begin(), rows.end(), 0);
    const rc::Gen<std::size_t> row =
        rc::gen::detail::WeightedElementGen<std::size_t>(std::move(weights), std::move(rows));
    // RapidCheck grows the size during a run; with a small size only the first processes and ids
    // would be selected.
    const auto number = rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 60));
    return rc::gen::build<command>(rc::gen::set(&command::row, row),
                                   rc::gen::set(&command::first, number),
                                   rc::gen::set(&command::second, number));
}

/// Totals of the sequences of a campaign, and the first violation.
struct campaign {
    std::string violation;
    std::size_t starts{0};
    std::size_t complete{0};
    std::size_t settle_timeouts{0};
};

/// Runs one sequence in a new region, up to the first violation. Returns the violation, or an empty
/// string.
std::string run_sequence(rule_removed mutation, int entries, const std::vector<command>& commands,
                         campaign& outcome)
{
    simulated_region region(mutation, entries);
    std::string problem = region.begin() ? "" : "the region did not become healthy";
    for (std::size_t i = 0; i < commands.size() && problem.empty(); ++i) {
        apply(region, commands[i]);
        problem = region.violation();
    }
    if (problem.empty()) {
        const bool recovered = region.recover();
        problem = region.violation();
        problem = problem.empty() && !recovered ? "the region did not recover" : problem;
    }
    outcome.starts += region.checker().total_starts();
    outcome.complete += region.checker().complete_answers();
    outcome.settle_timeouts += region.scheduler().settle_timeouts();
    return problem;
}

/// Removes commands for as long as the shorter sequence still causes a violation.
std::vector<command> shrink(rule_removed mutation, int entries, std::vector<command> commands)
{
    campaign ignored;
    for (std::size_t length = commands.size() / 2; length > 0; length /= 2) {
        for (std::size_t at = 0; at + length <= commands.size();) {
            std::vector<command> shorter = commands;
            const auto first = shorter.begin() + static_cast<std::ptrdiff_t>(at);
            shorter.erase(first, first + static_cast<std::ptrdiff_t>(length));
            if (run_sequence(mutation, entries, shorter, ignored).empty()) {
                at += length;
            } else {
                commands = std::move(shorter);
            }
        }
    }
    return commands;
}

std::string describe(const std::vector<command>& commands)
{
    std::ostringstream text;
    for (const command& value : commands) {
        text << value << ' ';
    }
    return text.str();
}

campaign run_campaign(rule_removed mutation, int runs)
{
    const int size = setting("CAROBFALL_FUZZ_SIZE", default_size);
    const char* seed = std::getenv("CAROBFALL_FUZZ_SEED");
    const std::string parameters = absl::StrCat("seed=", seed == nullptr ? default_seed : seed,
                                                " noshrink=1 max_success=", runs);
    setenv("RC_PARAMS", parameters.c_str(), 1);
    silence_logs();
    campaign outcome;
    int sequence = 0;
    rc::check("region", [&] {
        const int entries = *rc::gen::inRange(2, 6);
        const auto commands = *rc::gen::container<std::vector<command>>(
            static_cast<std::size_t>(size), any_command());
        const std::string problem = run_sequence(mutation, entries, commands, outcome);
        ++sequence;
        if (!problem.empty()) {
            const bool should_shrink = std::getenv("CAROBFALL_FUZZ_SHRINK") != nullptr;
            outcome.violation = absl::StrCat(
                "sequence ", sequence, " of ", entries, " entries: ", problem, "\n",
                describe(should_shrink ? shrink(mutation, entries, commands) : commands));
        }
        RC_ASSERT(problem == "");
    });
    return outcome;
}

struct recorded_sequence {
    int entries;
    const char* commands;
};

/// Shrunk sequences that have violated a rule in the past.
constexpr recorded_sequence recorded_sequences[] = {
    // Reported not_run after a start: the task's records had expired when its coordinator queried
    // them.
    {3, "data_centre_out(48,15) submit(36,54) cut_one_way(40,21) run(17,46) long_wait(2,32) "
        "run(29,46)"},
    // Two entries took over one submission, because its key moved during the first takeover.
    {4, "submit(18,51) step_thread(8,20) kill(6,55) submit(45,35) kill(52,45)"},
};

} // namespace

// Guards against the return of faults that random sequences have found.
TEST_CASE("recorded fault sequences violate no rule")
{
    silence_logs();
    for (const recorded_sequence& found : recorded_sequences) {
        std::istringstream text(found.commands);
        std::vector<command> commands;
        for (command value; text >> value;) {
            commands.push_back(value);
        }
        REQUIRE(text.eof());
        campaign outcome;
        CHECK(run_sequence(rule_removed::none, found.entries, commands, outcome) == "");
        CHECK(outcome.starts > 0);
    }
}

// Guards against an oracle that doesn't detect the violation of a rule. Runs only if
// CAROBFALL_FUZZ_MUTATION is set to the number of a `rule_removed`.
TEST_CASE("random faults reveal a disabled rule")
{
    const int rule = setting("CAROBFALL_FUZZ_MUTATION", 0);
    if (rule == 0) {
        return;
    }
    const campaign outcome =
        run_campaign(static_cast<rule_removed>(rule), setting("CAROBFALL_FUZZ_RUNS", default_runs));
    CHECK(outcome.violation != "");
    MESSAGE(outcome.violation);
}

// Guards against a task that starts twice, a wrong or partial answer, a false `not_run`, starts in
// a data centre that is out, and a configuration that returns to a lower version, under any
// combination of faults; and against a region that doesn't recover from them.
TEST_CASE("no rule is broken under random faults")
{
    const campaign outcome =
        run_campaign(rule_removed::none, setting("CAROBFALL_FUZZ_RUNS", default_runs));
    CHECK(outcome.violation == "");
    // If no task ran, no rule could be violated.
    CHECK(outcome.starts > 0);
    CHECK(outcome.complete > 0);
    MESSAGE("starts: " << outcome.starts << ", complete answers: " << outcome.complete
                       << ", settle timeouts: " << outcome.settle_timeouts);
}
