// Choice of an endpoint and start of attempts.
#include "jasminemast/node/entryside.h"

#include "jasminemast/node/entrycall.h"

namespace jasminemast
{

EntrySide::EntrySide(EntryContext context, const NodeSettings &settings, Incarnation incarnation)
    : m_context(context)
    , m_self(settings.self)
    , m_linkPort(settings.linkPort)
    , m_settings(settings.calls)
    , m_incarnation(incarnation)
{
}

void EntrySide::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    CallId id;
    id.node = m_self.host;
    id.incarnation = m_incarnation;
    id.sequence = ++m_lastSequence;
    const auto call = std::make_shared<EntryCall>(*this, exchange, id);
    m_calls.insert(call);
    call->start();
}

const Endpoint *EntrySide::chooseEndpoint(const State &state, const Service &service,
                                          const std::set<EndpointId> &avoided)
{
    std::vector<const Endpoint *> near;
    std::vector<const Endpoint *> far;
    for (const EndpointId &id : service.endpoints) {
        const Endpoint *endpoint = state.endpoints.at(id).get();
        const HostView *host = m_context.fleet.findHost(endpoint->host);
        if (avoided.contains(id) || endpoint->draining || host == nullptr || host->state != HostState::Live) {
            continue;
        }
        (host->record.zone == m_self.zone ? near : far).push_back(endpoint);
    }
    const auto &candidates = near.empty() ? far : near;
    if (candidates.empty()) {
        return nullptr;
    }
    return candidates[m_context.random.below(candidates.size())];
}

std::unique_ptr<AttemptHandle> EntrySide::openAttempt(const Endpoint &endpoint, OpenMessage open,
                                                      const std::string &body, std::shared_ptr<AnswerSink> sink)
{
    if (endpoint.host == m_self.host) {
        return m_context.localTarget.open(std::move(open), body, std::move(sink));
    }
    const HostView *host = m_context.fleet.findHost(endpoint.host);
    const SocketAddress address {host->record.address, m_linkPort};
    return m_context.remote.open(endpoint.host, address, std::move(open), body, std::move(sink));
}

} // namespace jasminemast
