// Delay, bandwidth, faults and byte counts of the link between each pair of zones. Does no I/O.
#pragma once

#include "relayaddress.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace jasminemast::standin
{

/// What happens to traffic in one direction.
enum class LinkMode {
    Ok,
    Cut, ///< connections are reset and refused, datagrams dropped
    Silent, ///< data is accepted from the sender and dropped
};

enum class LinkProtocol {
    Tcp,
    Udp,
};

/// One direction between two zones.
struct LinkDirection
{
    LinkMode mode = LinkMode::Ok;
    std::chrono::microseconds delay {0};
    std::uint64_t bytesPerSecond = 0; ///< 0: no limit
    bool paid = false; ///< the zones are in different regions, whose traffic is paid for
    std::uint64_t tcpBytes = 0; ///< delivered payload
    std::uint64_t udpBytes = 0;
    std::uint64_t datagrams = 0;
    std::uint64_t connections = 0; ///< opened in this direction
    /// Incremented by mode "silent-existing"; flows opened at a lower value deliver nothing any more.
    std::uint64_t silenceEpoch = 0;
    std::chrono::steady_clock::time_point transmitEnd; ///< when the link has transmitted everything sent so far
};

struct LinkZone
{
    unsigned number = 0;
    std::string region;
};

/// The links between all pairs of zones; the platform counts as a zone.
class LinkMatrix
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Links between zones of one region get \p zoneDelay, others \p regionDelay; all get \p bytesPerSecond.
    LinkMatrix(const std::vector<LinkZone> &zones, const std::string &platformRegion,
               std::chrono::microseconds zoneDelay, std::chrono::microseconds regionDelay,
               std::uint64_t bytesPerSecond);

    /// The time at which \p bytes that are sent at \p now arrive; nothing when the direction is not Ok.
    std::optional<TimePoint> arrivalTime(unsigned from, unsigned to, std::size_t bytes, TimePoint now);
    /// Counts delivered payload.
    void countDelivered(unsigned from, unsigned to, std::size_t bytes, LinkProtocol protocol);

    [[nodiscard]] const LinkDirection &direction(unsigned from, unsigned to) const;
    LinkDirection &direction(unsigned from, unsigned to);

    /// Applies `{"from", "to", "mode", "delayUs", "bytesPerSecond"}`; zones are numbers, "*" or "platform".
    /// Modes: ok, cut and silent for both directions; silent-forward and silent-back for one direction;
    /// silent-existing silences the currently open flows in both directions but not new ones.
    /// \throws std::invalid_argument for anything else.
    void apply(const nlohmann::json &request);
    [[nodiscard]] nlohmann::json bytesJson() const;

private:
    [[nodiscard]] std::vector<unsigned> resolveZones(const nlohmann::json &name) const;
    void applyToPair(unsigned from, unsigned to, const nlohmann::json &request);
    void applyMode(unsigned from, unsigned to, const std::string &mode);

    std::vector<LinkZone> m_zones;
    std::array<std::array<LinkDirection, ZoneNumberLimit>, ZoneNumberLimit> m_directions;
};

} // namespace jasminemast::standin
