// Injects and clears each fault.
#include "faults.h"

namespace jasminemast
{

namespace
{

const ZoneId AffectedZone("r1z0");
const ZoneId ServiceZone("service");

bool anyLiveNode(const FakeFleet &, std::size_t)
{
    return true; // called for live nodes only
}

bool outsideAffectedZone(const FakeFleet &fleet, std::size_t node)
{
    return fleet.zoneOf(node) != AffectedZone;
}

void restartDead(FakeFleet &fleet)
{
    std::set<std::size_t> live;
    for (const auto node : fleet.liveNodes()) {
        live.insert(node);
    }
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        if (!live.contains(node)) {
            fleet.restart(node);
        }
    }
}

void resumeAll(FakeFleet &fleet)
{
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        fleet.resume(node);
    }
}

void openAllPaths(FakeFleet &fleet)
{
    fleet.setPathFilter(nullptr);
}

Fault networkFault(const std::string &name, std::function<bool(const ZoneId &, const ZoneId &)> pathFilter,
                   Fault::NodeFilter reachable)
{
    return {name, [pathFilter](FakeFleet &fleet) { fleet.setPathFilter(pathFilter); }, openAllPaths,
            std::move(reachable)};
}

} // namespace

Fault killOne()
{
    return {"kill one", [](FakeFleet &fleet) { fleet.kill(7); }, restartDead, anyLiveNode};
}

Fault killReaders()
{
    const auto inject = [](FakeFleet &fleet) {
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            if (fleet.core(node).isReader()) {
                fleet.kill(node);
            }
        }
    };
    return {"kill the readers", inject, restartDead, anyLiveNode};
}

Fault killHalf()
{
    const auto inject = [](FakeFleet &fleet) {
        for (std::size_t node = 0; node < fleet.size(); node += 2) {
            fleet.kill(node);
        }
    };
    return {"kill half", inject, restartDead, anyLiveNode};
}

Fault killAll()
{
    const auto inject = [](FakeFleet &fleet) {
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            fleet.kill(node);
        }
    };
    return {"kill all", inject, restartDead, nullptr};
}

Fault pauseHalf()
{
    const auto inject = [](FakeFleet &fleet) {
        for (std::size_t node = 1; node < fleet.size(); node += 2) {
            fleet.pause(node);
        }
    };
    return {"pause half", inject, resumeAll, anyLiveNode};
}

Fault pauseOneZone()
{
    const auto inject = [](FakeFleet &fleet) {
        for (const auto node : fleet.nodesInZone(AffectedZone)) {
            fleet.pause(node);
        }
    };
    return {"pause one zone", inject, resumeAll, anyLiveNode};
}

Fault serviceDown()
{
    return {"service down", [](FakeFleet &fleet) { fleet.setServiceDown(true); },
            [](FakeFleet &fleet) { fleet.setServiceDown(false); }, nullptr};
}

Fault serviceStale()
{
    return {"service stale", [](FakeFleet &fleet) { fleet.freezeServiceHead(fleet.chain().head(3)); },
            [](FakeFleet &fleet) { fleet.freezeServiceHead(std::nullopt); }, nullptr};
}

Fault serviceHeadGoesBack()
{
    return {"service head goes back", [](FakeFleet &fleet) { fleet.freezeServiceHead(fleet.chain().head(1)); },
            [](FakeFleet &fleet) { fleet.freezeServiceHead(std::nullopt); }, nullptr};
}

Fault serviceHeadsReordered()
{
    const auto inject = [](FakeFleet &fleet) {
        fleet.freezeServiceHead(fleet.chain().head(2));
        fleet.freezeServiceHead(fleet.chain().head(3));
        fleet.freezeServiceHead(fleet.chain().head(1));
        fleet.freezeServiceHead(std::nullopt);
    };
    return {"service heads reordered", inject, [](FakeFleet &) {}, everyNode};
}

Fault zoneCutFromZones()
{
    const auto pathFilter = [](const ZoneId &from, const ZoneId &to) {
        const bool crosses = (from == AffectedZone) != (to == AffectedZone);
        return !crosses || from == ServiceZone || to == ServiceZone;
    };
    return networkFault("zone cut off from other zones", pathFilter, everyNode);
}

Fault zoneCutFromPlatform()
{
    const auto pathFilter = [](const ZoneId &from, const ZoneId &to) {
        return !(from == AffectedZone && to == ServiceZone) && !(from == ServiceZone && to == AffectedZone);
    };
    return networkFault("zone cut off from the configuration service", pathFilter, everyNode);
}

Fault regionsPartitioned()
{
    const auto region = [](const ZoneId &zone) {
        return zone == ServiceZone ? std::string("r0") : zone.value().substr(0, 2);
    };
    const auto pathFilter = [region](const ZoneId &from, const ZoneId &to) {
        return region(from) == region(to);
    };
    return networkFault("regions partitioned", pathFilter, [region](const FakeFleet &fleet, std::size_t node) {
        return region(fleet.zoneOf(node)) == "r0";
    });
}

Fault zoneInboundCut()
{
    const auto pathFilter = [](const ZoneId &from, const ZoneId &to) {
        return from == to || to != AffectedZone;
    };
    return networkFault("zone receives nothing", pathFilter, outsideAffectedZone);
}

Fault zoneOutboundCut()
{
    const auto pathFilter = [](const ZoneId &from, const ZoneId &to) {
        return from == to || from != AffectedZone;
    };
    return networkFault("zone sends nothing", pathFilter, outsideAffectedZone);
}

Fault inFlightMessagesLost()
{
    return {"messages in flight lost", [](FakeFleet &fleet) { fleet.dropInFlightMessages(); },
            [](FakeFleet &fleet) { fleet.dropInFlightMessages(); }, nullptr};
}

Fault datagramLoss()
{
    return {"a third of datagrams lost", [](FakeFleet &fleet) { fleet.setLoss(0.33); },
            [](FakeFleet &fleet) { fleet.setLoss(0); }, everyNode};
}

Fault restartAll()
{
    const auto inject = [](FakeFleet &fleet) {
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            fleet.kill(node);
            fleet.restart(node);
        }
    };
    return {"all restart at once", inject, [](FakeFleet &) {}, nullptr};
}

std::vector<Fault> allFaults()
{
    return {killOne(),
            killReaders(),
            killHalf(),
            killAll(),
            pauseHalf(),
            pauseOneZone(),
            serviceDown(),
            serviceStale(),
            serviceHeadGoesBack(),
            serviceHeadsReordered(),
            zoneCutFromZones(),
            zoneCutFromPlatform(),
            regionsPartitioned(),
            zoneInboundCut(),
            zoneOutboundCut(),
            inFlightMessagesLost(),
            datagramLoss(),
            restartAll()};
}

} // namespace jasminemast
