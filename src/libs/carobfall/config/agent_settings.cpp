#include "carobfall/config/agent_settings.h"

#include "carobfall/config/settings_fields.h"

namespace carobfall {
namespace {

using settings = agent_settings;

constexpr std::uint64_t max_queue_per_slot = 1000;
constexpr std::uint64_t min_records = 1000;
constexpr std::uint64_t max_records = 100'000'000;
constexpr std::uint64_t min_result_bytes = 1ULL << 20U;
constexpr std::uint64_t max_result_bytes = 1ULL << 40U;

field_list<settings> agent_fields()
{
    return {
        required_name("rack", &settings::rack),
        required_endpoint("announce_address", &settings::announce_address),
        required(nonempty(string_list_field<settings>(
            "entry_addresses", [](settings & s) -> auto& { return s.entry_addresses; },
            is_peer_endpoint, "a list of different addresses as ip:port with a port above 0"))),
    };
}

field_list<settings> operation_fields()
{
    return {
        integer_field<settings, std::uint32_t>(
            "queue_per_slot", [](settings & s) -> auto& { return s.queue_per_slot; }, 0,
            max_queue_per_slot),
        duration_field<settings>(
            "intervals.heartbeat", [](settings & s) -> auto& { return s.heartbeat; }, min_interval,
            max_interval),
        integer_field<settings, std::uint64_t>(
            "ledger.max_records", [](settings & s) -> auto& { return s.ledger.max_records; },
            min_records, max_records),
        integer_field<settings, std::uint64_t>(
            "ledger.max_result_bytes",
            [](settings & s) -> auto& { return s.ledger.max_result_bytes; }, min_result_bytes,
            max_result_bytes),
    };
}

} // namespace

result<agent_settings> load_agent_settings(const settings_sources& sources)
{
    static const yaml_schema<settings> schema(
        joined({common_fields<settings>(), agent_fields(), operation_fields()}));
    return load_settings(schema, sources, agent_variable_prefix);
}

} // namespace carobfall
