// The faults that the tables draw on.
#pragma once

#include "faultcase.h"

namespace jasminemast
{

Fault killOne();
Fault killReaders(); ///< the first reader of every zone
Fault killHalf();
Fault killAll();
Fault pauseHalf();
Fault pauseOneZone();
Fault serviceDown();
Fault serviceStale();
Fault serviceBackwards();
Fault serviceDisordered();
Fault zoneFromZones();
Fault zoneFromPlatform();
Fault regionsApart();
Fault zoneDeaf(); ///< one way: nothing gets into the zone
Fault zoneMute(); ///< one way: nothing gets out of the zone
Fault flowsSilent();
Fault datagramLoss();
Fault restartAll();

std::vector<Fault> allFaults();

} // namespace jasminemast
