// The platform's list of hosts and their locations. It is updated with delay, so it serves only as a hint.
#pragma once

#include "jasminemast/support/ids.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jasminemast
{

/// One host as the platform lists it.
struct HostEntry
{
    HostId host;
    RegionId region;
    ZoneId zone;
    std::string address; ///< as in the list; only the network code interprets it
    bool leaving = false; ///< true: accepts no new calls

    bool operator==(const HostEntry &) const = default;
};

/// An immutable host list, ordered by host.
class HostList
{
public:
    HostList() = default;
    explicit HostList(const std::vector<HostEntry> &entries);

    /// The entry of \p host; null when it is not listed.
    [[nodiscard]] const HostEntry *find(const HostId &host) const;
    [[nodiscard]] const std::map<HostId, HostEntry> &entries() const
    {
        return m_entries;
    }
    [[nodiscard]] std::vector<HostId> inZone(const ZoneId &zone) const;
    [[nodiscard]] std::vector<HostId> inRegion(const RegionId &region) const;
    /// Every zone that has a host, in ascending order.
    [[nodiscard]] std::vector<ZoneId> zones() const;
    [[nodiscard]] std::size_t size() const
    {
        return m_entries.size();
    }

private:
    std::map<HostId, HostEntry> m_entries;
};

/// Parses the platform's JSON host list.
/// \throws ResultError with HostListMalformed.
HostList parseHostList(std::string_view bytes);

} // namespace jasminemast
