// Messages between the control tasks of two nodes: datagrams, and the frames of a pull.
//
// Every message names its sender and what the sender runs. Replies go to the address that the receiver's own host
// list gives for the sender, never to the address a datagram came from.
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

/// Who sent a message, and what it knows.
struct Sender
{
    HostId host;
    Incarnation incarnation;
    std::uint32_t refutation = 0;
    bool leaving = false;
    bool reader = false; ///< watches the configuration service
    bool sourceFresh = false; ///< the service has answered its last watch
    AppliedVersion applied;
    Head accepted; ///< highest accepted head that the sender knows; not below applied

    bool operator==(const Sender &) const = default;
};

/// Asks for an Ack; doubles as an anti-entropy exchange.
struct Ping
{
    std::uint32_t sequence = 0; ///< 0: an exchange that is not a liveness probe
    HostId onBehalfOf; ///< empty, or the host that asked for this indirect probe

    bool operator==(const Ping &) const = default;
};

/// Asks the receiver to ping \c target and to pass its Ack on.
struct PingRequest
{
    std::uint32_t sequence = 0;
    HostId target;

    bool operator==(const PingRequest &) const = default;
};

struct Ack
{
    std::uint32_t sequence = 0;
    HostId onBehalfOf; ///< as in the Ping that it answers

    bool operator==(const Ack &) const = default;
};

/// Says what the sender knows; wants no answer from a receiver that knows as much.
struct Announce
{
    bool operator==(const Announce &) const = default;
};

/// Tells a reader of the zone what the sender runs.
struct Report
{
    bool operator==(const Report &) const = default;
};

using ControlBody = std::variant<Ping, PingRequest, Ack, Announce, Report>;

/// One datagram.
struct ControlMessage
{
    static constexpr std::size_t MaxRumours = 64;
    static constexpr std::size_t MaxSummaries = 8;

    Sender sender;
    std::vector<MemberRumour> rumours;
    std::vector<ZoneSummary> summaries;
    ControlBody body;

    bool operator==(const ControlMessage &) const = default;
};

/// Asks a peer for what follows the asker's applied number.
struct PullRequest
{
    std::uint64_t id = 0; ///< matches the answer
    TicketNumber after; ///< applied number of the asker
    TicketNumber fetch; ///< not 0: only this ticket, fetched from the service if need be
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
    Busy, ///< too many answers in flight: ask another
    Behind, ///< the peer has nothing newer
};

/// Answers a pull; with id 0 a push that nobody asked for.
struct PullReply
{
    static constexpr std::size_t MaxTickets = 4096;
    static constexpr std::size_t MaxUncompressedBytes = 64UL << 20U;

    std::uint64_t id = 0;
    PullResult result = PullResult::Served;
    Sender sender;
    std::vector<TicketBody> tickets; ///< consecutive, ascending
    std::string snapshot; ///< not empty: replaces the tickets

    bool operator==(const PullReply &) const = default;
};

std::string encodeControlMessage(const ControlMessage &message);
/// \throws ResultError with DatagramMalformed.
ControlMessage decodeControlMessage(std::string_view bytes);

std::string encodePullRequest(const PullRequest &request);
/// \throws ResultError with FrameMalformed.
PullRequest decodePullRequest(std::string_view bytes);

/// zstd-compressed.
std::string encodePullReply(const PullReply &answer);
/// \throws ResultError with FrameMalformed, or FrameTooLarge when it would unpack to more than MaxUncompressedBytes.
PullReply decodePullReply(std::string_view bytes);

} // namespace jasminemast
