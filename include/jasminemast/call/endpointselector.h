// Choice of an endpoint: near ones first, the less loaded of two random ones, without the leaving and the failing.
#pragma once

#include "jasminemast/support/clock.h"
#include "jasminemast/support/ids.h"
#include "jasminemast/support/random.h"

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
    /// Mean pressure of the zone's endpoints at which those of the region are used as well, and at which the zone is
    /// enough again. The way to another zone is short beside any wait, and few endpoints share their load badly.
    double zoneSpillAt = 0.6;
    double zoneReturnAt = 0.45;
    /// The same for the region and all others, to which the way is long and has its price. Mean load alone counts: an
    /// endpoint that is slow is passed over within the region.
    double regionSpillAt = 0.95;
    double regionReturnAt = 0.75;
    /// How many times as good an endpoint of the region, or of another one, must look to be taken instead of the near
    /// one that would be: within the region, as an idle one beside one that is two thirds full; beyond it, the way has
    /// its price.
    double regionDetour = 2;
    double farDetour = 3;
    Duration slowStart = std::chrono::seconds(5); ///< a cold endpoint reaches its full share in this time
    double slowStartFloor = 0.1; ///< share of a cold endpoint at first
    Duration leavingLifetime = std::chrono::seconds(5); ///< age at which an announcement to leave is forgotten
    /// Age at which a load report, or a measured slowness, has lost two thirds of its weight against the mean of the
    /// service. Loads change with the seconds; what makes an endpoint slow lasts longer.
    Duration loadAging = std::chrono::seconds(2);
    Duration slownessAging = std::chrono::seconds(10);
    double mostSlowness = 20; ///< as far as one endpoint may be told slower than the mean
    double fullAt = 1.95; ///< load at which slots and queue are full: another attempt would be refused
    /// For how long an endpoint is taken for full; by then a good part of its slots has been freed once.
    Duration fullLifetime = std::chrono::milliseconds(100);
    double failureRateToEject = 0.4; ///< smoothed; reached by four failures in a row
    double failureRateToForgive = 0.1; ///< smoothed; below it the next ejection is a first one again
    Duration ejectFor = std::chrono::seconds(1); ///< first ejection; doubled each time
    Duration ejectAtMost = std::chrono::seconds(30);
    double maxEjectedShare = 0.34; ///< of the endpoints of a service; at least the rest stays in use
};

/// An endpoint that may be chosen, as the configuration and the host list describe it.
struct Candidate
{
    EndpointId id;
    HostId host;
    ZoneId zone;
    RegionId region;
    unsigned slots = 1;
    bool leaving = false; ///< by ticket or host list
};

/// How an attempt ended, as evidence about its endpoint.
enum class AttemptResult : std::uint8_t {
    Success, ///< any answer of the target
    Failure, ///< the target or its node was not reached, or lost the answer
    Neutral, ///< refused for load or leaving, or cancelled
};

/// Picks endpoints of one service for one node.
///
/// Invariants: a leaving endpoint is never picked; ejected endpoints never exceed the share, whatever fails.
class EndpointSelector
{
public:
    EndpointSelector(ZoneId zone, RegionId region, EndpointSelectorLimits limits);

    /// Replaces the candidates; what is known of those that stay is kept.
    void setCandidates(std::vector<Candidate> candidates, TimePoint now);

    /// What a full endpoint is worth to a call.
    enum class Room : std::uint8_t {
        Preferred, ///< full endpoints are taken when there are no others: the report may be out of date
        Needed, ///< the call was just refused for load: full endpoints are not asked
    };

    /// Picks an endpoint, one outside \p avoid where there is one; nothing when none is usable.
    std::optional<EndpointId> pick(const std::set<EndpointId> &avoid, TimePoint now, Random &random,
                                   Room room = Room::Preferred);

    /// The host of a candidate; nothing when there is none of that id.
    [[nodiscard]] std::optional<HostId> hostOf(const EndpointId &id) const;

    /// An attempt was sent to the endpoint; each is followed by one ended().
    void began(const EndpointId &id);
    void ended(const EndpointId &id, AttemptResult evidence, TimePoint now);
    /// An attempt for \p route took \p duration from the choice to the end of its answer.
    void took(const EndpointId &id, const RouteId &route, Duration duration, TimePoint now);
    /// A reply brought back the endpoint's load (running and waiting over slots).
    void reported(const EndpointId &id, double load, TimePoint now);
    /// The node beside the endpoint announced that it takes no new calls, or takes them again. The announcement is
    /// repeated while it holds, so a lost one is made good and a forgotten one costs one refused attempt.
    void setLeaving(const EndpointId &id, bool leaving, TimePoint now);
    /// The link to \p host shows no sign of life, or shows one again. While other hosts can be chosen, a silent one
    /// gets nothing.
    void setSilent(const HostId &host, bool silent);
    /// The process on \p host was replaced: what was known of its endpoints is forgotten, and they start slowly.
    void setRestarted(const HostId &host, TimePoint now);

    [[nodiscard]] std::size_t ejectedCount(TimePoint now) const;

private:
    struct Endpoint
    {
        Candidate candidate;
        std::optional<TimePoint> leavingUntil; ///< by announcement
        unsigned inFlight = 0;
        double reportedLoad = 0;
        unsigned inFlightAtReport = 0;
        std::optional<TimePoint> reportedAt;
        double slowness = 1; ///< smoothed time of its attempts over the mean time of their route
        std::optional<TimePoint> tookAt; ///< when slowness was last measured
        std::optional<TimePoint> coldSince; ///< unset: warm
        double failureRate = 0; ///< smoothed share of attempts that failed
        unsigned ejections = 0; ///< since the endpoint was last forgiven
        std::optional<TimePoint> ejectedUntil;
        bool silent = false; ///< its node shows no sign of life
    };
    enum class Tier : std::uint8_t { Zone, Region, Everywhere };
    using Group = std::vector<const Endpoint *>;

    [[nodiscard]] Tier tierOf(const Endpoint &endpoint) const;
    [[nodiscard]] Group usable(Tier tier, const std::set<EndpointId> &avoid, TimePoint now) const;
    [[nodiscard]] Group group(const std::set<EndpointId> &avoid, TimePoint now);
    [[nodiscard]] double load(const Endpoint &endpoint, TimePoint now) const;
    [[nodiscard]] double slowness(const Endpoint &endpoint, TimePoint now) const;
    [[nodiscard]] const Endpoint &bestOfTwo(const Group &group, TimePoint now, Random &random) const;
    /// A farther endpoint that is worth the way from \p near; null when none is.
    [[nodiscard]] const Endpoint *worthwhileDetour(const Endpoint &near, const std::set<EndpointId> &avoid,
                                                   TimePoint now, Random &random) const;
    [[nodiscard]] double pressure(const Endpoint &endpoint, TimePoint now) const;
    [[nodiscard]] double score(const Endpoint &endpoint, TimePoint now) const;
    [[nodiscard]] double warmth(const Endpoint &endpoint, TimePoint now) const;
    [[nodiscard]] bool isFull(const Endpoint &endpoint, TimePoint now) const;
    [[nodiscard]] Group usableOf(Tier tier, const std::set<EndpointId> &avoid, TimePoint now, bool withSilent) const;
    [[nodiscard]] Group withRoom(const Group &group, TimePoint now) const;
    /// One endpoint's load, slowness or pressure.
    using Measure = double (EndpointSelector::*)(const Endpoint &, TimePoint) const;
    /// The mean over \p group; infinite when it is empty.
    [[nodiscard]] double mean(const Group &group, Measure measure, TimePoint now) const;
    void considerEjection(Endpoint &endpoint, TimePoint now);

    ZoneId m_zone;
    RegionId m_region;
    EndpointSelectorLimits m_limits;
    std::map<EndpointId, Endpoint> m_endpoints;
    std::map<RouteId, Duration> m_meanTimes; ///< smoothed, over all endpoints
    double m_meanLoad = 0; ///< smoothed, over all reports
    bool m_spillsZone = false; ///< farther endpoints of the region are in use as well
    bool m_spillsRegion = false; ///< other regions are in use as well
};

} // namespace jasminemast
