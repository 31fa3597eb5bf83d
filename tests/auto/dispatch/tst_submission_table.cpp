#include "fakes.h"

#include "carobfall/dispatch/answer_builder.h"
#include "carobfall/dispatch/submission_table.h"

#include <doctest/doctest.h>

using namespace carobfall;
using namespace carobfall::testing;

namespace {

const absl::Time deadline = absl::FromUnixSeconds(1000);

void record_answer(submission_table& table, const std::string& id)
{
    const auto opened = std::make_shared<job>(submission_key{"dambi", id}, "h", deadline, 1);
    CHECK(!table.open(opened).has_value());
    table.record(opened, answer_not_run(opened->key(), 1, {error_kind::cancelled, "c", "r"}));
}

bool is_expired(const submission_table& table, const std::string& id)
{
    const auto found = table.find({"dambi", id});
    REQUIRE(found.has_value());
    return std::holds_alternative<submission_table::expired_answer>(found->state);
}

} // namespace

// Guards against memory use that grows with the number of answers.
TEST_CASE("the oldest answers are dropped at the maximum size, and their submissions are expired")
{
    submission_table table(1);
    record_answer(table, "size");
    CHECK(table.answer_bytes() == 0);
    submission_table two_answers(90);
    record_answer(two_answers, "s1");
    const std::size_t each = two_answers.answer_bytes();
    REQUIRE(each > 30);
    REQUIRE(each <= 45);
    record_answer(two_answers, "s2");
    record_answer(two_answers, "s3");
    CHECK(is_expired(two_answers, "s1"));
    CHECK(!is_expired(two_answers, "s2"));
    CHECK(!is_expired(two_answers, "s3"));
    CHECK(two_answers.answer_bytes() == 2 * each);
}

TEST_CASE("answers are kept for the retention period, running jobs until they are answered")
{
    submission_table table(1000);
    record_answer(table, "s1");
    const auto running = std::make_shared<job>(submission_key{"dambi", "s2"}, "h", deadline, 1);
    CHECK(!table.open(running).has_value());
    table.expire(deadline + record_retention);
    CHECK(table.size() == 2);
    table.expire(deadline + record_retention + absl::Milliseconds(1));
    CHECK(table.size() == 1);
    CHECK(table.answer_bytes() == 0);
    CHECK(table.running() == 1);
}
