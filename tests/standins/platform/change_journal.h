#pragma once

#include "carobfall/base/error.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace carobfall::testing {

/// Append-only file with one JSON line per change. A change whose `append` returned survives
/// SIGKILL, but not a power loss, because the file is not synced. Not thread-safe.
class change_journal {
public:
    change_journal() = default;
    ~change_journal();
    change_journal(const change_journal&) = delete;
    change_journal& operator=(const change_journal&) = delete;

    /// Passes every complete line of `directory`/journal.jsonl to `replay` in order and opens the
    /// file for appending. A last line that was cut off is dropped: its change was not
    /// acknowledged. Errors: `unavailable` if the file can't be used, `internal` if a line is not a
    /// change.
    result<void> open(const std::string& directory,
                      const std::function<void(const nlohmann::json&)>& replay);
    /// False if the change could not be written; the file is unchanged then. True without
    /// effect if no file is open.
    bool append(const nlohmann::json& change);

private:
    int file_{-1};
};

} // namespace carobfall::testing
