// Simulated network between the availability zones of a fake fleet and its configuration service.
#pragma once

#include "jasminemast/support/clock.h"
#include "jasminemast/support/ids.h"
#include "jasminemast/support/random.h"

#include <cstdint>
#include <functional>

namespace jasminemast
{

/// Bytes sent, by the kind of path.
struct FleetBytes
{
    std::uint64_t inZone = 0;
    std::uint64_t betweenZones = 0; ///< inside one region
    std::uint64_t betweenRegions = 0; ///< billed by the platform
    std::uint64_t ticketsBetweenRegions = 0; ///< of those, bytes of pulls, pushes and fetches that carry tickets
};

/// One-way delays; up to a quarter is added at random.
struct FakeNetworkDelays
{
    Microseconds inZone {200};
    Microseconds betweenZones {500};
    Microseconds betweenRegions {20'000};
    Microseconds toService {1'000};
};

class FakeNetwork
{
public:
    using PathFilter = std::function<bool(const ZoneId &from, const ZoneId &to)>;

    /// The zone of the configuration service, which is in the service region.
    static const ZoneId &serviceZone();

    FakeNetwork(FakeNetworkDelays delays, RegionId serviceRegion, Random &random);

    /// Drops messages for which \p pathFilter returns false. Null: drops none.
    void setPathFilter(PathFilter pathFilter);
    /// Drops this share of all datagrams.
    void setLoss(double share);

    [[nodiscard]] bool isOpen(const ZoneId &from, const ZoneId &to) const;
    /// Decides at random whether the next datagram is dropped.
    [[nodiscard]] bool dropsDatagram();
    /// Returns the delay of the next message.
    [[nodiscard]] Duration delay(const ZoneId &from, const ZoneId &to);
    [[nodiscard]] RegionId regionOf(const ZoneId &zone) const;

    /// Counts a message of \p size bytes.
    void count(const ZoneId &from, const ZoneId &to, std::size_t size, bool carriesTickets);
    [[nodiscard]] const FleetBytes &bytes() const
    {
        return m_bytes;
    }

private:
    FakeNetworkDelays m_delays;
    RegionId m_serviceRegion;
    Random &m_random;
    PathFilter m_pathFilter;
    double m_loss = 0;
    FleetBytes m_bytes;
};

} // namespace jasminemast
