// Settings of configuration distribution.
#pragma once

#include "jasminemast/member/membership.h"
#include "jasminemast/support/clock.h"
#include "jasminemast/support/ids.h"

namespace jasminemast
{

struct SpreadSettings
{
    RegionId storeRegion; ///< region of the configuration service; empty: no region counts as its region
    unsigned readersPerZone = 2; ///< nodes that watch the service in each zone of storeRegion
    unsigned awayReadersPerZone = 1; ///< the same for zones of other regions
    unsigned standbysPerZone = 2; ///< nodes that take over from silent readers
    unsigned announceFanout = 4; ///< zone peers notified of a new head, and again once it is applied
    unsigned regionAnnounceCount = 1; ///< nodes notified of a new head in each other region
    unsigned regionPushCount = 0; ///< nodes in each other region to which a ticket itself is pushed
    Milliseconds regionFallbackDelay {300}; ///< after each, twice as many nodes of a region may fetch from outside it
    Milliseconds askDelay {200}; ///< interval at which a node that lacks a ticket queries a random peer
    Milliseconds watchWait {4000}; ///< maximum duration of one long poll of the service
    Milliseconds readerHeartbeat {400};
    Milliseconds readerTimeout {1000}; ///< silence after which a standby takes over from a reader
    Milliseconds antiEntropyInterval {1000};
    unsigned outsideShare = 10; ///< one anti-entropy exchange in this many goes to another zone
    Milliseconds reportInterval {3000}; ///< between reports of the applied version to the zone's readers
    Milliseconds summaryStaleAfter {15000}; ///< age of its summary at which another zone counts as unknown
    Milliseconds joinWait {3000}; ///< time to wait for replies of peers and service before serving without them
    unsigned joinPeers = 3; ///< peers queried for their head while joining
    Milliseconds pauseThreshold {2000}; ///< time without an event that counts as a pause of this process
    Milliseconds pullTimeout {500};
    unsigned maxPullsServed = 16; ///< maximum number of concurrent replies to pulls
    unsigned maxSnapshotsServed = 4; ///< of those, snapshots
    double serviceCallsPerSecond = 1900; ///< fleet-wide limit; below the limit that the service enforces
    unsigned fleetSizeFloor = 64; ///< minimum fleet size by which the limit is divided
    unsigned fleetSizeUnknown = 1300; ///< fleet size assumed before the first host list
    MembershipSettings membership;
};

} // namespace jasminemast
