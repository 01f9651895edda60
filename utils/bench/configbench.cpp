// Costs of the configuration core: applying a ticket, choosing a route, taking a snapshot, memory of an object.
//
// Prints one JSON object a line: the case, its sizes, and the least and median processor time of its runs.
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

/// A route for reading and one for orders, both to service \p name.
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

/// A state of \p endpoints endpoints, twelve to a service, and two routes to a service.
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
    const ApplyResult verdict
        = applyTicket(emptyState(), TicketNumber(1),
                      ticketText(1, Digest {},
                                 R"(,"routes":{)" + routesText + R"(},"services":{)" + servicesText
                                     + R"(},"endpoints":{)" + endpointsText + "}"));
    if (verdict.code != ResultCode::Ok) {
        throw ResultError(verdict.code, verdict.detail);
    }
    return verdict.state;
}

/// A ticket of about \p bytes that changes endpoints, first those that exist.
std::string makeTicket(const State &state, std::size_t bytes)
{
    std::string text;
    for (std::size_t i = 0; text.empty() || text.size() + 250 < bytes; ++i) {
        text += (i == 0 ? "" : ",") + endpointText(i, 13);
    }
    return ticketText(2, state.ticketDigest, R"(,"endpoints":{)" + text + "}");
}

/// Processor time of this thread, which other work on the machine disturbs less than elapsed time.
double threadMicroseconds()
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
    double leastUs;
    double medianUs;
};

Timing measure(std::size_t runs, std::size_t repeats, const std::function<void()> &action)
{
    std::vector<double> times;
    for (std::size_t run = 0; run < runs; ++run) {
        const double start = threadMicroseconds();
        for (std::size_t i = 0; i < repeats; ++i) {
            action();
        }
        times.push_back((threadMicroseconds() - start) / static_cast<double>(repeats));
    }
    std::sort(times.begin(), times.end());
    return {times.front(), times[times.size() / 2]};
}

void print(nlohmann::json line, const Timing &timing)
{
    line["leastUs"] = timing.leastUs;
    line["medianUs"] = timing.medianUs;
    std::cout << line.dump() << std::endl;
}

void measureApply(std::size_t endpoints, std::size_t ticketBytes)
{
    const StatePtr state = makeState(endpoints);
    const std::string ticket = makeTicket(*state, ticketBytes);
    constexpr std::size_t Runs = 15;
    const Timing timing = measure(Runs, 1, [&] {
        const ApplyResult verdict = applyTicket(state, TicketNumber(2), ticket);
        if (verdict.code != ResultCode::Ok) {
            throw ResultError(verdict.code, verdict.detail);
        }
    });
    print({{"case", "applyTicket"}, {"endpoints", endpoints}, {"ticketBytes", ticket.size()}}, timing);
}

void measureParse(std::size_t ticketBytes)
{
    const std::string ticket = makeTicket(*emptyState(), ticketBytes);
    constexpr std::size_t Runs = 15;
    print({{"case", "parseTicket"}, {"ticketBytes", ticket.size()}}, measure(Runs, 1, [&] { parseTicket(ticket); }));
    print({{"case", "sha256"}, {"ticketBytes", ticket.size()}}, measure(Runs, 1, [&] { sha256(ticket); }));
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
    std::size_t next = 0;
    std::size_t found = 0;
    const Timing timing = measure(Runs, Repeats, [&] {
        next = (next + 7) % paths.size();
        found += state->findRoute(next % 2 == 0 ? "GET" : "POST", paths[next]) != nullptr ? 1 : 0;
    });
    if (found != Runs * Repeats) {
        throw std::logic_error("a path found no route");
    }
    print({{"case", "findRoute"}, {"routes", state->routes.size()}}, timing);
}

void measureSnapshot(std::size_t endpoints)
{
    const StatePtr state = makeState(endpoints);
    const std::string bytes = encodeSnapshot(*state, {});
    constexpr std::size_t Runs = 9;
    nlohmann::json line = {{"endpoints", endpoints}, {"snapshotBytes", bytes.size()}};
    line["case"] = "encodeSnapshot";
    print(line, measure(Runs, 1, [&] { encodeSnapshot(*state, {}); }));
    line["case"] = "decodeSnapshot";
    print(line, measure(Runs, 1, [&] { decodeSnapshot(bytes); }));
}

void measureMemory(std::size_t endpoints)
{
    const std::size_t before = mallinfo2().uordblks;
    const StatePtr state = makeState(endpoints);
    const std::size_t used = mallinfo2().uordblks - before;
    const std::size_t objects = state->routes.size() + state->services.size() + state->endpoints.size();
    const nlohmann::json line = {{"case", "memory"},
                                 {"endpoints", endpoints},
                                 {"objects", objects},
                                 {"heapBytes", used},
                                 {"heapBytesPerObject", used / objects}};
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
