// HTTP requests and headers, shared by the HTTP server and client and by the links between nodes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminemast
{

/// One header line.
struct HttpHeader
{
    std::string name;
    std::string value;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, value);
    }
};

using HttpHeaders = std::vector<HttpHeader>;

/// True for a status that a final response can have: 200 to 599.
constexpr bool isFinalStatus(unsigned status)
{
    constexpr unsigned First = 200;
    constexpr unsigned Last = 599;
    return status >= First && status <= Last;
}

/// Compares two header names case-insensitively.
bool equalHeaderNames(std::string_view left, std::string_view right);

/// The first value under \p name, or null.
const std::string *findHeader(const HttpHeaders &headers, std::string_view name);
/// The announced length of a request's body; unset if there is none, or if the body is sent in chunks.
std::optional<std::uint64_t> requestBodyLength(const HttpHeaders &headers);

/// True if \p text is a token of RFC 9110 section 5.6.2, as methods and header names must be.
bool isToken(std::string_view text);

/// True if \p text has no control characters except tabs, so that it cannot end the header line.
bool isFieldValue(std::string_view text);

/// True for hop-by-hop headers, which are never forwarded (RFC 9110 section 7.6.1), and for headers that the HTTP
/// library writes itself.
bool isHopByHop(std::string_view name);

/// Returns the headers that may be forwarded to the next hop.
HttpHeaders endToEndHeaders(const HttpHeaders &headers);

/// False if the method, target or headers could be parsed as more than one request (request smuggling).
bool isWellFormedRequest(std::string_view method, std::string_view target, const HttpHeaders &headers);

/// A complete request.
struct HttpRequest
{
    std::string method;
    std::string target; ///< path and query as received
    HttpHeaders headers;
    std::string body;

    /// The target up to the query.
    [[nodiscard]] std::string_view path() const;
    /// The value of \p key in the query, without percent-decoding; empty if absent.
    [[nodiscard]] std::string query(std::string_view key) const;
};

} // namespace jasminemast
