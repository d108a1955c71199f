#include "core/cells/run_time_model.h"
#include "tests/support/cell_stories.h"
#include "tests/support/story.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace radishvane::tests
{

namespace
{

using namespace cells;

const QueueId queue("plans");

/// Mean error of the logarithm of the expected run times, as a factor, over runs with a mean of one second.
struct Errors
{
    double declared = 0;
    double expected = 0;
    /// Sum of the expected run times in relation to the sum of the real ones.
    double bias = 0;
};

/// Draws runs whose times spread by @p spread around one second, and declared times that are off by @p error, both as
/// deviations of the logarithm.
Errors errorsOf(double spread, double error, unsigned seed)
{
    std::mt19937 random(seed);
    std::normal_distribution<double> normal;
    RunTimeModel model;
    const auto draw = [&] {
        const double actual = 1'000 * std::exp(spread * normal(random));
        const double declared = actual * std::exp(error * normal(random));
        return std::pair{Duration(static_cast<int>(declared) + 1), Duration(static_cast<int>(actual) + 1)};
    };
    for (int run = 0; run < 500; ++run) {
        const auto [declared, actual] = draw();
        model.record(queue, declared, actual);
    }
    Errors errors;
    double sumExpected = 0;
    double sumActual = 0;
    constexpr int samples = 2'000;
    for (int sample = 0; sample < samples; ++sample) {
        const auto [declared, actual] = draw();
        const Duration expected = model.expected(queue, declared);
        errors.declared += std::abs(std::log(toMilliseconds(declared) / toMilliseconds(actual))) / samples;
        errors.expected += std::abs(std::log(toMilliseconds(expected) / toMilliseconds(actual))) / samples;
        sumExpected += toMilliseconds(expected);
        sumActual += toMilliseconds(actual);
    }
    errors.bias = sumExpected / sumActual;
    return errors;
}

} // namespace

TEST(RunTimeModel, WeighsDeclaredTimesByWhatTheyHavePredicted)
{
    story("a queue whose tasks have declared run times", [] {
        for (unsigned seed = 1; seed <= 5; ++seed) {
            section("far off: the expected times are nearer to the real ones", [&] {
                const Errors errors = errorsOf(0.5, 0.9, seed);
                EXPECT_LT(errors.expected, errors.declared * 0.75);
                section("and right on the whole", [&] { EXPECT_NEAR(errors.bias, 1, 0.15); });
            });
            section("nearly exact: they stay nearly exact", [&] {
                const Errors errors = errorsOf(0.5, 0.1, seed);
                EXPECT_LT(errors.expected, errors.declared * 1.15);
                EXPECT_NEAR(errors.bias, 1, 0.05);
            });
        }
    });
}

TEST(RunTimeModel, UsesDeclaredTimesUntilItHasSeenRuns)
{
    story("a queue without completed runs", [] {
        RunTimeModel model;
        section("the declared time is expected",
                [&] { EXPECT_EQ(model.expected(queue, Duration(400)), Duration(400)); });
        section("a few runs, ten times as long as declared, change nothing within a generation", [&] {
            const std::uint64_t generation = model.generation();
            for (int run = 0; run < 10; ++run) {
                model.record(queue, Duration(400), Duration(4'000));
            }
            EXPECT_EQ(model.generation(), generation);
            EXPECT_EQ(model.expected(queue, Duration(400)), Duration(400));
            section("and many such runs change it", [&] {
                for (int run = 0; run < 400; ++run) {
                    model.record(queue, Duration(400), Duration(4'000));
                }
                EXPECT_GT(model.generation(), generation);
                EXPECT_GT(model.mean(queue, 400), 3'000);
                EXPECT_GT(model.expected(queue, Duration(400)), Duration(3'000));
            });
        });
        section("other queues keep their declared times",
                [&] { EXPECT_EQ(model.expected(QueueId("quotes"), Duration(400)), Duration(400)); });
        section("a step without a declared time has none", [&] {
            model.record(queue, Duration(0), Duration(4'000));
            EXPECT_EQ(model.expected(queue, Duration(0)), Duration(0));
        });
        section("a model that is cleared expects the declared times", [&] {
            model.clear();
            EXPECT_EQ(model.expected(queue, Duration(400)), Duration(400));
        });
    });
}

TEST(CellJobs, AreForecastByTheRunTimesThatWereSeen)
{
    story("a queue declares four times the real run time of its tasks", [] {
        CellSite site;
        fillLooms(site, 4);
        for (int index = 0; index < 100; ++index) {
            const std::string name = "j" + std::to_string(index);
            site.durations[JobId(name)] = 200;
            site.submit(site.owner(), name, "plans", graphOf(1, 4, 1'000, Duration(800)));
            site.run(Duration(100));
        }
        const JobRegistry &registry = site.node(site.owner()).controller->registry();
        section("the owner expects about the real run time",
                [&] { EXPECT_LT(registry.runTimes().expected(QueueId("plans"), Duration(800)), Duration(400)); });
        expectNothingBroken(site);
    });
}

} // namespace radishvane::tests
