#include "carobfall/config/entry_settings.h"

#include "carobfall/config/settings_fields.h"

namespace carobfall {
namespace {

using settings = entry_settings;

constexpr std::size_t min_token_bytes = 16;
constexpr std::uint64_t min_bytes = 1024;
constexpr std::uint64_t max_message_bytes = 1ULL << 30U;
constexpr std::uint64_t max_held_bytes = 1ULL << 40U;
constexpr std::uint64_t max_threads = 10'000;

field_list<settings> entry_fields()
{
    return {
        required_endpoint("caller_address", &settings::caller_address),
        required_endpoint("platform_address", &settings::platform_address),
        required(nonempty(secret(string_list_field<settings>(
            "operator_tokens", [](settings & s) -> auto& { return s.operator_tokens; },
            [](std::string_view token) { return token.size() >= min_token_bytes; },
            "a list of different tokens of at least 16 characters")))),
    };
}

field_list<settings> limit_fields()
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

field_list<settings> time_fields()
{
    return {
        duration_field<settings>(
            "intervals.heartbeat", [](settings & s) -> auto& { return s.intervals.heartbeat; },
            min_interval, max_interval),
        duration_field<settings>(
            "intervals.poll", [](settings & s) -> auto& { return s.intervals.poll; }, min_interval,
            max_interval),
        duration_field<settings>(
            "max_deadline", [](settings & s) -> auto& { return s.max_deadline; }, absl::Seconds(1),
            absl::Seconds(300)),
    };
}

} // namespace

result<entry_settings> load_entry_settings(const settings_sources& sources)
{
    static const yaml_schema<settings> schema(
        joined({common_fields<settings>(), entry_fields(), limit_fields(), time_fields()}));
    return load_settings(schema, sources, entry_variable_prefix);
}

} // namespace carobfall
