#include "carobfall/base/histogram.h"

#include <doctest/doctest.h>

using namespace carobfall;

// Guards against quantiles that are off by more than the bin width.
TEST_CASE("quantiles are within a bin of the recorded values")
{
    histogram values;
    for (int i = 1; i <= 1000; ++i) {
        values.record(i);
    }
    CHECK(values.count() == 1000);
    CHECK(values.quantile(0.5) == doctest::Approx(500).epsilon(0.13));
    CHECK(values.quantile(0.99) == doctest::Approx(990).epsilon(0.13));
}

// Guards against values outside the axis that are not counted.
TEST_CASE("values outside the axis are counted")
{
    histogram values;
    values.record(0);
    values.record(1e9);
    CHECK(values.count() == 2);
    CHECK(values.quantile(1) == doctest::Approx(1e6));
}
