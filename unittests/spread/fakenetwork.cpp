// Delays, losses and traffic counts between zones.
#include "fakenetwork.h"

#include <utility>

namespace jasminemast
{

const ZoneId &FakeNetwork::serviceZone()
{
    static const ZoneId zone("service");
    return zone;
}

FakeNetwork::FakeNetwork(FakeNetworkDelays delays, RegionId serviceRegion, Random &random)
    : m_delays(delays)
    , m_serviceRegion(std::move(serviceRegion))
    , m_random(random)
{
}

void FakeNetwork::setPathFilter(PathFilter pathFilter)
{
    m_pathFilter = std::move(pathFilter);
}

void FakeNetwork::setLoss(double share)
{
    m_loss = share;
}

bool FakeNetwork::isOpen(const ZoneId &from, const ZoneId &to) const
{
    return !m_pathFilter || m_pathFilter(from, to);
}

bool FakeNetwork::dropsDatagram()
{
    return m_random.nextUnit() < m_loss;
}

RegionId FakeNetwork::regionOf(const ZoneId &zone) const
{
    constexpr std::size_t RegionLetters = 2; // zone names start with the region, as in r0z1
    return zone == serviceZone() ? m_serviceRegion : RegionId(zone.value().substr(0, RegionLetters));
}

Duration FakeNetwork::delay(const ZoneId &from, const ZoneId &to)
{
    auto delay = m_delays.inZone;
    if (regionOf(from) != regionOf(to)) {
        delay = m_delays.betweenRegions;
    } else if (from == serviceZone() || to == serviceZone()) {
        delay = m_delays.toService;
    } else if (from != to) {
        delay = m_delays.betweenZones;
    }
    return delay + Microseconds(m_random.nextBelow(static_cast<std::uint64_t>(delay.count() / 4 + 1)));
}

void FakeNetwork::count(const ZoneId &from, const ZoneId &to, std::size_t size, bool carriesTickets)
{
    if (regionOf(from) != regionOf(to)) {
        m_bytes.betweenRegions += size;
        m_bytes.ticketsBetweenRegions += carriesTickets ? size : 0;
    } else if (from != to) {
        m_bytes.betweenZones += size;
    } else {
        m_bytes.inZone += size;
    }
}

} // namespace jasminemast
