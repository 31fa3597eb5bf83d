#include "api_client.h"

#include "carobfall/base/strict_json.h"

#include <httplib.h>

#include <utility>

namespace carobfall::tool {
namespace {

constexpr absl::Duration connect_timeout = absl::Seconds(2);

httplib::Result send(httplib::Client& client, const api_request& request)
{
    if (request.method == "POST") {
        return client.Post(request.path, request.body, "application/json");
    }
    return request.method == "DELETE" ? client.Delete(request.path) : client.Get(request.path);
}

error transport_error(const std::string& entry, httplib::Error problem)
{
    const std::string reason = entry + ": " + httplib::to_string(problem);
    switch (problem) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
        return {error_kind::unavailable, "can't reach " + reason,
                "check --entry and that the entry is running"};
    default:
        return {error_kind::outcome_unknown, "no response from " + reason,
                "ask for the state, or send the same request with the same id again"};
    }
}

} // namespace

api_client::api_client(std::vector<std::string> entries, std::string token)
    : entries_(std::move(entries)), token_(std::move(token))
{}

result<api_response> api_client::call_entry(const std::string& entry,
                                            const api_request& request) const
{
    httplib::Client client(entry);
    client.set_connection_timeout(absl::ToChronoMilliseconds(connect_timeout));
    client.set_read_timeout(absl::ToChronoMilliseconds(request.read_timeout));
    client.set_bearer_token_auth(token_);
    const httplib::Result response = send(client, request);
    if (!response) {
        return boost::outcome_v2::failure(transport_error(entry, response.error()));
    }
    auto body = parse_strict_json(response->body);
    if (!body || !body.value().is_object()) {
        return failure(error_kind::outcome_unknown, entry + " answered without a JSON object",
                       "check that --entry is the address of an entry");
    }
    return api_response{response->status, std::move(body).value()};
}

result<api_response> api_client::call(const api_request& request)
{
    error last{error_kind::unavailable, "no entry is given", "give --entry ADDRESS"};
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        auto response = call_entry(entries_[preferred_], request);
        if (response) {
            return response;
        }
        if (last.kind != error_kind::outcome_unknown) {
            last = response.error();
        }
        prefer_next_entry();
    }
    return failure(last.kind, last.message, last.remedy);
}

void api_client::prefer_next_entry()
{
    preferred_ = entries_.empty() ? 0 : (preferred_ + 1) % entries_.size();
}

} // namespace carobfall::tool
