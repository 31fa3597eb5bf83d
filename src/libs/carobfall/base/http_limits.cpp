#include "carobfall/base/http_limits.h"

#include "carobfall/base/strings.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <cstdint>

namespace carobfall {
namespace {

result<void> check_headers(const httplib::Request& request)
{
    std::size_t bytes = 0;
    for (const auto& [name, value] : request.headers) {
        bytes += name.size() + value.size();
    }
    if (request.headers.size() > max_header_lines || bytes > max_header_bytes) {
        return failure(error_kind::payload_too_large, "the request headers are too large",
                       "send at most 64 header lines with 16 KiB in total");
    }
    return success();
}

// Ambiguous framing would let the end of one request be read as the start of the next one.
result<void> check_framing(const httplib::Request& request)
{
    const std::size_t lengths = request.get_header_value_count("Content-Length");
    const std::size_t encodings = request.get_header_value_count("Transfer-Encoding");
    std::uint64_t length = 0;
    if (lengths + encodings > 1 ||
        (lengths == 1 && !absl::SimpleAtoi(request.get_header_value("Content-Length"), &length)) ||
        (encodings == 1 &&
         !absl::EqualsIgnoreCase(request.get_header_value("Transfer-Encoding"), "chunked"))) {
        return failure(error_kind::invalid_request, "the length of the body is ambiguous",
                       "send either one Content-Length or Transfer-Encoding: chunked");
    }
    const bool takes_body = request.method == "POST" || request.method == "PUT" ||
                            request.method == "PATCH" || request.method == "DELETE";
    if (!takes_body && (length > 0 || encodings > 0)) {
        return failure(error_kind::invalid_request, "a " + request.method + " request has no body",
                       "send the request without a body");
    }
    return success();
}

} // namespace

result<void> check_request_shape(const httplib::Request& request)
{
    if (request.path.size() > max_path_bytes) {
        return failure(error_kind::invalid_request, "the request path is too long",
                       "send a path of at most 512 bytes");
    }
    if (absl::StartsWithIgnoreCase(request.get_header_value("Content-Type"), "multipart/")) {
        return failure(error_kind::invalid_request, "multipart bodies are not accepted",
                       "send the body as application/json");
    }
    BOOST_OUTCOME_TRYV(check_headers(request));
    return check_framing(request);
}

bool has_body(const httplib::Request& request)
{
    return request.has_header("Content-Length") || request.has_header("Transfer-Encoding");
}

} // namespace carobfall
