#include "line_diff.h"

#include <absl/strings/str_split.h>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace carobfall::tool {

std::string line_diff(const std::string& before, const std::string& after)
{
    const std::vector<std::string> left = absl::StrSplit(before, '\n', absl::SkipEmpty());
    const std::vector<std::string> right = absl::StrSplit(after, '\n', absl::SkipEmpty());
    // common[i][j]: length of the longest common subsequence of left[i..] and right[j..].
    std::vector<std::vector<std::size_t>> common(left.size() + 1,
                                                 std::vector<std::size_t>(right.size() + 1));
    for (std::size_t i = left.size(); i-- > 0;) {
        for (std::size_t j = right.size(); j-- > 0;) {
            common[i][j] = left[i] == right[j] ? common[i + 1][j + 1] + 1
                                               : std::max(common[i + 1][j], common[i][j + 1]);
        }
    }
    std::string text;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < left.size() || j < right.size()) {
        if (i < left.size() && j < right.size() && left[i] == right[j]) {
            ++i;
            ++j;
        } else if (j == right.size() || (i < left.size() && common[i + 1][j] >= common[i][j + 1])) {
            text += "- " + left[i++] + "\n";
        } else {
            text += "+ " + right[j++] + "\n";
        }
    }
    return text;
}

} // namespace carobfall::tool
