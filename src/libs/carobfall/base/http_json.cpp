#include "carobfall/base/http_json.h"

#include "carobfall/base/ids.h"
#include "carobfall/base/strings.h"

#include <absl/strings/match.h>

namespace carobfall {
namespace {

constexpr std::string_view bearer_prefix = "Bearer ";

} // namespace

nlohmann::json to_json(const error& failure)
{
    return {
        {"kind", name_of(failure.kind)}, {"message", failure.message}, {"remedy", failure.remedy}};
}

nlohmann::json error_document(const error& failure, std::string_view request_id)
{
    return {{"error", to_json(failure)}, {"request_id", request_id}};
}

void send_json(httplib::Response& response, int status, const nlohmann::json& body)
{
    response.status = status;
    response.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n",
                         "application/json");
}

void send_error(httplib::Response& response, const error& failure, std::string_view request_id)
{
    send_json(response, http_status_of(failure.kind), error_document(failure, request_id));
}

std::string bearer_token(const httplib::Request& request)
{
    if (request.get_header_value_count("Authorization") != 1) {
        return {};
    }
    const std::string value = request.get_header_value("Authorization");
    if (!absl::StartsWithIgnoreCase(to_absl(value), to_absl(bearer_prefix))) {
        return {};
    }
    return value.substr(bearer_prefix.size());
}

std::string request_id_of(const httplib::Request& request)
{
    std::string given = request.get_header_value("X-Request-Id");
    return is_valid_name(given) ? given : random_id();
}

} // namespace carobfall
