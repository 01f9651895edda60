// Change tickets: their syntax, and the fold of one ticket into a state.
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

/// Upper bounds that a ticket and the state it makes must keep.
struct TicketLimits
{
    static constexpr std::size_t MaxBytes = 1U << 20U; ///< what the configuration service can hold
    static constexpr std::size_t MaxDepth = 16;
    static constexpr std::size_t MaxObjects = 50'000;
    static constexpr std::size_t MaxNameLength = 128;
    static constexpr std::size_t MaxPathLength = 1024;
    static constexpr std::size_t MaxMethodLength = 32;
    static constexpr std::size_t MaxMethods = 32; ///< of one route
    static constexpr std::uint64_t MaxNumber = (1ULL << 53U) - 1; ///< exact in every JSON reader
};

/// A parsed ticket. An object is its whole new state; an empty optional removes it.
struct Ticket
{
    TicketNumber number;
    Digest previous;
    std::map<RouteId, std::optional<Route>> routes;
    std::map<ServiceId, std::optional<Service>> services;
    std::map<EndpointId, std::optional<Endpoint>> endpoints;
};

/// Parses \p bytes.
/// \throws ResultError with a 2xxx code that names the offending place.
Ticket parseTicket(std::string_view bytes);

/// The digest of the ticket before, read from bytes that may be a bad ticket otherwise: the first top-level `previous`
/// field, if the text is JSON up to there. A pure function, so all nodes follow the same chain.
std::optional<Digest> parsePreviousDigest(std::string_view bytes);

/// What one ticket came to. A pure function of the state before it and its bytes.
struct ApplyResult
{
    ResultCode code = ResultCode::Ok; ///< Ok: accepted; otherwise the reason of the refusal
    std::string detail; ///< place and cause of a refusal
    StatePtr state; ///< state afterwards; a refusal only advances its number and ticket digest
};

/// Folds ticket \p number with \p bytes into \p before, whole or not at all. Never throws for bad input.
ApplyResult applyTicket(const StatePtr &before, TicketNumber number, std::string_view bytes);

/// The accepted head as the configuration service states it.
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
