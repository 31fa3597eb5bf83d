#include "submit_command.h"

#include "carobfall/base/ids.h"
#include "carobfall/base/strict_json.h"

#include <algorithm>
#include <sstream>

namespace carobfall::tool {
namespace {

using json = nlohmann::json;

constexpr absl::Duration first_pause = absl::Milliseconds(100);
constexpr absl::Duration max_pause = absl::Seconds(2);
// The entry answers a waiting submission at its deadline at the latest.
constexpr absl::Duration answer_margin = absl::Seconds(2);

auto invalid(std::string message, std::string remedy)
{
    return failure(error_kind::invalid_request, std::move(message), std::move(remedy));
}

result<void> add_task(json& body, const std::string& text)
{
    auto value = parse_strict_json(text);
    if (!value) {
        return invalid("a task is not JSON: " + value.error().message,
                       "write strings with their double quotes");
    }
    body["tasks"].push_back(std::move(value).value());
    return success();
}

result<void> add_tasks(json& body, const submit_options& options)
{
    if (options.tasks.empty() && options.tasks_file.empty()) {
        return success();
    }
    body["tasks"] = json::array();
    for (const std::string& task : options.tasks) {
        BOOST_OUTCOME_TRYV(add_task(body, task));
    }
    if (!options.tasks_file.empty()) {
        BOOST_OUTCOME_TRY(const std::string text, read_file(options.tasks_file));
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            if (!line.empty()) {
                BOOST_OUTCOME_TRYV(add_task(body, line));
            }
        }
    }
    return success();
}

result<void> add_parameters(json& body, const submit_options& options)
{
    if (body.contains("parameters") && !body["parameters"].is_object()) {
        return invalid("parameters is not an object", "write an object in the file");
    }
    for (const std::string& parameter : options.parameters) {
        const std::size_t equals = parameter.find('=');
        if (equals == std::string::npos) {
            return invalid("a parameter has no value", "write --parameter NAME=VALUE");
        }
        const std::string text = parameter.substr(equals + 1);
        auto value = parse_strict_json(text);
        body["parameters"][parameter.substr(0, equals)] =
            value ? std::move(value).value() : json(text);
    }
    return success();
}

// Whether resubmitting is safe: nothing was accepted, or it joins the accepted submission.
bool is_retryable(error_kind kind)
{
    switch (kind) {
    case error_kind::unavailable:
    case error_kind::outcome_unknown:
    case error_kind::recovering:
    case error_kind::shutting_down:
    case error_kind::stale_view:
    case error_kind::stale_configuration:
        return true;
    default:
        return false;
    }
}

struct attempt {
    result<api_response> response;
    std::optional<error_kind> kind;
};

attempt send_once(command_context& context, const api_request& request)
{
    attempt made{context.client.call(request), std::nullopt};
    made.kind = made.response ? error_kind_of(made.response.value().body)
                              : std::optional(made.response.error().kind);
    return made;
}

void print_answer(command_context& context, const json& body)
{
    if (context.json_output) {
        context.out << body.dump() << "\n";
        return;
    }
    context.out << text_of(body, "state") << ", " << text_of(body, "tasks_finished") << " of "
                << text_of(body, "task_count") << " tasks finished\n";
    if (!body.contains("tasks")) {
        return;
    }
    std::vector<std::vector<std::string>> rows{{"TASK", "OUTCOME", "STATUS", "RESULT"}};
    for (const json& task : body["tasks"]) {
        rows.push_back({text_of(task, "index"), text_of(task, "outcome"),
                        text_of(task, "backend_status"), text_of(task, "result")});
    }
    print_table(context.out, rows);
}

exit_code finish(command_context& context, const attempt& last, bool earlier_unknown)
{
    exit_code code = exit_code::ok;
    if (last.response) {
        const json& body = last.response.value().body;
        if (body.contains("state")) {
            print_answer(context, body);
            return report_document(context, body);
        }
        code = report_document(context, body);
    } else {
        code = report_error(context, last.response.error());
    }
    return earlier_unknown ? exit_code::outcome_unknown : code;
}

// Whether the submission may have been accepted. An answer with a state comes from the coordinator
// and is final unless it has one of these error kinds.
bool leaves_outcome_unknown(const attempt& made)
{
    return made.kind == error_kind::outcome_unknown || made.kind == error_kind::recovering;
}

exit_code send_with_retries(command_context& context, const api_request& pattern,
                            absl::Time deadline, const clock_function& clock,
                            const sleep_function& sleep)
{
    absl::Duration pause = first_pause;
    bool earlier_unknown = false;
    while (true) {
        api_request request = pattern;
        const absl::Time now = clock();
        request.read_timeout = std::max(deadline - now, absl::ZeroDuration()) + answer_margin;
        const attempt made = send_once(context, request);
        if (!made.kind || !is_retryable(*made.kind) || clock() + pause >= deadline) {
            return finish(context, made, earlier_unknown);
        }
        earlier_unknown = earlier_unknown || leaves_outcome_unknown(made);
        context.progress << name_of(*made.kind) << "; resubmitting under the same id in "
                         << absl::FormatDuration(pause) << "\n";
        sleep(pause);
        pause = std::min(pause * 2, max_pause);
        context.client.prefer_next_entry();
    }
}

} // namespace

result<json> build_body(const submit_options& options, absl::Time now)
{
    json body = json::object();
    if (!options.file.empty()) {
        BOOST_OUTCOME_TRY(const std::string text, read_file(options.file));
        BOOST_OUTCOME_TRY(body, parse_strict_json(text));
        if (!body.is_object()) {
            return invalid(options.file + " is not a JSON object", "see docs/api.md for the body");
        }
    }
    if (!options.template_name.empty()) {
        body["template"] = options.template_name;
    }
    BOOST_OUTCOME_TRYV(add_tasks(body, options));
    BOOST_OUTCOME_TRYV(add_parameters(body, options));
    if (!body.contains("template") || !body.contains("tasks")) {
        return invalid("the template or the tasks are missing",
                       "give --file, or --template with --task or --tasks-file");
    }
    if (!body.contains("deadline_unix_ms")) {
        body["deadline_unix_ms"] = to_unix_ms(now + absl::Seconds(options.deadline_seconds));
    }
    if (!body["deadline_unix_ms"].is_number_integer()) {
        return invalid("deadline_unix_ms is not an integer", "give milliseconds since the epoch");
    }
    body["wait"] = options.wait;
    return body;
}

exit_code submit(command_context& context, const submit_options& options,
                 const clock_function& clock, const sleep_function& sleep)
{
    const auto body = build_body(options, clock());
    if (!body) {
        return report_error(context, body.error());
    }
    const std::string id = options.submission_id.empty() ? random_id() : options.submission_id;
    // Printed before anything is sent, so that the submission can be found after a crash.
    context.progress << "submission " << options.account << "/" << id << "\n" << std::flush;
    const api_request request{"POST", "/v1/accounts/" + options.account + "/submissions/" + id,
                              body.value().dump()};
    return send_with_retries(context, request,
                             from_unix_ms(body.value()["deadline_unix_ms"].get<std::int64_t>()),
                             clock, sleep);
}

exit_code query_or_cancel(command_context& context, const std::string& method,
                          const std::string& account, const std::string& id)
{
    const attempt made =
        send_once(context, {method, "/v1/accounts/" + account + "/submissions/" + id});
    const exit_code code = finish(context, made, false);
    const bool cancelled = method == "DELETE" && made.kind == error_kind::cancelled;
    return cancelled ? exit_code::ok : code;
}

} // namespace carobfall::tool
