// Delays, losses, partitions and traffic between the availability zones of a fake fleet and its configuration service.
#pragma once

#include "jasminemast/support/clock.h"
#include "jasminemast/support/ids.h"
#include "jasminemast/support/random.h"

#include <cstdint>
#include <functional>

namespace jasminemast
{

/// Traffic by the kind of path it took.
struct FleetBytes
{
    std::uint64_t inZone = 0;
    std::uint64_t betweenZones = 0; ///< inside one region
    std::uint64_t paid = 0; ///< between regions
    std::uint64_t paidBodies = 0; ///< of those, pulls, pushes and fetches of tickets
};

/// One-way delays, each up to a quarter longer.
struct FakeNetworkDelays
{
    Microseconds zone {200};
    Microseconds region {500};
    Microseconds paid {20'000};
    Microseconds service {1'000};
};

class FakeNetwork
{
public:
    using Path = std::function<bool(const ZoneId &from, const ZoneId &to)>;

    /// The zone in which the configuration service stands, in \p serviceRegion.
    static const ZoneId &serviceZone();

    FakeNetwork(FakeNetworkDelays delays, RegionId serviceRegion, Random &random);

    /// Decides whether a message gets from one zone to another. Null: all do.
    void setPath(Path path);
    /// Drops this share of all datagrams.
    void setLoss(double share);

    [[nodiscard]] bool passes(const ZoneId &from, const ZoneId &to) const;
    /// True when the datagram that is sent now is dropped.
    [[nodiscard]] bool drops();
    /// The delay of a message that is sent now.
    [[nodiscard]] Duration delay(const ZoneId &from, const ZoneId &to);
    [[nodiscard]] RegionId regionOf(const ZoneId &zone) const;

    /// Counts a message of \p size bytes. \p body: it carries tickets.
    void count(const ZoneId &from, const ZoneId &to, std::size_t size, bool body);
    [[nodiscard]] const FleetBytes &bytes() const
    {
        return m_bytes;
    }

private:
    FakeNetworkDelays m_delays;
    RegionId m_serviceRegion;
    Random &m_random;
    Path m_path;
    double m_loss = 0;
    FleetBytes m_bytes;
};

} // namespace jasminemast
