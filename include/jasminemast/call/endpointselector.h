// Load balancing: prefers endpoints that are near, takes the better of two random ones, and excludes endpoints that are
// leaving or failing.
#pragma once

#include "jasminemast/call/messages.h"
#include "jasminemast/call/waycosts.h"
#include "jasminemast/support/clock.h"
#include "jasminemast/support/ids.h"
#include "jasminemast/support/random.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace jasminemast
{

struct EndpointSelectorLimits
{
    /// Mean pressure (load times slowness) of the zone's endpoints from which those of the rest of the region are used
    /// as well, and below which only the zone is used again. The latency to another zone is small compared to any
    /// queueing, and load is distributed badly over few endpoints.
    double zoneSpillThreshold = 0.6;
    double zoneReturnThreshold = 0.45;
    /// The same for the region and all other regions, to which latency is high and traffic is paid for. They apply to
    /// the mean load alone, because a slow endpoint is avoided within the region.
    double regionSpillThreshold = 0.95;
    double regionReturnThreshold = 0.75;
    /// An endpoint of the region, or of another region, is preferred to the selected nearer one when the nearer one's
    /// score is more than this many times higher (lower scores are better). Within the region this is the ratio of an
    /// endpoint with two thirds of its slots taken to an idle one; between regions traffic is paid for.
    double minRegionGain = 2;
    double minOtherRegionGain = 3;
    Duration slowStart = std::chrono::seconds(5); ///< time in which a new endpoint reaches its full share
    double slowStartMinShare = 0.1; ///< initial share of a new endpoint
    Duration leavingLifetime = std::chrono::seconds(5); ///< age at which a leaving announcement expires
    /// Time constants of the exponential decay of a load report, or of a measured slowness, to the mean of the service.
    /// Load changes within seconds; the causes of slowness last longer.
    Duration loadDecayTime = std::chrono::seconds(2);
    Duration slownessDecayTime = std::chrono::seconds(10);
    /// The same for the reported pace, which changes many times a second, and the reported share of failures.
    Duration paceDecayTime = std::chrono::milliseconds(150);
    Duration failureDecayTime = std::chrono::seconds(3);
    /// From this share of failures on, more than two endpoints are compared.
    double avoidedFailureShare = 0.2;
    double maxFailureShare = 0.9; ///< a target that seems to fail everything is tried now and then
    double maxSlowness = 20; ///< maximum ratio of one attempt's duration to the mean that is taken into account
    double fullLoad = 1.95; ///< load at which slots and queue are full, so that another attempt would be refused
    /// Time for which an endpoint is treated as full after such a report; after it many of its slots have been freed.
    Duration fullReportLifetime = std::chrono::milliseconds(100);
    double ejectionFailureRate = 0.4; ///< smoothed; reached by four failures in a row
    double ejectionResetFailureRate = 0.1; ///< smoothed; below it the ejection time starts over at the first one
    Duration firstEjectionTime = std::chrono::seconds(1); ///< doubled for each further ejection
    Duration maxEjectionTime = std::chrono::seconds(30);
    double maxEjectedShare = 0.34; ///< of the endpoints of a service; the rest stays in use
    WayCosts ways; ///< if enabled, they decide between near and far endpoints in place of the thresholds and gains
};

/// An endpoint that may be selected, as described by the configuration and the host list.
struct Candidate
{
    EndpointId id;
    HostId host;
    ZoneId zone;
    RegionId region;
    unsigned slots = 1;
    bool leaving = false; ///< according to ticket, host list, or the evacuation of its zone
    TimePoint warmedUpAt {}; ///< the target warms up until then
    double warmUpRate = 0; ///< requests a second that the target bears meanwhile; 0: as many as its slots allow
};

/// Which endpoints come into question for one attempt.
struct EndpointFilter
{
    std::set<EndpointId> excluded {}; ///< only selected if there are no others
    std::vector<RegionId> regions {}; ///< no others are selected; empty: all

    [[nodiscard]] bool allows(const RegionId &region) const
    {
        return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
    }
};

/// What is known of a call before an endpoint is selected for it.
struct CallEstimate
{
    RouteId route {};
    double bytes = 0; ///< of request and response
    Duration timeLeft = Duration::max(); ///< until the response has lost most of its value
};

/// How an attempt ended, as far as it says something about its endpoint.
enum class AttemptResult : std::uint8_t {
    Success, ///< the target sent a response
    Failure, ///< the target or its node was not reached, lost the response, or failed
    Neutral, ///< refused because of load or leaving, or canceled
};

/// Selects endpoints of one service for one node.
///
/// Invariants: a leaving endpoint, or one outside the regions of the filter, is never selected; the share of ejected
/// endpoints never exceeds its limit.
class EndpointSelector
{
public:
    EndpointSelector(ZoneId zone, RegionId region, EndpointSelectorLimits limits);

    /// Replaces the candidates; the measurements of those that stay are retained.
    void setCandidates(std::vector<Candidate> candidates, TimePoint now);

    /// Whether endpoints that reported to be full may be selected.
    enum class FullEndpoints : std::uint8_t {
        Allowed, ///< when there are no others, because the report may be out of date
        Excluded, ///< never: the call was just refused because of load
    };

    /// Selects an endpoint; nothing when none is usable.
    std::optional<EndpointId> pick(const EndpointFilter &filter, TimePoint now, Random &random,
                                   FullEndpoints fullEndpoints = FullEndpoints::Allowed, const CallEstimate &call = {});

    /// The host of a candidate; nothing when the id is unknown.
    [[nodiscard]] std::optional<HostId> hostOf(const EndpointId &id) const;

    /// Records the start or the end of an attempt on the endpoint; each start is followed by one end.
    void recordStart(const EndpointId &id);
    void recordEnd(const EndpointId &id, AttemptResult result, TimePoint now);
    /// Records the time from the selection of the endpoint for an attempt to the end of the response.
    void recordDuration(const EndpointId &id, const RouteId &route, Duration duration, TimePoint now);
    /// Records what a reply says about the endpoint.
    void recordReport(const EndpointId &id, const TargetReport &report, TimePoint now);
    /// The endpoint's node announced that the endpoint takes no new calls, or takes them again. The announcement is
    /// repeated while the endpoint is leaving, so a lost one is replaced, and an expired one costs one refused attempt.
    void setLeaving(const EndpointId &id, bool leaving, TimePoint now);
    /// Nothing is received on the link to \p host although a message is expected, or messages arrive again. The
    /// endpoints of silent hosts are selected only when no others are usable.
    void setSilent(const HostId &host, bool silent);
    /// The process on \p host was replaced: load, slowness and announcements of its endpoints are dropped, and their
    /// slow start begins.
    void setRestarted(const HostId &host, TimePoint now);

    [[nodiscard]] std::size_t ejectedCount(TimePoint now) const;

private:
    struct Endpoint
    {
        Candidate candidate;
        std::optional<TimePoint> leavingUntil; ///< expiry of the last leaving announcement
        unsigned inFlight = 0;
        double reportedLoad = 0;
        double reportedPace = 1; ///< as in TargetReport
        double reportedFailureShare = 0; ///< as in TargetReport
        unsigned inFlightAtReport = 0;
        std::optional<TimePoint> reportedAt;
        double slowness = 1; ///< smoothed ratio of its attempts' durations to the mean of their route
        std::optional<TimePoint> slownessMeasuredAt; ///< last measurement of slowness
        std::optional<TimePoint> slowStartBegan; ///< unset: warmed up
        double failureRate = 0; ///< smoothed share of attempts that failed
        unsigned ejections = 0; ///< since the failure rate was last below ejectionResetFailureRate
        std::optional<TimePoint> ejectedUntil;
        bool silent = false; ///< nothing is received from its node
    };
    enum class Tier : std::uint8_t { Zone, Region, AllRegions };
    using Group = std::vector<const Endpoint *>;

    [[nodiscard]] Tier tierOf(const Endpoint &endpoint) const;
    /// The endpoint of the lowest cost among the best of each tier; nothing if there is none.
    [[nodiscard]] std::optional<EndpointId> pickByCost(const EndpointFilter &filter, TimePoint now, Random &random,
                                                       FullEndpoints fullEndpoints, const CallEstimate &call) const;
    [[nodiscard]] const Endpoint *cheapest(const std::vector<Group> &tiers, TimePoint now, Random &random,
                                           const CallEstimate &call) const;
    /// The expected time until the response, and the cost of the way. A response that is expected too late costs more
    /// than any that is not.
    [[nodiscard]] Duration cost(const Endpoint &endpoint, Tier tier, TimePoint now, const CallEstimate &call) const;
    [[nodiscard]] Duration wayCost(Tier tier, const CallEstimate &call) const;
    [[nodiscard]] Duration meanTime(const RouteId &route) const;
    /// Endpoints up to \p tier that may be selected. When there are none in all regions, those of silent hosts.
    [[nodiscard]] Group usable(Tier tier, const EndpointFilter &filter, TimePoint now) const;
    /// Usable endpoints of the zone, the region or all regions, depending on how loaded the nearer ones are.
    [[nodiscard]] Group selectGroup(const EndpointFilter &filter, TimePoint now);
    [[nodiscard]] double load(const Endpoint &endpoint, TimePoint now) const;
    /// The slots that the endpoint can use: while it warms up, those that its rate of requests keeps busy.
    [[nodiscard]] double usableSlots(const Endpoint &endpoint, TimePoint now) const;
    [[nodiscard]] double slowness(const Endpoint &endpoint, TimePoint now) const;
    [[nodiscard]] double pace(const Endpoint &endpoint, TimePoint now) const;
    [[nodiscard]] double failureShare(const Endpoint &endpoint, TimePoint now) const;
    /// The better of two random endpoints of \p group, or the best of some more if both fail many attempts.
    [[nodiscard]] const Endpoint &bestOfTwo(const Group &group, TimePoint now, Random &random) const;
    /// A farther endpoint that is better than \p near by the required gain; null when there is none.
    [[nodiscard]] const Endpoint *betterFartherEndpoint(const Endpoint &near, const EndpointFilter &filter,
                                                        TimePoint now, Random &random) const;
    /// Load times slowness.
    [[nodiscard]] double pressure(const Endpoint &endpoint, TimePoint now) const;
    /// Grows with load, slowness, pace and failures, and is raised during the slow start; lower is better.
    [[nodiscard]] double score(const Endpoint &endpoint, TimePoint now) const;
    /// Share of its normal load that an endpoint gets: below 1 during its slow start.
    [[nodiscard]] double slowStartShare(const Endpoint &endpoint, TimePoint now) const;
    [[nodiscard]] bool isFull(const Endpoint &endpoint, TimePoint now) const;
    /// Endpoints up to \p tier that may be selected; those of silent hosts only if \p includeSilent.
    [[nodiscard]] Group usableInTier(Tier tier, const EndpointFilter &filter, TimePoint now, bool includeSilent) const;
    /// The endpoints of \p group that did not recently report to be full.
    [[nodiscard]] Group withCapacity(const Group &group, TimePoint now) const;
    /// One endpoint's load, slowness or pressure.
    using Measure = double (EndpointSelector::*)(const Endpoint &, TimePoint) const;
    /// The mean over \p group; infinite when it is empty.
    [[nodiscard]] double mean(const Group &group, Measure measure, TimePoint now) const;
    void ejectIfFailing(Endpoint &endpoint, TimePoint now);

    ZoneId m_zone;
    RegionId m_region;
    EndpointSelectorLimits m_limits;
    std::map<EndpointId, Endpoint> m_endpoints;
    std::map<RouteId, Duration> m_meanTimes; ///< smoothed duration of attempts per route, over all endpoints
    double m_meanLoad = 0; ///< smoothed, over all reports
    Duration m_meanTime {0}; ///< smoothed duration of attempts, over all routes and endpoints
    bool m_spillsZone = false; ///< endpoints of the region outside the zone are used as well
    bool m_spillsRegion = false; ///< endpoints of other regions are used as well
};

} // namespace jasminemast
