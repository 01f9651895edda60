// Settings of configuration distribution.
#pragma once

#include "jasminemast/member/membership.h"
#include "jasminemast/support/clock.h"
#include "jasminemast/support/ids.h"

namespace jasminemast
{

struct SpreadSettings
{
    RegionId storeRegion; ///< region of the configuration service; empty: every region counts as away
    unsigned readersPerZone = 2; ///< nodes that watch the service in each zone of the store's region
    unsigned awayReadersPerZone = 1; ///< the same for zones of other regions
    unsigned standbysPerZone = 2; ///< next in order, which take over from silent readers
    unsigned announceFanout = 4; ///< zone peers told of a new head, and again once it is applied
    unsigned regionAnnounceCount = 1; ///< nodes told of a new head in each other region
    unsigned regionPushCount = 0; ///< nodes that get the ticket itself pushed in each other region
    Milliseconds regionFallbackDelay {300}; ///< step after which more nodes of a region fetch for themselves
    Milliseconds askDelay {200}; ///< after which a node without the ticket asks another random peer
    Milliseconds watchWait {4000}; ///< longest wait of one watch call
    Milliseconds readerHeartbeat {400};
    Milliseconds readerTimeout {1000}; ///< silence after which a standby takes over from a reader
    Milliseconds antiEntropyInterval {1000};
    unsigned outsideShare = 10; ///< one exchange in this many goes to another zone
    Milliseconds reportInterval {3000}; ///< between reports of the own version to the zone's readers
    Milliseconds summaryStaleAfter {15000}; ///< age at which another zone reads as unknown
    Milliseconds joinWait {3000}; ///< upper bound of waiting for peers and service before serving
    unsigned joinPeers = 3; ///< peers asked for their head while joining
    Milliseconds pauseThreshold {2000}; ///< gap in the monotonic clock that counts as a pause
    Milliseconds pullTimeout {500};
    unsigned maxPullsServed = 16; ///< answers to pulls being sent at once
    unsigned maxSnapshotsServed = 4; ///< of those, whole snapshots
    double serviceCallsPerSecond = 1900; ///< share of the service's limit for the whole fleet
    unsigned fleetSizeFloor = 64; ///< least fleet size that shares the limit
    unsigned fleetSizeUnknown = 1300; ///< fleet size assumed before the first host list
    MembershipSettings membership;
};

} // namespace jasminemast
