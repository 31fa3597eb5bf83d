#include "carobfall/config/agent_settings.h"

#include "carobfall/config/yaml_fields.h"

namespace carobfall {
namespace {

using settings = agent_settings;

constexpr std::uint64_t max_queue_per_slot = 1000;
constexpr std::uint64_t min_records = 1000;
constexpr std::uint64_t max_records = 100'000'000;
constexpr std::uint64_t min_result_bytes = 1ULL << 20U;
constexpr std::uint64_t max_result_bytes = 1ULL << 40U;

std::vector<yaml_field<settings>> identity_fields()
{
    return {
        required(name_field<settings>(
            "name", [](settings & s) -> auto& { return s.name; })),
        required(name_field<settings>(
            "region", [](settings & s) -> auto& { return s.region; })),
        required(name_field<settings>(
            "data_centre", [](settings & s) -> auto& { return s.data_centre; })),
        required(name_field<settings>(
            "rack", [](settings & s) -> auto& { return s.rack; })),
    };
}

std::vector<yaml_field<settings>> address_fields()
{
    return {
        required(endpoint_field<settings>(
            "rpc_address", [](settings & s) -> auto& { return s.rpc_address; })),
        required(endpoint_field<settings>(
            "announce_address", [](settings & s) -> auto& { return s.announce_address; })),
        required(endpoint_field<settings>(
            "operator_address", [](settings & s) -> auto& { return s.operator_address; })),
        required(nonempty(texts_field<settings>(
            "entry_addresses", [](settings & s) -> auto& { return s.entry_addresses; },
            is_peer_endpoint, "a list of different addresses as ip:port with a port above 0"))),
    };
}

std::vector<yaml_field<settings>> work_fields()
{
    return {
        integer_field<settings, std::uint32_t>(
            "queue_per_slot", [](settings & s) -> auto& { return s.queue_per_slot; }, 0,
            max_queue_per_slot),
        // The start lease lasts 2 s, so that a longer interval would let it lapse.
        duration_field<settings>(
            "intervals.heartbeat", [](settings & s) -> auto& { return s.heartbeat; },
            absl::Milliseconds(10), absl::Seconds(1)),
        integer_field<settings, std::uint64_t>(
            "ledger.max_records", [](settings & s) -> auto& { return s.ledger.max_records; },
            min_records, max_records),
        integer_field<settings, std::uint64_t>(
            "ledger.max_result_bytes",
            [](settings & s) -> auto& { return s.ledger.max_result_bytes; }, min_result_bytes,
            max_result_bytes),
    };
}

const yaml_schema<settings>& schema()
{
    static const yaml_schema<settings> instance = [] {
        std::vector<yaml_field<settings>> all = identity_fields();
        for (const auto& group : {address_fields(), work_fields()}) {
            all.insert(all.end(), group.begin(), group.end());
        }
        return yaml_schema<settings>(std::move(all));
    }();
    return instance;
}

} // namespace

result<agent_settings> load_agent_settings(const settings_sources& sources)
{
    BOOST_OUTCOME_TRY(const std::vector<yaml_value> values,
                      collect_values(sources, schema().keys(), agent_variable_prefix));
    return schema().read(values, sources.source);
}

} // namespace carobfall
