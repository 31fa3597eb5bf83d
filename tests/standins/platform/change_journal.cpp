#include "change_journal.h"

#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace carobfall::testing {

using nlohmann::json;

change_journal::~change_journal()
{
    if (file_ >= 0) {
        close(file_);
    }
}

result<void> change_journal::open(const std::string& directory,
                                  const std::function<void(const json&)>& replay)
{
    std::error_code problem;
    std::filesystem::create_directories(directory, problem);
    const std::string path = absl::StrCat(directory, "/journal.jsonl");
    off_t complete_bytes = 0;
    std::ifstream lines(path);
    try {
        // A last line without a newline was cut off and is dropped.
        for (std::string line; std::getline(lines, line) && !lines.eof();) {
            replay(json::parse(line));
            complete_bytes += static_cast<off_t>(line.size()) + 1;
        }
    } catch (const json::exception& exception) {
        return failure(error_kind::internal, absl::StrCat(path, ": ", exception.what()),
                       "use the directory of a platform stand-in or an empty one");
    }
    file_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (file_ < 0 || ftruncate(file_, complete_bytes) != 0) {
        return failure(error_kind::unavailable, absl::StrCat(path, " can't be written"),
                       "check the permissions of the directory");
    }
    return success();
}

bool change_journal::append(const json& change)
{
    if (file_ < 0) {
        return true;
    }
    const off_t before = lseek(file_, 0, SEEK_END);
    const std::string line = change.dump() + "\n";
    if (write(file_, line.data(), line.size()) == static_cast<ssize_t>(line.size())) {
        return true;
    }
    if (ftruncate(file_, before) != 0) {
        std::abort(); // A partial line may be left, after which a replay could not parse the lines.
    }
    return false;
}

} // namespace carobfall::testing
