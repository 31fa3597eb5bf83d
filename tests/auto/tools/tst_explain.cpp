#include "carobfall/explain_command.h"
#include "carobfall/request_explanation.h"

#include <doctest/doctest.h>

#include <sstream>
#include <string>

using namespace carobfall::tool;

namespace {

const std::string id = "00000000000000aa";

request_explanation explanation_of(const std::string& text)
{
    std::istringstream input(text);
    log_reader reader;
    reader.read(input);
    return explain_request(reader.lines(), id);
}

constexpr const char* overloaded =
    "t=10 n=1 event=started store=10.0.0.1 process=edge-1 data_centre=mapo\n"
    "t=20 n=2 event=job_refused job=00000000000000aa wait_ms=92 slack_ms=158 usable_agents=8 "
    "knowledge_ms=82 process=edge-1 data_centre=mapo\n"
    "t=20 n=3 event=job_answered job=00000000000000aa outcome=not_run reason=overloaded took_ms=0 "
    "objective_ms=376 expected_ms=197 process=edge-1 data_centre=mapo\n";

// The agents' lines come first, and the clocks of the processes are unrelated.
constexpr const char* lost_worker =
    "t=900001 n=1 event=start_ordered job=00000000000000aa task=0 run=1 waited_ms=3 answer_ms=1 "
    "outcome=started process=side-1 data_centre=mapo\n"
    "t=900050 n=2 event=task_ended job=00000000000000aa task=0 attempt=1 kind=task_ended "
    "reason=worker_gone run_ms=0 process=side-1 data_centre=mapo\n"
    "t=500 n=1 event=start_ordered job=00000000000000aa task=0 run=2 waited_ms=0 answer_ms=1 "
    "outcome=started process=side-2 data_centre=guro\n"
    "t=700 n=2 event=task_ended job=00000000000000aa task=0 attempt=2 kind=task_done reason=done "
    "run_ms=190 process=side-2 data_centre=guro\n"
    "t=40 n=7 event=tasks_placed job=00000000000000aa agents=side-1:1 process=edge-1 "
    "data_centre=mapo\n"
    "t=95 n=8 event=task_returned job=00000000000000aa task=0 attempt=1 agent=side-1 "
    "kind=task_ended reason=worker_gone process=edge-1 data_centre=mapo\n"
    "t=96 n=9 event=tasks_placed job=00000000000000aa agents=side-2:1 process=edge-1 "
    "data_centre=mapo\n"
    "t=420 n=10 event=job_answered job=00000000000000aa outcome=succeeded reason=done took_ms=400 "
    "objective_ms=360 expected_ms=180 process=edge-1 data_centre=mapo\n";

constexpr const char* lost_entry =
    "t=40 n=7 event=tasks_placed job=00000000000000aa agents=side-1:1 process=edge-1 "
    "data_centre=mapo\n"
    "t=500 n=1 event=start_ordered job=00000000000000aa task=0 run=1 waited_ms=0 answer_ms=1 "
    "outcome=started process=side-1 data_centre=guro\n"
    "t=600 n=2 event=stop_ordered job=00000000000000aa task=0 run=1 reason=entry_lost "
    "process=side-1 data_centre=guro\n"
    "t=3 n=1 event=started store=10.0.0.1 process=edge-1 data_centre=mapo\n";

} // namespace

TEST_CASE("the cause of a refusal under load has the expected wait, the slack and the workers")
{
    const request_explanation explanation = explanation_of(overloaded);
    CHECK(explanation.lines.size() == 2);
    CHECK(explanation.outcome == "refused, not run");
    CHECK(explanation.cause ==
          "the last of its tasks would have waited 92 ms with 158 ms to spare: too "
          "much work for the 8 usable workers known to edge-1");
}

// Guards against ordering by the timestamps of processes, whose clocks are unrelated.
TEST_CASE("lines of several processes are in the order of cause and effect")
{
    const request_explanation explanation = explanation_of(lost_worker);
    std::vector<std::string> order;
    for (const log_line& line : explanation.lines) {
        order.push_back(line.process + " " + line.event);
    }
    CHECK(order == std::vector<std::string>{"edge-1 tasks_placed", "side-1 start_ordered",
                                            "side-1 task_ended", "edge-1 task_returned",
                                            "edge-1 tasks_placed", "side-2 start_ordered",
                                            "side-2 task_ended", "edge-1 job_answered"});
    CHECK(explanation.outcome == "succeeded late");
    CHECK(explanation.cause.find("(worker_gone) from side-1") != std::string::npos);
}

TEST_CASE("a request without an answer names the entry that ended")
{
    const request_explanation explanation = explanation_of(lost_entry);
    CHECK(explanation.outcome == "no answer");
    CHECK(explanation.cause == "its entry edge-1 ended without notice and was started again");
}

// Guards against a cause without the agent: a paused or unreachable agent logs nothing about its
// tasks.
TEST_CASE("a request whose agent was lost names the agent and how long it was silent")
{
    const request_explanation explanation = explanation_of(
        "t=1 n=1 event=agent_lost agent=side-1 reason=connection_ended last_heard_ms_ago=9 "
        "process=edge-1\n"
        "t=2 n=2 event=tasks_placed job=00000000000000aa agents=side-1:1,side-3:1 process=edge-1\n"
        "t=3 n=3 event=agent_lost agent=side-2 reason=silent last_heard_ms_ago=510 process=edge-1\n"
        "t=4 n=4 event=agent_lost agent=side-3 reason=silent last_heard_ms_ago=520 process=edge-1\n"
        "t=5 n=5 event=job_answered job=00000000000000aa outcome=unknown reason=agent_lost "
        "took_ms=522 objective_ms=156 expected_ms=60 process=edge-1\n"
        "t=6 n=6 event=agent_lost agent=side-1 reason=silent last_heard_ms_ago=530 "
        "process=edge-1\n");
    CHECK(explanation.outcome == "given up, may have run");
    CHECK(explanation.cause ==
          "agent_lost; the entry lost side-3 (silent, last heard 520 ms before)");
}

// Guards against a reason without numbers for a request with hardly any time left.
TEST_CASE("a refusal for lack of time names the caller's time and the run time")
{
    const request_explanation explanation = explanation_of(
        "t=1 n=1 event=job_answered job=00000000000000aa outcome=not_run reason=time_over "
        "expected_ms=183 limit_ms=14 took_ms=0 objective_ms=352 process=edge-1\n");
    CHECK(explanation.outcome == "refused, not run");
    CHECK(explanation.cause == "its caller waited for 14 ms only, and its tasks take about 183 ms");
}

TEST_CASE("a late answer names the task that waited longest")
{
    const request_explanation explanation = explanation_of(
        "t=1 n=1 event=tasks_placed job=00000000000000aa agents=side-1:2 process=edge-1\n"
        "t=5 n=1 event=start_ordered job=00000000000000aa task=0 waited_ms=2 process=side-1\n"
        "t=6 n=2 event=start_ordered job=00000000000000aa task=1 waited_ms=250 process=side-1\n"
        "t=7 n=3 event=task_ended job=00000000000000aa task=1 kind=task_done run_ms=61 "
        "process=side-1\n"
        "t=9 n=2 event=job_answered job=00000000000000aa outcome=succeeded took_ms=320 "
        "objective_ms=156 expected_ms=60 process=edge-1\n");
    CHECK(explanation.cause == "took 320 ms for 156; task 1 waited 250 ms for room at side-1");
}

// Guards against a reader that stops at unstructured text or hides missing lines.
TEST_CASE("unstructured text is skipped and dropped lines are counted")
{
    std::istringstream input(
        "   12.5 edge-1 t=7 n=1 event=started process=edge-1\nnonsense\nt=\nt=x n=1 event=a\n"
        "t=8 n=4 event=request_refused job=/path/00000000000000aa status=404 reason=no_route "
        "configuration=8 text=\"two words\" process=edge-1\n");
    log_reader reader;
    reader.read(input);
    REQUIRE(reader.lines().size() == 2);
    CHECK(reader.missing_lines() == 2);
    CHECK(reader.lines()[1].text("text") == "two words");
    const request_explanation explanation = explain_request(reader.lines(), id);
    CHECK(explanation.outcome == "refused with status 404");
    CHECK(explanation.cause == "no_route at edge-1, which held configuration 8");
}

TEST_CASE("the command prints the cause last, and a remedy if no line names the request")
{
    std::istringstream input(overloaded);
    std::ostringstream out;
    std::ostringstream errors;
    CHECK(explain({id, {}, false}, input, out, errors) == exit_code::ok);
    CHECK(out.str().find("cause: the last of its tasks") != std::string::npos);
    std::istringstream again(overloaded);
    CHECK(explain({"00000000000000bb", {}, true}, again, out, errors) == exit_code::invalid_input);
    CHECK(errors.str().find("none of 3 lines names the request") != std::string::npos);
    CHECK(explain({id, {"/nonexistent/log"}, false}, again, out, errors) ==
          exit_code::invalid_input);
}
