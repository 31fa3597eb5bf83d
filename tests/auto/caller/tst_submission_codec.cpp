#include "caller_fixture.h"

#include "carobfall/caller/submission_codec.h"

using namespace carobfall;
using namespace carobfall::test;

namespace {

const submission_key key{"dambi", "s-1"};

std::string hash_of(const std::string& text)
{
    const auto decoded = decode_submission(key, text);
    REQUIRE(decoded);
    return decoded.value().request.body_hash();
}

} // namespace

// Guards against a resubmission that is taken for a conflict, or a conflict for a resubmission.
TEST_CASE("the body hash ignores order, white space, wait and an empty parameters object")
{
    const std::string hash =
        hash_of(R"({"template":"t","tasks":[{"a":1,"b":2}],"deadline_unix_ms":5})");
    CHECK(hash.size() == 64);
    CHECK(hash == hash_of(R"({ "tasks":[{"b":2,"a":1}], "deadline_unix_ms":5,
                              "wait":false, "parameters":{}, "template":"t"})"));
    CHECK(hash != hash_of(R"({"template":"t","tasks":[{"a":1,"b":3}],"deadline_unix_ms":5})"));
    CHECK(hash != hash_of(R"({"template":"t","tasks":[{"a":1,"b":2}],"deadline_unix_ms":6})"));
    CHECK(hash != hash_of(R"({"template":"u","tasks":[{"a":1,"b":2}],"deadline_unix_ms":5})"));
}

// Guards against a release whose hash differs from that of the release that recorded a claim.
TEST_CASE("the body hash is the same in every release")
{
    CHECK(hash_of(R"({"template":"t","tasks":[1],"deadline_unix_ms":5})") ==
          "4228de7c985ac9a88c534016445e53726df02bfc690420c4e7fd90b9f76fca2e");
}

TEST_CASE("numbers keep their exact value in canonical JSON")
{
    const auto decoded = decode_submission(
        key, R"({"template":"t","tasks":[18446744073709551615,-9223372036854775808,0.1,1.0],
                 "deadline_unix_ms":5})");
    REQUIRE(decoded);
    const rpc::submission_request& request = decoded.value().request;
    CHECK(request.tasks(0) == "18446744073709551615");
    CHECK(request.tasks(1) == "-9223372036854775808");
    CHECK(request.tasks(2) == "0.1");
    CHECK(request.tasks(3) == "1.0");
}

// Guards against a backend server's result that alters the structure of the answer document.
TEST_CASE("results that the strict parser refuses are sent as base64")
{
    auto answer = example_answer(rpc::submission_complete);
    for (const char* body : {"", "{\"a\":1,\"a\":2}", "123456789012345678901234567890", "{} x"}) {
        answer.mutable_tasks(0)->mutable_result()->set_body(body);
        CHECK(encode_answer(answer)["tasks"][1]["result_encoding"] == "base64");
    }
}

TEST_CASE("an answer with an unknown error kind is an internal error")
{
    auto answer = example_answer(rpc::submission_failed);
    answer.set_error_kind("from a later release");
    CHECK(encode_answer(answer)["error"]["kind"] == "internal");
    CHECK(http_status_of(answer) == 500);
}
