// Serves tickets, or a snapshot when the requester lacks too many of them.
#include "jasminemast/spread/pullserver.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

constexpr std::size_t MaxTailBytes = 1'500'000; ///< more than this is sent as a snapshot
constexpr std::uint64_t MaxTailTickets = 256;

} // namespace

PullServer::PullServer(const SpreadSettings &settings, TicketStore &store, ServiceBudget &budget,
                       SpreadCounters &counters)
    : m_settings(settings)
    , m_store(store)
    , m_budget(budget)
    , m_counters(counters)
{
}

SpreadActions PullServer::handle(const HostId &from, const PullRequest &request, const Sender &sender, TimePoint now)
{
    if (request.fetch != TicketNumber()) {
        return handleFetch(from, request, sender, now);
    }
    PullReply reply;
    reply.id = request.id;
    reply.sender = sender;
    if (m_store.state()->number <= request.after) {
        reply.result = PullResult::Behind;
        return {SendPullReply {from, reply}};
    }
    if (m_repliesInFlight >= m_settings.maxPullsServed) {
        ++m_counters.pullsDeclined;
        reply.result = PullResult::Busy;
        return {SendPullReply {from, reply}};
    }
    reply = tailReply(request.after, sender);
    reply.id = request.id;
    if (!reply.snapshot.empty()) {
        if (m_snapshotsInFlight >= m_settings.maxSnapshotsServed) {
            ++m_counters.pullsDeclined;
            reply.snapshot.clear();
            reply.result = PullResult::Busy;
            return {SendPullReply {from, reply}};
        }
        ++m_snapshotsInFlight;
    }
    ++m_repliesInFlight;
    ++m_counters.pullsServed;
    return {SendPullReply {from, std::move(reply)}};
}

PullReply PullServer::tailReply(TicketNumber after, const Sender &sender) const
{
    PullReply reply;
    reply.sender = sender;
    const auto last = m_store.state()->number.value();
    bool complete = last - after.value() <= MaxTailTickets;
    std::size_t size = 0;
    for (auto number = after.value() + 1; complete && number <= last; ++number) {
        auto bytes = m_store.ticket(TicketNumber(number));
        size += bytes ? bytes->size() : 0;
        complete = bytes && size <= MaxTailBytes;
        if (complete) {
            reply.tickets.push_back(TicketBody {TicketNumber(number), std::move(*bytes)});
        }
    }
    if (!complete) {
        reply.tickets.clear();
        reply.snapshot = m_store.snapshot();
    }
    return reply;
}

void PullServer::onReplySent(bool snapshot)
{
    m_repliesInFlight -= std::min(m_repliesInFlight, 1U);
    m_snapshotsInFlight -= snapshot ? std::min(m_snapshotsInFlight, 1U) : 0;
}

PullReply PullServer::ticketReply(TicketNumber number, std::uint64_t id, const Sender &sender) const
{
    PullReply reply;
    reply.id = id;
    reply.sender = sender;
    auto bytes = m_store.ticket(number);
    if (!bytes) {
        reply.result = PullResult::Behind;
        return reply;
    }
    reply.tickets.push_back(TicketBody {number, std::move(*bytes)});
    return reply;
}

SpreadActions PullServer::handleFetch(const HostId &from, const PullRequest &request, const Sender &sender,
                                      TimePoint now)
{
    auto reply = ticketReply(request.fetch, request.id, sender);
    if (reply.result == PullResult::Served) {
        ++m_repliesInFlight;
        ++m_counters.pullsServed;
        return {SendPullReply {from, std::move(reply)}};
    }
    const auto waiting = m_waitingRequests.find(request.fetch);
    if (waiting != m_waitingRequests.end()) {
        waiting->second.push_back(WaitingRequest {from, request.id});
        return {};
    }
    if (!m_budget.take(now)) {
        ++m_counters.budgetRefusals;
        reply.result = PullResult::Busy;
        return {SendPullReply {from, reply}};
    }
    ++m_counters.serviceCalls;
    m_waitingRequests[request.fetch].push_back(WaitingRequest {from, request.id});
    return {FetchTicket {request.fetch}};
}

SpreadActions PullServer::onFetchEnded(TicketNumber number, const std::optional<std::string> &bytes,
                                       const Sender &sender)
{
    const auto waiting = m_waitingRequests.find(number);
    if (waiting == m_waitingRequests.end()) {
        return {};
    }
    PullReply reply;
    reply.sender = sender;
    reply.result = bytes ? PullResult::Served : PullResult::Behind;
    if (bytes) {
        reply.tickets.push_back(TicketBody {number, *bytes});
        m_repliesInFlight += static_cast<unsigned>(waiting->second.size());
    }
    SpreadActions actions;
    for (const auto &requester : waiting->second) {
        reply.id = requester.id;
        actions.emplace_back(SendPullReply {requester.host, reply});
    }
    m_waitingRequests.erase(waiting);
    return actions;
}

} // namespace jasminemast
