// Events that the spreading core handles, and the actions that it returns.
#pragma once

#include "jasminemast/config/snapshot.h"
#include "jasminemast/member/hostlist.h"
#include "jasminemast/spread/messages.h"

#include <optional>
#include <variant>
#include <vector>

namespace jasminemast
{

enum class Readiness : std::uint8_t {
    Joining, ///< may be out of date; accepts no calls
    Ready,
    Degraded, ///< serves although not known to be up to date, since joinWait has passed
};

// Events.

struct Tick
{
};

struct HostListReceived
{
    HostList list;
};

struct MessageReceived
{
    ControlMessage message;
};

/// The service responded to a watch. No head: no ticket has been accepted yet.
struct WatchCompleted
{
    std::uint64_t id = 0;
    std::optional<Head> head;
};

struct WatchFailed
{
    std::uint64_t id = 0;
};

struct TicketFetched
{
    TicketNumber number;
    std::string bytes;
};

/// The service has no such ticket or could not be reached.
struct TicketFetchFailed
{
    TicketNumber number;
};

struct CheckpointFetched
{
    Snapshot snapshot;
};

struct CheckpointFetchFailed
{
};

struct PullRequested
{
    HostId from;
    PullRequest request;
};

/// A reply to a pull, or a push.
struct PullReplyReceived
{
    PullReply reply;
};

struct PullFailed
{
    std::uint64_t id = 0;
};

/// The reply of a SendPullReply has been sent or its link was lost.
struct PullReplySent
{
    bool snapshot = false;
};

/// A call arrived that uses a higher ticket number than this node has applied.
struct NewerTicketSeen
{
    HostId peer;
    TicketNumber number;
};

/// This process starts to drain.
struct DrainStarted
{
};

using SpreadEvent = std::variant<Tick, HostListReceived, MessageReceived, WatchCompleted, WatchFailed, TicketFetched,
                                 TicketFetchFailed, CheckpointFetched, CheckpointFetchFailed, PullRequested,
                                 PullReplyReceived, PullFailed, PullReplySent, NewerTicketSeen, DrainStarted>;

// Actions.

struct SendMessage
{
    HostId to;
    ControlMessage message;
};

/// Reads the accepted head from the service. With a wait this is a long poll: the service responds when the head
/// changes or the wait is over. Replaces a watch that is still in flight.
struct StartWatch
{
    std::uint64_t id = 0;
    Milliseconds wait {0};
};

struct FetchTicket
{
    TicketNumber number;
};

/// Fetches the newest checkpoint whose number is at most \c maxNumber.
struct FetchCheckpoint
{
    TicketNumber maxNumber;
};

struct SendPull
{
    HostId to;
    PullRequest request;
};

struct SendPullReply
{
    HostId to;
    PullReply reply;
};

/// Makes \c state the configuration that this node uses.
struct PublishState
{
    StatePtr state;
};

struct ReadinessChanged
{
    Readiness readiness = Readiness::Joining;
};

/// A peer or the service reported a digest for a ticket number that differs from the known one.
struct DigestConflictDetected
{
    Head received;
    Head highestKnown; ///< may have a higher number than the received head
};

using SpreadAction = std::variant<SendMessage, StartWatch, FetchTicket, FetchCheckpoint, SendPull, SendPullReply,
                                  PublishState, ReadinessChanged, DigestConflictDetected>;
using SpreadActions = std::vector<SpreadAction>;

/// Counters since the start of the process.
struct SpreadCounters
{
    std::uint64_t conflicts = 0;
    std::uint64_t olderHeads = 0; ///< heads ignored because a higher one is known
    std::uint64_t serviceCalls = 0;
    std::uint64_t budgetRefusals = 0; ///< service calls deferred because the budget was used up
    std::uint64_t watchFailures = 0;
    std::uint64_t takeovers = 0; ///< times this node replaced a silent reader
    std::uint64_t ticketsFetched = 0; ///< from the service
    std::uint64_t fetchFailures = 0;
    std::uint64_t pullsSent = 0;
    std::uint64_t pullTimeouts = 0;
    std::uint64_t pullsRefused = 0; ///< by busy peers
    std::uint64_t pullsServed = 0;
    std::uint64_t pullsDeclined = 0; ///< by this node because it was busy
    std::uint64_t pushesSent = 0;
    std::uint64_t digestMismatches = 0;
    std::uint64_t pauses = 0;
    std::uint64_t messagesFromUnlistedHosts = 0; ///< or with this host as sender
};

} // namespace jasminemast
