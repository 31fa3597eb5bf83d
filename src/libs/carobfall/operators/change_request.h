#pragma once

#include "carobfall/base/error.h"
#include "carobfall/base/http_server.h"
#include "carobfall/operators/operator_service.h"

#include <string>
#include <string_view>

namespace carobfall {

/// Body of `POST /v1/apply`.
struct apply_request {
    std::string yaml;
    change_options options;
};

/// Reads the options from the query: `change_id`, `expected_version`, `dry_run`. Without a change
/// id a random one is used. Errors: `invalid_request`.
[[nodiscard]] result<change_options> options_from_query(const httplib::Request& request);

/// Decodes {"yaml", "remove", "change_id", "expected_version", "dry_run"}; only `yaml` is required.
/// Errors: `invalid_request`.
[[nodiscard]] result<apply_request> decode_apply(std::string_view body);

} // namespace carobfall
