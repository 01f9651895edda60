// HTTP routes of the host list, and the relay addresses in each zone's view.
#include "hostlist.h"

#include "flags.h"
#include "jsonhttp.h"
#include "socketaddress.h"

#include <fstream>
#include <gflags/gflags.h>
#include <iterator>
#include <stdexcept>

DEFINE_string(file, "", "host-list: file with the initial list of hosts");
DEFINE_string(views, "", "host-list: file with the views of the zones");
DEFINE_uint32(lag_ms, 0, "host-list: delay until a new list is served");

namespace jasminemast::standin
{

namespace
{

const std::string HostsKey = "hosts";

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("can't read " + path);
    }
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::string rewriteAddress(const std::string &address, unsigned sourceZone)
{
    constexpr unsigned ZoneNumberLimit = 16;
    const std::size_t firstDot = address.find('.');
    const std::size_t secondDot = address.find('.', firstDot + 1);
    const unsigned zone = std::stoul(address.substr(firstDot + 1, secondDot - firstDot - 1));
    const unsigned relayOctet = ZoneNumberLimit * sourceZone + zone;
    return address.substr(0, firstDot + 1) + std::to_string(relayOctet) + address.substr(secondDot);
}

} // namespace

std::vector<HostView> parseHostViews(const std::string &text)
{
    std::vector<HostView> views;
    for (const nlohmann::json &view : nlohmann::json::parse(text)) {
        views.push_back({view.at("zone"), view.at("number"), view.at("listen")});
    }
    return views;
}

nlohmann::json rewriteHosts(const nlohmann::json &hosts, const HostView &view)
{
    nlohmann::json rewritten = hosts;
    for (nlohmann::json &host : rewritten) {
        if (host.at("zone") == view.zone) {
            continue;
        }
        host["address"] = rewriteAddress(host.at("address").get<std::string>(), view.number);
    }
    return rewritten;
}

HostListServer::HostListServer(EventLoop &loop, const sockaddr_in &address, const std::vector<HostView> &views,
                               Milliseconds lag)
    : m_loop(loop)
    , m_lag(lag)
    , m_watchServer(loop)
    , m_server(loop, address, [this](const HttpExchangePtr &exchange) { handle(exchange); })
{
    for (const HostView &view : views) {
        m_viewServers.push_back(std::make_unique<HttpServer>(
            loop, parseSocketAddress(view.listen),
            [this, view](const HttpExchangePtr &exchange) { handleView(exchange, view); }));
    }
}

void HostListServer::replace(const std::string &hosts)
{
    m_watchServer.store().put(HostsKey, hosts, m_watchServer.store().latest(HostsKey).revision);
    m_watchServer.keyChanged(HostsKey);
}

void HostListServer::handle(const HttpExchangePtr &exchange)
{
    const HttpRequest &request = exchange->request;
    if (m_watchServer.handleAdmin(exchange)) {
        return;
    }
    if (request.path != "/v1/hosts") {
        exchange->respond(textResponse(404, "no such page"));
        return;
    }
    if (request.method == "PUT") {
        put(exchange);
        return;
    }
    m_watchServer.read(exchange, HostsKey, nullptr);
}

void HostListServer::handleView(const HttpExchangePtr &exchange, const HostView &view)
{
    const HttpRequest &request = exchange->request;
    if (request.path != "/v1/hosts" || request.method != "GET") {
        exchange->respond(textResponse(404, "no such page"));
        return;
    }
    m_watchServer.read(exchange, HostsKey, [view](const std::string &value) {
        return rewriteHosts(nlohmann::json::parse(value), view).dump();
    });
}

void HostListServer::put(const HttpExchangePtr &exchange)
{
    const std::string body = exchange->request.body;
    if (!nlohmann::json::parse(body, nullptr, false).is_array()) {
        exchange->respond(textResponse(400, "the list is no JSON array"));
        return;
    }
    exchange->respond(textResponse(200, "accepted"));
    if (m_lag.count() == 0) {
        replace(body);
        return;
    }
    m_loop.callAfter(m_lag, [this, body] { replace(body); });
}

int runHostList()
{
    EventLoop loop;
    std::vector<HostView> views;
    if (!FLAGS_views.empty()) {
        views = parseHostViews(readFile(FLAGS_views));
    }
    HostListServer server(loop, parseSocketAddress(FLAGS_listen), views, Milliseconds(FLAGS_lag_ms));
    if (!FLAGS_file.empty()) {
        server.replace(readFile(FLAGS_file));
    }
    loop.stopOnSignals();
    loop.run();
    return 0;
}

} // namespace jasminemast::standin
