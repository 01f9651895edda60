// What the paths between zones cost and let through.
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

void FakeNetwork::setPath(Path path)
{
    m_path = std::move(path);
}

void FakeNetwork::setLoss(double share)
{
    m_loss = share;
}

bool FakeNetwork::passes(const ZoneId &from, const ZoneId &to) const
{
    return !m_path || m_path(from, to);
}

bool FakeNetwork::drops()
{
    return m_random.nextUnit() < m_loss;
}

RegionId FakeNetwork::regionOf(const ZoneId &zone) const
{
    constexpr std::size_t RegionLetters = 2; // zones are named after their region, as in r0z1
    return zone == serviceZone() ? m_serviceRegion : RegionId(zone.value().substr(0, RegionLetters));
}

Duration FakeNetwork::delay(const ZoneId &from, const ZoneId &to)
{
    auto delay = m_delays.zone;
    if (regionOf(from) != regionOf(to)) {
        delay = m_delays.paid;
    } else if (from == serviceZone() || to == serviceZone()) {
        delay = m_delays.service;
    } else if (from != to) {
        delay = m_delays.region;
    }
    return delay + Microseconds(m_random.nextBelow(static_cast<std::uint64_t>(delay.count() / 4 + 1)));
}

void FakeNetwork::count(const ZoneId &from, const ZoneId &to, std::size_t size, bool body)
{
    if (regionOf(from) != regionOf(to)) {
        m_bytes.paid += size;
        m_bytes.paidBodies += body ? size : 0;
    } else if (from != to) {
        m_bytes.betweenZones += size;
    } else {
        m_bytes.inZone += size;
    }
}

} // namespace jasminemast
