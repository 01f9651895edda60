// Delay, capacity, faults and byte counts of the link between each pair of zones. No input or output.
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
    Silent, ///< everything is taken and nothing arrives
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
    bool paid = false; ///< the zones lie in different regions
    std::uint64_t tcpBytes = 0; ///< payload that was delivered
    std::uint64_t udpBytes = 0;
    std::uint64_t datagrams = 0;
    std::uint64_t connections = 0; ///< dialled in this direction
    std::uint64_t silenceEpoch = 0; ///< flows older than this are silent for good
    std::chrono::steady_clock::time_point freeAt; ///< when the link has sent what it was given
};

struct LinkZone
{
    unsigned number = 0;
    std::string region;
};

/// All directions.
class LinkMatrix
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Links between zones of one region get \p zoneDelay, others \p regionDelay; all get \p bytesPerSecond.
    LinkMatrix(const std::vector<LinkZone> &zones, const std::string &platformRegion,
               std::chrono::microseconds zoneDelay, std::chrono::microseconds regionDelay,
               std::uint64_t bytesPerSecond);

    /// When \p bytes sent now from zone to zone arrive; nothing when the direction is not Ok.
    std::optional<TimePoint> arrival(unsigned from, unsigned to, std::size_t bytes, TimePoint now);
    /// Counts payload that arrived.
    void countDelivered(unsigned from, unsigned to, std::size_t bytes, LinkProtocol protocol);

    [[nodiscard]] const LinkDirection &direction(unsigned from, unsigned to) const;
    LinkDirection &direction(unsigned from, unsigned to);

    /// Applies `{"from", "to", "mode", "delayUs", "bytesPerSecond"}`; zones are numbers, "*" or "platform".
    /// Modes: ok, cut and silent for both directions; silent-forward and silent-back for one;
    /// silent-existing silences the flows open now in both directions and lets new ones pass.
    /// \throws std::invalid_argument for anything else.
    void apply(const nlohmann::json &request);
    [[nodiscard]] nlohmann::json bytesJson() const;

private:
    [[nodiscard]] std::vector<unsigned> zonesNamed(const nlohmann::json &name) const;
    void applyTo(unsigned from, unsigned to, const nlohmann::json &request);
    void applyMode(unsigned from, unsigned to, const std::string &mode);

    std::vector<LinkZone> m_zones;
    std::array<std::array<LinkDirection, ZonesPerViewer>, ZonesPerViewer> m_directions;
};

} // namespace jasminemast::standin
