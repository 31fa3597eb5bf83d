#pragma once

#include "carobfall/base/error.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace carobfall {

/// {"kind", "message", "remedy"}
[[nodiscard]] nlohmann::json to_json(const error& failure);

/// {"error": {"kind", "message", "remedy"}, "request_id"}
[[nodiscard]] nlohmann::json error_document(const error& failure, std::string_view request_id);

/// Sets status and body. Invalid UTF-8 in strings becomes the replacement character.
void send_json(httplib::Response& response, int status, const nlohmann::json& body);

/// Sets the status of the error's kind and the error document as body.
void send_error(httplib::Response& response, const error& failure, std::string_view request_id);

/// The token of an `Authorization: Bearer` header; empty if there is not exactly one such header.
[[nodiscard]] std::string bearer_token(const httplib::Request& request);

/// The X-Request-Id header if it is a valid name, or else a new random id.
[[nodiscard]] std::string request_id_of(const httplib::Request& request);

} // namespace carobfall
