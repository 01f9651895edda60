// Serves tickets, or a snapshot when the tail is too long.
#include "jasminemast/spread/pullserver.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

constexpr std::size_t MaxTailBytes = 1'500'000; ///< a longer tail is sent as a snapshot
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
    PullReply answer;
    answer.id = request.id;
    answer.sender = sender;
    if (m_store.state()->number <= request.after) {
        answer.result = PullResult::Behind;
        return {SendPullReply {from, answer}};
    }
    if (m_sending >= m_settings.maxPullsServed) {
        ++m_counters.pullsDeclined;
        answer.result = PullResult::Busy;
        return {SendPullReply {from, answer}};
    }
    answer = tail(request.after, sender);
    answer.id = request.id;
    if (!answer.snapshot.empty()) {
        if (m_sendingSnapshots >= m_settings.maxSnapshotsServed) {
            ++m_counters.pullsDeclined;
            answer.snapshot.clear();
            answer.result = PullResult::Busy;
            return {SendPullReply {from, answer}};
        }
        ++m_sendingSnapshots;
    }
    ++m_sending;
    ++m_counters.pullsServed;
    return {SendPullReply {from, std::move(answer)}};
}

PullReply PullServer::tail(TicketNumber after, const Sender &sender) const
{
    PullReply answer;
    answer.sender = sender;
    const auto last = m_store.state()->number.value();
    bool complete = last - after.value() <= MaxTailTickets;
    std::size_t size = 0;
    for (auto number = after.value() + 1; complete && number <= last; ++number) {
        auto bytes = m_store.ticket(TicketNumber(number));
        size += bytes ? bytes->size() : 0;
        complete = bytes && size <= MaxTailBytes;
        if (complete) {
            answer.tickets.push_back(TicketBody {TicketNumber(number), std::move(*bytes)});
        }
    }
    if (!complete) {
        answer.tickets.clear();
        answer.snapshot = m_store.snapshot();
    }
    return answer;
}

void PullServer::answerSent(bool snapshot)
{
    m_sending -= std::min(m_sending, 1U);
    m_sendingSnapshots -= snapshot ? std::min(m_sendingSnapshots, 1U) : 0;
}

PullReply PullServer::single(TicketNumber number, std::uint64_t id, const Sender &sender) const
{
    PullReply answer;
    answer.id = id;
    answer.sender = sender;
    auto bytes = m_store.ticket(number);
    if (!bytes) {
        answer.result = PullResult::Behind;
        return answer;
    }
    answer.tickets.push_back(TicketBody {number, std::move(*bytes)});
    return answer;
}

SpreadActions PullServer::handleFetch(const HostId &from, const PullRequest &request, const Sender &sender,
                                      TimePoint now)
{
    auto answer = single(request.fetch, request.id, sender);
    if (answer.result == PullResult::Served) {
        ++m_sending;
        ++m_counters.pullsServed;
        return {SendPullReply {from, std::move(answer)}};
    }
    const auto waiting = m_waiting.find(request.fetch);
    if (waiting != m_waiting.end()) {
        waiting->second.push_back(Waiting {from, request.id});
        return {};
    }
    if (!m_budget.take(now)) {
        ++m_counters.budgetRefusals;
        answer.result = PullResult::Busy;
        return {SendPullReply {from, answer}};
    }
    ++m_counters.serviceCalls;
    m_waiting[request.fetch].push_back(Waiting {from, request.id});
    return {FetchTicket {request.fetch}};
}

SpreadActions PullServer::fetchEnded(TicketNumber number, const std::optional<std::string> &bytes, const Sender &sender)
{
    const auto waiting = m_waiting.find(number);
    if (waiting == m_waiting.end()) {
        return {};
    }
    PullReply answer;
    answer.sender = sender;
    answer.result = bytes ? PullResult::Served : PullResult::Behind;
    if (bytes) {
        answer.tickets.push_back(TicketBody {number, *bytes});
        m_sending += static_cast<unsigned>(waiting->second.size());
    }
    SpreadActions actions;
    for (const auto &asker : waiting->second) {
        answer.id = asker.id;
        actions.emplace_back(SendPullReply {asker.host, answer});
    }
    m_waiting.erase(waiting);
    return actions;
}

} // namespace jasminemast
