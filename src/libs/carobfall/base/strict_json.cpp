#include "carobfall/base/strict_json.h"

#include "carobfall/base/strings.h"

#include <absl/strings/str_cat.h>

#include <set>
#include <vector>

namespace carobfall {
namespace {

using json = nlohmann::json;

// Rejects input that the library would accept. It runs before the tree is built, because the
// recursive functions of a deep tree could exhaust the stack.
class strict_checker : public nlohmann::json_sax<json> {
public:
    explicit strict_checker(std::size_t max_depth) : max_depth_(max_depth) {}

    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(number_integer_t /*value*/) override { return true; }
    bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
    bool string(string_t& /*value*/) override { return true; }
    bool binary(binary_t& /*value*/) override { return true; }

    bool number_float(number_float_t /*value*/, const string_t& text) override
    {
        // The parser reports an integer here only if it doesn't fit in 64 bits.
        return text.find_first_of(".eE") != std::string::npos ||
               fail("an integer doesn't fit in 64 bits");
    }

    bool start_object(std::size_t /*elements*/) override { return open(); }
    bool start_array(std::size_t /*elements*/) override { return open(); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }

    bool key(string_t& name) override
    {
        return keys_.back().insert(name).second || fail("an object has the same key twice");
    }

    bool parse_error(std::size_t position, const std::string& /*last_token*/,
                     const json::exception& /*problem*/) override
    {
        return fail(absl::StrCat("not valid JSON near byte ", position));
    }

    [[nodiscard]] const std::string& problem() const { return problem_; }

private:
    bool open()
    {
        if (keys_.size() == max_depth_) {
            return fail(absl::StrCat("nested deeper than ", max_depth_, " levels"));
        }
        keys_.emplace_back();
        return true;
    }

    bool close()
    {
        keys_.pop_back();
        return true;
    }

    bool fail(std::string problem)
    {
        problem_ = std::move(problem);
        return false;
    }

    std::size_t max_depth_;
    std::vector<std::set<std::string>> keys_; ///< keys seen in each open object
    std::string problem_;
};

} // namespace

result<json> parse_strict_json(std::string_view text, std::size_t max_depth)
{
    strict_checker checker(max_depth);
    if (!json::sax_parse(text, &checker)) {
        return failure(error_kind::invalid_request,
                       "the JSON text is refused: " + checker.problem(),
                       "send one JSON value in UTF-8; write larger integers as strings");
    }
    json value = json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        return failure(error_kind::invalid_request, "the JSON text is refused",
                       "send one JSON value in UTF-8");
    }
    return value;
}

std::string canonical_json(const nlohmann::json& value)
{
    return value.dump();
}

} // namespace carobfall
