#include "carobfall/caller/submission_validator.h"

#include "carobfall/base/clock.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <set>

namespace carobfall {
namespace {

using json = nlohmann::json;

result<void> check_deadline(absl::Time deadline, absl::Duration limit, absl::Time now)
{
    if (deadline <= now) {
        return failure(error_kind::deadline_exceeded, "the deadline has passed",
                       "ask for the state of the submission, or submit again under a new id if "
                       "running the tasks twice is acceptable");
    }
    if (deadline - now > limit) {
        return failure(error_kind::invalid_request, "the deadline is too far ahead",
                       absl::StrCat("send a deadline at most ", absl::FormatDuration(limit),
                                    " ahead; check the clock if it was nearer"));
    }
    return success();
}

result<void> check_parameters(const json& parameters, const dispatch_template& target)
{
    const json defaults = json::parse(target.parameters_json, nullptr, false);
    std::set<std::string> declared(target.required_parameters.begin(),
                                   target.required_parameters.end());
    if (defaults.is_object()) {
        for (const auto& [name, value] : defaults.items()) {
            declared.insert(name);
        }
    }
    for (const auto& [name, value] : parameters.items()) {
        if (!declared.contains(name)) {
            return failure(error_kind::invalid_request,
                           "a parameter is not declared by the template",
                           absl::StrCat("send only these: ", absl::StrJoin(declared, ", ")));
        }
    }
    for (const std::string& name : target.required_parameters) {
        if (!parameters.contains(name) && !(defaults.is_object() && defaults.contains(name))) {
            return failure(error_kind::invalid_request, "a required parameter is missing",
                           absl::StrCat("send the parameter ", name));
        }
    }
    return success();
}

result<void> check_tasks(const rpc::submission_request& request, const dispatch_template& target)
{
    if (static_cast<std::uint32_t>(request.tasks_size()) > target.max_tasks) {
        return failure(error_kind::invalid_request, "more tasks than the template allows",
                       absl::StrCat("send at most ", target.max_tasks, " in one submission"));
    }
    for (int i = 0; i < request.tasks_size(); ++i) {
        if (request.tasks(i).size() > target.max_payload_bytes) {
            return failure(
                error_kind::payload_too_large,
                absl::StrCat("task ", i, " is larger than the template allows"),
                absl::StrCat("send tasks of at most ", target.max_payload_bytes, " bytes of JSON"));
        }
    }
    return success();
}

} // namespace

result<void> validate_submission(const decoded_submission& submission,
                                 const configuration& declared, absl::Duration max_deadline,
                                 absl::Time now)
{
    const rpc::submission_request& request = submission.request;
    const dispatch_template* target =
        declared.find_template(request.key().client_account(), request.template_name());
    if (target == nullptr) {
        return failure(error_kind::not_found, "the account has no such template",
                       "check the name; an operator can list the templates");
    }
    BOOST_OUTCOME_TRYV(check_deadline(from_unix_ms(request.deadline_unix_ms()),
                                      std::min(target->max_deadline, max_deadline), now));
    BOOST_OUTCOME_TRYV(check_parameters(submission.parameters, *target));
    return check_tasks(request, *target);
}

} // namespace carobfall
