// Highest-random-weight order by XXH3.
#include "jasminemast/member/rendezvous.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace jasminemast
{

namespace
{

using Weighted = std::pair<std::uint64_t, HostId>;

std::uint64_t weight(std::uint64_t dutyHash, const HostId &host)
{
    return XXH3_64bits_withSeed(host.value().data(), host.value().size(), dutyHash);
}

} // namespace

std::vector<HostId> rendezvousOrder(std::string_view duty, std::vector<HostId> hosts)
{
    const auto dutyHash = XXH3_64bits(duty.data(), duty.size());
    std::vector<Weighted> weighted;
    weighted.reserve(hosts.size());
    for (auto &host : hosts) {
        const auto hostWeight = weight(dutyHash, host);
        weighted.emplace_back(hostWeight, std::move(host));
    }
    std::sort(weighted.rbegin(), weighted.rend());
    std::vector<HostId> ordered;
    ordered.reserve(weighted.size());
    for (auto &entry : weighted) {
        ordered.push_back(std::move(entry.second));
    }
    return ordered;
}

std::size_t rendezvousRank(std::string_view duty, const std::vector<HostId> &hosts, const HostId &self)
{
    const auto dutyHash = XXH3_64bits(duty.data(), duty.size());
    const Weighted own(weight(dutyHash, self), self);
    std::size_t rank = 0;
    for (const auto &host : hosts) {
        if (Weighted(weight(dutyHash, host), host) > own) {
            ++rank;
        }
    }
    return rank;
}

} // namespace jasminemast
