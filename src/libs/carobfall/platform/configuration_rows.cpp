#include "carobfall/platform/configuration_rows.h"

#include "carobfall/base/strings.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

namespace carobfall {
namespace {

using nlohmann::json;

auto unreadable(const std::string& key)
{
    return failure(error_kind::internal, "the row " + key + " of the table service is not readable",
                   "restore the row from a dump");
}

} // namespace

std::string configuration_row_key(std::string_view key)
{
    return absl::StrCat(to_absl(configuration_row_prefix), to_absl(key));
}

std::string configuration_log_key(std::uint64_t version)
{
    return absl::StrFormat("config/log/%020u", version);
}

std::string change_record_key(std::string_view change_id)
{
    return absl::StrCat("config/change/", to_absl(change_id));
}

std::string encode_change(const rpc::configuration_change& change)
{
    return json{{"version", change.version()},
                {"change_id", change.change_id()},
                {"key", change.key()},
                {"value", change.value()},
                {"deleted", change.deleted()}}
        .dump();
}

result<rpc::configuration_change> decode_change(const table_row& row)
{
    try {
        const json value = json::parse(row.value);
        rpc::configuration_change change;
        change.set_version(value.at("version").get<std::uint64_t>());
        change.set_change_id(value.at("change_id").get<std::string>());
        change.set_key(value.at("key").get<std::string>());
        change.set_value(value.at("value").get<std::string>());
        change.set_deleted(value.at("deleted").get<bool>());
        return change;
    } catch (const json::exception&) {
        return unreadable(row.key);
    }
}

std::string encode_record(const change_record& record)
{
    return json{{"version", record.version}, {"digest", record.digest}}.dump();
}

result<change_record> decode_record(const table_row& row)
{
    try {
        const json value = json::parse(row.value);
        return change_record{value.at("version").get<std::uint64_t>(),
                             value.at("digest").get<std::string>()};
    } catch (const json::exception&) {
        return unreadable(row.key);
    }
}

result<configuration_head> decode_head(const std::optional<table_row>& row)
{
    configuration_head head;
    if (!row) {
        return head;
    }
    head.row_version = row->version;
    if (!absl::SimpleAtoi(row->value, &head.version)) {
        return unreadable(row->key);
    }
    return head;
}

} // namespace carobfall
