// How each fault strikes and heals.
#include "faults.h"

namespace jasminemast
{

namespace
{

const ZoneId CutZone("r1z0");
const ZoneId ServiceZone("service");

bool alive(const FakeFleet &, std::size_t)
{
    return true; // dead nodes are not among the live ones that are asked
}

bool outsideCutZone(const FakeFleet &fleet, std::size_t node)
{
    return fleet.zoneOf(node) != CutZone;
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

void openPaths(FakeFleet &fleet)
{
    fleet.setPath(nullptr);
}

Fault pathFault(const std::string &name, std::function<bool(const ZoneId &, const ZoneId &)> path,
                Fault::Selection reachable)
{
    return {name, [path](FakeFleet &fleet) { fleet.setPath(path); }, openPaths, std::move(reachable)};
}

} // namespace

Fault killOne()
{
    return {"kill one", [](FakeFleet &fleet) { fleet.kill(7); }, restartDead, alive};
}

Fault killReaders()
{
    const auto strike = [](FakeFleet &fleet) {
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            if (fleet.core(node).isReader()) {
                fleet.kill(node);
            }
        }
    };
    return {"kill the readers", strike, restartDead, alive};
}

Fault killHalf()
{
    const auto strike = [](FakeFleet &fleet) {
        for (std::size_t node = 0; node < fleet.size(); node += 2) {
            fleet.kill(node);
        }
    };
    return {"kill half", strike, restartDead, alive};
}

Fault killAll()
{
    const auto strike = [](FakeFleet &fleet) {
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            fleet.kill(node);
        }
    };
    return {"kill all", strike, restartDead, nullptr};
}

Fault pauseHalf()
{
    const auto strike = [](FakeFleet &fleet) {
        for (std::size_t node = 1; node < fleet.size(); node += 2) {
            fleet.pause(node);
        }
    };
    return {"pause half", strike, resumeAll, alive};
}

Fault pauseOneZone()
{
    const auto strike = [](FakeFleet &fleet) {
        for (const auto node : fleet.nodesInZone(CutZone)) {
            fleet.pause(node);
        }
    };
    return {"pause one zone", strike, resumeAll, alive};
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

Fault serviceBackwards()
{
    return {"service runs backwards", [](FakeFleet &fleet) { fleet.freezeServiceHead(fleet.chain().head(1)); },
            [](FakeFleet &fleet) { fleet.freezeServiceHead(std::nullopt); }, nullptr};
}

Fault serviceDisordered()
{
    const auto strike = [](FakeFleet &fleet) {
        fleet.freezeServiceHead(fleet.chain().head(2));
        fleet.freezeServiceHead(fleet.chain().head(3));
        fleet.freezeServiceHead(fleet.chain().head(1));
        fleet.freezeServiceHead(std::nullopt);
    };
    return {"service out of order", strike, [](FakeFleet &) {}, everyNode};
}

Fault zoneFromZones()
{
    const auto path = [](const ZoneId &from, const ZoneId &to) {
        const bool crosses = (from == CutZone) != (to == CutZone);
        return !crosses || from == ServiceZone || to == ServiceZone;
    };
    return pathFault("zone from zones", path, everyNode);
}

Fault zoneFromPlatform()
{
    const auto path = [](const ZoneId &from, const ZoneId &to) {
        return !(from == CutZone && to == ServiceZone) && !(from == ServiceZone && to == CutZone);
    };
    return pathFault("zone from platform", path, everyNode);
}

Fault regionsApart()
{
    const auto region = [](const ZoneId &zone) {
        return zone == ServiceZone ? std::string("r0") : zone.value().substr(0, 2);
    };
    const auto path = [region](const ZoneId &from, const ZoneId &to) {
        return region(from) == region(to);
    };
    return pathFault("regions apart", path,
                     [region](const FakeFleet &fleet, std::size_t node) { return region(fleet.zoneOf(node)) == "r0"; });
}

Fault zoneDeaf()
{
    const auto path = [](const ZoneId &from, const ZoneId &to) {
        return from == to || to != CutZone;
    };
    return pathFault("one way, into the zone cut", path, outsideCutZone);
}

Fault zoneMute()
{
    const auto path = [](const ZoneId &from, const ZoneId &to) {
        return from == to || from != CutZone;
    };
    return pathFault("one way, out of the zone cut", path, outsideCutZone);
}

Fault flowsSilent()
{
    return {"flows silent", [](FakeFleet &fleet) { fleet.silenceFlows(); },
            [](FakeFleet &fleet) { fleet.silenceFlows(); }, nullptr};
}

Fault datagramLoss()
{
    return {"a third of all datagrams lost", [](FakeFleet &fleet) { fleet.setLoss(0.33); },
            [](FakeFleet &fleet) { fleet.setLoss(0); }, everyNode};
}

Fault restartAll()
{
    const auto strike = [](FakeFleet &fleet) {
        for (std::size_t node = 0; node < fleet.size(); ++node) {
            fleet.kill(node);
            fleet.restart(node);
        }
    };
    return {"all restart at once", strike, [](FakeFleet &) {}, nullptr};
}

std::vector<Fault> allFaults()
{
    return {killOne(),       killReaders(),      killHalf(),     killAll(),          pauseHalf(),
            pauseOneZone(),  serviceDown(),      serviceStale(), serviceBackwards(), serviceDisordered(),
            zoneFromZones(), zoneFromPlatform(), regionsApart(), zoneDeaf(),         zoneMute(),
            flowsSilent(),   datagramLoss(),     restartAll()};
}

} // namespace jasminemast
