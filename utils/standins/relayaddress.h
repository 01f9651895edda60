// Addresses under which one zone dials another: zone V dials 127.Z.a.b as 127.(16 * V + Z).a.b.
#pragma once

#include <netinet/in.h>

namespace jasminemast::standin
{

/// The number under which zones dial the platform, whose real second octet is 0.
constexpr unsigned PlatformZone = 15;
/// One more than the highest zone number.
constexpr unsigned ZonesPerViewer = 16;

/// The two zones in a dialled address.
struct RelayZonePair
{
    unsigned from = 0; ///< the viewer
    unsigned to = 0;
};

RelayZonePair relayZonePair(const sockaddr_in &dialled);

/// The address behind a dialled one.
sockaddr_in realAddress(const sockaddr_in &dialled);

/// The address under which zone \p viewer dials \p real.
sockaddr_in relayAddress(const sockaddr_in &real, unsigned viewer);

/// The zone of a real address; PlatformZone for second octet 0.
unsigned zoneOf(const sockaddr_in &real);

} // namespace jasminemast::standin
