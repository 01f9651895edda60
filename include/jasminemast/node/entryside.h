// The side of a node that callers talk to: routes each request, chooses an endpoint and brings the answer back.
#pragma once

#include "jasminemast/net/httpserver.h"
#include "jasminemast/node/callclient.h"
#include "jasminemast/node/targetside.h"
#include "jasminemast/node/views.h"
#include "jasminemast/support/random.h"

#include <memory>
#include <set>

namespace jasminemast
{

/// What an entry side works with; all outlive it.
struct EntryContext
{
    Loop &loop;
    const Clock &clock;
    Random &random;
    ConfigView &config;
    const FleetView &fleet;
    TargetSide &localTarget;
    CallClient &remote;
};

class EntryCall;

/// Carries the calls of this node's callers.
class EntrySide
{
public:
    EntrySide(EntryContext context, const NodeSettings &settings, Incarnation incarnation);

    /// Takes one request; answers it in time, whatever happens.
    void handle(const std::shared_ptr<HttpExchange> &exchange);

    /// Calls that are not yet answered.
    [[nodiscard]] std::size_t open() const
    {
        return m_calls.size();
    }

private:
    friend class EntryCall;

    /// Starts an attempt on the node beside \p endpoint.
    std::unique_ptr<AttemptHandle> openAttempt(const Endpoint &endpoint, OpenMessage open, const std::string &body,
                                               std::shared_ptr<AnswerSink> sink);
    /// An endpoint of \p service that may be asked, not among \p avoided; null when there is none.
    [[nodiscard]] const Endpoint *chooseEndpoint(const State &state, const Service &service,
                                                 const std::set<EndpointId> &avoided);

    EntryContext m_context;
    HostRecord m_self;
    std::uint16_t m_linkPort;
    CallSettings m_settings;
    Incarnation m_incarnation;
    std::uint64_t m_lastSequence = 0;
    std::set<std::shared_ptr<EntryCall>> m_calls;
};

} // namespace jasminemast
