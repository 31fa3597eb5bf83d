// An entry whose policies are chosen by flags, to compare them in measurements. The released entry
// has no such settings.
#include "call_counter.h"
#include "placement_candidates.h"

#include "carobfall/base/clock.h"
#include "carobfall/config/entry_settings.h"
#include "carobfall/daemon/entry_daemon.h"
#include "carobfall/dispatch/dispatch_settings.h"
#include "carobfall/entry/periodic_task.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace carobfall;

constexpr absl::Duration write_interval = absl::Milliseconds(100);

struct command_line {
    std::string settings_file;
    std::string placement{"two_choices"};
    std::string backoff{"by_kind"};
    double queue_per_slot{dispatch_settings{}.queue_per_slot};
    std::string counts_file;
    std::uint64_t seed{1};
};

random_source seeded_source(std::uint64_t seed)
{
    struct state {
        std::mutex mutex;
        std::mt19937_64 random;
    };
    auto shared = std::make_shared<state>();
    shared->random.seed(seed);
    return [shared] {
        const std::lock_guard lock(shared->mutex);
        return shared->random();
    };
}

// The same exponential backoff for each kind of failure.
backoff_table single_backoff()
{
    const backoff_steps steps{absl::Milliseconds(100),  absl::Milliseconds(200),
                              absl::Milliseconds(400),  absl::Milliseconds(800),
                              absl::Milliseconds(1600), absl::Milliseconds(3200)};
    return {steps, steps, steps, steps};
}

coordinator_hook policies_of(const command_line& arguments)
{
    return [arguments](coordinator_builder& builder) {
        const random_source random = seeded_source(arguments.seed);
        const auto kind = measure::placement_kind_from_name(arguments.placement);
        builder.with_random(random).with_placement(
            measure::make_placement(kind.value_or(measure::placement_kind::two_choices), random));
        dispatch_settings settings;
        settings.queue_per_slot = arguments.queue_per_slot;
        builder.with_settings(settings);
        if (arguments.backoff == "single") {
            builder.with_backoff(single_backoff());
        }
    };
}

// Writes a new file and renames it, so that readers never see a partial one.
void write_counts(const std::string& file)
{
    const std::string temporary_file = file + ".new";
    std::ofstream(temporary_file) << measure::call_counts().dump() << '\n';
    if (std::rename(temporary_file.c_str(), file.c_str()) != 0) {
        PLOG(ERROR) << "can't write " << file;
    }
}

result<entry_settings> load(const command_line& arguments)
{
    BOOST_OUTCOME_TRY(const auto sources, read_settings_file(arguments.settings_file));
    return load_entry_settings(sources);
}

int run(const command_line& arguments)
{
    const result<entry_settings> settings = load(arguments);
    if (!settings) {
        std::cerr << to_string(settings.error()) << '\n';
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    measure::count_calls();
    entry_daemon daemon(
        settings.value(), monotonic_now, [] { LOG(FATAL) << "removed from the view"; },
        policies_of(arguments));
    if (const result<void> started = daemon.start(); !started) {
        std::cerr << to_string(started.error()) << '\n';
        return 1;
    }
    const periodic_task writer(write_interval, monotonic_now,
                               [&](absl::Time) { write_counts(arguments.counts_file); });
    int signal = 0;
    while (sigwait(&signals, &signal) != 0) {
    }
    daemon.drain();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    command_line arguments;
    CLI::App app("Entry for measurements, with policies chosen by flags.");
    app.add_option("--config", arguments.settings_file, "YAML settings file")->required();
    app.add_option("--placement", arguments.placement, "placement policy")
        ->check(CLI::IsMember({"random", "round_robin", "two_choices", "least_loaded"}));
    app.add_option("--backoff", arguments.backoff, "backoff of failing backend servers")
        ->check(CLI::IsMember({"by_kind", "single"}));
    app.add_option("--queue-per-slot", arguments.queue_per_slot,
                   "tasks queued at an agent per slot; 0: all wait at the entry");
    app.add_option("--counts", arguments.counts_file, "file for the counts of calls")->required();
    app.add_option("--seed", arguments.seed, "seed of the random policies");
    CLI11_PARSE(app, argc, argv);
    return run(arguments);
}
