// Change tickets: parsing a ticket and applying it to a state.
#pragma once

#include "jasminemast/config/state.h"
#include "jasminemast/support/result.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jasminemast
{

/// Upper bounds of a ticket and of the state after it.
struct TicketLimits
{
    static constexpr std::size_t MaxBytes = 1U << 20U; ///< largest value that the configuration service stores
    static constexpr std::size_t MaxDepth = 16;
    static constexpr std::size_t MaxObjects = 50'000;
    static constexpr std::size_t MaxNameLength = 128;
    static constexpr std::size_t MaxPathLength = 1024;
    static constexpr std::size_t MaxMethodLength = 32;
    static constexpr std::size_t MaxMethods = 32; ///< per route
    static constexpr std::uint64_t MaxNumber = (1ULL << 53U) - 1; ///< exact in JSON readers that use doubles
};

/// A parsed ticket. Each object replaces the one with its id; an empty optional removes that.
struct Ticket
{
    TicketNumber number;
    Digest previous;
    std::map<RouteId, std::optional<Route>> routes;
    std::map<ServiceId, std::optional<Service>> services;
    std::map<EndpointId, std::optional<Endpoint>> endpoints;
};

/// Parses \p bytes.
/// \throws ResultError with a 2xxx code; the detail names the place of the error.
Ticket parseTicket(std::string_view bytes);

/// The digest of the previous ticket, also from bytes that are not a valid ticket: the first top-level `previous`
/// field, if the text is valid JSON up to there. A pure function, so that all nodes follow the same chain.
std::optional<Digest> parsePreviousDigest(std::string_view bytes);

/// The result of applying one ticket.
struct ApplyResult
{
    ResultCode code = ResultCode::Ok; ///< Ok: accepted; otherwise the reason of the refusal
    std::string detail; ///< place and cause of a refusal
    StatePtr state; ///< state afterwards; a refused ticket changes only `number` and `ticketDigest`
};

/// Applies ticket \p number with \p bytes to \p before, entirely or not at all. Never throws for bad input. A pure
/// function, so that all nodes reach the same state.
ApplyResult applyTicket(const StatePtr &before, TicketNumber number, std::string_view bytes);

/// Number and digest of a ticket; the accepted head is that of the ticket which operators accepted last.
struct Head
{
    TicketNumber number;
    Digest digest; ///< SHA-256 of that ticket's bytes

    auto operator<=>(const Head &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(number, digest);
    }
};

/// Parses the value of the key `accepted`.
/// \throws ResultError with AcceptedMalformed.
Head parseHead(std::string_view bytes);

} // namespace jasminemast
