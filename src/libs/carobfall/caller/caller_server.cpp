#include "carobfall/caller/caller_server.h"

#include "carobfall/base/digest.h"
#include "carobfall/base/http_json.h"
#include "carobfall/base/ids.h"
#include "carobfall/base/log_fields.h"
#include "carobfall/base/strings.h"
#include "carobfall/caller/submission_codec.h"
#include "carobfall/caller/submission_validator.h"

#include <absl/cleanup/cleanup.h>
#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <string>
#include <utility>

namespace carobfall {
namespace {

constexpr std::string_view submission_path = "/v1/accounts/{}/submissions/{}";
constexpr int http_ok = 200;

submission_key key_of(const http_call& call)
{
    return {call.names[0], call.names[1]};
}

bool is_completed_cancel(const http_call& call, const rpc::submission_answer& answer)
{
    return call.request.method == "DELETE" && answer.state() == rpc::submission_failed &&
           answer.error_kind() == name_of(error_kind::cancelled);
}

} // namespace

caller_server::caller_server(submission_service& service, const configuration_source& source,
                             metrics_registry& metrics, caller_settings settings,
                             clock_function clock)
    : service_(service),
      source_(source),
      metrics_(metrics),
      settings_(std::move(settings)),
      clock_(std::move(clock)),
      http_("caller_request", settings_.http)
{
    http_.add_route("POST", submission_path, [this](http_call& call) { submit(call); });
    http_.add_route("GET", submission_path,
                    [this](http_call& call) { run_operation(call, &submission_service::status); });
    http_.add_route("DELETE", submission_path,
                    [this](http_call& call) { run_operation(call, &submission_service::cancel); });
}

result<void> caller_server::start()
{
    if (settings_.max_waiting >= settings_.http.threads) {
        return failure(error_kind::invalid_request,
                       "max_waiting leaves no thread for cancels while callers wait",
                       "set max_waiting lower than the number of threads");
    }
    return http_.start();
}

result<void> caller_server::authenticate(const http_call& call) const
{
    const configuration_ptr declared = source_.current();
    if (declared->version == 0) {
        return failure(error_kind::stale_configuration, "this entry has no configuration yet",
                       "send the request again, to any entry");
    }
    const client_account* account = declared->find_account(call.names[0]);
    const std::string token = bearer_token(call.request);
    // The same digest and comparison are made for an unknown account, so that neither the response
    // nor its timing reveals which accounts exist.
    const std::string expected = account != nullptr ? account->token : std::string();
    const std::string digest = std::string(token_digest_prefix) + sha256_hex(token);
    const bool by_digest = expected.starts_with(token_digest_prefix);
    const bool equal = equal_constant_time(by_digest ? digest : token, expected);
    if (!equal || token.empty() || account == nullptr) {
        return failure(error_kind::unauthenticated, "unknown client account or wrong token",
                       "send Authorization: Bearer with the token of the client account");
    }
    return success();
}

result<rpc::submission_request> caller_server::decode(http_call& call,
                                                      const submission_key& key) const
{
    BOOST_OUTCOME_TRY(const std::string body, call.read_body());
    BOOST_OUTCOME_TRY(decoded_submission decoded, decode_submission(key, body));
    BOOST_OUTCOME_TRYV(
        validate_submission(decoded, *source_.current(), settings_.max_deadline, clock_()));
    decoded.request.set_request_id(call.request_id);
    return std::move(decoded.request);
}

result<rpc::submission_answer> caller_server::run(const rpc::submission_request& request)
{
    if (!request.wait()) {
        return service_.submit(request, clock_());
    }
    const absl::Cleanup release = [this] { --waiting_; };
    if (++waiting_ > settings_.max_waiting) {
        return failure(error_kind::overloaded, "too many callers are waiting at this entry",
                       "submit with wait: false and ask for the answer, or try another entry");
    }
    return service_.submit(request, clock_());
}

void caller_server::submit(http_call& call)
{
    const submission_key key = key_of(call);
    const auto authenticated = authenticate(call);
    if (!authenticated) {
        refuse(call, authenticated.error());
        return;
    }
    if (shutting_down_) {
        refuse(call, {error_kind::shutting_down, "this entry is shutting down",
                      "send the same request again, to any entry"});
        return;
    }
    const auto request = decode(call, key);
    if (!request) {
        refuse(call, request.error());
        return;
    }
    const absl::Time begin = clock_();
    respond(call, key, run(request.value()));
    metrics_.distribution("caller_submit_ms").record(absl::ToDoubleMilliseconds(clock_() - begin));
}

void caller_server::run_operation(http_call& call, operation requested)
{
    const submission_key key = key_of(call);
    const auto authenticated = authenticate(call);
    if (!authenticated) {
        refuse(call, authenticated.error());
        return;
    }
    respond(call, key, (service_.*requested)(key, clock_()));
}

void caller_server::respond(http_call& call, const submission_key& key,
                            const result<rpc::submission_answer>& outcome)
{
    if (!outcome) {
        refuse(call, outcome.error());
        return;
    }
    const rpc::submission_answer& answer = outcome.value();
    const auto checked = check_answer(key, answer);
    if (!checked) {
        LOG(ERROR) << log_fields("defective_answer")
                          .add("request_id", call.request_id)
                          .add("submission", to_string(key))
                          .add("problem", checked.error().message);
        refuse(call, checked.error());
        return;
    }
    if (answer.state() == rpc::submission_unknown) {
        refuse(call,
               {error_kind::not_found, "the submission is not known",
                "submit it, or check the id; records are kept until 60 s after the deadline"});
        return;
    }
    nlohmann::json body = encode_answer(answer);
    body["request_id"] = call.request_id;
    const int status = is_completed_cancel(call, answer) ? http_ok : http_status_of(answer);
    metrics_.add(absl::StrCat("caller_answers_total{state=\"",
                              body["state"].get_ref<const std::string&>(), "\"}"));
    send_json(call.response, status, body);
}

void caller_server::refuse(http_call& call, const error& reason)
{
    metrics_.add(
        absl::StrCat("caller_refusals_total{kind=\"", to_absl(name_of(reason.kind)), "\"}"));
    send_error(call.response, reason, call.request_id);
}

} // namespace carobfall
