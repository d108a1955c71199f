#include "core/cells/host_order_ledger.h"
#include "tests/support/story.h"
#include "tests/support/test_store_limits.h"

#include <gtest/gtest.h>

#include <vector>

namespace radishvane::tests
{

using namespace cells;

namespace
{

constexpr TimePoint start{std::chrono::hours(1'000)};

HostList listOf(const std::vector<SiteHost> &hosts, TimePoint requestedAt)
{
    HostList list{{}, requestedAt};
    for (const SiteHost &host : hosts) {
        list.hosts[host.id] = host;
    }
    return list;
}

SiteHost hostIn(SiteHostState state)
{
    SiteHost host;
    host.id = HostId("h");
    host.state = state;
    return host;
}

} // namespace

TEST(HostOrderLedger, ForgetsAHostThatIsGoneForGood)
{
    story("an earlier owner has sent an order for a host that no list shows any more", [] {
        CellWriter writer{testStoreLimits()};
        HostOrderLedger orders(writer);
        orders.restore(HostOrdersRow{{HostId("h")}});
        orders.observe(listOf({}, start));
        section("at first the order may still be carried out when the host is back", [&] {
            orders.observe(listOf({}, start + HostOrderLedger::goneTime - Duration(1)));
            EXPECT_EQ(orders.inDoubt().size(), 1U);
        });
        section("a list that shows the host restarts the time", [&] {
            orders.observe(listOf({hostIn(SiteHostState::Down)}, start + HostOrderLedger::goneTime));
            orders.observe(listOf({}, start + HostOrderLedger::goneTime + Duration(1)));
            EXPECT_EQ(orders.inDoubt().size(), 1U);
        });
        section("it is forgotten when the lists have not shown it for long", [&] {
            orders.observe(listOf({}, start + 2 * HostOrderLedger::goneTime + Duration(1)));
            EXPECT_TRUE(orders.hosts().empty());
        });
    });
}

TEST(HostOrderLedger, AsksForNoFrequentListsBecauseOfHostsThatAreDown)
{
    story("an earlier owner has sent an order for a host", [] {
        CellWriter writer{testStoreLimits()};
        HostOrderLedger orders(writer);
        orders.restore(HostOrdersRow{{HostId("h")}});
        section("lists are awaited until the first one", [&] { EXPECT_TRUE(orders.awaitsList(HostList{})); });
        section("lists are awaited while the host is up or moving", [&] {
            EXPECT_TRUE(orders.awaitsList(listOf({hostIn(SiteHostState::Up)}, start)));
            EXPECT_TRUE(orders.awaitsList(listOf({hostIn(SiteHostState::Moving)}, start)));
        });
        section("none is awaited while the host is down or gone", [&] {
            EXPECT_FALSE(orders.awaitsList(listOf({hostIn(SiteHostState::Down)}, start)));
            EXPECT_FALSE(orders.awaitsList(listOf({}, start)));
        });
    });
}

} // namespace radishvane::tests
