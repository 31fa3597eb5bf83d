#include "carobfall/config/entry_settings.h"

#include "carobfall/config/yaml_fields.h"

namespace carobfall {
namespace {

using settings = entry_settings;

constexpr std::size_t min_token_bytes = 16;
constexpr std::uint64_t min_bytes = 1024;
constexpr std::uint64_t max_message_bytes = 1ULL << 30U;
constexpr std::uint64_t max_held_bytes = 1ULL << 40U;
constexpr std::uint64_t max_threads = 10'000;

std::vector<yaml_field<settings>> identity_fields()
{
    return {
        required(name_field<settings>(
            "name", [](settings & s) -> auto& { return s.name; })),
        required(name_field<settings>(
            "region", [](settings & s) -> auto& { return s.region; })),
        required(name_field<settings>(
            "data_centre", [](settings & s) -> auto& { return s.data_centre; })),
    };
}

std::vector<yaml_field<settings>> address_fields()
{
    return {
        required(endpoint_field<settings>(
            "caller_address", [](settings & s) -> auto& { return s.caller_address; })),
        required(endpoint_field<settings>(
            "operator_address", [](settings & s) -> auto& { return s.operator_address; })),
        required(endpoint_field<settings>(
            "rpc_address", [](settings & s) -> auto& { return s.rpc_address; })),
        required(endpoint_field<settings>(
            "platform_address", [](settings & s) -> auto& { return s.platform_address; })),
        required(nonempty(secret(texts_field<settings>(
            "operator_tokens", [](settings & s) -> auto& { return s.operator_tokens; },
            [](std::string_view token) { return token.size() >= min_token_bytes; },
            "a list of different tokens of at least 16 characters")))),
    };
}

std::vector<yaml_field<settings>> limit_fields()
{
    return {
        integer_field<settings, std::uint64_t>(
            "limits.max_body_bytes", [](settings & s) -> auto& { return s.limits.max_body_bytes; },
            min_bytes, max_message_bytes),
        integer_field<settings, std::uint64_t>(
            "limits.held_answer_bytes",
            [](settings & s) -> auto& { return s.limits.held_answer_bytes; }, min_bytes,
            max_held_bytes),
        integer_field<settings, std::uint32_t>(
            "limits.caller_threads", [](settings & s) -> auto& { return s.limits.caller_threads; },
            1, max_threads),
    };
}

std::vector<yaml_field<settings>> time_fields()
{
    return {
        // The lease and the freshness last 2 s, so that longer intervals would let them lapse.
        duration_field<settings>(
            "intervals.heartbeat", [](settings & s) -> auto& { return s.intervals.heartbeat; },
            absl::Milliseconds(10), absl::Seconds(1)),
        duration_field<settings>(
            "intervals.poll", [](settings & s) -> auto& { return s.intervals.poll; },
            absl::Milliseconds(10), absl::Seconds(1)),
        duration_field<settings>(
            "max_deadline", [](settings & s) -> auto& { return s.max_deadline; }, absl::Seconds(1),
            absl::Seconds(300)),
    };
}

const yaml_schema<settings>& schema()
{
    static const yaml_schema<settings> instance = [] {
        std::vector<yaml_field<settings>> all = identity_fields();
        for (const auto& group : {address_fields(), limit_fields(), time_fields()}) {
            all.insert(all.end(), group.begin(), group.end());
        }
        return yaml_schema<settings>(std::move(all));
    }();
    return instance;
}

} // namespace

result<entry_settings> load_entry_settings(const settings_sources& sources)
{
    BOOST_OUTCOME_TRY(const std::vector<yaml_value> values,
                      collect_values(sources, schema().keys(), entry_variable_prefix));
    return schema().read(values, sources.source);
}

} // namespace carobfall
