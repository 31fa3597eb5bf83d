#include "load_command.h"

#include "latency_plot.h"
#include "load_runner.h"

#include "carobfall/base/ids.h"
#include "carobfall/config/ip_endpoint.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/clock.h>
#include <httplib.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace carobfall::tool {
namespace {

using json = nlohmann::json;

// The entry answers a waiting submission at its deadline at the latest.
constexpr absl::Duration answer_margin = absl::Seconds(2);
constexpr absl::Duration log_read_timeout = absl::Seconds(30);

bool is_loopback(const std::string& address)
{
    const auto endpoint = parse_ip_endpoint(address);
    return endpoint && (endpoint->ip.starts_with("127.") || endpoint->ip == "::1");
}

load_answer answer_of(const result<api_response>& response)
{
    if (!response) {
        return {std::string(name_of(response.error().kind)), {}};
    }
    const json& body = response.value().body;
    load_answer answer;
    const auto kind = error_kind_of(body);
    answer.outcome = kind ? std::string(name_of(*kind)) : text_of(body, "state");
    for (const json& task : body.value("tasks", json::array())) {
        if (text_of(task, "outcome") == "ran") {
            ++answer.ran_by_agent[text_of(task, "agent")];
        }
    }
    return answer;
}

load_sender_factory sender_factory(const load_options& options, const std::string& account)
{
    return [&options, account](std::size_t thread) -> load_sender {
        std::vector<std::string> entries = options.entries;
        std::rotate(entries.begin(),
                    entries.begin() + static_cast<std::ptrdiff_t>(thread % entries.size()),
                    entries.end());
        return [client = api_client(std::move(entries), options.token),
                account](const load_request& request) mutable {
            api_request call{"POST",
                             "/v1/accounts/" + account + "/submissions/" + request.submission_id,
                             request.body};
            call.read_timeout =
                std::max(request.deadline - absl::Now(), absl::ZeroDuration()) + answer_margin;
            return answer_of(client.call(call));
        };
    };
}

result<void> read_data_centres(load_statistics& statistics, const load_options& options)
{
    if (options.operator_entry.empty()) {
        return success();
    }
    BOOST_OUTCOME_TRY(std::string token, read_file(options.operator_token_file));
    absl::StripAsciiWhitespace(&token);
    api_client client({options.operator_entry}, token);
    BOOST_OUTCOME_TRY(const api_response response, client.call({"GET", "/v1/backends"}));
    for (const json& row : response.body.value("backends", json::array())) {
        statistics.set_data_centre(text_of(row, "agent"), text_of(row, "data_centre"));
    }
    return success();
}

result<void> read_start_log(load_statistics& statistics, const std::string& address,
                            const std::string& id_prefix)
{
    httplib::Client client(address);
    client.set_read_timeout(absl::ToChronoMilliseconds(log_read_timeout));
    const httplib::Result response = client.Get("/starts");
    if (!response || response->status != 200) {
        return failure(error_kind::unavailable, "can't read the start log of " + address,
                       "check --start-log; only backend stand-ins have one");
    }
    std::istringstream lines(response->body);
    for (std::string line; std::getline(lines, line);) {
        const json start = json::parse(line, nullptr, false);
        if (!start.is_object()) {
            continue;
        }
        const std::string submission = text_of(start, "submission");
        if (submission.starts_with(id_prefix)) {
            statistics.add_start(absl::StrCat(submission, "/", text_of(start, "task")));
        }
    }
    return success();
}

std::string quantile_row(const json& quantiles)
{
    std::string text;
    for (const char* name : {"p50", "p99", "p99.9", "max"}) {
        absl::StrAppendFormat(&text, "  %s %.2f", name, quantiles[name].get<double>());
    }
    return text;
}

void print_text(std::ostream& out, const json& report)
{
    const json& latency = report["latency"];
    out << "submissions: " << report["submissions"] << ", complete: " << report["complete"]
        << ", tasks sent: " << report["tasks_sent"] << ", ran: " << report["tasks_ran"] << ", "
        << absl::StrFormat("%.1f s", report["seconds"].get<double>()) << "\n"
        << "response time / ideal:" << quantile_row(latency["response_over_ideal"]) << "\n"
        << "response time in ms:  " << quantile_row(latency["response_ms"]) << "\n"
        << "send delay in ms:     " << quantile_row(latency["send_delay_ms"]) << "\n";
    for (const auto& [place, rate] : report["tasks_per_second_by_data_centre"].items()) {
        out << "tasks done per second, " << place << ": "
            << absl::StrFormat("%.2f", rate.get<double>()) << "\n";
    }
    for (const auto& [kind, count] : report["not_complete_by_kind"].items()) {
        out << "not complete, " << kind << ": " << count << "\n";
    }
    if (report["starts"].is_object()) {
        out << "starts per task: "
            << absl::StrFormat("%.4f", report["starts"]["starts_per_task"].get<double>())
            << ", tasks started more than once: "
            << report["starts"]["tasks_started_more_than_once"] << "\n";
    }
    out << "ideal = longest task of the job + " << round_trips << " round trips\n";
}

exit_code finish(command_context& context, const load_options& options,
                 const load_statistics& statistics)
{
    json report = statistics.to_json();
    report["ideal"] = absl::StrCat("longest task of the job + ", round_trips, " round trips");
    if (context.json_output) {
        context.out << report.dump() << "\n";
    } else {
        print_text(context.out, report);
    }
    if (!options.plot_file.empty()) {
        std::ofstream plot(options.plot_file);
        plot << latency_plot(statistics.slowdowns(), options.workload_file);
        if (!plot.flush()) {
            return report_error(context,
                                {error_kind::invalid_request, "can't write " + options.plot_file,
                                 "give --plot a file name in a directory that exists"});
        }
    }
    return statistics.starts().repeated > 0 ? exit_code::failed_answer : exit_code::ok;
}

result<void> read_server_data(load_statistics& statistics, const load_options& options,
                              const std::string& id_prefix)
{
    BOOST_OUTCOME_TRYV(read_data_centres(statistics, options));
    for (const std::string& address : options.start_logs) {
        BOOST_OUTCOME_TRYV(read_start_log(statistics, address, id_prefix));
    }
    return success();
}

} // namespace

result<void> check_load_addresses(const load_options& options)
{
    std::vector<std::string> addresses = options.entries;
    addresses.insert(addresses.end(), options.start_logs.begin(), options.start_logs.end());
    if (!options.operator_entry.empty()) {
        addresses.push_back(options.operator_entry);
    }
    for (const std::string& address : addresses) {
        if (!options.allow_remote && !is_loopback(address)) {
            return failure(error_kind::invalid_request, address + " is not on loopback",
                           "give --allow-remote to send load to another machine");
        }
    }
    return success();
}

exit_code load(command_context& context, const load_options& options)
{
    if (const auto allowed = check_load_addresses(options); !allowed) {
        return report_error(context, allowed.error());
    }
    const auto text = read_file(options.workload_file);
    if (!text) {
        return report_error(context, text.error());
    }
    const auto workload = parse_workload(text.value(), options.workload_file);
    if (!workload) {
        return report_error(context, workload.error());
    }
    const auto plan = plan_load(workload.value());
    const std::string id_prefix = "load-" + random_id() + "-";
    context.progress << "sending " << plan.size() << " submissions, ids " << id_prefix << "N\n";
    if (plan.size() == workload.value().max_submissions) {
        context.progress << "the plan ends early at max_submissions; raise it to send for the "
                            "whole duration\n";
    }
    load_statistics statistics =
        load_runner(workload.value(), id_prefix, options.threads,
                    sender_factory(options, workload.value().client_account))
            .run(plan);
    if (const auto read = read_server_data(statistics, options, id_prefix); !read) {
        report_error(context, read.error());
    }
    return finish(context, options, statistics);
}

} // namespace carobfall::tool
