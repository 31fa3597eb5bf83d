#include "carobfall/base/overload_detector.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace carobfall;

namespace {

constexpr absl::Duration interval = absl::Milliseconds(50);

/// A process whose event loop does everything that is ready before its timer runs again.
struct modelled_process {
    void sample(absl::Duration lag)
    {
        for (const absl::Time end = now + interval + lag; now < end; now += absl::Milliseconds(1)) {
            not_ready += absl::Milliseconds(detector.is_ready(now) ? 0 : 1);
        }
        changes += detector.observe({lag, {}}, now) ? 1 : 0;
    }
    void repeat(absl::Duration span, absl::Duration lag)
    {
        for (const absl::Time end = now + span; now < end; sample(lag)) {
        }
    }
    /// `load`: work that arrives, relative to what the process can do.
    void run(absl::Duration span, double load)
    {
        for (const absl::Time end = now + span; now < end; sample(work / load)) {
            work = load * std::max(work + (load - 1) * interval, absl::ZeroDuration());
        }
    }

    overload_detector detector;
    absl::Time now{absl::FromUnixSeconds(1000)};
    absl::Duration work, not_ready;
    int changes{0};
};

} // namespace

// Guards against callers that stay at an entry that can't serve them in time.
TEST_CASE("a process that becomes five times slower for 5 s is overloaded meanwhile")
{
    modelled_process process;
    process.run(absl::Seconds(10), 0.3);
    CHECK(process.changes == 0);
    process.run(absl::Seconds(2), 1.5);
    CHECK_FALSE(process.detector.is_ready(process.now));
    CHECK(process.detector.refuses(absl::Milliseconds(81)));
    CHECK_FALSE(process.detector.refuses(absl::Seconds(10)));
    process.run(absl::Seconds(3), 1.5);
    process.run(absl::Seconds(6), 0.3); // the rest of the work takes 4 s
    CHECK_FALSE(process.detector.is_overloaded());
}

// Guards against an entry that refuses load although it only has a quota or was paused.
TEST_CASE("a restart, quota pauses, one long pause and short peaks are no overload")
{
    modelled_process process;
    process.repeat(absl::Seconds(1), absl::Milliseconds(300));
    process.repeat(absl::Seconds(10), absl::Milliseconds(100));
    process.sample(absl::Seconds(2));
    process.repeat(absl::Seconds(1), absl::Milliseconds(200)); // what arrived during the pause
    for (int i = 0; i < 10; ++i) {
        process.run(absl::Seconds(1), 0.45);
        process.run(absl::Milliseconds(400), 1.55);
    }
    CHECK(process.changes == 0);
}

// Guards against a data centre without entries because all of them are overloaded.
TEST_CASE("the process is not ready for less than an eighth of the time")
{
    modelled_process process;
    for (int i = 0; i < 40; ++i) {
        const absl::Time begin = process.now;
        const absl::Duration before = process.not_ready;
        while (process.now - begin <= absl::Seconds(31)) {
            process.repeat(absl::Milliseconds(1500), absl::Milliseconds(300));
            process.repeat(absl::Milliseconds(1500),
                           i < 20 ? absl::Milliseconds(300) : absl::ZeroDuration());
        }
        CHECK(8 * (process.not_ready - before) < process.now - begin);
    }
    CHECK(process.not_ready > absl::Seconds(20));
}

// Guards against connections that are closed and opened with every pause.
TEST_CASE("the state changes only when the lag has stayed on the other side")
{
    modelled_process process;
    process.repeat(absl::Seconds(2), absl::Milliseconds(300));
    for (int i = 0; i < 5; ++i) {
        process.repeat(absl::Milliseconds(900), {});
        process.sample(absl::Milliseconds(130));
    }
    CHECK(process.detector.is_overloaded());
    process.repeat(absl::Milliseconds(1100), absl::Milliseconds(100));
    CHECK_FALSE(process.detector.is_overloaded());
    process.repeat(absl::Seconds(5), absl::Milliseconds(150));
    CHECK_FALSE(process.detector.is_overloaded());
}
