#include "load_workload.h"

#include "carobfall/config/yaml_fields.h"

#include <cmath>

namespace carobfall::tool {
namespace {

constexpr absl::Duration max_load_duration = absl::Minutes(30);
constexpr absl::Duration max_run_time = absl::Minutes(5);
constexpr absl::Duration max_deadline = absl::Seconds(300);
constexpr std::uint64_t max_submission_count = 1'000'000;
constexpr std::uint64_t max_slot_count = 1'000'000;
constexpr double max_rate = 10'000;
constexpr double max_slot_share = 4;
constexpr double share_tolerance = 1e-6;

struct workload_file {
    load_workload workload;
    YAML::Node classes;
};

struct class_document {
    load_class class_settings;
    YAML::Node jobs;
    YAML::Node run;
};

template <typename T>
yaml_field<T> list_field(std::string key, std::function<YAML::Node&(T&)> access)
{
    return {std::move(key), "a list of mappings",
            [access = std::move(access)](T& target, const YAML::Node& node) {
                access(target).reset(node);
                return node.IsSequence() && node.size() > 0;
            },
            [](const T&) { return nlohmann::ordered_json::array(); }};
}

yaml_field<class_document> parameters_field()
{
    return {"parameters", "a mapping without repeated keys",
            [](class_document& target, const YAML::Node& node) {
                const auto value = to_json(node);
                if (!value || !value->is_object()) {
                    return false;
                }
                target.class_settings.parameters = nlohmann::json(*value);
                return true;
            },
            [](const class_document& source) {
                return nlohmann::ordered_json(source.class_settings.parameters);
            }};
}

const yaml_schema<workload_file>& workload_schema()
{
    using file = workload_file;
    static const yaml_schema<file> schema({
        required(name_field<file>(
            "client_account", [](file & f) -> auto& { return f.workload.client_account; })),
        integer_field<file, std::uint64_t>(
            "seed", [](file & f) -> auto& { return f.workload.seed; }, 0, 1ULL << 62U),
        duration_field<file>(
            "duration", [](file & f) -> auto& { return f.workload.duration; },
            absl::Milliseconds(10), max_load_duration),
        integer_field<file, std::size_t>(
            "max_submissions", [](file & f) -> auto& { return f.workload.max_submissions; }, 1,
            max_submission_count),
        integer_field<file, std::uint32_t>(
            "slots", [](file & f) -> auto& { return f.workload.slots; }, 1, max_slot_count),
        duration_field<file>(
            "round_trip", [](file & f) -> auto& { return f.workload.round_trip; },
            absl::ZeroDuration(), absl::Seconds(1)),
        required(list_field<file>(
            "classes", [](file & f) -> auto& { return f.classes; })),
    });
    return schema;
}

std::vector<yaml_field<class_document>> arrival_fields()
{
    using document = class_document;
    return {
        number_field<document>(
            "submissions_per_second",
            [](document & d) -> auto& { return d.class_settings.submissions_per_second; }, 0,
            max_rate),
        number_field<document>(
            "slot_share", [](document & d) -> auto& { return d.class_settings.slot_share; }, 0,
            max_slot_share),
        duration_field<document>(
            "bursts.every", [](document & d) -> auto& { return d.class_settings.burst_every; },
            absl::Milliseconds(10), max_load_duration),
        integer_field<document, std::uint32_t>(
            "bursts.submissions",
            [](document & d) -> auto& { return d.class_settings.burst_submissions; }, 1,
            max_submission_count),
    };
}

const yaml_schema<class_document>& class_schema()
{
    using document = class_document;
    static const yaml_schema<document> schema = [] {
        std::vector<yaml_field<document>> fields = arrival_fields();
        fields.push_back(required(name_field<document>(
            "template", [](document & d) -> auto& { return d.class_settings.template_name; })));
        fields.push_back(parameters_field());
        fields.push_back(duration_field<document>(
            "deadline", [](document & d) -> auto& { return d.class_settings.deadline; },
            absl::Milliseconds(1), max_deadline));
        fields.push_back(list_field<document>(
            "jobs", [](document & d) -> auto& { return d.jobs; }));
        fields.push_back(required(list_field<document>(
            "run", [](document & d) -> auto& { return d.run; })));
        return yaml_schema<document>(std::move(fields));
    }();
    return schema;
}

const yaml_schema<job_size>& job_schema()
{
    static const yaml_schema<job_size> schema({
        number_field<job_size>(
            "share", [](job_size & j) -> auto& { return j.share; }, 0, 1),
        required(integer_field<job_size, std::uint32_t>(
            "tasks", [](job_size & j) -> auto& { return j.tasks; }, 1, max_tasks_per_submission)),
    });
    return schema;
}

const yaml_schema<run_range>& run_schema()
{
    static const yaml_schema<run_range> schema({
        number_field<run_range>(
            "share", [](run_range & r) -> auto& { return r.share; }, 0, 1),
        required(duration_field<run_range>(
            "from", [](run_range & r) -> auto& { return r.shortest; }, absl::ZeroDuration(),
            max_run_time)),
        required(duration_field<run_range>(
            "to", [](run_range & r) -> auto& { return r.longest; }, absl::ZeroDuration(),
            max_run_time)),
    });
    return schema;
}

template <typename T>
result<T> read_document(const yaml_schema<T>& schema, const YAML::Node& node,
                        std::string_view source)
{
    BOOST_OUTCOME_TRY(const auto values, flatten_yaml(node, schema.keys(), source));
    return schema.read(values, position_of(node, source));
}

template <typename T>
result<std::vector<T>> read_shares(const yaml_schema<T>& schema, const YAML::Node& list,
                                   std::string_view source)
{
    std::vector<T> items;
    double sum = 0;
    for (const YAML::Node& node : list) {
        BOOST_OUTCOME_TRY(T item, read_document(schema, node, source));
        sum += item.share;
        items.push_back(std::move(item));
    }
    if (std::abs(sum - 1) > share_tolerance) {
        return failure(error_kind::invalid_request,
                       position_of(list, source) + ": the shares don't add up to 1",
                       "correct the shares of the list");
    }
    return items;
}

result<void> check_class(const load_workload& workload, const load_class& class_settings,
                         const std::string& where)
{
    const auto refuse = [&where](const std::string& message, const std::string& remedy) {
        return failure(error_kind::invalid_request, where + ": " + message, remedy);
    };
    if (class_settings.submissions_per_second > 0 && class_settings.slot_share > 0) {
        return refuse("both submissions_per_second and slot_share are given", "give one of them");
    }
    if (class_settings.slot_share > 0 &&
        (workload.slots == 0 || class_settings.mean_run_seconds() <= 0)) {
        return refuse("slot_share needs slots and a run time above zero",
                      "give slots at the top, or submissions_per_second");
    }
    if ((class_settings.burst_submissions > 0) !=
        (class_settings.burst_every > absl::ZeroDuration())) {
        return refuse("bursts are incomplete", "give both bursts.every and bursts.submissions");
    }
    if (class_settings.submissions_per_second <= 0 && class_settings.slot_share <= 0 &&
        class_settings.burst_submissions == 0) {
        return refuse("the class has no arrivals",
                      "give submissions_per_second, slot_share or bursts");
    }
    for (const run_range& range : class_settings.run) {
        if (range.shortest > range.longest) {
            return refuse("a run range ends before it begins", "exchange from and to");
        }
    }
    return success();
}

result<load_class> read_class(const load_workload& workload, const YAML::Node& node,
                              std::string_view source)
{
    BOOST_OUTCOME_TRY(class_document document, read_document(class_schema(), node, source));
    load_class class_settings = std::move(document.class_settings);
    if (document.jobs.IsSequence()) {
        BOOST_OUTCOME_TRY(class_settings.jobs, read_shares(job_schema(), document.jobs, source));
    }
    BOOST_OUTCOME_TRY(class_settings.run, read_shares(run_schema(), document.run, source));
    BOOST_OUTCOME_TRYV(check_class(workload, class_settings, position_of(node, source)));
    return class_settings;
}

} // namespace

double load_class::mean_tasks() const
{
    double mean = 0;
    for (const job_size& size : jobs) {
        mean += size.share * size.tasks;
    }
    return mean;
}

double load_class::mean_run_seconds() const
{
    double mean = 0;
    for (const run_range& range : run) {
        mean += range.share * absl::ToDoubleSeconds(range.shortest + range.longest) / 2;
    }
    return mean;
}

double load_workload::rate_of(const load_class& class_settings) const
{
    if (class_settings.slot_share <= 0) {
        return class_settings.submissions_per_second;
    }
    return class_settings.slot_share * slots /
           (class_settings.mean_tasks() * class_settings.mean_run_seconds());
}

result<load_workload> parse_workload(std::string_view text, std::string_view source)
{
    BOOST_OUTCOME_TRY(const auto documents, parse_yaml(text, source));
    if (documents.size() != 1) {
        return failure(error_kind::invalid_request,
                       std::string(source) + ": a workload file has one document",
                       "see examples/workloads");
    }
    BOOST_OUTCOME_TRY(const workload_file file,
                      read_document(workload_schema(), documents.front(), source));
    load_workload workload = file.workload;
    for (const YAML::Node& node : file.classes) {
        BOOST_OUTCOME_TRY(load_class class_settings, read_class(workload, node, source));
        workload.classes.push_back(std::move(class_settings));
    }
    return workload;
}

} // namespace carobfall::tool
