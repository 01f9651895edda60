// Convergence: each node's own logbook says when a ticket came into force there.
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

constexpr milliseconds HealAfter {1'500};
constexpr milliseconds InForceLimit {15'000};

std::int64_t wallMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

/// One fault, brought about just before a ticket is accepted and healed a while afterwards.
class Fault
{
public:
    Fault(std::string name, Fleet &fleet, std::uint64_t seed)
        : m_name(std::move(name))
        , m_fleet(fleet)
    {
        std::mt19937_64 random(seed);
        const std::size_t hosts = fleet.topology().hosts.size();
        const std::size_t wanted = m_name.ends_with("-tenth") ? std::max<std::size_t>(1, hosts / 10) : 0;
        while (m_hosts.size() < wanted) {
            m_hosts.insert(random() % hosts);
        }
        if (m_name == "partition") {
            m_zone = fleet.topology().zones.back().number;
        } else if (m_name != "none" && m_name != "source-down" && wanted == 0) {
            throw std::invalid_argument("unknown fault " + m_name);
        }
    }

    void begin()
    {
        for (const std::size_t host : m_hosts) {
            m_name == "kill-tenth" ? m_fleet.killNode(host) : m_fleet.pauseNode(host);
        }
        if (m_zone != 0) {
            setZone("silent");
        }
    }

    /// The source goes down right after the acceptance was written.
    void afterAccept() const
    {
        if (m_name == "source-down") {
            m_fleet.setSourceFault({{"mode", "down"}});
        }
    }

    void heal()
    {
        for (const std::size_t host : m_hosts) {
            m_name == "kill-tenth" ? m_fleet.startNode(host) : m_fleet.resumeNode(host);
        }
        if (m_zone != 0) {
            setZone("ok");
        }
        if (m_name == "source-down") {
            m_fleet.setSourceFault({{"mode", "ok"}});
        }
    }

    /// True for hosts that the fault keeps from hearing of the ticket until it heals.
    [[nodiscard]] bool affects(std::size_t host) const
    {
        const HostPlan &place = m_fleet.topology().hosts[host];
        return m_hosts.contains(host) || (m_zone != 0 && m_fleet.topology().zoneOf(place).number == m_zone);
    }

private:
    void setZone(const char *mode) const
    {
        m_fleet.setZonePair({{"from", m_zone}, {"to", "*"}, {"mode", mode}});
        m_fleet.setZonePair({{"from", m_zone}, {"to", "platform"}, {"mode", mode}});
    }

    std::string m_name;
    Fleet &m_fleet;
    std::set<std::size_t> m_hosts;
    unsigned m_zone = 0; ///< 0: no zone is cut off
};

/// When ticket \p number came into force on \p host, or nothing. A node that started later took it as a snapshot.
std::optional<std::int64_t> inForceAt(const Fleet &fleet, std::size_t host, std::uint64_t number)
{
    const std::string url = fleet.topology().operatorUrl(fleet.topology().hosts[host]) + "/v1/tickets";
    const HttpAnswer answer = httpCall("GET", url);
    const auto entries = json::parse(answer.body, nullptr, false);
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

struct Round
{
    std::int64_t reachableMs = 0; ///< worst node that was reachable all along, from the acceptance
    std::int64_t affectedMs = 0; ///< worst affected node, from the healing
    std::uint64_t missing = 0; ///< nodes without the ticket at the limit
};

Round runRound(const MeasureSettings &settings, Fleet &fleet, std::uint64_t seed)
{
    const std::uint64_t number = fleet.tickets().file(paddedTicket(fleet.topology(), settings.ticketBytes, seed));
    Fault fault(settings.fault, fleet, seed);
    fault.begin();
    const std::int64_t accepted = wallMilliseconds();
    fleet.tickets().accept(number);
    fault.afterAccept();
    std::int64_t healed = accepted;
    if (settings.fault != "none") {
        usleep(static_cast<useconds_t>(std::chrono::microseconds(HealAfter).count()));
        healed = wallMilliseconds();
        fault.heal();
    }
    fleet.waitForTicket(number, InForceLimit);
    Round round;
    for (std::size_t host = 0; host < fleet.topology().hosts.size(); ++host) {
        const std::optional<std::int64_t> time = inForceAt(fleet, host, number);
        if (!time) {
            ++round.missing;
        } else if (fault.affects(host)) {
            round.affectedMs = std::max(round.affectedMs, *time - healed);
        } else {
            round.reachableMs = std::max(round.reachableMs, *time - accepted);
        }
    }
    return round;
}

} // namespace

json measureConvergence(const MeasureSettings &settings, Fleet &fleet)
{
    json reachable = json::array();
    json affected = json::array();
    std::uint64_t missing = 0;
    const json before = fleet.zoneLinkBytes();
    for (unsigned ticket = 0; ticket < settings.tickets; ++ticket) {
        const Round round = runRound(settings, fleet, settings.seed + ticket);
        reachable.push_back(round.reachableMs);
        affected.push_back(round.affectedMs);
        missing += round.missing;
    }
    const json after = fleet.zoneLinkBytes();
    const auto paid = after.at("paidBytes").get<std::uint64_t>() - before.at("paidBytes").get<std::uint64_t>();
    return {{"reachableMs", reachable}, {"worstReachableMs", *std::max_element(reachable.begin(), reachable.end())},
            {"affectedMs", affected},   {"worstAffectedMs", *std::max_element(affected.begin(), affected.end())},
            {"missing", missing},       {"paidBytesPerTicket", settings.tickets == 0 ? 0 : paid / settings.tickets}};
}

} // namespace jasminemast::harness
