// The table of link directions and how requests change it.
#include "linkmatrix.h"

#include <algorithm>
#include <stdexcept>

namespace jasminemast::standin
{

LinkMatrix::LinkMatrix(const std::vector<LinkZone> &zones, const std::string &platformRegion,
                       std::chrono::microseconds zoneDelay, std::chrono::microseconds regionDelay,
                       std::uint64_t bytesPerSecond)
    : m_zones(zones)
{
    m_zones.push_back({PlatformZone, platformRegion});
    for (const LinkZone &from : m_zones) {
        for (const LinkZone &to : m_zones) {
            LinkDirection &link = direction(from.number, to.number);
            link.paid = from.region != to.region;
            link.delay = link.paid ? regionDelay : zoneDelay;
            link.bytesPerSecond = bytesPerSecond;
        }
    }
}

const LinkDirection &LinkMatrix::direction(unsigned from, unsigned to) const
{
    return m_directions.at(from).at(to);
}

LinkDirection &LinkMatrix::direction(unsigned from, unsigned to)
{
    return m_directions.at(from).at(to);
}

std::optional<LinkMatrix::TimePoint> LinkMatrix::arrivalTime(unsigned from, unsigned to, std::size_t bytes,
                                                             TimePoint now)
{
    constexpr double NanosecondsPerSecond = 1e9;
    LinkDirection &link = direction(from, to);
    if (link.mode != LinkMode::Ok) {
        return std::nullopt;
    }
    link.transmitEnd = std::max(link.transmitEnd, now);
    if (link.bytesPerSecond > 0) {
        const double transmitSeconds = static_cast<double>(bytes) / static_cast<double>(link.bytesPerSecond);
        link.transmitEnd += std::chrono::nanoseconds(static_cast<std::int64_t>(transmitSeconds * NanosecondsPerSecond));
    }
    return link.transmitEnd + link.delay;
}

void LinkMatrix::countDelivered(unsigned from, unsigned to, std::size_t bytes, LinkProtocol protocol)
{
    LinkDirection &link = direction(from, to);
    if (protocol == LinkProtocol::Tcp) {
        link.tcpBytes += bytes;
        return;
    }
    link.udpBytes += bytes;
    ++link.datagrams;
}

std::vector<unsigned> LinkMatrix::resolveZones(const nlohmann::json &name) const
{
    std::vector<unsigned> numbers;
    for (const LinkZone &zone : m_zones) {
        const bool everyZone = name == "*" && zone.number != PlatformZone;
        const bool platform = name == "platform" && zone.number == PlatformZone;
        if (everyZone || platform || name == zone.number) {
            numbers.push_back(zone.number);
        }
    }
    if (numbers.empty()) {
        throw std::invalid_argument("unknown zone " + name.dump());
    }
    return numbers;
}

void LinkMatrix::apply(const nlohmann::json &request)
{
    const std::vector<unsigned> sources = resolveZones(request.at("from"));
    const std::vector<unsigned> destinations = resolveZones(request.at("to"));
    for (const unsigned from : sources) {
        for (const unsigned to : destinations) {
            if (from != to) {
                applyToPair(from, to, request);
            }
        }
    }
}

void LinkMatrix::applyToPair(unsigned from, unsigned to, const nlohmann::json &request)
{
    for (LinkDirection *link : {&direction(from, to), &direction(to, from)}) {
        link->delay = std::chrono::microseconds(request.value("delayUs", link->delay.count()));
        link->bytesPerSecond = request.value("bytesPerSecond", link->bytesPerSecond);
    }
    if (request.contains("mode")) {
        applyMode(from, to, request.at("mode").get<std::string>());
    }
}

void LinkMatrix::applyMode(unsigned from, unsigned to, const std::string &mode)
{
    LinkDirection &forward = direction(from, to);
    LinkDirection &back = direction(to, from);
    if (mode == "ok" || mode == "cut" || mode == "silent") {
        const LinkMode both = mode == "ok" ? LinkMode::Ok : mode == "cut" ? LinkMode::Cut : LinkMode::Silent;
        forward.mode = both;
        back.mode = both;
    } else if (mode == "silent-forward") {
        forward.mode = LinkMode::Silent;
    } else if (mode == "silent-back") {
        back.mode = LinkMode::Silent;
    } else if (mode == "silent-existing") {
        ++forward.silenceEpoch;
        ++back.silenceEpoch;
    } else {
        throw std::invalid_argument("unknown mode " + mode);
    }
}

nlohmann::json LinkMatrix::bytesJson() const
{
    auto pairs = nlohmann::json::array();
    std::uint64_t paid = 0;
    std::uint64_t unpaid = 0;
    for (const LinkZone &from : m_zones) {
        for (const LinkZone &to : m_zones) {
            const LinkDirection &link = direction(from.number, to.number);
            const std::uint64_t bytes = link.tcpBytes + link.udpBytes;
            if (from.number == to.number || (bytes == 0 && link.connections == 0)) {
                continue;
            }
            (link.paid ? paid : unpaid) += bytes;
            pairs.push_back({{"from", from.number},
                             {"to", to.number},
                             {"tcpBytes", link.tcpBytes},
                             {"udpBytes", link.udpBytes},
                             {"datagrams", link.datagrams},
                             {"connections", link.connections},
                             {"paid", link.paid}});
        }
    }
    return {{"paidBytes", paid}, {"unpaidBytes", unpaid}, {"pairs", pairs}};
}

} // namespace jasminemast::standin
