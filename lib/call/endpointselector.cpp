// Power of two random choices within the nearest group of endpoints that has capacity.
#include "jasminemast/call/endpointselector.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jasminemast
{

namespace
{

/// The latest attempt has a weight of one over this number in the failure rate.
constexpr double FailureRateSmoothing = 8;
/// The same for the slowness of one endpoint, and for the means over all endpoints of a service (load, duration).
constexpr double SlownessSmoothing = 4;
constexpr double MeanSmoothing = 32;
/// Maximum number of routes of one service whose mean duration is stored, several times as many as one service has.
/// Operators add and remove routes while the process runs; beyond this number all means are measured anew.
constexpr std::size_t MaxMeanTimes = 1'000;
/// Where both choices fail many attempts, so many others are looked at.
constexpr std::size_t MaxMoreChoices = 4;
/// Added to the load in the score, so that among lightly loaded endpoints slowness counts more than load.
constexpr double IdleScore = 0.5;
/// Assumed until the first attempt of a service has ended.
constexpr Milliseconds InitialMeanTime {100};
/// A response is taken to be in time if it is expected within this share of the time that is left.
constexpr double PunctualShare = 0.6;
/// Longer than any call.
constexpr std::chrono::hours LateCost {1};

/// Weight of a measurement of that \p age.
double weightAt(Duration age, Duration decayTime)
{
    return std::exp(-std::chrono::duration<double>(age) / decayTime);
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
        auto existing = m_endpoints.extract(id);
        Endpoint endpoint;
        if (existing.empty()) {
            // Without any warmed-up endpoint to compare with, there is no slow start.
            endpoint.slowStartBegan = first ? std::nullopt : std::optional(now);
        } else {
            endpoint = std::move(existing.mapped());
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
    return endpoint.candidate.region == m_region ? Tier::Region : Tier::AllRegions;
}

EndpointSelector::Group EndpointSelector::usable(Tier tier, const EndpointFilter &filter, TimePoint now) const
{
    Group reachable = usableInTier(tier, filter, now, false);
    // When all hosts are silent, the fault may be on this host.
    return reachable.empty() && tier == Tier::AllRegions ? usableInTier(tier, filter, now, true) : reachable;
}

EndpointSelector::Group EndpointSelector::usableInTier(Tier tier, const EndpointFilter &filter, TimePoint now,
                                                       bool includeSilent) const
{
    Group result;
    for (const auto &[id, endpoint] : m_endpoints) {
        const bool announcedLeaving = endpoint.leavingUntil && now < *endpoint.leavingUntil;
        if (tierOf(endpoint) > tier || endpoint.candidate.leaving || announcedLeaving) {
            continue;
        }
        if (!filter.allows(endpoint.candidate.region)) {
            continue;
        }
        if (endpoint.silent && !includeSilent) {
            continue;
        }
        if (filter.excluded.contains(id) || (endpoint.ejectedUntil && now < *endpoint.ejectedUntil)) {
            continue;
        }
        result.push_back(&endpoint);
    }
    return result;
}

double EndpointSelector::usableSlots(const Endpoint &endpoint, TimePoint now) const
{
    const double slots = std::max(1U, endpoint.candidate.slots);
    if (endpoint.candidate.warmUpRate <= 0 || now >= endpoint.candidate.warmedUpAt) {
        return slots;
    }
    const double busy = endpoint.candidate.warmUpRate * std::chrono::duration<double>(m_meanTime).count();
    return std::clamp(busy, 1.0, slots);
}

double EndpointSelector::load(const Endpoint &endpoint, TimePoint now) const
{
    const double slots = usableSlots(endpoint, now);
    const double localLoad = endpoint.inFlight / slots;
    if (!endpoint.reportedAt) {
        return std::max(localLoad, m_meanLoad);
    }
    const double weight = weightAt(now - *endpoint.reportedAt, m_limits.loadDecayTime);
    const double reported = m_meanLoad + weight * (endpoint.reportedLoad - m_meanLoad);
    const double sentSinceReport = (static_cast<double>(endpoint.inFlight) - endpoint.inFlightAtReport) / slots;
    return std::max(localLoad, reported + sentSinceReport);
}

double EndpointSelector::slowness(const Endpoint &endpoint, TimePoint now) const
{
    if (!endpoint.slownessMeasuredAt) {
        return 1;
    }
    return 1 + weightAt(now - *endpoint.slownessMeasuredAt, m_limits.slownessDecayTime) * (endpoint.slowness - 1);
}

double EndpointSelector::pace(const Endpoint &endpoint, TimePoint now) const
{
    if (!endpoint.reportedAt) {
        return 1;
    }
    return 1 + weightAt(now - *endpoint.reportedAt, m_limits.paceDecayTime) * (endpoint.reportedPace - 1);
}

double EndpointSelector::failureShare(const Endpoint &endpoint, TimePoint now) const
{
    if (!endpoint.reportedAt) {
        return 0;
    }
    const double weight = weightAt(now - *endpoint.reportedAt, m_limits.failureDecayTime);
    return std::min(m_limits.maxFailureShare, weight * endpoint.reportedFailureShare);
}

double EndpointSelector::pressure(const Endpoint &endpoint, TimePoint now) const
{
    return load(endpoint, now) * slowness(endpoint, now);
}

double EndpointSelector::slowStartShare(const Endpoint &endpoint, TimePoint now) const
{
    if (!endpoint.slowStartBegan) {
        return 1;
    }
    const double elapsedShare = std::chrono::duration<double>(now - *endpoint.slowStartBegan) / m_limits.slowStart;
    return std::clamp(elapsedShare, m_limits.slowStartMinShare, 1.0);
}

double EndpointSelector::score(const Endpoint &endpoint, TimePoint now) const
{
    const double slots = usableSlots(endpoint, now);
    const double time = (IdleScore + load(endpoint, now) + 1 / slots) * slowness(endpoint, now) * pace(endpoint, now);
    // Of several attempts, one succeeds.
    return time / (1 - failureShare(endpoint, now)) / slowStartShare(endpoint, now);
}

bool EndpointSelector::isFull(const Endpoint &endpoint, TimePoint now) const
{
    const bool isFresh = endpoint.reportedAt && now - *endpoint.reportedAt <= m_limits.fullReportLifetime;
    return isFresh && endpoint.reportedLoad >= m_limits.fullLoad;
}

EndpointSelector::Group EndpointSelector::withCapacity(const Group &group, TimePoint now) const
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

EndpointSelector::Group EndpointSelector::selectGroup(const EndpointFilter &filter, TimePoint now)
{
    Group zone = usable(Tier::Zone, filter, now);
    const double zoneLimit = m_spillsZone ? m_limits.zoneReturnThreshold : m_limits.zoneSpillThreshold;
    const bool spillsZone = mean(zone, &EndpointSelector::pressure, now) >= zoneLimit;
    Group region = spillsZone ? usable(Tier::Region, filter, now) : Group {};
    const double regionLimit = m_spillsRegion ? m_limits.regionReturnThreshold : m_limits.regionSpillThreshold;
    const bool spillsRegion = spillsZone && mean(region, &EndpointSelector::load, now) >= regionLimit;
    // A retry that excludes an endpoint sees only a part of the zone, so its result does not apply to the next call.
    // Nor does that of a call that must leave the region.
    if (filter.excluded.empty() && filter.allows(m_region)) {
        m_spillsZone = spillsZone;
        m_spillsRegion = spillsRegion;
    }
    if (!spillsZone) {
        return zone;
    }
    return spillsRegion ? usable(Tier::AllRegions, filter, now) : region;
}

Duration EndpointSelector::meanTime(const RouteId &route) const
{
    const auto found = m_meanTimes.find(route);
    if (found != m_meanTimes.end()) {
        return found->second;
    }
    return m_meanTime == Duration::zero() ? Duration(InitialMeanTime) : m_meanTime;
}

Duration EndpointSelector::wayCost(Tier tier, const CallEstimate &call) const
{
    switch (tier) {
    case Tier::Zone:
        return Duration::zero();
    case Tier::Region:
        return m_limits.ways.zone.of(call.bytes);
    case Tier::AllRegions:
        break;
    }
    return m_limits.ways.region.of(call.bytes);
}

Duration EndpointSelector::cost(const Endpoint &endpoint, Tier tier, TimePoint now, const CallEstimate &call) const
{
    const auto time = std::chrono::duration_cast<Duration>(meanTime(call.route) * score(endpoint, now));
    const bool isLate = call.timeLeft != Duration::max()
        && std::chrono::duration<double>(time) > PunctualShare * std::chrono::duration<double>(call.timeLeft);
    return time + wayCost(tier, call) + (isLate ? Duration(LateCost) : Duration::zero());
}

const EndpointSelector::Endpoint *EndpointSelector::cheapest(const std::vector<Group> &tiers, TimePoint now,
                                                             Random &random, const CallEstimate &call) const
{
    const Endpoint *best = nullptr;
    Duration bestCost = Duration::max();
    for (const Tier tier : {Tier::Zone, Tier::Region, Tier::AllRegions}) {
        const Group &group = tiers[static_cast<std::size_t>(tier)];
        // Even an idle endpoint there would cost more.
        const auto least = wayCost(tier, call) + std::chrono::duration_cast<Duration>(meanTime(call.route) * IdleScore);
        if (group.empty() || bestCost <= least) {
            continue;
        }
        const Endpoint &candidate = bestOfTwo(group, now, random);
        const Duration candidateCost = cost(candidate, tier, now, call);
        if (candidateCost < bestCost) {
            best = &candidate;
            bestCost = candidateCost;
        }
    }
    return best;
}

std::optional<EndpointId> EndpointSelector::pickByCost(const EndpointFilter &filter, TimePoint now, Random &random,
                                                       FullEndpoints fullEndpoints, const CallEstimate &call) const
{
    Group all = usable(Tier::AllRegions, filter, now);
    if (fullEndpoints == FullEndpoints::Excluded) {
        all = withCapacity(all, now);
    }
    std::vector<Group> tiers(static_cast<std::size_t>(Tier::AllRegions) + 1);
    for (const Endpoint *endpoint : all) {
        tiers[static_cast<std::size_t>(tierOf(*endpoint))].push_back(endpoint);
    }
    const Endpoint *best = cheapest(tiers, now, random, call);
    if (best != nullptr) {
        return best->candidate.id;
    }
    if (filter.excluded.empty()) {
        return std::nullopt;
    }
    return pickByCost({{}, filter.regions}, now, random, fullEndpoints, call);
}

std::optional<EndpointId> EndpointSelector::pick(const EndpointFilter &filter, TimePoint now, Random &random,
                                                 FullEndpoints fullEndpoints, const CallEstimate &call)
{
    if (m_limits.ways.isEnabled) {
        return pickByCost(filter, now, random, fullEndpoints, call);
    }
    Group candidates = selectGroup(filter, now);
    if (candidates.empty() && !filter.excluded.empty()) {
        candidates = selectGroup({{}, filter.regions}, now);
    }
    Group notFull = withCapacity(candidates, now);
    if (notFull.empty()) {
        notFull = withCapacity(usable(Tier::AllRegions, filter, now), now);
    }
    if (!notFull.empty() || fullEndpoints == FullEndpoints::Excluded) {
        candidates = std::move(notFull);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const Endpoint &best = bestOfTwo(candidates, now, random);
    const Endpoint *alternative = betterFartherEndpoint(best, filter, now, random);
    return (alternative == nullptr ? best : *alternative).candidate.id;
}

const EndpointSelector::Endpoint &EndpointSelector::bestOfTwo(const Group &group, TimePoint now, Random &random) const
{
    const std::size_t first = random.nextBelow(group.size());
    if (group.size() == 1) {
        return *group[first];
    }
    const std::size_t second = (first + 1 + random.nextBelow(group.size() - 1)) % group.size();
    const bool firstIsBetter = score(*group[first], now) <= score(*group[second], now);
    const Endpoint *best = group[firstIsBetter ? first : second];
    for (std::size_t more = 0; more < MaxMoreChoices && failureShare(*best, now) >= m_limits.avoidedFailureShare;
         ++more) {
        const Endpoint *other = group[random.nextBelow(group.size())];
        best = score(*other, now) < score(*best, now) ? other : best;
    }
    return *best;
}

const EndpointSelector::Endpoint *EndpointSelector::betterFartherEndpoint(const Endpoint &near,
                                                                          const EndpointFilter &filter, TimePoint now,
                                                                          Random &random) const
{
    const double nearScore = score(near, now);
    for (const auto &[tier, factor] :
         {std::pair(Tier::Region, m_limits.minRegionGain), std::pair(Tier::AllRegions, m_limits.minOtherRegionGain)}) {
        // Even an idle endpoint of average speed would not be better by the required factor.
        if (tierOf(near) >= tier || nearScore <= factor * IdleScore) {
            continue;
        }
        const Group farther = withCapacity(usableInTier(tier, filter, now, false), now);
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

void EndpointSelector::recordStart(const EndpointId &id)
{
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end()) {
        ++found->second.inFlight;
    }
}

void EndpointSelector::recordEnd(const EndpointId &id, AttemptResult result, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    Endpoint &endpoint = found->second;
    // When a ticket removes an endpoint and adds it again, its count starts at zero although older attempts still end.
    endpoint.inFlight -= endpoint.inFlight > 0 ? 1 : 0;
    switch (result) {
    case AttemptResult::Success:
        endpoint.failureRate -= endpoint.failureRate / FailureRateSmoothing;
        if (endpoint.failureRate < m_limits.ejectionResetFailureRate) {
            endpoint.ejections = 0;
        }
        break;
    case AttemptResult::Failure:
        endpoint.failureRate += (1 - endpoint.failureRate) / FailureRateSmoothing;
        ejectIfFailing(endpoint, now);
        break;
    case AttemptResult::Neutral:
        break;
    }
}

void EndpointSelector::recordDuration(const EndpointId &id, const RouteId &route, Duration duration, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end() || duration <= Duration::zero()) {
        return;
    }
    if (m_meanTimes.size() >= MaxMeanTimes && !m_meanTimes.contains(route)) {
        m_meanTimes.clear();
    }
    const bool isFirst = m_meanTime == Duration::zero();
    m_meanTime += isFirst ? duration : std::chrono::duration_cast<Duration>((duration - m_meanTime) / MeanSmoothing);
    Duration &meanTime = m_meanTimes.try_emplace(route, duration).first->second;
    const double ratio = std::chrono::duration<double>(duration) / meanTime;
    meanTime += std::chrono::duration_cast<Duration>((duration - meanTime) / MeanSmoothing);
    Endpoint &endpoint = found->second;
    const double previous = slowness(endpoint, now);
    endpoint.slowness = previous + (std::min(ratio, m_limits.maxSlowness) - previous) / SlownessSmoothing;
    endpoint.slownessMeasuredAt = now;
}

void EndpointSelector::ejectIfFailing(Endpoint &endpoint, TimePoint now)
{
    const bool ejected = endpoint.ejectedUntil && now < *endpoint.ejectedUntil;
    if (ejected || endpoint.failureRate < m_limits.ejectionFailureRate) {
        return;
    }
    const double maxEjected = std::floor(m_limits.maxEjectedShare * static_cast<double>(m_endpoints.size()));
    if (static_cast<double>(ejectedCount(now) + 1) > maxEjected) {
        return;
    }
    constexpr unsigned MaxDoublings = 10;
    const Duration ejectionTime = m_limits.firstEjectionTime * (1U << std::min(endpoint.ejections, MaxDoublings));
    endpoint.ejectedUntil = now + std::min(ejectionTime, m_limits.maxEjectionTime);
    ++endpoint.ejections;
}

std::size_t EndpointSelector::ejectedCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_endpoints.begin(), m_endpoints.end(), [now](const auto &item) {
        return item.second.ejectedUntil && now < *item.second.ejectedUntil;
    }));
}

void EndpointSelector::recordReport(const EndpointId &id, const TargetReport &report, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    Endpoint &endpoint = found->second;
    m_meanLoad += (report.load - m_meanLoad) / MeanSmoothing;
    endpoint.reportedLoad = report.load;
    endpoint.reportedPace = report.pace;
    endpoint.reportedFailureShare = report.failureShare;
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
        endpoint.slownessMeasuredAt.reset();
        endpoint.slowStartBegan = now;
    }
}

} // namespace jasminemast
