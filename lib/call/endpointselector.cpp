// Two random choices within the nearest group that has capacity.
#include "jasminemast/call/endpointselector.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jasminemast
{

namespace
{

/// The newest attempt counts for one part in this many of the failure rate.
constexpr double FailureSmoothing = 8;
/// The same for the time of attempts at one endpoint, and for the means over all endpoints of a service.
constexpr double SlownessSmoothing = 4;
constexpr double MeanSmoothing = 32;
/// Routes of one service whose mean time is kept: several times as many as one service has. Operators add and remove
/// routes for as long as the process runs; beyond this the means are learnt anew.
constexpr std::size_t MostRoutes = 1'000;
/// Score of an idle endpoint, in loads: between endpoints that are all lightly used, how slow they are counts more.
constexpr double IdleScore = 0.5;

/// What is left of a measurement's weight at \p age.
double weightAt(Duration age, Duration aging)
{
    return std::exp(-std::chrono::duration<double>(age) / aging);
}

} // namespace

EndpointSelector::EndpointSelector(ZoneId zone, RegionId region, EndpointSelectorLimits limits)
    : m_zone(std::move(zone))
    , m_region(std::move(region))
    , m_limits(limits)
{
}

void EndpointSelector::setCandidates(std::vector<Candidate> candidates, TimePoint now)
{
    const bool first = m_endpoints.empty();
    std::map<EndpointId, Endpoint> next;
    for (Candidate &candidate : candidates) {
        const EndpointId id = candidate.id;
        auto known = m_endpoints.extract(id);
        Endpoint endpoint;
        if (known.empty()) {
            // With nothing warm to compare with, all start as equals.
            endpoint.coldSince = first ? std::nullopt : std::optional(now);
        } else {
            endpoint = std::move(known.mapped());
        }
        endpoint.candidate = std::move(candidate);
        next.emplace(id, std::move(endpoint));
    }
    m_endpoints = std::move(next);
}

EndpointSelector::Tier EndpointSelector::tierOf(const Endpoint &endpoint) const
{
    if (endpoint.candidate.zone == m_zone) {
        return Tier::Zone;
    }
    return endpoint.candidate.region == m_region ? Tier::Region : Tier::Everywhere;
}

EndpointSelector::Group EndpointSelector::usable(Tier tier, const std::set<EndpointId> &avoid, TimePoint now) const
{
    Group reachable = usableOf(tier, avoid, now, false);
    // When every host is silent, the fault may be on this side.
    return reachable.empty() && tier == Tier::Everywhere ? usableOf(tier, avoid, now, true) : reachable;
}

EndpointSelector::Group EndpointSelector::usableOf(Tier tier, const std::set<EndpointId> &avoid, TimePoint now,
                                                   bool withSilent) const
{
    Group result;
    for (const auto &[id, endpoint] : m_endpoints) {
        const bool announced = endpoint.leavingUntil && now < *endpoint.leavingUntil;
        if (tierOf(endpoint) > tier || endpoint.candidate.leaving || announced) {
            continue;
        }
        if (endpoint.silent && !withSilent) {
            continue;
        }
        if (avoid.count(id) != 0 || (endpoint.ejectedUntil && now < *endpoint.ejectedUntil)) {
            continue;
        }
        result.push_back(&endpoint);
    }
    return result;
}

double EndpointSelector::load(const Endpoint &endpoint, TimePoint now) const
{
    const double slots = std::max(1U, endpoint.candidate.slots);
    const double own = endpoint.inFlight / slots;
    if (!endpoint.reportedAt) {
        return std::max(own, m_meanLoad);
    }
    const double weight = weightAt(now - *endpoint.reportedAt, m_limits.loadAging);
    const double reported = m_meanLoad + weight * (endpoint.reportedLoad - m_meanLoad);
    const double since = (static_cast<double>(endpoint.inFlight) - endpoint.inFlightAtReport) / slots;
    return std::max(own, reported + since);
}

double EndpointSelector::slowness(const Endpoint &endpoint, TimePoint now) const
{
    if (!endpoint.tookAt) {
        return 1;
    }
    return 1 + weightAt(now - *endpoint.tookAt, m_limits.slownessAging) * (endpoint.slowness - 1);
}

double EndpointSelector::pressure(const Endpoint &endpoint, TimePoint now) const
{
    return load(endpoint, now) * slowness(endpoint, now);
}

double EndpointSelector::warmth(const Endpoint &endpoint, TimePoint now) const
{
    if (!endpoint.coldSince) {
        return 1;
    }
    const double part = std::chrono::duration<double>(now - *endpoint.coldSince) / m_limits.slowStart;
    return std::clamp(part, m_limits.slowStartFloor, 1.0);
}

double EndpointSelector::score(const Endpoint &endpoint, TimePoint now) const
{
    const double slots = std::max(1U, endpoint.candidate.slots);
    return (IdleScore + load(endpoint, now) + 1 / slots) * slowness(endpoint, now) / warmth(endpoint, now);
}

bool EndpointSelector::isFull(const Endpoint &endpoint, TimePoint now) const
{
    const bool isFresh = endpoint.reportedAt && now - *endpoint.reportedAt <= m_limits.fullLifetime;
    return isFresh && endpoint.reportedLoad >= m_limits.fullAt;
}

EndpointSelector::Group EndpointSelector::withRoom(const Group &group, TimePoint now) const
{
    Group result;
    for (const Endpoint *endpoint : group) {
        if (!isFull(*endpoint, now)) {
            result.push_back(endpoint);
        }
    }
    return result;
}

double EndpointSelector::mean(const Group &group, Measure measure, TimePoint now) const
{
    if (group.empty()) {
        return std::numeric_limits<double>::infinity();
    }
    double sum = 0;
    for (const Endpoint *endpoint : group) {
        sum += (this->*measure)(*endpoint, now);
    }
    return sum / static_cast<double>(group.size());
}

EndpointSelector::Group EndpointSelector::group(const std::set<EndpointId> &avoid, TimePoint now)
{
    Group zone = usable(Tier::Zone, avoid, now);
    const double zoneLimit = m_spillsZone ? m_limits.zoneReturnAt : m_limits.zoneSpillAt;
    const bool spillsZone = mean(zone, &EndpointSelector::pressure, now) >= zoneLimit;
    Group region = spillsZone ? usable(Tier::Region, avoid, now) : Group {};
    const double regionLimit = m_spillsRegion ? m_limits.regionReturnAt : m_limits.regionSpillAt;
    const bool spillsRegion = spillsZone && mean(region, &EndpointSelector::load, now) >= regionLimit;
    // A retry that avoids an endpoint sees less than the zone has, so it says nothing about the next call.
    if (avoid.empty()) {
        m_spillsZone = spillsZone;
        m_spillsRegion = spillsRegion;
    }
    if (!spillsZone) {
        return zone;
    }
    return spillsRegion ? usable(Tier::Everywhere, avoid, now) : region;
}

std::optional<EndpointId> EndpointSelector::pick(const std::set<EndpointId> &avoid, TimePoint now, Random &random,
                                                 Room room)
{
    Group near = group(avoid, now);
    if (near.empty() && !avoid.empty()) {
        near = group({}, now);
    }
    Group roomy = withRoom(near, now);
    if (roomy.empty()) {
        roomy = withRoom(usable(Tier::Everywhere, avoid, now), now);
    }
    if (!roomy.empty() || room == Room::Needed) {
        near = std::move(roomy);
    }
    if (near.empty()) {
        return std::nullopt;
    }
    const Endpoint &best = bestOfTwo(near, now, random);
    const Endpoint *detour = worthwhileDetour(best, avoid, now, random);
    return (detour == nullptr ? best : *detour).candidate.id;
}

const EndpointSelector::Endpoint &EndpointSelector::bestOfTwo(const Group &group, TimePoint now, Random &random) const
{
    const std::size_t first = random.nextBelow(group.size());
    if (group.size() == 1) {
        return *group[first];
    }
    const std::size_t second = (first + 1 + random.nextBelow(group.size() - 1)) % group.size();
    const bool firstIsLighter = score(*group[first], now) <= score(*group[second], now);
    return *group[firstIsLighter ? first : second];
}

const EndpointSelector::Endpoint *EndpointSelector::worthwhileDetour(const Endpoint &near,
                                                                     const std::set<EndpointId> &avoid, TimePoint now,
                                                                     Random &random) const
{
    const double nearScore = score(near, now);
    for (const auto &[tier, factor] :
         {std::pair(Tier::Region, m_limits.regionDetour), std::pair(Tier::Everywhere, m_limits.farDetour)}) {
        // Even an idle endpoint of the mean speed would not be worth the way.
        if (tierOf(near) >= tier || nearScore <= factor * IdleScore) {
            continue;
        }
        const Group farther = withRoom(usableOf(tier, avoid, now, false), now);
        if (farther.empty()) {
            continue;
        }
        const Endpoint &other = bestOfTwo(farther, now, random);
        if (nearScore > factor * score(other, now)) {
            return &other;
        }
    }
    return nullptr;
}

std::optional<HostId> EndpointSelector::hostOf(const EndpointId &id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? std::nullopt : std::optional(found->second.candidate.host);
}

void EndpointSelector::began(const EndpointId &id)
{
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end()) {
        ++found->second.inFlight;
    }
}

void EndpointSelector::ended(const EndpointId &id, AttemptResult evidence, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    Endpoint &endpoint = found->second;
    // An endpoint that a ticket removed and added again begins at zero while older attempts still end.
    endpoint.inFlight -= endpoint.inFlight > 0 ? 1 : 0;
    switch (evidence) {
    case AttemptResult::Success:
        endpoint.failureRate -= endpoint.failureRate / FailureSmoothing;
        if (endpoint.failureRate < m_limits.failureRateToForgive) {
            endpoint.ejections = 0;
        }
        break;
    case AttemptResult::Failure:
        endpoint.failureRate += (1 - endpoint.failureRate) / FailureSmoothing;
        considerEjection(endpoint, now);
        break;
    case AttemptResult::Neutral:
        break;
    }
}

void EndpointSelector::took(const EndpointId &id, const RouteId &route, Duration duration, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || duration <= Duration::zero()) {
        return;
    }
    if (m_meanTimes.size() >= MostRoutes && !m_meanTimes.contains(route)) {
        m_meanTimes.clear();
    }
    Duration &meanTime = m_meanTimes.try_emplace(route, duration).first->second;
    const double ratio = std::chrono::duration<double>(duration) / meanTime;
    meanTime += std::chrono::duration_cast<Duration>((duration - meanTime) / MeanSmoothing);
    Endpoint &endpoint = found->second;
    const double before = slowness(endpoint, now);
    endpoint.slowness = before + (std::min(ratio, m_limits.mostSlowness) - before) / SlownessSmoothing;
    endpoint.tookAt = now;
}

void EndpointSelector::considerEjection(Endpoint &endpoint, TimePoint now)
{
    const bool ejected = endpoint.ejectedUntil && now < *endpoint.ejectedUntil;
    if (ejected || endpoint.failureRate < m_limits.failureRateToEject) {
        return;
    }
    const double allowed = std::floor(m_limits.maxEjectedShare * static_cast<double>(m_endpoints.size()));
    if (static_cast<double>(ejectedCount(now) + 1) > allowed) {
        return;
    }
    constexpr unsigned MaxDoublings = 10;
    const Duration length = m_limits.ejectFor * (1U << std::min(endpoint.ejections, MaxDoublings));
    endpoint.ejectedUntil = now + std::min(length, m_limits.ejectAtMost);
    ++endpoint.ejections;
}

std::size_t EndpointSelector::ejectedCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_endpoints.begin(), m_endpoints.end(), [now](const auto &item) {
        return item.second.ejectedUntil && now < *item.second.ejectedUntil;
    }));
}

void EndpointSelector::reported(const EndpointId &id, double load, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    Endpoint &endpoint = found->second;
    m_meanLoad += (load - m_meanLoad) / MeanSmoothing;
    endpoint.reportedLoad = load;
    endpoint.inFlightAtReport = endpoint.inFlight;
    endpoint.reportedAt = now;
}

void EndpointSelector::setLeaving(const EndpointId &id, bool leaving, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end()) {
        found->second.leavingUntil = leaving ? std::optional(now + m_limits.leavingLifetime) : std::nullopt;
    }
}

void EndpointSelector::setSilent(const HostId &host, bool silent)
{
    for (auto &[id, endpoint] : m_endpoints) {
        if (endpoint.candidate.host == host) {
            endpoint.silent = silent;
        }
    }
}

void EndpointSelector::setRestarted(const HostId &host, TimePoint now)
{
    for (auto &[id, endpoint] : m_endpoints) {
        if (endpoint.candidate.host != host) {
            continue;
        }
        endpoint.leavingUntil.reset();
        endpoint.reportedAt.reset();
        endpoint.tookAt.reset();
        endpoint.coldSince = now;
    }
}

} // namespace jasminemast
