// The faults of the fault tests.
#pragma once

#include "faultcase.h"

namespace jasminemast
{

Fault killOne();
Fault killReaders(); ///< all readers of every zone
Fault killHalf();
Fault killAll();
Fault pauseHalf();
Fault pauseOneZone();
Fault serviceDown();
Fault serviceStale();
Fault serviceHeadGoesBack();
Fault serviceHeadsReordered();
Fault zoneCutFromZones();
Fault zoneCutFromPlatform();
Fault regionsPartitioned();
Fault zoneInboundCut(); ///< drops all messages to one zone
Fault zoneOutboundCut(); ///< drops all messages from one zone
Fault inFlightMessagesLost();
Fault datagramLoss();
Fault restartAll();

std::vector<Fault> allFaults();

} // namespace jasminemast
