// Serves pulls of other nodes, with a limit on concurrent replies.
#pragma once

#include "jasminemast/spread/servicebudget.h"
#include "jasminemast/spread/settings.h"
#include "jasminemast/spread/spreadevents.h"
#include "jasminemast/spread/ticketstore.h"

#include <map>
#include <optional>

namespace jasminemast
{

/// Builds replies to pulls. A reply carries consecutive tickets, or a snapshot if these are too many or too large.
class PullServer
{
public:
    PullServer(const SpreadSettings &settings, TicketStore &store, ServiceBudget &budget, SpreadCounters &counters);

    /// Replies to \p request of \p from. If it is for a single ticket that this node lacks, the reply
    /// follows once the ticket has been fetched from the service.
    SpreadActions handle(const HostId &from, const PullRequest &request, const Sender &sender, TimePoint now);
    /// Returns a reply with all tickets after \p after, or with a snapshot if these are too many or too large.
    [[nodiscard]] PullReply tailReply(TicketNumber after, const Sender &sender) const;
    void onReplySent(bool snapshot);
    /// Replies to the requests that wait for \p number. No \p bytes: the fetch from the service failed.
    SpreadActions onFetchEnded(TicketNumber number, const std::optional<std::string> &bytes, const Sender &sender);

private:
    struct WaitingRequest
    {
        HostId host;
        std::uint64_t id = 0;
    };

    SpreadActions handleFetch(const HostId &from, const PullRequest &request, const Sender &sender, TimePoint now);
    PullReply ticketReply(TicketNumber number, std::uint64_t id, const Sender &sender) const;

    const SpreadSettings &m_settings;
    TicketStore &m_store;
    ServiceBudget &m_budget;
    SpreadCounters &m_counters;
    unsigned m_repliesInFlight = 0; ///< includes snapshots
    unsigned m_snapshotsInFlight = 0;
    std::map<TicketNumber, std::vector<WaitingRequest>> m_waitingRequests; ///< by ticket being fetched
};

} // namespace jasminemast
