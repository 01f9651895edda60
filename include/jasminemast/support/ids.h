// Strong types for identifiers and numbers, so that a host cannot be passed where a zone is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace jasminemast
{

/// A value of type \p Rep that compares only with values of the same \p Tag.
template<class Tag, class Rep>
class StrongId
{
public:
    using Value = Rep;

    constexpr StrongId() = default;
    constexpr explicit StrongId(Rep value)
        : m_value(std::move(value))
    {
    }

    [[nodiscard]] constexpr const Rep &value() const
    {
        return m_value;
    }

    auto operator<=>(const StrongId &) const = default;

    /// Serializes the value alone; called by cereal.
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_value);
    }

    friend std::ostream &operator<<(std::ostream &out, const StrongId &id)
    {
        return out << id.m_value;
    }

private:
    Rep m_value {};
};

/// One host of the fleet. The node on a host is identified by the host's id.
using HostId = StrongId<struct HostTag, std::string>;
/// One availability zone.
using ZoneId = StrongId<struct ZoneTag, std::string>;
/// One region, a group of availability zones.
using RegionId = StrongId<struct RegionTag, std::string>;
using RouteId = StrongId<struct RouteTag, std::string>;
using ServiceId = StrongId<struct ServiceTag, std::string>;
using EndpointId = StrongId<struct EndpointTag, std::string>;
/// Number of a change ticket; the first is 1, and 0 means "no ticket yet".
using TicketNumber = StrongId<struct TicketTag, std::uint64_t>;
/// Distinguishes successive processes on one host; a later process has a higher value.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;

/// Identifies one call across all nodes and restarts.
struct CallId
{
    HostId node; ///< node that the caller is connected to
    Incarnation incarnation; ///< process of that node
    std::uint64_t sequence = 0;

    auto operator<=>(const CallId &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(node, incarnation, sequence);
    }
};

} // namespace jasminemast

template<class Tag, class Rep>
struct std::hash<jasminemast::StrongId<Tag, Rep>>
{
    std::size_t operator()(const jasminemast::StrongId<Tag, Rep> &id) const noexcept
    {
        return std::hash<Rep> {}(id.value());
    }
};
