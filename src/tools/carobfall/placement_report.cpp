#include "placement_report.h"

#include "command_context.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace carobfall::tool {

using nlohmann::json;

namespace {

constexpr double millicores = 1000;
constexpr double percent = 100;
// Names that are printed of the agents with the same obstacle.
constexpr std::size_t max_names = 5;

/// Returns the object or array member, or JSON null.
const json& member(const json& object, const char* key)
{
    static const json none;
    const auto found = object.is_object() ? object.find(key) : object.end();
    return object.is_object() && found != object.end() && found->is_structured() ? *found : none;
}

/// Returns the number with at most one decimal.
std::string number_of(const json& object, const char* key, double scale = 1)
{
    const auto found = object.is_object() ? object.find(key) : object.end();
    if (!object.is_object() || found == object.end() || !found->is_number()) {
        return "-";
    }
    std::string text = absl::StrFormat("%.1f", found->get<double>() * scale);
    if (text.ends_with(".0")) {
        text.resize(text.size() - 2);
    }
    return text;
}

std::string name_in(const json& object, const char* key)
{
    const std::string text = object.is_object() ? text_of(object, key) : "";
    return text.empty() || text == "null" ? "-" : text;
}

bool is_true(const json& object, const char* key)
{
    return object.is_object() && object.contains(key) && object[key] == true;
}

/// Returns the number of agents with this obstacle, "none" for candidates.
std::size_t total_of(const json& document, const std::string& obstacle)
{
    const json& totals = member(document, "totals");
    const auto found = totals.is_object() ? totals.find(obstacle) : totals.end();
    return found != totals.end() && found->is_number_unsigned() ? found->get<std::size_t>() : 0;
}

void print_job(const json& document, std::ostream& out)
{
    const json& job = member(document, "job");
    out << "job: " << number_of(job, "tasks") << " tasks of route " << name_in(document, "route")
        << ", each " << number_of(job, "cpu_millicores", 1 / millicores) << " cores and "
        << number_of(job, "memory_mib") << " MiB, expected run "
        << number_of(job, "expected_run_ms") << " ms (declared "
        << number_of(job, "declared_run_ms") << " ms)\n";
    const json& deadlines = member(document, "deadlines");
    out << "deadlines: start by " << number_of(deadlines, "start_by_ms") << " ms for the objective "
        << number_of(deadlines, "objective_ms") << " ms, at the latest by "
        << number_of(deadlines, "late_start_by_ms") << " ms; the caller waits "
        << number_of(deadlines, "give_up_ms") << " ms\n";
}

void print_admission(const json& admission, std::ostream& out)
{
    const bool admitted = is_true(admission, "admitted");
    out << "admission: " << (admitted ? "admitted" : "refused") << " ("
        << name_in(admission, "reason") << "), expected wait "
        << number_of(admission, "expected_wait_ms") << " ms, admitted up to "
        << number_of(admission, "admitted_wait_ms") << " ms with a queue "
        << number_of(admission, "queued_for_ms") << " ms old";
    if (!admitted) {
        out << (is_true(admission, "can_end_in_time") ? "" : ", can't end in time")
            << ", retry after " << number_of(admission, "retry_after_ms") << " ms";
    }
    out << "\n";
}

void print_choice(const json& document, std::ostream& out)
{
    std::map<std::string, std::size_t> choice;
    for (const json& task : member(document, "placement")) {
        ++choice[name_in(task, "agent")];
    }
    out << "choice: "
        << (choice.empty() ? "none" : absl::StrJoin(choice, ", ", absl::PairFormatter(": ")))
        << "\n";
    const json& knowledge = member(document, "knowledge");
    out << "knowledge: reports are " << number_of(knowledge, "newest_ms") << " to "
        << number_of(knowledge, "oldest_ms") << " ms old\n";
}

std::string data_of(const json& document, const json& candidate)
{
    if (name_in(member(document, "job"), "data_rack") == "-") {
        return "-";
    }
    return is_true(candidate, "near_data") ? "near" : "away";
}

void print_candidates(const json& document, std::ostream& out)
{
    const json& candidates = member(document, "candidates");
    std::vector<std::vector<std::string>> table{
        {"agent", "rack", "data", "tasks", "wait ms", "slowness", "late ms", "failed %",
         "interrupted / 1000 s", "free cores", "report ms", "then"}};
    for (const json& candidate : candidates) {
        table.push_back(
            {name_in(candidate, "agent"), name_in(candidate, "rack"), data_of(document, candidate),
             number_of(candidate, "tasks"), number_of(candidate, "wait_ms"),
             number_of(candidate, "slowness"), number_of(candidate, "lateness_ms"),
             number_of(candidate, "failure_share", percent),
             number_of(candidate, "interruptions_per_1000_s"),
             number_of(candidate, "free_millicores", 1 / millicores),
             number_of(candidate, "report_age_ms"), name_in(candidate, "obstacle_afterwards")});
    }
    if (table.size() > 1) {
        print_table(out, table);
    }
    const std::size_t total = total_of(document, "none");
    if (total > candidates.size()) {
        out << "and " << total - candidates.size() << " more candidates (see --rows)\n";
    }
}

void print_passed_over(const json& document, std::ostream& out)
{
    std::map<std::string, std::vector<std::string>> names_by_obstacle;
    std::set<std::string> centres_out;
    for (const json& agent : member(document, "passed_over")) {
        names_by_obstacle[name_in(agent, "obstacle")].push_back(name_in(agent, "agent"));
        if (is_true(agent, "data_centre_out")) {
            centres_out.insert(name_in(agent, "data_centre"));
        }
    }
    for (auto& [obstacle, names] : names_by_obstacle) {
        const std::size_t total = std::max(total_of(document, obstacle), names.size());
        names.resize(std::min(names.size(), max_names));
        out << "passed over (" << obstacle << "): " << total << ": " << absl::StrJoin(names, ", ");
        if (total > names.size()) {
            out << " and " << total - names.size() << " more";
        }
        out << "\n";
    }
    if (!centres_out.empty()) {
        out << "data centres out of service: " << absl::StrJoin(centres_out, ", ") << "\n";
    }
}

} // namespace

void print_placement(const std::string& address, const json& document, std::ostream& out)
{
    out << "entry " << name_in(document, "entry") << " at " << address << ", configuration "
        << name_in(document, "configuration")
        << (is_true(document, "ready") ? "" : ", not ready for callers") << "\n";
    print_job(document, out);
    print_admission(member(document, "admission"), out);
    print_choice(document, out);
    print_candidates(document, out);
    print_passed_over(document, out);
}

} // namespace carobfall::tool
