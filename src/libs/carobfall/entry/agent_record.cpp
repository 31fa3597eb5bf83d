#include "carobfall/entry/agent_record.h"

#include "carobfall/base/clock.h"
#include "carobfall/entry/claim_store.h"

#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace carobfall {
namespace {

nlohmann::json info_to_json(const rpc::agent_info& info)
{
    std::string text;
    // Fails only on invalid UTF-8, which protobuf strings can't contain.
    (void)google::protobuf::util::MessageToJsonString(info, &text);
    return nlohmann::json::parse(text, nullptr, false);
}

bool info_from_json(const nlohmann::json& json, rpc::agent_info& info)
{
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    return google::protobuf::util::JsonStringToMessage(json.dump(), &info, options).ok();
}

} // namespace

std::string to_json(const agent_record& record)
{
    nlohmann::json json{{"current", info_to_json(record.current)},
                        {"left", record.left},
                        {"joined_in_view", record.joined_in_view},
                        {"lost", nlohmann::json::array()}};
    for (const agent_member& member : record.lost) {
        json["lost"].push_back(
            {{"info", info_to_json(member.info)}, {"lost_at_unix_ms", to_unix_ms(member.lost_at)}});
    }
    return json.dump();
}

result<agent_record> agent_record_from_json(const std::string& text)
{
    const auto invalid = [] {
        return failure(error_kind::internal, "the row of an agent is malformed",
                       "restore the row from a backup of the table service");
    };
    agent_record record;
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        record.left = json.at("left").get<bool>();
        record.joined_in_view = json.at("joined_in_view").get<std::uint64_t>();
        if (!info_from_json(json.at("current"), record.current)) {
            return invalid();
        }
        for (const nlohmann::json& lost : json.at("lost")) {
            agent_member member;
            member.lost = true;
            member.lost_at = from_unix_ms(lost.at("lost_at_unix_ms").get<std::int64_t>());
            if (!info_from_json(lost.at("info"), member.info)) {
                return invalid();
            }
            record.lost.push_back(std::move(member));
        }
    } catch (const nlohmann::json::exception&) {
        return invalid();
    }
    return record;
}

bool is_expired_loss(absl::Time lost_at, absl::Time now)
{
    return now - lost_at > max_deadline + record_retention;
}

void trim_lost(agent_record& record, absl::Time now)
{
    record.lost.erase(std::remove_if(record.lost.begin(), record.lost.end(),
                                     [&](const agent_member& member) {
                                         return is_expired_loss(member.lost_at, now);
                                     }),
                      record.lost.end());
}

} // namespace carobfall
