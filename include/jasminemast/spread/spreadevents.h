// What the core of spreading is told, and what it wants done.
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
    Joining, ///< may be out of date: takes no calls
    Ready,
    Degraded, ///< serves although neither peers nor service could be asked
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

/// The service answered a watch; no head while no ticket has been accepted.
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

/// The service has no such ticket or could not be asked.
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

/// An answer to a pull, or a push.
struct PullReplyReceived
{
    PullReply answer;
};

struct PullFailed
{
    std::uint64_t id = 0;
};

/// An SendPullReply has been written out or its link was lost.
struct PullReplySent
{
    bool snapshot = false;
};

/// A call arrived that began with a higher number than this node runs.
struct NewerTicketSeen
{
    HostId peer;
    TicketNumber number;
};

/// This process begins to drain.
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

/// Reads the accepted head; with a wait, once it changes or the wait is over. Replaces a watch still in flight.
struct StartWatch
{
    std::uint64_t id = 0;
    Milliseconds wait {0};
};

struct FetchTicket
{
    TicketNumber number;
};

/// Fetches the newest checkpoint up to \c newest.
struct FetchCheckpoint
{
    TicketNumber newest;
};

struct SendPull
{
    HostId to;
    PullRequest request;
};

struct SendPullReply
{
    HostId to;
    PullReply answer;
};

/// A new state is in force on this node.
struct PublishState
{
    StatePtr state;
};

struct ReadinessChanged
{
    Readiness readiness = Readiness::Joining;
};

/// Somebody states another digest for a number whose digest is known.
struct DigestConflictDetected
{
    Head stated;
    Head kept;
};

using SpreadAction = std::variant<SendMessage, StartWatch, FetchTicket, FetchCheckpoint, SendPull, SendPullReply,
                                  PublishState, ReadinessChanged, DigestConflictDetected>;
using SpreadActions = std::vector<SpreadAction>;

/// Counts of what spreading did, since the start of the process.
struct SpreadCounters
{
    std::uint64_t conflicts = 0;
    std::uint64_t olderHeads = 0; ///< heads dropped because a higher one is known
    std::uint64_t serviceCalls = 0;
    std::uint64_t budgetRefusals = 0; ///< service calls put off for want of budget
    std::uint64_t watchFailures = 0;
    std::uint64_t takeovers = 0; ///< times this node became a reader in place of a silent one
    std::uint64_t ticketsFetched = 0; ///< from the service
    std::uint64_t fetchFailures = 0;
    std::uint64_t pullsSent = 0;
    std::uint64_t pullTimeouts = 0;
    std::uint64_t pullsRefused = 0; ///< by busy peers
    std::uint64_t pullsServed = 0;
    std::uint64_t pullsDeclined = 0; ///< by this node, being busy
    std::uint64_t pushesSent = 0;
    std::uint64_t digestMismatches = 0;
    std::uint64_t pauses = 0;
    std::uint64_t strangers = 0; ///< messages from hosts that are not listed
};

} // namespace jasminemast
