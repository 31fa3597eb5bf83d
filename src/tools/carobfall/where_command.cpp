#include "where_command.h"

#include "carobfall/config/ip_endpoint.h"
#include "command_context.h"
#include "placement_report.h"

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <cmath>
#include <utility>

namespace carobfall::tool {

using nlohmann::json;

namespace {

constexpr absl::Duration connect_timeout = absl::Seconds(1);
// An entry with a small share of a core needs longer for thousands of agents.
constexpr absl::Duration read_timeout = absl::Seconds(5);
constexpr int http_ok = 200;
constexpr int http_bad_request = 400;
constexpr int http_not_found = 404;
constexpr int http_body_too_large = 413;
constexpr double milliseconds_per_second = 1000;

struct entry_answer {
    exit_code code{exit_code::ok};
    json document;       ///< the explanation, if `code` is `ok`
    std::string problem; ///< otherwise
};

std::string problem_of(int status, const json& document)
{
    if (document.is_object() && document.contains("error") && document["error"].is_object()) {
        const json& error = document["error"];
        return absl::StrCat(text_of(error, "reason"), ": ", text_of(error, "message"));
    }
    if (status == http_not_found) {
        return "serves no /placement (not the metrics address of an entry, or an entry of an "
               "earlier version)";
    }
    if (status == http_body_too_large) {
        return "the job is larger than the entry accepts";
    }
    return absl::StrCat("unexpected answer with status ", status);
}

entry_answer read_answer(int status, const std::string& body)
{
    json document = json::parse(body, nullptr, false);
    if (status == http_ok && document.is_object()) {
        return {exit_code::ok, std::move(document), ""};
    }
    const bool malformed = status == http_bad_request || status == http_body_too_large;
    return {malformed ? exit_code::invalid_input : exit_code::refused, json(),
            problem_of(status, document)};
}

entry_answer ask(const std::string& address, const where_options& options, const std::string& body)
{
    httplib::Client client(address);
    client.set_connection_timeout(absl::ToChronoMilliseconds(connect_timeout));
    client.set_read_timeout(absl::ToChronoMilliseconds(read_timeout));
    httplib::Headers headers;
    if (options.deadline_seconds > 0) {
        headers.emplace("Carobfall-Deadline-Ms",
                        absl::StrCat(std::llround(
                            std::ceil(options.deadline_seconds * milliseconds_per_second))));
    }
    const std::string target = httplib::append_query_params(
        "/placement",
        {{"host", options.host}, {"path", options.path}, {"rows", absl::StrCat(options.rows)}});
    const httplib::Result response = client.Post(target, headers, body, "application/json");
    if (!response) {
        return {exit_code::unreachable, json(), "no answer"};
    }
    return read_answer(response->status, response->body);
}

exit_code exit_code_of_all(const std::vector<entry_answer>& answers)
{
    bool any_response = false;
    for (const entry_answer& answer : answers) {
        if (answer.code != exit_code::ok && answer.code != exit_code::unreachable) {
            return answer.code;
        }
        any_response |= answer.code == exit_code::ok;
    }
    return any_response ? exit_code::ok : exit_code::unreachable;
}

} // namespace

result<std::string> body_of(const where_options& options)
{
    if (!options.file.empty()) {
        return read_file(options.file);
    }
    json step = {{"count", options.tasks},
                 {"cpu", options.cpu_millicores},
                 {"mem_mb", options.memory_mib},
                 {"estimated_ms", options.run_ms}};
    if (!options.data_rack.empty()) {
        step["data_rack"] = options.data_rack;
    }
    if (!options.label.empty()) {
        step["required_label"] = options.label;
    }
    if (options.limit > 0) {
        step["anti_affinity"] = options.limit;
    }
    const json document = {
        {"spec", ""}, {"best_effort", true}, {"steps", json::array({std::move(step)})}};
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

exit_code where(const where_options& options, std::ostream& out, std::ostream& errors)
{
    for (const std::string& address : options.addresses) {
        if (!parse_ip_endpoint(address)) {
            errors << address << " is not an address (write ip:port, the address where the entry "
                   << "serves /metrics)\n";
            return exit_code::invalid_input;
        }
    }
    const result<std::string> body = body_of(options);
    if (!body) {
        errors << to_string(body.error()) << "\n";
        return exit_code::invalid_input;
    }
    json entries = json::array();
    std::vector<entry_answer> answers;
    for (const std::string& address : options.addresses) {
        const entry_answer& answer = answers.emplace_back(ask(address, options, body.value()));
        if (answer.code != exit_code::ok) {
            errors << address << ": " << answer.problem << "\n";
            entries.push_back({{"address", address}, {"problem", answer.problem}});
        } else if (options.json_output) {
            entries.push_back({{"address", address}, {"placement", answer.document}});
        } else {
            out << (answers.size() > 1 ? "\n" : "");
            print_placement(address, answer.document, out);
        }
    }
    if (options.json_output) {
        out << json{{"entries", std::move(entries)}}.dump(2, ' ', false,
                                                          json::error_handler_t::replace)
            << "\n";
    }
    return exit_code_of_all(answers);
}

} // namespace carobfall::tool
