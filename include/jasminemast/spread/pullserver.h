// Answering the pulls of other nodes, a limited number at once.
#pragma once

#include "jasminemast/spread/servicebudget.h"
#include "jasminemast/spread/settings.h"
#include "jasminemast/spread/spreadevents.h"
#include "jasminemast/spread/ticketstore.h"

#include <map>
#include <optional>

namespace jasminemast
{

class PullServer
{
public:
    PullServer(const SpreadSettings &settings, TicketStore &store, ServiceBudget &budget, SpreadCounters &counters);

    /// Answers \p request of \p from, or fetches the one ticket that it names first.
    SpreadActions handle(const HostId &from, const PullRequest &request, const Sender &sender, TimePoint now);
    /// The answer with everything after \p after, as a push.
    [[nodiscard]] PullReply tail(TicketNumber after, const Sender &sender) const;
    void answerSent(bool snapshot);
    /// Answers those who wait for \p number; without \p bytes the service did not give it.
    SpreadActions fetchEnded(TicketNumber number, const std::optional<std::string> &bytes, const Sender &sender);

private:
    struct Waiting
    {
        HostId host;
        std::uint64_t id = 0;
    };

    SpreadActions handleFetch(const HostId &from, const PullRequest &request, const Sender &sender, TimePoint now);
    PullReply single(TicketNumber number, std::uint64_t id, const Sender &sender) const;

    const SpreadSettings &m_settings;
    TicketStore &m_store;
    ServiceBudget &m_budget;
    SpreadCounters &m_counters;
    unsigned m_sending = 0; ///< answers in flight
    unsigned m_sendingSnapshots = 0; ///< of those, snapshots
    std::map<TicketNumber, std::vector<Waiting>> m_waiting; ///< askers for a ticket being fetched
};

} // namespace jasminemast
