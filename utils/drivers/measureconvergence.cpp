// Measures how fast nodes apply a ticket. The time comes from each node's own list of applied tickets.
#include "harness/httpcall.h"
#include "measures.h"

#include <algorithm>
#include <random>
#include <set>

namespace jasminemast::harness
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds FaultDuration {1'500};
constexpr milliseconds InForceLimit {15'000};

std::int64_t wallClockMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

/// A fault that is injected around the acceptance of a ticket and cleared FaultDuration later.
class Fault
{
public:
    Fault(std::string name, Fleet &fleet, std::uint64_t seed)
        : m_name(std::move(name))
        , m_fleet(fleet)
    {
        std::mt19937_64 random(seed);
        const std::size_t fleetSize = fleet.topology().hosts.size();
        const std::size_t affectedCount = m_name.ends_with("-tenth") ? std::max<std::size_t>(1, fleetSize / 10) : 0;
        while (m_hosts.size() < affectedCount) {
            m_hosts.insert(random() % fleetSize);
        }
        if (m_name == "partition") {
            m_isolatedZone = fleet.topology().zones.back().number;
        } else if (m_name != "none" && m_name != "source-down" && affectedCount == 0) {
            throw std::invalid_argument("unknown fault " + m_name);
        }
    }

    void inject()
    {
        for (const std::size_t host : m_hosts) {
            m_name == "kill-tenth" ? m_fleet.killNode(host) : m_fleet.pauseNode(host);
        }
        if (m_isolatedZone != 0) {
            setIsolatedZoneMode("silent");
        }
    }

    /// Stops the configuration service right after it stored the acceptance.
    void injectAfterAcceptance() const
    {
        if (m_name == "source-down") {
            m_fleet.setSourceFault({{"mode", "down"}});
        }
    }

    void clear()
    {
        for (const std::size_t host : m_hosts) {
            m_name == "kill-tenth" ? m_fleet.startNode(host) : m_fleet.resumeNode(host);
        }
        if (m_isolatedZone != 0) {
            setIsolatedZoneMode("ok");
        }
        if (m_name == "source-down") {
            m_fleet.setSourceFault({{"mode", "ok"}});
        }
    }

    /// True for hosts whose nodes can't learn of the ticket until the fault is cleared.
    [[nodiscard]] bool affects(std::size_t host) const
    {
        if (m_name == "source-down") {
            return true;
        }
        const HostPlan &hostPlan = m_fleet.topology().hosts[host];
        return m_hosts.contains(host)
            || (m_isolatedZone != 0 && m_fleet.topology().zoneOf(hostPlan).number == m_isolatedZone);
    }

private:
    void setIsolatedZoneMode(const char *mode) const
    {
        m_fleet.setZonePair({{"from", m_isolatedZone}, {"to", "*"}, {"mode", mode}});
        m_fleet.setZonePair({{"from", m_isolatedZone}, {"to", "platform"}, {"mode", mode}});
    }

    std::string m_name;
    Fleet &m_fleet;
    std::set<std::size_t> m_hosts;
    unsigned m_isolatedZone = 0; ///< 0 if no zone is isolated
};

/// Time at which ticket \p number came into force on \p host; nullopt if the node does not list it. A node that started
/// later got the ticket's content in a snapshot and does not list it.
std::optional<std::int64_t> inForceAt(const Fleet &fleet, std::size_t host, std::uint64_t number)
{
    const std::string url = fleet.topology().operatorUrl(fleet.topology().hosts[host]) + "/v1/tickets";
    const HttpResponse response = httpCall("GET", url);
    const auto entries = json::parse(response.body, nullptr, false);
    if (!entries.is_array()) {
        return std::nullopt;
    }
    for (const json &entry : entries) {
        if (entry.at("number") == number) {
            return entry.at("inForceAt").get<std::int64_t>();
        }
    }
    return std::nullopt;
}

struct RoundResult
{
    std::int64_t reachableMs = 0; ///< slowest unaffected node, counted from the acceptance
    std::int64_t affectedMs = 0; ///< slowest affected node, counted from the clearing of the fault
    std::uint64_t missing = 0; ///< nodes that did not list the ticket after InForceLimit
};

RoundResult runRound(const MeasureSettings &settings, Fleet &fleet, std::uint64_t seed)
{
    const std::uint64_t number = fleet.tickets().write(paddedTicket(fleet.topology(), settings.ticketBytes, seed));
    Fault fault(settings.fault, fleet, seed);
    fault.inject();
    const std::int64_t acceptedAt = wallClockMilliseconds();
    fleet.tickets().accept(number);
    fault.injectAfterAcceptance();
    std::int64_t clearedAt = acceptedAt;
    if (settings.fault != "none") {
        usleep(static_cast<useconds_t>(std::chrono::microseconds(FaultDuration).count()));
        clearedAt = wallClockMilliseconds();
        fault.clear();
    }
    fleet.waitForTicket(number, InForceLimit);
    RoundResult result;
    for (std::size_t host = 0; host < fleet.topology().hosts.size(); ++host) {
        const std::optional<std::int64_t> appliedAt = inForceAt(fleet, host, number);
        if (!appliedAt) {
            ++result.missing;
        } else if (fault.affects(host)) {
            result.affectedMs = std::max(result.affectedMs, *appliedAt - clearedAt);
        } else {
            result.reachableMs = std::max(result.reachableMs, *appliedAt - acceptedAt);
        }
    }
    return result;
}

} // namespace

json measureConvergence(const MeasureSettings &settings, Fleet &fleet)
{
    json reachable = json::array();
    json affected = json::array();
    std::uint64_t missing = 0;
    const json before = fleet.zoneLinkBytes();
    for (unsigned ticket = 0; ticket < settings.tickets; ++ticket) {
        const RoundResult result = runRound(settings, fleet, settings.seed + ticket);
        reachable.push_back(result.reachableMs);
        affected.push_back(result.affectedMs);
        missing += result.missing;
    }
    const json after = fleet.zoneLinkBytes();
    const auto paidBytes = after.at("paidBytes").get<std::uint64_t>() - before.at("paidBytes").get<std::uint64_t>();
    return {
        {"reachableMs", reachable}, {"worstReachableMs", *std::max_element(reachable.begin(), reachable.end())},
        {"affectedMs", affected},   {"worstAffectedMs", *std::max_element(affected.begin(), affected.end())},
        {"missing", missing},       {"paidBytesPerTicket", settings.tickets == 0 ? 0 : paidBytes / settings.tickets}};
}

} // namespace jasminemast::harness
