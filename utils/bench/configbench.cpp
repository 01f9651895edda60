// Benchmarks of configuration state: applying a ticket, finding a route, encoding and decoding a snapshot, heap memory
// per object.
//
// Prints one JSON object per line: the case, its sizes, and the minimum and median CPU time of its runs.
#include "jasminemast/config/snapshot.h"
#include "jasminemast/config/ticket.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>
#include <functional>
#include <iostream>
#include <malloc.h>

using namespace jasminemast;

namespace
{

constexpr std::size_t EndpointsPerService = 12;

std::string endpointId(std::size_t i)
{
    return "listings-" + std::to_string(i) + "-target";
}

std::string endpointText(std::size_t i, std::size_t slots)
{
    return "\"" + endpointId(i) + R"(":{"host":"host-)" + std::to_string(i) + R"(","port":9000,"slots":)"
        + std::to_string(slots) + R"(,"draining":false})";
}

std::string ticketText(std::uint64_t number, const Digest &previous, const std::string &sections)
{
    return R"({"number":)" + std::to_string(number) + R"(,"previous":")" + previous.hex() + "\"" + sections + "}";
}

/// Two routes to service \p name: one for any method, one for POST of orders.
std::string routePairText(const std::string &name)
{
    std::string text = "\"" + name;
    text += R"(-read":{"pathPrefix":"/v1/)" + name;
    text += R"(/","service":")" + name;
    text += R"("},")" + name;
    text += R"(-write":{"pathPrefix":"/v1/)" + name;
    text += R"(/orders/","service":")" + name;
    text += R"(","methods":["POST"]})";
    return text;
}

/// A state with \p endpoints endpoints, twelve per service, and two routes per service.
StatePtr makeState(std::size_t endpoints)
{
    std::string endpointsText;
    std::string servicesText;
    std::string routesText;
    for (std::size_t i = 0; i < endpoints; ++i) {
        endpointsText += (i == 0 ? "" : ",") + endpointText(i, 12);
    }
    const std::size_t services = endpoints / EndpointsPerService;
    for (std::size_t i = 0; i < services; ++i) {
        const std::string name = "service-" + std::to_string(i);
        servicesText += (i == 0 ? "\"" : ",\"") + name + R"(":{"endpoints":[)";
        for (std::size_t j = 0; j < EndpointsPerService; ++j) {
            servicesText += (j == 0 ? "\"" : ",\"") + endpointId(i * EndpointsPerService + j) + "\"";
        }
        servicesText += "]}";
        routesText += i == 0 ? "" : ",";
        routesText += routePairText(name);
    }
    const ApplyResult applied
        = applyTicket(emptyState(), TicketNumber(1),
                      ticketText(1, Digest {},
                                 R"(,"routes":{)" + routesText + R"(},"services":{)" + servicesText
                                     + R"(},"endpoints":{)" + endpointsText + "}"));
    if (applied.code != ResultCode::Ok) {
        throw ResultError(applied.code, applied.detail);
    }
    return applied.state;
}

/// A ticket of about \p bytes bytes that changes the existing endpoints in order, then adds new ones.
std::string makeTicket(const State &state, std::size_t bytes)
{
    std::string text;
    for (std::size_t i = 0; text.empty() || text.size() + 250 < bytes; ++i) {
        text += (i == 0 ? "" : ",") + endpointText(i, 13);
    }
    return ticketText(2, state.ticketDigest, R"(,"endpoints":{)" + text + "}");
}

/// CPU time of this thread, which other load on the machine distorts less than wall-clock time.
double threadCpuMicroseconds()
{
    constexpr double MicrosecondsPerSecond = 1e6;
    constexpr double NanosecondsPerMicrosecond = 1e3;
    std::timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * MicrosecondsPerSecond
        + static_cast<double>(time.tv_nsec) / NanosecondsPerMicrosecond;
}

struct Timing
{
    double minUs;
    double medianUs;
};

Timing measure(std::size_t runs, std::size_t repeats, const std::function<void()> &action)
{
    std::vector<double> times;
    for (std::size_t run = 0; run < runs; ++run) {
        const double start = threadCpuMicroseconds();
        for (std::size_t i = 0; i < repeats; ++i) {
            action();
        }
        times.push_back((threadCpuMicroseconds() - start) / static_cast<double>(repeats));
    }
    std::sort(times.begin(), times.end());
    return {times.front(), times[times.size() / 2]};
}

void printLine(nlohmann::json line, const Timing &timing)
{
    line["leastUs"] = timing.minUs;
    line["medianUs"] = timing.medianUs;
    std::cout << line.dump() << std::endl;
}

void measureApply(std::size_t endpoints, std::size_t ticketBytes)
{
    const StatePtr state = makeState(endpoints);
    const std::string ticket = makeTicket(*state, ticketBytes);
    constexpr std::size_t Runs = 15;
    const Timing timing = measure(Runs, 1, [&] {
        const ApplyResult applied = applyTicket(state, TicketNumber(2), ticket);
        if (applied.code != ResultCode::Ok) {
            throw ResultError(applied.code, applied.detail);
        }
    });
    printLine({{"case", "applyTicket"}, {"endpoints", endpoints}, {"ticketBytes", ticket.size()}}, timing);
}

void measureParse(std::size_t ticketBytes)
{
    const std::string ticket = makeTicket(*emptyState(), ticketBytes);
    constexpr std::size_t Runs = 15;
    printLine({{"case", "parseTicket"}, {"ticketBytes", ticket.size()}},
              measure(Runs, 1, [&] { parseTicket(ticket); }));
    printLine({{"case", "sha256"}, {"ticketBytes", ticket.size()}}, measure(Runs, 1, [&] { sha256(ticket); }));
}

void measureFindRoute(std::size_t endpoints)
{
    const StatePtr state = makeState(endpoints);
    std::vector<std::string> paths;
    for (std::size_t i = 0; i < endpoints / EndpointsPerService; ++i) {
        paths.push_back("/v1/service-" + std::to_string(i) + "/items/4711");
        paths.push_back("/v1/service-" + std::to_string(i) + "/orders/4711");
    }
    constexpr std::size_t Runs = 15;
    constexpr std::size_t Repeats = 2'000;
    std::size_t pathIndex = 0;
    std::size_t routesFound = 0;
    const Timing timing = measure(Runs, Repeats, [&] {
        pathIndex = (pathIndex + 7) % paths.size();
        routesFound += state->findRoute(pathIndex % 2 == 0 ? "GET" : "POST", paths[pathIndex]) != nullptr ? 1 : 0;
    });
    if (routesFound != Runs * Repeats) {
        throw std::logic_error("findRoute() found no route for a path");
    }
    printLine({{"case", "findRoute"}, {"routes", state->routes.size()}}, timing);
}

void measureSnapshot(std::size_t endpoints)
{
    const StatePtr state = makeState(endpoints);
    const std::string bytes = encodeSnapshot(*state, {});
    constexpr std::size_t Runs = 9;
    nlohmann::json line = {{"endpoints", endpoints}, {"snapshotBytes", bytes.size()}};
    line["case"] = "encodeSnapshot";
    printLine(line, measure(Runs, 1, [&] { encodeSnapshot(*state, {}); }));
    line["case"] = "decodeSnapshot";
    printLine(line, measure(Runs, 1, [&] { decodeSnapshot(bytes); }));
}

void measureMemory(std::size_t endpoints)
{
    const std::size_t bytesBefore = mallinfo2().uordblks;
    const StatePtr state = makeState(endpoints);
    const std::size_t usedBytes = mallinfo2().uordblks - bytesBefore;
    const std::size_t objects = state->routes.size() + state->services.size() + state->endpoints.size();
    const nlohmann::json line = {{"case", "memory"},
                                 {"endpoints", endpoints},
                                 {"objects", objects},
                                 {"heapBytes", usedBytes},
                                 {"heapBytesPerObject", usedBytes / objects}};
    std::cout << line.dump() << std::endl;
}

} // namespace

int main()
{
    measureParse(40'000);
    for (const std::size_t endpoints : {100U, 1'000U, 2'500U, 5'000U}) {
        measureMemory(endpoints);
        measureFindRoute(endpoints);
        measureSnapshot(endpoints);
        for (const std::size_t ticketBytes : {1'000U, 10'000U, 40'000U, 100'000U, 1'000'000U}) {
            measureApply(endpoints, ticketBytes);
        }
    }
    return 0;
}
