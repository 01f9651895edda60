// Encodes and decodes the second octet of relay addresses.
#include "relayaddress.h"

#include <cstdint>

namespace jasminemast::standin
{

namespace
{

constexpr unsigned SecondOctetShift = 16;
constexpr std::uint32_t OctetMask = 0xffU;

unsigned secondOctet(const sockaddr_in &address)
{
    return (ntohl(address.sin_addr.s_addr) >> SecondOctetShift) & OctetMask;
}

sockaddr_in withSecondOctet(sockaddr_in address, std::uint32_t octet)
{
    const std::uint32_t others = ntohl(address.sin_addr.s_addr) & ~(OctetMask << SecondOctetShift);
    address.sin_addr.s_addr = htonl(others | (octet << SecondOctetShift));
    return address;
}

} // namespace

RelayZonePair relayZonePair(const sockaddr_in &address)
{
    const unsigned octet = secondOctet(address);
    return {octet / ZoneNumberLimit, octet % ZoneNumberLimit};
}

sockaddr_in realAddress(const sockaddr_in &address)
{
    const unsigned zone = relayZonePair(address).to;
    return withSecondOctet(address, zone == PlatformZone ? 0 : zone);
}

sockaddr_in relayAddress(const sockaddr_in &real, unsigned source)
{
    return withSecondOctet(real, ZoneNumberLimit * source + zoneOf(real));
}

unsigned zoneOf(const sockaddr_in &real)
{
    const unsigned octet = secondOctet(real);
    return octet == 0 ? PlatformZone : octet;
}

} // namespace jasminemast::standin
