#include "overview_command.h"

#include "carobfall/base/strings.h"
#include "carobfall/config/ip_endpoint.h"
#include "carobfall/jobs/worker_speed.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace carobfall::tool {
namespace {

constexpr absl::Duration connect_timeout = absl::Seconds(1);
constexpr absl::Duration read_timeout = absl::Seconds(2);
constexpr int http_ok = 200;
constexpr absl::string_view prefix = "carobfall_";
constexpr double high_failure_share = 0.2;
constexpr double millicores = 1000;

/// Value of a label in `name{a="x",b="y"}`; empty if it is missing.
std::string label_of(std::string_view metric, std::string_view label)
{
    const std::string start = absl::StrCat(to_absl(label), "=\"");
    const std::size_t begin = metric.find(start);
    if (begin == std::string_view::npos) {
        return "";
    }
    const std::string_view rest = metric.substr(begin + start.size());
    return std::string(rest.substr(0, rest.find('"')));
}

process_sample fetch_metrics(const std::string& address)
{
    httplib::Client client(address);
    client.set_connection_timeout(absl::ToChronoMilliseconds(connect_timeout));
    client.set_read_timeout(absl::ToChronoMilliseconds(read_timeout));
    const httplib::Result response = client.Get("/metrics");
    if (!response || response->status != http_ok) {
        process_sample sample;
        sample.address = address;
        return sample;
    }
    return parse_metrics(address, response->body);
}

void add_agent(const process_sample& agent, fleet_overview& sum)
{
    sum.free_cores += agent.value("free_millicores").value_or(0) / millicores;
    sum.capacity_cores += agent.value("capacity_millicores").value_or(0) / millicores;
    sum.waiting_tasks += agent.value("waiting").value_or(0);
    sum.running_tasks += agent.value("on_worker").value_or(0);
    std::vector<std::string> problems;
    if (agent.value("worker_known") == 0) {
        problems.emplace_back("no worker");
    } else if (agent.value("worker_reachable") == 0) {
        problems.emplace_back("worker unreachable");
    } else if (agent.value("accepting") == 0) {
        problems.emplace_back("takes no orders");
    }
    if (agent.value("slowness").value_or(1) > slow_worker_threshold) {
        problems.emplace_back("slow");
    }
    if (agent.value("failure_share").value_or(0) > high_failure_share) {
        problems.emplace_back("runs fail");
    }
    if (!problems.empty()) {
        sum.degraded.push_back(absl::StrCat(agent.name, ": ", absl::StrJoin(problems, ", ")));
    }
}

void add_entry(const process_sample& entry, fleet_overview& sum)
{
    if (entry.value("ready") == 0) {
        sum.not_ready.push_back(entry.name);
    }
    for (const auto& [metric, value] : entry.values) {
        if (metric.starts_with("jobs_total{")) {
            sum.outcomes[absl::StrCat(label_of(metric, "outcome"), ", ",
                                      label_of(metric, "reason"))] += value;
        } else if (metric.starts_with("refusals_total{")) {
            sum.refusals[label_of(metric, "reason")] += value;
        }
    }
}

nlohmann::json document_of(const fleet_overview& sum)
{
    return {{"processes", sum.processes},
            {"silent", sum.unresponsive},
            {"outcomes", sum.outcomes},
            {"refusals", sum.refusals},
            {"configurations", sum.configurations},
            {"without_store", sum.without_store},
            {"not_ready", sum.not_ready},
            {"doubted", sum.degraded},
            {"free_cores", sum.free_cores},
            {"capacity_cores", sum.capacity_cores},
            {"waiting_tasks", sum.waiting_tasks},
            {"running_tasks", sum.running_tasks}};
}

void print_names(const char* title, const std::vector<std::string>& names, std::ostream& out)
{
    if (!names.empty()) {
        out << title << ": " << absl::StrJoin(names, "; ") << "\n";
    }
}

void print_counts(const char* title, const std::map<std::string, double>& counts, std::ostream& out)
{
    for (const auto& [name, count] : counts) {
        out << title << ": " << static_cast<std::uint64_t>(count) << " " << name << "\n";
    }
}

void print_text(const fleet_overview& sum, std::ostream& out)
{
    out << "processes: " << sum.processes - sum.unresponsive.size() << " of " << sum.processes
        << " answer\n";
    print_names("no answer", sum.unresponsive, out);
    print_counts("jobs", sum.outcomes, out);
    print_counts("requests refused", sum.refusals, out);
    out << "room: " << sum.free_cores << " of " << sum.capacity_cores << " cores free, "
        << sum.running_tasks << " tasks run, " << sum.waiting_tasks << " wait\n";
    for (const auto& [version, count] : sum.configurations) {
        out << "configuration " << version << ": " << count << " processes\n";
    }
    print_names("entries not ready", sum.not_ready, out);
    print_names("without the store", sum.without_store, out);
    print_names("doubted workers", sum.degraded, out);
}

} // namespace

std::optional<double> process_sample::value(std::string_view metric) const
{
    const auto found = values.find(std::string(metric));
    return found == values.end() ? std::nullopt : std::optional(found->second);
}

process_sample parse_metrics(std::string_view address, std::string_view text)
{
    process_sample sample;
    sample.address = address;
    sample.responded = true;
    for (const absl::string_view line : absl::StrSplit(to_absl(text), '\n')) {
        const std::size_t space = line.rfind(' ');
        double value = 0;
        if (!absl::StartsWith(line, prefix) || space == absl::string_view::npos ||
            !absl::SimpleAtod(line.substr(space + 1), &value)) {
            continue;
        }
        const std::string metric(line.substr(prefix.size(), space - prefix.size()));
        if (metric.starts_with("process_info{")) {
            sample.name = label_of(metric, "name");
            sample.data_centre = label_of(metric, "data_centre");
        }
        sample.values[metric] = value;
    }
    return sample;
}

fleet_overview summarize(const std::vector<process_sample>& samples)
{
    fleet_overview sum;
    sum.processes = samples.size();
    for (const process_sample& sample : samples) {
        if (!sample.responded) {
            sum.unresponsive.push_back(sample.address);
            continue;
        }
        if (const auto version = sample.value("configuration_version")) {
            ++sum.configurations[absl::StrCat(*version)];
        }
        if (sample.value("store_answers") == 0) {
            sum.without_store.push_back(sample.name);
        }
        if (sample.value("accepting")) {
            add_agent(sample, sum);
        } else {
            add_entry(sample, sum);
        }
    }
    return sum;
}

exit_code overview(const overview_options& options, std::ostream& out, std::ostream& errors)
{
    std::vector<process_sample> samples;
    for (const std::string& address : options.addresses) {
        if (!parse_ip_endpoint(address)) {
            errors << address << " is not an address (write ip:port, the address where the process "
                   << "serves /metrics)\n";
            return exit_code::invalid_input;
        }
        samples.push_back(fetch_metrics(address));
    }
    const fleet_overview sum = summarize(samples);
    if (options.json_output) {
        out << document_of(sum).dump(2) << "\n";
    } else {
        print_text(sum, out);
    }
    return sum.unresponsive.size() == samples.size() ? exit_code::unreachable : exit_code::ok;
}

} // namespace carobfall::tool
