// Messages between the control tasks of two nodes: datagrams, and the frames of a pull.
//
// Every message names its sender and the ticket that the sender has applied. Replies go to the address that the
// receiver's host list gives for the sender, never to the source address of a datagram.
#pragma once

#include "jasminemast/config/ticket.h"
#include "jasminemast/member/membership.h"
#include "jasminemast/member/zonereports.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jasminemast
{

/// Identity of the sender of a message, and the tickets it knows.
struct Sender
{
    HostId host;
    Incarnation incarnation;
    std::uint32_t refutation = 0;
    bool leaving = false;
    bool reader = false; ///< polls the configuration service for its zone
    bool serviceReachable = false; ///< the configuration service has responded to it recently
    AppliedVersion applied;
    Head accepted; ///< highest accepted head known to the sender; not below applied

    bool operator==(const Sender &) const = default;
};

/// Requests an Ack. Also serves as an anti-entropy exchange.
struct Ping
{
    std::uint32_t sequence = 0; ///< 0: only an anti-entropy exchange, not a liveness probe
    HostId onBehalfOf; ///< host that requested this indirect probe; empty for a direct one

    bool operator==(const Ping &) const = default;
};

/// Requests that the receiver pings \c target and forwards its Ack.
struct PingRequest
{
    std::uint32_t sequence = 0;
    HostId target;

    bool operator==(const PingRequest &) const = default;
};

struct Ack
{
    std::uint32_t sequence = 0;
    HostId onBehalfOf; ///< copied from the Ping

    bool operator==(const Ack &) const = default;
};

/// Announces the tickets that the sender knows. The receiver replies only if it knows a higher head.
struct Announce
{
    bool operator==(const Announce &) const = default;
};

/// Reports the applied version of the sender to a reader of its zone.
struct Report
{
    bool operator==(const Report &) const = default;
};

using ControlBody = std::variant<Ping, PingRequest, Ack, Announce, Report>;

/// One datagram.
struct ControlMessage
{
    static constexpr std::size_t MaxUpdates = 64;
    static constexpr std::size_t MaxSummaries = 8;

    Sender sender;
    std::vector<MembershipUpdate> updates;
    std::vector<ZoneSummary> summaries;
    ControlBody body;

    bool operator==(const ControlMessage &) const = default;
};

/// Requests the tickets after the requester's applied number.
struct PullRequest
{
    std::uint64_t id = 0; ///< copied to the reply
    TicketNumber after; ///< applied number of the requester
    TicketNumber fetch; ///< not 0: requests only this ticket; the peer fetches it from the service if it lacks it
    Sender sender;

    bool operator==(const PullRequest &) const = default;
};

struct TicketBody
{
    TicketNumber number;
    std::string bytes;

    bool operator==(const TicketBody &) const = default;
};

enum class PullResult : std::uint8_t {
    Served, ///< tickets or a snapshot follow
    Busy, ///< too many replies in flight: the requester should try another peer
    Behind, ///< the peer lacks the requested tickets
};

/// Reply to a pull, or with id 0 an unrequested push.
struct PullReply
{
    static constexpr std::size_t MaxTickets = 4096;
    static constexpr std::size_t MaxUncompressedBytes = 64UL << 20U;

    std::uint64_t id = 0;
    PullResult result = PullResult::Served;
    Sender sender;
    std::vector<TicketBody> tickets; ///< consecutive, ascending
    std::string snapshot; ///< not empty: sent in place of tickets

    bool operator==(const PullReply &) const = default;
};

std::string encodeControlMessage(const ControlMessage &message);
/// \throws ResultError with DatagramMalformed.
ControlMessage decodeControlMessage(std::string_view bytes);

std::string encodePullRequest(const PullRequest &request);
/// \throws ResultError with FrameMalformed.
PullRequest decodePullRequest(std::string_view bytes);

/// zstd-compressed.
std::string encodePullReply(const PullReply &reply);
/// \throws ResultError with FrameMalformed, or FrameTooLarge if it decompresses to more than MaxUncompressedBytes.
PullReply decodePullReply(std::string_view bytes);

} // namespace jasminemast
