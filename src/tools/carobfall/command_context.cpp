#include "command_context.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace carobfall::tool {

result<std::string> read_file(const std::string& name)
{
    std::ifstream file(name, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        return failure(error_kind::invalid_request, "can't read " + name,
                       "check that the file exists and isn't empty");
    }
    return text.str();
}

exit_code report_error(command_context& context, const error& problem)
{
    context.progress << to_string(problem) << "\n";
    return problem.kind == error_kind::unavailable ? exit_code::unreachable
                                                   : exit_code_of(problem.kind);
}

exit_code report_document(command_context& context, const nlohmann::json& document)
{
    if (const auto kind = error_kind_of(document)) {
        const nlohmann::json& problem = document["error"];
        context.progress << to_string(error{*kind, text_of(problem, "message"),
                                            text_of(problem, "remedy")})
                         << "; request id " << text_of(document, "request_id") << "\n";
    }
    return exit_code_of(document);
}

std::optional<nlohmann::json> fetch(command_context& context, const api_request& request,
                                    exit_code& code)
{
    auto response = context.client.call(request);
    if (!response) {
        code = report_error(context, response.error());
        return std::nullopt;
    }
    code = report_document(context, response.value().body);
    if (code != exit_code::ok) {
        return std::nullopt;
    }
    return std::move(response).value().body;
}

std::string text_of(const nlohmann::json& object, const char* key)
{
    const auto found = object.find(key);
    if (found == object.end()) {
        return {};
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

void print_table(std::ostream& out, const std::vector<std::vector<std::string>>& rows)
{
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const bool last = i + 1 == row.size();
            out << row[i] << std::string(last ? 0 : widths[i] + gap - row[i].size(), ' ');
        }
        out << "\n";
    }
}

} // namespace carobfall::tool
