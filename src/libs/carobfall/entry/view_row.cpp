#include "carobfall/entry/view_row.h"

#include <absl/strings/str_cat.h>
#include <google/protobuf/util/json_util.h>

namespace carobfall {

view_row::view_row(table_service& table, std::string_view region)
    : table_(table), key_(absl::StrCat("view/", std::string(region)))
{}

result<std::optional<stored_proposal>> view_row::read()
{
    BOOST_OUTCOME_TRY(auto row, table_.read(key_));
    if (!row) {
        return std::nullopt;
    }
    stored_proposal stored;
    stored.row_version = row->version;
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    if (!google::protobuf::util::JsonStringToMessage(row->value, &stored.proposal, options).ok()) {
        return failure(error_kind::internal, absl::StrCat("row ", key_, " is not a view proposal"),
                       "restore the row from a backup of the table service");
    }
    return std::optional(std::move(stored));
}

result<void> view_row::replace(const rpc::view_proposal& proposal, std::uint64_t expected_version)
{
    std::string text;
    if (!google::protobuf::util::MessageToJsonString(proposal, &text).ok()) {
        return failure(error_kind::internal, "the view proposal can't be written as JSON",
                       "check that the names of the entries are valid UTF-8");
    }
    return table_.commit({{{key_, expected_version}}, {{key_, std::move(text)}}});
}

} // namespace carobfall
