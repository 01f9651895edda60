// Highest-random-weight hashing with XXH3.
#include "jasminemast/member/rendezvous.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace jasminemast
{

namespace
{

using WeightedHost = std::pair<std::uint64_t, HostId>;

std::uint64_t weight(std::uint64_t roleHash, const HostId &host)
{
    return XXH3_64bits_withSeed(host.value().data(), host.value().size(), roleHash);
}

} // namespace

std::vector<HostId> rendezvousOrder(std::string_view role, std::vector<HostId> hosts)
{
    const auto roleHash = XXH3_64bits(role.data(), role.size());
    std::vector<WeightedHost> weightedHosts;
    weightedHosts.reserve(hosts.size());
    for (auto &host : hosts) {
        const auto hostWeight = weight(roleHash, host);
        weightedHosts.emplace_back(hostWeight, std::move(host));
    }
    std::sort(weightedHosts.rbegin(), weightedHosts.rend());
    std::vector<HostId> ordered;
    ordered.reserve(weightedHosts.size());
    for (auto &entry : weightedHosts) {
        ordered.push_back(std::move(entry.second));
    }
    return ordered;
}

std::size_t rendezvousRank(std::string_view role, const std::vector<HostId> &hosts, const HostId &self)
{
    const auto roleHash = XXH3_64bits(role.data(), role.size());
    const WeightedHost selfWeight(weight(roleHash, self), self);
    std::size_t rank = 0;
    for (const auto &host : hosts) {
        if (WeightedHost(weight(roleHash, host), host) > selfWeight) {
            ++rank;
        }
    }
    return rank;
}

} // namespace jasminemast
