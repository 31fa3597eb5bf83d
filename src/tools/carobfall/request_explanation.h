#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace carobfall::tool {

/// One structured log line of a process, see docs/OPERATIONS.md.
struct log_line {
    std::string process;
    std::string event;
    std::uint64_t number{0};                   ///< sequence number; starts again with the process
    std::size_t incarnation{0};                ///< counts the starts of the process in the logs
    std::int64_t time_ms{0};                   ///< since the start of its machine
    std::map<std::string, std::string> fields; ///< all other fields

    [[nodiscard]] std::string text(std::string_view field) const;
    /// Returns 0 if the field is missing or is not a number.
    [[nodiscard]] std::int64_t integer(std::string_view field) const;
};

/// Reads structured log lines. Text before `t=` on a line is ignored, other lines are skipped. The
/// lines of one process have to be in order; those of several processes may be interleaved.
class log_reader {
public:
    void read(std::istream& input);

    [[nodiscard]] const std::vector<log_line>& lines() const { return lines_; }
    /// Number of lines that processes dropped because the reader of their output was too slow.
    [[nodiscard]] std::size_t missing_lines() const { return missing_; }

private:
    std::vector<log_line> lines_;
    std::map<std::string, log_line> last_; ///< by process
    std::size_t missing_{0};
};

/// Log lines of one request, with the outcome and its cause.
struct request_explanation {
    std::vector<log_line> lines; ///< causes precede their effects
    std::string outcome;         ///< "succeeded", "succeeded late", "refused", ...
    std::string cause;           ///< one sentence
};

/// Explains the request with this id. Timestamps of different processes are not compared: lines of
/// one process keep their order; between processes, a placement precedes the start of its tasks,
/// and the end of a task precedes its return and the answer. No lines if the logs don't name the
/// id.
[[nodiscard]] request_explanation explain_request(const std::vector<log_line>& lines,
                                                  std::string_view id);

} // namespace carobfall::tool
