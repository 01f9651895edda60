// Relay addresses, at which a zone reaches hosts of other zones: zone V connects to 127.Z.a.b at 127.(16 * V + Z).a.b.
#pragma once

#include <netinet/in.h>

namespace jasminemast::standin
{

/// The zone number of the platform in relay addresses; the second octet of its real address is 0.
constexpr unsigned PlatformZone = 15;
/// One more than the highest zone number; the factor of the source zone in a relay address.
constexpr unsigned ZoneNumberLimit = 16;

/// The two zones encoded in a relay address.
struct RelayZonePair
{
    unsigned from = 0; ///< the zone that connects
    unsigned to = 0; ///< the zone of the host
};

/// The zones encoded in the relay address \p address.
RelayZonePair relayZonePair(const sockaddr_in &address);

/// The real address of the host with the relay address \p address.
sockaddr_in realAddress(const sockaddr_in &address);

/// The relay address at which zone \p source reaches the host with the address \p real.
sockaddr_in relayAddress(const sockaddr_in &real, unsigned source);

/// The zone of a real address; PlatformZone for second octet 0.
unsigned zoneOf(const sockaddr_in &real);

} // namespace jasminemast::standin
