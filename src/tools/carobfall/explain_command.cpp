#include "explain_command.h"

#include "request_explanation.h"

#include <nlohmann/json.hpp>

#include <fstream>

namespace carobfall::tool {
namespace {

using json = nlohmann::json;

json document_of(const request_explanation& explanation, const std::string& id, std::size_t missing)
{
    json lines = json::array();
    for (const log_line& line : explanation.lines) {
        lines.push_back({{"process", line.process},
                         {"event", line.event},
                         {"time_ms", line.time_ms},
                         {"fields", line.fields}});
    }
    return {{"id", id},
            {"lines", std::move(lines)},
            {"outcome", explanation.outcome},
            {"cause", explanation.cause},
            {"missing_lines", missing}};
}

void print_text(const request_explanation& explanation, std::size_t missing, std::ostream& out)
{
    for (const log_line& line : explanation.lines) {
        out << line.process << ": " << line.event;
        for (const auto& [key, value] : line.fields) {
            if (key != "job" && key != "data_centre") {
                out << " " << key << "=" << value;
            }
        }
        out << "\n";
    }
    if (missing > 0) {
        out << "(the processes left out " << missing << " lines)\n";
    }
    out << "outcome: " << explanation.outcome << "\ncause: " << explanation.cause << "\n";
}

} // namespace

exit_code explain(const explain_options& options, std::istream& input, std::ostream& out,
                  std::ostream& errors)
{
    log_reader reader;
    for (const std::string& name : options.files) {
        std::ifstream file(name);
        if (!file) {
            errors << "can't read " << name << " (check the name and its permissions)\n";
            return exit_code::invalid_input;
        }
        reader.read(file);
    }
    if (options.files.empty()) {
        reader.read(input);
    }
    const request_explanation explanation = explain_request(reader.lines(), options.id);
    if (explanation.lines.empty()) {
        errors << "none of " << reader.lines().size() << " lines names the request " << options.id
               << " (give the logs of all entries and agents; a request without a line has reached "
                  "no entry)\n";
        return exit_code::invalid_input;
    }
    if (options.json_output) {
        out << document_of(explanation, options.id, reader.missing_lines()).dump(2) << "\n";
    } else {
        print_text(explanation, reader.missing_lines(), out);
    }
    return exit_code::ok;
}

} // namespace carobfall::tool
