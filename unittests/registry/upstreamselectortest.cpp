// The tree over which the registry's records are passed on.
#include "jasminemast/registry/upstreamselector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

using namespace jasminemast;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start {std::chrono::hours(1)};

/// \p count hosts in each of \p zones zones, of which three are in a region.
std::vector<RegistryPeer> makePeers(std::size_t zones, std::size_t count)
{
    std::vector<RegistryPeer> peers;
    for (std::size_t zone = 0; zone < zones; ++zone) {
        for (std::size_t host = 0; host < count; ++host) {
            peers.push_back({HostId("10." + std::to_string(zone) + ".0." + std::to_string(host)),
                             ZoneId("z" + std::to_string(zone)), RegionId("r" + std::to_string(zone / 3))});
        }
    }
    return peers;
}

std::map<HostId, UpstreamSelector> makeSelectors(const std::vector<RegistryPeer> &peers)
{
    std::map<HostId, UpstreamSelector> selectors;
    for (const RegistryPeer &peer : peers) {
        UpstreamSelector &selector = selectors.emplace(peer.host, UpstreamSelector(peer)).first->second;
        selector.setPeers(peers);
    }
    return selectors;
}

} // namespace

TEST(UpstreamSelectorTest, OneNodeOfARegionReadsTheRegistryAndNoNodeHasManyChildren)
{
    for (const std::size_t count : {1U, 5U, 33U, 217U}) {
        SCOPED_TRACE(count);
        const auto selectors = makeSelectors(makePeers(6, count));
        std::size_t readers = 0;
        std::map<HostId, std::size_t> children;
        for (const auto &[host, selector] : selectors) {
            const auto upstream = selector.choose(Start);
            readers += upstream ? 0 : 1;
            if (upstream) {
                ++children[*upstream];
            }
        }
        EXPECT_EQ(readers, 2U);
        for (const auto &[host, number] : children) {
            EXPECT_LE(number, UpstreamLimits {}.fanOut + 2) << "its zone, and two zones of its region";
        }
    }
}

TEST(UpstreamSelectorTest, EveryNodeReachesAReader)
{
    const auto selectors = makeSelectors(makePeers(6, 217));
    for (const auto &[host, selector] : selectors) {
        std::size_t hops = 0;
        for (auto next = selector.choose(Start); next; next = selectors.at(*next).choose(Start)) {
            ASSERT_LE(++hops, 5U);
        }
    }
}

TEST(UpstreamSelectorTest, StandbyTakesOverForAReaderThatFails)
{
    auto selectors = makeSelectors(makePeers(1, 33));
    const auto reader = std::find_if(selectors.begin(), selectors.end(), [](const auto &item) {
                            return item.second.candidates().empty();
                        })->first;
    std::size_t readers = 0;
    for (auto &[host, selector] : selectors) {
        selector.exclude(reader, Start + 1s);
        readers += host != reader && !selector.choose(Start) ? 1 : 0;
        EXPECT_NE(selector.choose(Start), reader);
    }
    EXPECT_EQ(readers, 1U);
    for (auto &[host, selector] : selectors) {
        if (host != reader && selector.candidates().front() == reader) {
            EXPECT_EQ(selector.nextAvailable(Start), Start + 1s);
            EXPECT_EQ(selector.choose(Start + 1s), reader);
        }
    }
}

// A node whose target has crashed is in no other node's tree, but reads like the others.
TEST(UpstreamSelectorTest, NodeThatIsNotListedReadsAtItsRegion)
{
    std::size_t readers = 0;
    for (int host = 100; host < 150; ++host) {
        UpstreamSelector selector({HostId("10.0.0." + std::to_string(host)), ZoneId("z0"), RegionId("r0")});
        EXPECT_FALSE(selector.choose(Start)) << "without peers the registry remains";
        selector.setPeers(makePeers(6, 5));
        readers += selector.candidates().empty() ? 1 : 0;
        for (const HostId &upstream : selector.candidates()) {
            EXPECT_LT(upstream.value(), "10.3") << "in another region";
        }
    }
    EXPECT_LE(readers, 20U);
}

// Two nodes that read at each other would both believe that their records are recent.
TEST(UpstreamSelectorTest, NodesWithDifferentHostsNeverWaitForEachOtherWithinAZone)
{
    const std::vector<RegistryPeer> all = makePeers(1, 12);
    for (std::size_t left = 0; left < all.size(); ++left) {
        std::vector<RegistryPeer> some = all;
        some.erase(some.begin() + static_cast<std::ptrdiff_t>(left));
        UpstreamSelector first(all[(left + 1) % all.size()]);
        first.setPeers(all);
        for (const RegistryPeer &other : some) {
            UpstreamSelector second(other);
            second.setPeers(some);
            const bool isAbove = first.choose(Start) == other.host;
            const bool isBelow = second.choose(Start) == all[(left + 1) % all.size()].host;
            EXPECT_FALSE(isAbove && isBelow);
        }
    }
}
