#include "carobfall/platform/http_table_service.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>

namespace carobfall {
namespace {

using nlohmann::json;

constexpr std::size_t max_response_bytes = 256ULL << 20U;
constexpr int http_ok = 200;

table_row row_of(const json& value)
{
    return {value.at("key").get<std::string>(), value.at("value").get<std::string>(),
            value.at("version").get<std::uint64_t>()};
}

json body_of(const table_transaction& transaction)
{
    json body = {{"conditions", json::array()}, {"writes", json::array()}};
    for (const table_condition& condition : transaction.conditions) {
        body["conditions"].push_back({{"key", condition.key}, {"version", condition.version}});
    }
    for (const table_write& write : transaction.writes) {
        body["writes"].push_back(
            {{"key", write.key}, {"value", write.value ? json(*write.value) : json()}});
    }
    return body;
}

std::string name_of_refusal(const json& reply)
{
    const bool is_refusal = reply.is_object() && reply.contains("error");
    return is_refusal && reply["error"].is_string() ? reply["error"].get<std::string>() : "";
}

/// Error kind of a refusal by the service, which guarantees that the call had no effect.
std::optional<error_kind> refusal_kind(const json& reply)
{
    const std::string name = name_of_refusal(reply);
    if (name == "conflict") {
        return error_kind::conflict;
    }
    if (name == "throttled") {
        return error_kind::overloaded;
    }
    if (name == "unavailable") {
        return error_kind::unavailable;
    }
    if (name == "invalid") {
        return error_kind::internal;
    }
    return std::nullopt;
}

const char* remedy_of(error_kind kind)
{
    switch (kind) {
    case error_kind::conflict:
        return "read the rows again and repeat the transaction";
    case error_kind::overloaded:
        return "repeat the call after a pause";
    case error_kind::internal:
        return "report the defect: client and service disagree about the protocol";
    default:
        return "repeat the call when the table service is available again";
    }
}

httplib::Request request_of(const char* path, const json& body)
{
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.set_header("Content-Type", "application/json");
    request.body = body.dump();
    return request;
}

/// Result of an HTTP call.
struct exchange {
    bool connected{true}; ///< false: nothing was sent
    int status{0};        ///< 0 without a complete response
    std::string body;
    std::string problem;
};

exchange send(httplib::Request request, const ip_endpoint& address, absl::Duration timeout)
{
    const absl::Time deadline = absl::Now() + timeout;
    httplib::Client client(address.ip, address.port);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(absl::ToChronoMicroseconds(timeout / 4));
    client.set_write_timeout(absl::ToChronoMicroseconds(timeout / 4));
    client.set_read_timeout(absl::ToChronoMicroseconds(timeout / 2));

    exchange outcome;
    // The read timeout applies to each part of the response, so the whole needs a deadline.
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t,
                                   std::uint64_t) {
        outcome.body.append(data, size);
        return outcome.body.size() <= max_response_bytes && absl::Now() < deadline;
    };
    const httplib::Result response = client.send(request);
    if (response) {
        outcome.status = response->status;
        outcome.problem = absl::StrCat("status ", response->status);
        return outcome;
    }
    outcome.body.clear();
    outcome.problem = httplib::to_string(response.error());
    outcome.connected = response.error() != httplib::Error::Connection &&
                        response.error() != httplib::Error::ConnectionTimeout;
    return outcome;
}

} // namespace

http_table_service::http_table_service(ip_endpoint address, absl::Duration timeout)
    : address_(std::move(address)), timeout_(timeout)
{}

result<std::optional<table_row>> http_table_service::read(std::string_view key)
{
    BOOST_OUTCOME_TRY(const json response,
                      call("/v1/table/read", {{"key", std::string(key)}}, effect::none));
    try {
        const json& row = response.at("row");
        return row.is_null() ? std::nullopt : std::optional(row_of(row));
    } catch (const json::exception& exception) {
        return failure(error_kind::internal,
                       absl::StrCat("malformed answer of the table service: ", exception.what()),
                       remedy_of(error_kind::internal));
    }
}

result<std::vector<table_row>> http_table_service::scan(std::string_view prefix)
{
    BOOST_OUTCOME_TRY(const json response,
                      call("/v1/table/scan", {{"prefix", std::string(prefix)}}, effect::none));
    try {
        std::vector<table_row> rows;
        for (const json& row : response.at("rows")) {
            rows.push_back(row_of(row));
        }
        return rows;
    } catch (const json::exception& exception) {
        return failure(error_kind::internal,
                       absl::StrCat("malformed answer of the table service: ", exception.what()),
                       remedy_of(error_kind::internal));
    }
}

result<void> http_table_service::commit(const table_transaction& transaction)
{
    BOOST_OUTCOME_TRY(call("/v1/table/commit", body_of(transaction), effect::possible));
    return success();
}

result<json> http_table_service::call(const char* path, const json& body,
                                      effect without_response) const
{
    httplib::Request request;
    try {
        request = request_of(path, body);
    } catch (const json::type_error&) {
        return failure(error_kind::invalid_request, "a key or value is not valid UTF-8",
                       "encode binary values as text");
    }
    const exchange response = send(std::move(request), address_, timeout_);
    const std::string place = absl::StrCat("the table service ", address_.ip, ":", address_.port);
    if (!response.connected) {
        return failure(error_kind::unavailable, place + " can't be reached",
                       "check platform_address and the state of the platform");
    }
    json reply = json::parse(response.body, nullptr, false);
    if (response.status == http_ok && reply.is_object()) {
        return reply;
    }
    if (const std::optional<error_kind> kind = refusal_kind(reply)) {
        return failure(*kind, absl::StrCat(place, " refused the call: ", name_of_refusal(reply)),
                       remedy_of(*kind));
    }
    if (without_response == effect::none) {
        return failure(error_kind::unavailable,
                       absl::StrCat(place, " did not answer: ", response.problem),
                       remedy_of(error_kind::unavailable));
    }
    return failure(
        error_kind::outcome_unknown,
        absl::StrCat("the answer of ", place, " to a commit was lost: ", response.problem),
        "read the rows to see whether the transaction was applied");
}

} // namespace carobfall
