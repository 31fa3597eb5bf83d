#include "carobfall/operators/operator_server.h"

#include "carobfall/base/http_json.h"
#include "carobfall/base/ids.h"
#include "carobfall/operators/change_request.h"
#include "carobfall/operators/operator_json.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace carobfall {
namespace {

constexpr int http_ok = 200;
constexpr int http_accepted = 202;

// Status 202: the change is committed and can't be lost, but isn't confirmed to be in force.
void respond_change(http_call& call, const result<change_report>& outcome, bool dry_run)
{
    if (!outcome) {
        refuse(call, outcome.error());
        return;
    }
    const change_report& report = outcome.value();
    const bool pending = !dry_run && report.committed && !report.in_force_everywhere;
    respond(call, to_json(report, dry_run), pending ? http_accepted : http_ok);
}

std::string key_of(const std::string& prefix, const http_call& call)
{
    std::string key = prefix;
    for (const std::string& name : call.names) {
        absl::StrAppend(&key, "/", name);
    }
    return key;
}

template <typename T>
void respond_list(http_call& call, const char* name, const result<std::vector<T>>& outcome)
{
    if (outcome) {
        respond(call, {{name, to_json_array(outcome.value())}});
    } else {
        refuse(call, outcome.error());
    }
}

} // namespace

operator_server::operator_server(operator_service& service, const state_dump& dump,
                                 const metrics_registry& metrics, readiness_function readiness,
                                 operator_settings settings)
    : service_(service), settings_(std::move(settings)), http_("operator_request", settings_.http)
{
    add_status_routes(http_,
                      {.readiness = std::move(readiness),
                       .metrics_text = [&metrics] { return metrics.to_text(); },
                       .state = [&dump] { return dump.collect(); }},
                      [this](http_handler handler) { return protect(std::move(handler)); });
    add_declaration_routes("/v1/templates/{}/{}", "template");
    add_declaration_routes("/v1/accounts/{}", "account");
    add_configuration_routes();
    add_state_routes();
}

result<void> operator_server::start()
{
    if (settings_.tokens.empty() ||
        std::find(settings_.tokens.begin(), settings_.tokens.end(), "") != settings_.tokens.end()) {
        return failure(error_kind::invalid_request, "there is no operator token or an empty one",
                       "put the operator tokens into the settings");
    }
    return http_.start();
}

http_handler operator_server::protect(http_handler handler) const
{
    return [this, handler = std::move(handler)](http_call& call) {
        if (is_operator(call.request)) {
            handler(call);
        } else {
            refuse(call, {error_kind::unauthenticated, "the operator token is missing or wrong",
                          "send Authorization: Bearer with the operator token"});
        }
    };
}

void operator_server::add_protected(const std::string& method, const std::string& pattern,
                                    http_handler handler)
{
    http_.add_route(method, pattern, protect(std::move(handler)));
}

bool operator_server::is_operator(const httplib::Request& request) const
{
    const std::string presented = bearer_token(request);
    bool equal = false;
    for (const std::string& token : settings_.tokens) {
        equal = equal_constant_time(presented, token) || equal; // no early exit: constant time
    }
    return equal;
}

void operator_server::add_declaration_routes(const std::string& path, const std::string& prefix)
{
    add_protected("GET", path, [this, prefix](http_call& call) {
        const auto found = service_.find_declaration(key_of(prefix, call));
        if (found) {
            respond(call, to_json(found.value()));
        } else {
            refuse(call, found.error());
        }
    });
    add_protected("PUT", path, [this, prefix](http_call& call) {
        const auto options = options_from_query(call.request);
        const auto body = call.read_body();
        if (!options || !body) {
            refuse(call, options ? body.error() : options.error());
            return;
        }
        respond_change(call, service_.apply(body.value(), key_of(prefix, call), options.value()),
                       options.value().dry_run);
    });
    add_protected("DELETE", path, [this, prefix](http_call& call) {
        const auto options = options_from_query(call.request);
        if (!options) {
            refuse(call, options.error());
            return;
        }
        respond_change(call, service_.remove(key_of(prefix, call), options.value()),
                       options.value().dry_run);
    });
}

void operator_server::add_configuration_routes()
{
    add_protected("GET", "/v1/configuration",
                  [this](http_call& call) { list_configuration(call); });
    add_protected("POST", "/v1/apply", [this](http_call& call) { apply(call); });
    add_protected("GET", "/v1/data-centres", [this](http_call& call) {
        respond_list(call, "data_centres", service_.data_centres());
    });
    add_protected("POST", "/v1/data-centres/{}/out",
                  [this](http_call& call) { set_data_centre(call, true); });
    add_protected("POST", "/v1/data-centres/{}/in",
                  [this](http_call& call) { set_data_centre(call, false); });
}

void operator_server::add_state_routes()
{
    add_protected("GET", "/v1/backends",
                  [this](http_call& call) { respond_list(call, "backends", service_.backends()); });
    add_protected("POST", "/v1/entries/{}/forget", [this](http_call& call) {
        const auto done = service_.forget_entry(call.names[0]);
        if (done) {
            respond(call, {{"forgotten", call.names[0]}});
        } else {
            refuse(call, done.error());
        }
    });
    add_protected("POST", "/v1/retry-now", [this](http_call& call) { retry_now(call); });
}

void operator_server::list_configuration(http_call& call)
{
    const std::string prefix = call.request.get_param_value("prefix");
    const auto rows = service_.list_declarations(prefix);
    if (!rows) {
        refuse(call, rows.error());
        return;
    }
    respond(call,
            {{"version", service_.configuration_version()}, {"rows", to_json_array(rows.value())}});
}

void operator_server::apply(http_call& call)
{
    const auto body = call.read_body();
    if (!body) {
        refuse(call, body.error());
        return;
    }
    const auto request = decode_apply(body.value());
    if (!request) {
        refuse(call, request.error());
        return;
    }
    const change_options& options = request.value().options;
    respond_change(call, service_.apply(request.value().yaml, {}, options), options.dry_run);
}

void operator_server::set_data_centre(http_call& call, bool out)
{
    const auto options = options_from_query(call.request);
    if (!options) {
        refuse(call, options.error());
        return;
    }
    respond_change(call, service_.set_data_centre(call.names[0], out, options.value()),
                   options.value().dry_run);
}

void operator_server::retry_now(http_call& call)
{
    const std::string agent = call.request.get_param_value("agent");
    if (!agent.empty() && !is_valid_name(agent)) {
        refuse(call, {error_kind::invalid_request, "the name of the agent is not valid",
                      "send agent=NAME as listed by GET /v1/backends, or nothing for all"});
        return;
    }
    const auto cleared = service_.retry_now(agent);
    if (cleared) {
        respond(call, {{"cleared", cleared.value()}});
    } else {
        refuse(call, cleared.error());
    }
}

} // namespace carobfall
