// HTTP routes of the configuration service.
#include "configsource.h"

#include "flags.h"
#include "jsonhttp.h"
#include "socketaddress.h"

namespace jasminemast::standin
{

ConfigSource::ConfigSource(EventLoop &loop, const sockaddr_in &address)
    : m_watchServer(loop)
    , m_server(loop, address, [this](const HttpExchangePtr &exchange) { handle(exchange); })
{
}

void ConfigSource::handle(const HttpExchangePtr &exchange)
{
    static const std::string prefix = "/v1/kv/";
    const HttpRequest &request = exchange->request;
    if (m_watchServer.handleAdmin(exchange)) {
        return;
    }
    if (!request.path.starts_with(prefix) || request.path.size() == prefix.size()) {
        exchange->respond(textResponse(404, "no such page"));
        return;
    }
    const std::string key = request.path.substr(prefix.size());
    if (request.method == "GET") {
        m_watchServer.read(exchange, key, nullptr);
        return;
    }
    if (request.method == "PUT") {
        put(exchange, key);
        return;
    }
    exchange->respond(textResponse(405, "method not allowed"));
}

void ConfigSource::put(const HttpExchangePtr &exchange, const std::string &key)
{
    const HttpRequest &request = exchange->request;
    if (!request.query.contains("cas")) {
        exchange->respond(textResponse(400, "a write needs cas=<revision>"));
        return;
    }
    if (request.body.size() > MaxValueBytes) {
        exchange->respond(textResponse(413, "values hold at most " + std::to_string(MaxValueBytes) + " bytes"));
        return;
    }
    const auto revision = m_watchServer.store().put(key, request.body, request.queryNumber("cas", 0));
    if (!revision) {
        const std::uint64_t current = m_watchServer.store().latest(key).revision;
        exchange->respond(jsonResponse(409, {{"revision", current}}));
        return;
    }
    exchange->respond(jsonResponse(200, {{"revision", *revision}}));
    m_watchServer.keyChanged(key);
}

int runConfigSource()
{
    EventLoop loop;
    const ConfigSource source(loop, parseSocketAddress(FLAGS_listen));
    loop.stopOnSignals();
    loop.run();
    return 0;
}

} // namespace jasminemast::standin
