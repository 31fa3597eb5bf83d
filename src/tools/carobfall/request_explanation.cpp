#include "request_explanation.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <set>
#include <utility>

namespace carobfall::tool {
namespace {

/// Splits `key=value` pairs at spaces; a value in quotes may hold spaces.
std::map<std::string, std::string> parse_fields(std::string_view text)
{
    std::map<std::string, std::string> fields;
    while (!text.empty()) {
        const std::size_t begin = text.find_first_not_of(' ');
        const std::size_t equals = text.find('=');
        if (begin == std::string_view::npos || equals == std::string_view::npos || equals < begin) {
            break;
        }
        const std::string key(text.substr(begin, equals - begin));
        text.remove_prefix(equals + 1);
        const bool quoted = !text.empty() && text.front() == '"';
        const std::size_t end = quoted ? text.find('"', 1) : text.find(' ');
        const std::string_view value = text.substr(quoted ? 1 : 0, quoted ? end - 1 : end);
        fields.insert_or_assign(key, std::string(value));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return fields;
}

std::string extract_field(std::map<std::string, std::string>& fields, const char* key)
{
    const auto node = fields.extract(key);
    return node.empty() ? "" : node.mapped();
}

std::optional<log_line> parse_line(std::string_view text)
{
    const std::size_t begin = text.find("t=");
    if (begin == std::string_view::npos || (begin > 0 && text[begin - 1] != ' ')) {
        return std::nullopt;
    }
    log_line line;
    line.fields = parse_fields(text.substr(begin));
    line.process = extract_field(line.fields, "process");
    line.event = extract_field(line.fields, "event");
    const bool numbered = absl::SimpleAtoi(extract_field(line.fields, "n"), &line.number) &&
                          absl::SimpleAtoi(extract_field(line.fields, "t"), &line.time_ms);
    if (!numbered || line.process.empty() || line.event.empty()) {
        return std::nullopt;
    }
    return line;
}

bool concerns(const log_line& line, std::string_view id)
{
    const auto job = line.fields.find("job");
    // For a refused request, the field `job` holds the request path, which ends with the id.
    return job != line.fields.end() && (job->second == id || job->second.ends_with(id));
}

/// Whether `first` is a cause of `second`. Both are lines of one request in different processes.
bool is_cause(const log_line& first, const log_line& second)
{
    const bool same_task = first.text("task") == second.text("task") && !first.text("task").empty();
    if (first.event == "tasks_placed") {
        return second.event == "start_ordered" &&
               absl::StrCat(",", first.text("agents"))
                       .find(absl::StrCat(",", second.process, ":")) != std::string::npos;
    }
    if (first.event == "task_ended") {
        const bool returned = second.event == "task_returned" && same_task &&
                              second.text("attempt") == first.text("attempt") &&
                              second.text("agent") == first.process;
        const bool answered = second.event == "job_answered" &&
                              second.text("outcome") == "succeeded" &&
                              first.text("kind") == "task_done";
        return returned || answered;
    }
    return false;
}

/// Sorts the lines topologically, so that every cause precedes its effects. Lines that could both
/// come next keep the order of the logs.
std::vector<log_line> in_causal_order(const std::vector<log_line>& lines)
{
    std::vector<std::size_t> causes_left(lines.size());
    std::vector<std::vector<std::size_t>> effects(lines.size());
    const auto add = [&](std::size_t first, std::size_t second) {
        effects[first].push_back(second);
        ++causes_left[second];
    };
    for (std::size_t i = 0; i < lines.size(); ++i) {
        bool next_found = false;
        for (std::size_t j = 0; j < lines.size(); ++j) {
            if (lines[i].process != lines[j].process) {
                if (is_cause(lines[i], lines[j])) {
                    add(i, j);
                }
            } else if (j > i && !std::exchange(next_found, true)) {
                add(i, j);
            }
        }
    }
    std::vector<log_line> ordered;
    std::set<std::size_t> ready;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        if (causes_left[i] == 0) {
            ready.insert(i);
        }
    }
    while (!ready.empty()) {
        const std::size_t next = *ready.begin();
        ready.erase(ready.begin());
        ordered.push_back(lines[next]);
        for (const std::size_t effect : effects[next]) {
            if (--causes_left[effect] == 0) {
                ready.insert(effect);
            }
        }
    }
    // The causes form a cycle if lines contradict each other, as those of two requests with one id.
    return ordered.size() == lines.size() ? ordered : lines;
}

const log_line* last_event(const std::vector<log_line>& lines, std::string_view event)
{
    const auto found = std::find_if(lines.rbegin(), lines.rend(),
                                    [&](const log_line& line) { return line.event == event; });
    return found == lines.rend() ? nullptr : &*found;
}

/// Names the most frequent reason for which agents returned tasks early, and these agents.
std::string lost_tasks(const std::vector<log_line>& lines)
{
    std::map<std::string, std::set<std::string>> agents_by_reason;
    std::map<std::string, std::size_t> tasks_by_reason;
    for (const log_line& line : lines) {
        const bool agent_side = line.event == "task_ended" && line.text("kind") != "task_done";
        if (agent_side && line.text("reason") != "withdrawn" && line.text("reason") != "stopped") {
            agents_by_reason[line.text("reason")].insert(line.process);
            ++tasks_by_reason[line.text("reason")];
        }
    }
    const auto most = std::max_element(
        tasks_by_reason.begin(), tasks_by_reason.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    if (most == tasks_by_reason.end()) {
        return "";
    }
    return absl::StrCat(most->second, " of its tasks came back (", most->first, ") from ",
                        absl::StrJoin(agents_by_reason[most->first], ", "));
}

/// Agents that the entry lost while they had tasks of the request. A lost agent may have logged
/// nothing about its tasks.
std::string lost_agents(const std::vector<log_line>& all, const std::vector<log_line>& lines,
                        const log_line& answer)
{
    std::vector<std::string> losses;
    for (const log_line& line : all) {
        const bool same_incarnation =
            line.process == answer.process && line.incarnation == answer.incarnation;
        if (!same_incarnation || line.event != "agent_lost" || line.number > answer.number) {
            continue;
        }
        const bool waited_for = std::any_of(lines.begin(), lines.end(), [&](const log_line& own) {
            return own.event == "tasks_placed" && own.process == answer.process &&
                   own.number < line.number &&
                   absl::StrContains(absl::StrCat(",", own.text("agents")),
                                     absl::StrCat(",", line.text("agent"), ":"));
        });
        if (waited_for) {
            losses.push_back(absl::StrCat(line.text("agent"), " (", line.text("reason"),
                                          ", last heard ", line.text("last_heard_ms_ago"),
                                          " ms before)"));
        }
    }
    return losses.empty() ? "" : absl::StrCat("the entry lost ", absl::StrJoin(losses, ", "));
}

/// Names the task that waited longest, or the longest run if it delayed the response more.
std::string slowest_task(const std::vector<log_line>& lines, std::int64_t expected_ms)
{
    const log_line* waited = nullptr;
    const log_line* ran = nullptr;
    for (const log_line& line : lines) {
        if (line.event == "start_ordered" &&
            (waited == nullptr || line.integer("waited_ms") > waited->integer("waited_ms"))) {
            waited = &line;
        }
        if (line.event == "task_ended" &&
            (ran == nullptr || line.integer("run_ms") > ran->integer("run_ms"))) {
            ran = &line;
        }
    }
    const std::int64_t wait_ms = waited == nullptr ? 0 : waited->integer("waited_ms");
    const std::int64_t run_ms = ran == nullptr ? 0 : ran->integer("run_ms");
    if (wait_ms == 0 && run_ms == 0) {
        return "";
    }
    if (wait_ms >= run_ms - expected_ms) {
        return absl::StrCat("task ", waited->text("task"), " waited ", wait_ms, " ms for room at ",
                            waited->process);
    }
    return absl::StrCat("task ", ran->text("task"), " ran ", run_ms, " ms at ", ran->process,
                        " where ", expected_ms, " ms were expected");
}

std::string join_causes(const std::string& first, const std::string& second)
{
    return absl::StrCat(first, first.empty() || second.empty() ? "" : "; ", second);
}

void explain_refusal(const log_line& answer, request_explanation& explanation)
{
    explanation.outcome = "refused, not run";
    const log_line* refusal = last_event(explanation.lines, "job_refused");
    if (answer.text("reason") == "overloaded" && refusal != nullptr) {
        explanation.cause = absl::StrCat(
            "the last of its tasks would have waited ", refusal->text("wait_ms"), " ms with ",
            refusal->text("slack_ms"), " ms to spare: too much work for the ",
            refusal->text("usable_agents"), " usable workers known to ", refusal->process);
        return;
    }
    if (answer.text("reason") == "no_worker") {
        explanation.cause = absl::StrCat(answer.process, " knew no worker that may run the tasks");
        return;
    }
    if (answer.integer("limit_ms") < answer.integer("expected_ms")) {
        explanation.cause =
            absl::StrCat("its caller waited for ", answer.text("limit_ms"),
                         " ms only, and its tasks take about ", answer.text("expected_ms"), " ms");
        return;
    }
    explanation.cause = join_causes(answer.text("reason"), lost_tasks(explanation.lines));
}

void explain_answer(const std::vector<log_line>& all, const log_line& answer,
                    request_explanation& explanation)
{
    const std::string outcome = answer.text("outcome");
    const bool late = answer.integer("took_ms") > answer.integer("objective_ms");
    if (outcome == "not_run") {
        explain_refusal(answer, explanation);
        return;
    }
    const std::string details =
        join_causes(lost_tasks(explanation.lines),
                    slowest_task(explanation.lines, answer.integer("expected_ms")));
    if (outcome == "succeeded") {
        explanation.outcome = late ? "succeeded late" : "succeeded";
        explanation.cause = late
                                ? join_causes(absl::StrCat("took ", answer.text("took_ms"),
                                                           " ms for ", answer.text("objective_ms")),
                                              details)
                                : "all tasks ended in time";
        return;
    }
    explanation.outcome = outcome == "failed" ? "failed" : "given up, may have run";
    explanation.cause = join_causes(
        answer.text("reason"), join_causes(lost_agents(all, explanation.lines, answer), details));
}

/// State of the entry of a request without an answer: stopped, restarted or lost.
std::string lost_entry(const std::vector<log_line>& all, const std::vector<log_line>& lines)
{
    const auto placed = std::find_if(lines.begin(), lines.end(), [](const log_line& line) {
        return line.event == "tasks_placed";
    });
    if (placed == lines.end()) {
        return "no line of its entry is among the logs";
    }
    const bool started_again = std::any_of(all.begin(), all.end(), [&](const log_line& line) {
        return line.process == placed->process && line.incarnation > placed->incarnation;
    });
    const bool stopped = std::any_of(all.begin(), all.end(), [&](const log_line& line) {
        return line.process == placed->process && line.incarnation == placed->incarnation &&
               line.event == "stopping";
    });
    if (stopped) {
        return absl::StrCat("its entry ", placed->process, " was told to stop and ended before");
    }
    return absl::StrCat("its entry ", placed->process,
                        started_again
                            ? " ended without notice and was started again"
                            : " has written no answer: it was cut off, stopped or killed");
}

} // namespace

std::string log_line::text(std::string_view field) const
{
    const auto found = fields.find(std::string(field));
    return found == fields.end() ? "" : found->second;
}

std::int64_t log_line::integer(std::string_view field) const
{
    std::int64_t value = 0;
    return absl::SimpleAtoi(text(field), &value) ? value : 0;
}

void log_reader::read(std::istream& input)
{
    for (std::string text; std::getline(input, text);) {
        std::optional<log_line> line = parse_line(text);
        if (!line) {
            continue;
        }
        const auto last = last_.find(line->process);
        if (last != last_.end()) {
            const bool restarted = line->number <= last->second.number;
            line->incarnation = last->second.incarnation + (restarted ? 1 : 0);
            missing_ += restarted ? 0 : line->number - last->second.number - 1;
        }
        last_[line->process] = *line;
        lines_.push_back(std::move(*line));
    }
}

request_explanation explain_request(const std::vector<log_line>& lines, std::string_view id)
{
    request_explanation explanation;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(explanation.lines),
                 [id](const log_line& line) { return concerns(line, id); });
    explanation.lines = in_causal_order(explanation.lines);
    if (explanation.lines.empty()) {
        return explanation;
    }
    if (const log_line* answer = last_event(explanation.lines, "job_answered")) {
        explain_answer(lines, *answer, explanation);
    } else if (const log_line* refusal = last_event(explanation.lines, "request_refused")) {
        explanation.outcome = absl::StrCat("refused with status ", refusal->text("status"));
        explanation.cause =
            absl::StrCat(refusal->text("reason"), " at ", refusal->process,
                         ", which held configuration ", refusal->text("configuration"));
    } else {
        explanation.outcome = "no answer";
        explanation.cause = lost_entry(lines, explanation.lines);
    }
    return explanation;
}

} // namespace carobfall::tool
