// The operator adds a route whose prefix is longer than 200 bytes, and then moves another route.
//
//   longprefix ROOT FOLDER RECORD
#include "lab.h"

using namespace lab;

namespace
{

// crin-mast
constexpr std::int64_t ConfigApplyMs = 2'500;
constexpr std::int64_t DeadlineMs = 4'000;

/// A prefix of a deep hierarchy, as an operator may write it: 230 bytes, or 90 without the disruption.
std::string deepPrefix(bool isLong)
{
    const std::string common = "/consorzio-rivenditori-incudini-del-nord/lombardia/provincia-di-brescia/mercato-usato/";
    const std::string rest = "catalogo-delle-aste-pubbliche/anno-2026/trimestre-quarto/sala-principale-della-fiera/"
                             "lotti-con-riserva-di-prezzo/incudini-e-piastre-forate/fogli/";
    return isLong ? common + rest : common + "as/";
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    try {
        Record record(argv[3]);
        const std::string prefix = deepPrefix(hasTrouble());
        Deployment deployment(argv[1], argv[2],
                              {{"", "brescia", "lombardia", "vetrina"},
                               {"", "vicenza", "veneto", "prenota"},
                               {"", "torino", "piemonte", "catalogo"}},
                              {{"brescia", "lombardia"}, {"vicenza", "veneto"}, {"torino", "piemonte"}}, 1000, 6);
        const std::set<std::string> services {"vetrina", "prenota", "catalogo"};
        RouteText browse {"r-browse", "browse.example", "/browse/", "idempotent", "vetrina", 2000, 600, 2, 2};
        const RouteText sheets {"r-sheets", "sheets.example", prefix, "idempotent", "catalogo", 2000, 600, 2, 2};
        deployment.store->put("op/config", configurationText(7, {browse}, services));
        std::vector<std::unique_ptr<Server>> servers;
        std::vector<std::unique_ptr<Process>> processes;
        for (std::size_t i = 0; i < deployment.machines().size(); ++i) {
            const Machine &machine = deployment.machines()[i];
            servers.push_back(
                std::make_unique<Server>(ServerSettings {machine.ip, deployment.ports.app, "i-" + machine.service,
                                                         machine.service, machine.zone},
                                         *deployment.store));
            servers.back()->setWork([](const Head &) { return 20; });
            processes.push_back(deployment.startProcess(i));
        }
        for (const Machine &machine : deployment.machines()) {
            if (!waitReady(machine.ip, deployment.ports.ready, 20'000)) {
                return 2;
            }
        }
        int requests = 0;
        int broken = 0;
        const auto ask = [&](const RouteText &route, const std::string &expectedService, std::int64_t acknowledgedMs,
                             unsigned version) {
            for (const Machine &machine : deployment.machines()) {
                const std::string id = "q" + std::to_string(++requests);
                Connection connection(machine.ip, deployment.ports.outbound);
                if (!connection.open()) {
                    record.line("%s: no connection to %s", id.c_str(), machine.ip.c_str());
                    continue;
                }
                const Answer answer = connection.request("GET", route.host, route.prefix + id, id, DeadlineMs);
                const std::string by = answer.head.get("X-Instance-Id");
                const bool isOlder = answer.sentMs > acknowledgedMs + ConfigApplyMs
                    && (answer.status == 404 || (answer.status == 200 && by != "i-" + expectedService));
                broken += isOlder ? 1 : 0;
                record.line(
                    "%s%s sent to %s for route %s, %lld ms after version %u was acknowledged: status %d, run by %s",
                    isOlder ? "CONFIG " : "", id.c_str(), machine.ip.c_str(), route.name.c_str(),
                    static_cast<long long>(answer.sentMs - acknowledgedMs), version, answer.status,
                    by.empty() ? "none" : by.c_str());
            }
        };
        sleepMs(4'000); // all machines have been in touch for stable-window-ms (3,000)
        ask(browse, "vetrina", nowMs(), 7);
        deployment.store->put("op/config", configurationText(9, {browse, sheets}, services));
        const std::int64_t added = nowMs();
        record.line("version 9 is acknowledged: it adds %s with a prefix of %zu bytes", sheets.name.c_str(),
                    prefix.size());
        for (int i = 0; i < 6; ++i) {
            sleepMs(1'000);
            ask(sheets, "catalogo", added, 9);
        }
        browse.service = "prenota";
        deployment.store->put("op/config", configurationText(12, {browse, sheets}, services));
        const std::int64_t moved = nowMs();
        record.line("version 12 is acknowledged: it moves %s from vetrina to prenota", browse.name.c_str());
        for (int i = 0; i < 6; ++i) {
            sleepMs(1'000);
            ask(browse, "prenota", moved, 12);
        }
        // Not part of the check: what becomes of a machine that is stopped and started while this version is in force.
        const Machine &restarted = deployment.machines()[0];
        processes[0]->kill(SIGTERM);
        for (const std::int64_t until = nowMs() + 6'000; !processes[0]->hasEnded() && nowMs() < until;) {
            sleepMs(20);
        }
        processes[0]->kill(SIGKILL);
        processes[0]->wait();
        processes[0]->start();
        const bool isReady = waitReady(restarted.ip, deployment.ports.ready, 8'000);
        record.line("%s was stopped and started again: %s", restarted.ip.c_str(),
                    isReady ? "ready" : "not ready after 8 s");
        for (const auto &server : servers) {
            for (const Run &run : server->runs()) {
                record.line("%s ran at %s from %lld ms to %lld ms", run.id.c_str(), run.server.c_str(),
                            static_cast<long long>(run.startedMs), static_cast<long long>(run.endedMs));
            }
        }
        record.line("requests later than %lld ms that were handled as only an older version allows: %d",
                    static_cast<long long>(ConfigApplyMs), broken);
        return broken > 0 ? 1 : 0;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
}
