#include "operator_commands.h"

#include "line_diff.h"

#include "carobfall/base/ids.h"
#include "carobfall/config/declarations.h"

#include <optional>
#include <utility>

namespace carobfall::tool {
namespace {

using json = nlohmann::json;

// An accepted change is in force within 5 s; the remaining attempts allow for a slow store.
constexpr int confirmation_attempts = 20;
constexpr absl::Duration confirmation_pause = absl::Milliseconds(500);

/// The documents of all files in one text, and the keys that they declare.
struct document_set {
    std::string yaml;
    std::set<std::string> keys;
};

result<document_set> read_documents(const std::vector<std::string>& files)
{
    document_set documents;
    for (const std::string& name : files) {
        BOOST_OUTCOME_TRY(const std::string text, read_file(name));
        BOOST_OUTCOME_TRY(const auto declarations, parse_declarations(text, name));
        for (const declaration& declared : declarations) {
            if (!documents.keys.insert(key_of(declared)).second) {
                return failure(error_kind::invalid_request,
                               name + ": " + key_of(declared) + " is declared in another file, too",
                               "keep one of the two documents");
            }
        }
        documents.yaml += (documents.yaml.empty() ? "" : "\n---\n") + text;
    }
    return documents;
}

std::string account_of(const std::string& key)
{
    const std::string rest = key.substr(key.find('/') + 1);
    return rest.substr(0, rest.find('/'));
}

} // namespace

exit_code validate_files(const std::vector<std::string>& files, std::ostream& out,
                         std::ostream& errors)
{
    const auto documents = read_documents(files);
    if (!documents) {
        errors << to_string(documents.error()) << "\n";
        return exit_code::invalid_input;
    }
    for (const std::string& key : documents.value().keys) {
        out << "valid " << key << "\n";
    }
    return exit_code::ok;
}

operator_commands::operator_commands(command_context& context,
                                     std::function<void(absl::Duration)> sleep)
    : context_(context), sleep_(std::move(sleep))
{}

exit_code operator_commands::apply(const std::vector<std::string>& files,
                                   const apply_options& options)
{
    const auto documents = read_documents(files);
    if (!documents) {
        return report_error(context_, documents.error());
    }
    json body{
        {"yaml", documents.value().yaml}, {"dry_run", options.dry_run}, {"change_id", random_id()}};
    if (options.prune) {
        exit_code code = exit_code::ok;
        const auto removed = undeclared_templates(documents.value().keys, code);
        if (!removed) {
            return code;
        }
        body["remove"] = *removed;
    }
    return change({"POST", "/v1/apply", body.dump(-1, ' ', false, json::error_handler_t::replace)},
                  options.as_diff);
}

std::optional<std::vector<std::string>>
operator_commands::undeclared_templates(const std::set<std::string>& declared, exit_code& code)
{
    std::set<std::string> accounts;
    for (const std::string& key : declared) {
        accounts.insert(account_of(key));
    }
    std::vector<std::string> keys;
    for (const std::string& account : accounts) {
        const auto stored =
            fetch(context_, {"GET", "/v1/configuration?prefix=template/" + account + "/"}, code);
        if (!stored) {
            return std::nullopt;
        }
        for (const json& row : stored->value("rows", json::array())) {
            if (!declared.contains(text_of(row, "key"))) {
                keys.push_back(text_of(row, "key"));
            }
        }
    }
    return keys;
}

exit_code operator_commands::remove_template(const std::string& name)
{
    const json body{{"yaml", ""}, {"remove", {"template/" + name}}, {"change_id", random_id()}};
    return change({"POST", "/v1/apply", body.dump()}, false);
}

exit_code operator_commands::set_data_centre(const std::string& name, bool out)
{
    return change(
        {"POST", "/v1/data-centres/" + name + (out ? "/out" : "/in") + "?change_id=" + random_id()},
        false);
}

exit_code operator_commands::change(const api_request& request, bool as_diff)
{
    for (int attempt = 1;; ++attempt) {
        exit_code code = exit_code::ok;
        const auto report = fetch(context_, request, code);
        const bool unconfirmed = report && text_of(*report, "state") == "committed_not_confirmed";
        if (report && !unconfirmed) {
            print_change(*report, as_diff);
            return exit_code::ok;
        }
        // A change with an unknown outcome can be resubmitted safely under the same change id.
        const bool may_repeat = unconfirmed || code == exit_code::outcome_unknown;
        if (!may_repeat || attempt == confirmation_attempts) {
            if (report) {
                print_change(*report, as_diff);
            }
            return unconfirmed ? exit_code::outcome_unknown : code;
        }
        context_.progress << (unconfirmed ? "committed, waiting until it is confirmed in force\n"
                                          : "sending the same change again\n");
        sleep_(confirmation_pause);
    }
}

void operator_commands::print_change(const json& report, bool as_diff)
{
    if (context_.json_output) {
        context_.out << report.dump() << "\n";
        return;
    }
    for (const json& row : report.value("rows", json::array())) {
        context_.out << text_of(row, "action") << " " << text_of(row, "key") << "\n";
        if (as_diff) {
            context_.out << line_diff(text_of(row, "before"), text_of(row, "after"));
        }
    }
    context_.out << text_of(report, "state") << ", version " << text_of(report, "version")
                 << ", change " << text_of(report, "change_id") << "\n";
}

exit_code operator_commands::get_template(const std::string& name)
{
    exit_code code = exit_code::ok;
    if (const auto row = fetch(context_, {"GET", "/v1/templates/" + name}, code)) {
        context_.out << (context_.json_output ? row->dump() + "\n" : text_of(*row, "yaml"));
    }
    return code;
}

exit_code operator_commands::list_templates(const std::string& account)
{
    const std::string prefix = "template/" + (account.empty() ? "" : account + "/");
    return print_list("/v1/configuration?prefix=" + prefix, "rows", {"key", "version"});
}

exit_code operator_commands::list_data_centres()
{
    return print_list("/v1/data-centres", "data_centres",
                      {"name", "out", "agents", "slots", "running"});
}

exit_code operator_commands::list_backends()
{
    return print_list("/v1/backends", "backends",
                      {"agent", "backend_server", "data_centre", "rack", "slots", "running",
                       "queued", "available", "leaving", "backoff_ms", "backoff_reason"});
}

exit_code operator_commands::print_list(const std::string& path, const char* member,
                                        const std::vector<const char*>& columns)
{
    exit_code code = exit_code::ok;
    const auto document = fetch(context_, {"GET", path}, code);
    if (!document) {
        return code;
    }
    if (context_.json_output) {
        context_.out << document->dump() << "\n";
        return code;
    }
    std::vector<std::vector<std::string>> rows{{columns.begin(), columns.end()}};
    for (const json& item : document->value(member, json::array())) {
        std::vector<std::string>& row = rows.emplace_back();
        for (const char* column : columns) {
            row.push_back(text_of(item, column));
        }
    }
    print_table(context_.out, rows);
    return code;
}

exit_code operator_commands::list_entries()
{
    exit_code code = exit_code::ok;
    const auto document = fetch(context_, {"GET", "/debug/state"}, code);
    if (document) {
        const json state = document->value("state", json::object());
        context_.out << state.value("view", json::object()).dump(context_.json_output ? -1 : 2)
                     << "\n";
    }
    return code;
}

exit_code operator_commands::forget_entry(const std::string& name)
{
    exit_code code = exit_code::ok;
    if (const auto done = fetch(context_, {"POST", "/v1/entries/" + name + "/forget"}, code)) {
        context_.out << (context_.json_output ? done->dump() : "forgotten " + name) << "\n";
    }
    return code;
}

exit_code operator_commands::retry_now(const std::string& agent)
{
    exit_code code = exit_code::ok;
    const std::string query = agent.empty() ? "" : "?agent=" + agent;
    if (const auto done = fetch(context_, {"POST", "/v1/retry-now" + query}, code)) {
        context_.out << (context_.json_output ? done->dump()
                                              : "cleared " + text_of(*done, "cleared"))
                     << "\n";
    }
    return code;
}

exit_code operator_commands::dump()
{
    constexpr int indent = 2;
    exit_code code = exit_code::ok;
    if (const auto document = fetch(context_, {"GET", "/debug/state"}, code)) {
        context_.out
            << document->value("state", json::object()).dump(context_.json_output ? -1 : indent)
            << "\n";
    }
    return code;
}

} // namespace carobfall::tool
