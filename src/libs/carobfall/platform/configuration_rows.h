#pragma once

#include "carobfall/platform/table_service.h"
#include "carobfall/rpc/carobfall.pb.h"

namespace carobfall {

/// Rows of the configuration in the table service:
///
/// | key                          | value                                             |
/// | config/head                  | version of the configuration, a decimal number    |
/// | config/row/<key>             | the last change of the row, deletions included    |
/// | config/log/<version>         | the change that made this version                 |
/// | config/change/<change id>    | version and digest of the changes with this id    |
inline constexpr std::string_view configuration_head_key = "config/head";
inline constexpr std::string_view configuration_row_prefix = "config/row/";

[[nodiscard]] std::string configuration_row_key(std::string_view key);
[[nodiscard]] std::string configuration_log_key(std::uint64_t version);
[[nodiscard]] std::string change_record_key(std::string_view change_id);

/// Version of the configuration together with the version of its row.
struct configuration_head {
    std::uint64_t version{0};
    std::uint64_t row_version{0};
};

/// Stored under each change id to recognise a repeated request.
struct change_record {
    std::uint64_t version{0}; ///< version of the last change with this id
    std::string digest;       ///< digest of the changes' content
};

/// Conversion of rows to and from JSON text. Errors: `internal` for a row that can't be read.
[[nodiscard]] std::string encode_change(const rpc::configuration_change& change);
[[nodiscard]] result<rpc::configuration_change> decode_change(const table_row& row);
[[nodiscard]] std::string encode_record(const change_record& record);
[[nodiscard]] result<change_record> decode_record(const table_row& row);
/// Version 0 if the row doesn't exist.
[[nodiscard]] result<configuration_head> decode_head(const std::optional<table_row>& row);

} // namespace carobfall
