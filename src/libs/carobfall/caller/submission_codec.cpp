#include "carobfall/caller/submission_codec.h"

#include "carobfall/base/digest.h"
#include "carobfall/base/strict_json.h"
#include "carobfall/base/strings.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <vector>

namespace carobfall {
namespace {

using json = nlohmann::json;

constexpr std::array body_keys{"deadline_unix_ms", "parameters", "tasks", "template", "wait"};
constexpr int http_ok = 200;
constexpr int http_accepted = 202;

auto invalid(std::string message, std::string remedy)
{
    return failure(error_kind::invalid_request, std::move(message), std::move(remedy));
}

result<void> check_keys(const json& body)
{
    if (!body.is_object()) {
        return invalid("the body is not a JSON object", "send an object as in docs/api.md");
    }
    for (const auto& [key, value] : body.items()) {
        if (std::find(body_keys.begin(), body_keys.end(), key) == body_keys.end()) {
            return invalid("the body has an unknown key",
                           "use only template, parameters, tasks, deadline_unix_ms and wait");
        }
    }
    return success();
}

result<void> check_types(const json& body)
{
    const auto name = body.find("template");
    if (name == body.end() || !name->is_string() ||
        !is_valid_name(name->get_ref<const std::string&>())) {
        return invalid("template is missing or not a valid name",
                       "send the name of one of the account's templates");
    }
    const auto tasks = body.find("tasks");
    if (tasks == body.end() || !tasks->is_array() || tasks->empty() ||
        tasks->size() > max_tasks_per_submission) {
        return invalid("tasks is missing or not an array of 1 to 670 values",
                       "split larger jobs into several submissions");
    }
    const auto deadline = body.find("deadline_unix_ms");
    if (deadline == body.end() || !deadline->is_number_integer()) {
        return invalid("deadline_unix_ms is missing or not an integer",
                       "send the deadline in milliseconds since the Unix epoch");
    }
    if (const auto parameters = body.find("parameters");
        parameters != body.end() && !parameters->is_object()) {
        return invalid("parameters is not an object", "send an object or leave it out");
    }
    if (const auto wait = body.find("wait"); wait != body.end() && !wait->is_boolean()) {
        return invalid("wait is not true or false", "send true, false or leave it out");
    }
    return success();
}

// Checks the range first, because a larger unsigned value would be converted to a negative one.
result<std::int64_t> decode_deadline(const json& deadline)
{
    constexpr std::int64_t last_ms = 253402300799999; // end of the year 9999
    if (deadline.is_number_unsigned() &&
        deadline.get<std::uint64_t>() > static_cast<std::uint64_t>(last_ms)) {
        return invalid("deadline_unix_ms is out of range",
                       "send the deadline in milliseconds since the Unix epoch");
    }
    return deadline.get<std::int64_t>();
}

// `wait` doesn't affect the hash, and empty parameters have the same hash as missing ones.
std::string hash_of(const json& body, const json& parameters)
{
    json hashed = body;
    hashed.erase("wait");
    hashed["parameters"] = parameters;
    return sha256_hex(canonical_json(hashed));
}

void encode_result_body(const std::string& body, json& task)
{
    auto value = parse_strict_json(body);
    if (value) {
        task["result"] = std::move(value).value();
        task["result_encoding"] = "json";
    } else {
        task["result"] = absl::Base64Escape(body);
        task["result_encoding"] = "base64";
    }
}

std::string_view outcome_name(rpc::task_outcome outcome)
{
    switch (outcome) {
    case rpc::outcome_not_run:
        return "not_run";
    case rpc::outcome_ran:
        return "ran";
    default:
        return "may_have_run"; // every other outcome says whether the task ran
    }
}

json encode_task(const rpc::task_answer& task, bool with_result)
{
    json encoded{{"index", task.index()}, {"outcome", outcome_name(task.outcome())}};
    if (!task.agent().empty()) {
        encoded["agent"] = task.agent();
    }
    if (!task.has_result()) {
        return encoded;
    }
    encoded["success"] = task.result().success();
    encoded["backend_status"] = task.result().backend_status();
    encoded["run_ms"] = task.result().run_ms();
    if (!task.result().error_message().empty()) {
        encoded["error_message"] = task.result().error_message();
    }
    if (with_result) {
        encode_result_body(task.result().body(), encoded);
    }
    return encoded;
}

std::vector<const rpc::task_answer*> tasks_in_order(const rpc::submission_answer& answer)
{
    std::vector<const rpc::task_answer*> tasks;
    tasks.reserve(static_cast<std::size_t>(answer.tasks_size()));
    for (const rpc::task_answer& task : answer.tasks()) {
        tasks.push_back(&task);
    }
    std::sort(tasks.begin(), tasks.end(),
              [](const auto* left, const auto* right) { return left->index() < right->index(); });
    return tasks;
}

std::string_view state_name(rpc::submission_state state)
{
    switch (state) {
    case rpc::submission_running:
        return "running";
    case rpc::submission_complete:
        return "complete";
    case rpc::submission_failed:
        return "failed";
    default:
        return "unknown";
    }
}

error_kind kind_of(const rpc::submission_answer& answer)
{
    return error_kind_from_name(answer.error_kind()).value_or(error_kind::internal);
}

auto defective_answer(std::string message)
{
    return failure(error_kind::internal, std::move(message),
                   "ask for the state of the submission; report this with the request id");
}

} // namespace

result<decoded_submission> decode_submission(const submission_key& key, std::string_view text)
{
    BOOST_OUTCOME_TRY(const json body, parse_strict_json(text));
    BOOST_OUTCOME_TRYV(check_keys(body));
    BOOST_OUTCOME_TRYV(check_types(body));
    BOOST_OUTCOME_TRY(const std::int64_t deadline, decode_deadline(body["deadline_unix_ms"]));

    decoded_submission decoded;
    decoded.parameters = body.value("parameters", json::object());
    rpc::submission_request& request = decoded.request;
    *request.mutable_key() = to_message(key);
    request.set_template_name(body["template"].get<std::string>());
    request.set_parameters_json(canonical_json(decoded.parameters));
    request.set_deadline_unix_ms(deadline);
    request.set_wait(body.value("wait", true));
    request.set_body_hash(hash_of(body, decoded.parameters));
    for (const json& task : body["tasks"]) {
        request.add_tasks(canonical_json(task));
    }
    return decoded;
}

json encode_answer(const rpc::submission_answer& answer)
{
    json encoded{{"client_account", answer.key().client_account()},
                 {"submission_id", answer.key().submission_id()},
                 {"state", state_name(answer.state())},
                 {"task_count", answer.task_count()},
                 {"tasks_finished", answer.tasks_finished()}};
    if (answer.state() == rpc::submission_failed) {
        encoded["error"] = {{"kind", name_of(kind_of(answer))},
                            {"message", answer.error_message()},
                            {"remedy", answer.error_remedy()}};
    }
    if (answer.state() != rpc::submission_running) {
        const bool complete = answer.state() == rpc::submission_complete;
        json& tasks = encoded["tasks"] = json::array();
        for (const rpc::task_answer* task : tasks_in_order(answer)) {
            tasks.push_back(encode_task(*task, complete));
        }
    }
    return encoded;
}

int http_status_of(const rpc::submission_answer& answer)
{
    switch (answer.state()) {
    case rpc::submission_running:
        return http_accepted;
    case rpc::submission_complete:
        return http_ok;
    case rpc::submission_failed:
        return http_status_of(kind_of(answer));
    default:
        return http_status_of(error_kind::not_found);
    }
}

result<void> check_answer(const submission_key& key, const rpc::submission_answer& answer)
{
    if (from_message(answer.key()) != key) {
        return defective_answer("an answer to another submission was received");
    }
    if (answer.state() != rpc::submission_complete) {
        return success();
    }
    std::uint32_t next = 0;
    for (const rpc::task_answer* task : tasks_in_order(answer)) {
        if (task->index() != next || task->outcome() != rpc::outcome_ran || !task->has_result()) {
            return defective_answer("a complete answer lacks the result of a task");
        }
        ++next;
    }
    if (next == 0 || next != answer.task_count()) {
        return defective_answer("a complete answer has a wrong number of results");
    }
    return success();
}

} // namespace carobfall
