#include "carobfall/operators/operator_json.h"

#include <absl/strings/str_cat.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>

namespace carobfall {
namespace {

using json = nlohmann::json;

constexpr const char* redacted_token = "hidden";
// Declarations are two levels deep; the limit protects against deeply nested input.
constexpr int max_redaction_depth = 16;

void redact_tokens(YAML::Node node, int depth)
{
    if (depth > max_redaction_depth) {
        node = YAML::Node();
        return;
    }
    if (node.IsMap()) {
        for (auto entry : node) {
            if (entry.first.IsScalar() && entry.first.Scalar() == "token") {
                entry.second = redacted_token;
            } else {
                redact_tokens(entry.second, depth + 1);
            }
        }
    } else if (node.IsSequence()) {
        for (auto entry : node) {
            redact_tokens(entry, depth + 1);
        }
    }
}

std::string_view state_of(const change_report& report, bool dry_run)
{
    const bool unchanged =
        std::all_of(report.rows.begin(), report.rows.end(),
                    [](const row_change& row) { return row.action == change_action::unchanged; });
    if (dry_run) {
        return "dry_run";
    }
    if (!report.committed) {
        return unchanged ? "unchanged" : "not_committed";
    }
    return report.in_force_everywhere ? "in_force" : "committed_not_confirmed";
}

} // namespace

std::string_view name_of(change_action action)
{
    switch (action) {
    case change_action::created:
        return "created";
    case change_action::updated:
        return "updated";
    case change_action::removed:
        return "removed";
    case change_action::unchanged:
        break;
    }
    return "unchanged";
}

std::string without_tokens(const std::string& yaml)
{
    if (yaml.find("token") == std::string::npos) {
        return yaml;
    }
    std::string shown;
    try {
        for (const YAML::Node& document : YAML::LoadAll(yaml)) {
            redact_tokens(document, 0);
            absl::StrAppend(&shown, shown.empty() ? "" : "---\n", YAML::Dump(document), "\n");
        }
    } catch (const YAML::Exception&) {
        return {};
    }
    return shown;
}

json to_json(const declared_row& row)
{
    return {{"key", row.key}, {"version", row.version}, {"yaml", without_tokens(row.yaml)}};
}

json to_json(const change_report& report, bool dry_run)
{
    json rows = json::array();
    for (const row_change& row : report.rows) {
        rows.push_back({{"key", row.key},
                        {"action", name_of(row.action)},
                        {"before", without_tokens(row.before)},
                        {"after", without_tokens(row.after)}});
    }
    return {{"change_id", report.change_id},
            {"version", report.version},
            {"state", state_of(report, dry_run)},
            {"in_force_everywhere", report.in_force_everywhere},
            {"rows", std::move(rows)}};
}

json to_json(const data_centre_status& status)
{
    return {{"name", status.name},
            {"out", status.out},
            {"agents", status.agents},
            {"slots", status.slots},
            {"running", status.running}};
}

json to_json(const backend_status& status)
{
    return {{"agent", status.agent},
            {"backend_server", status.backend_server},
            {"data_centre", status.data_centre},
            {"rack", status.rack},
            {"slots", status.slots},
            {"running", status.running},
            {"queued", status.queued},
            {"available", status.available},
            {"leaving", status.leaving},
            {"backoff_ms", absl::ToInt64Milliseconds(status.backoff)},
            {"backoff_reason", status.backoff_reason}};
}

} // namespace carobfall
