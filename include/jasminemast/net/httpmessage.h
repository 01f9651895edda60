// HTTP messages as plain data, shared by the HTTP server and client and by the links between nodes.
#pragma once

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

/// True when the two header names are equal but for case.
bool equalHeaderNames(std::string_view left, std::string_view right);

/// The first value under \p name, or null.
const std::string *findHeader(const HttpHeaders &headers, std::string_view name);

/// True when \p text is a token of RFC 9110 section 5.6.2, as methods and header names must be.
bool isToken(std::string_view text);

/// True when \p text has no control character but tabs, so that it cannot end its line.
bool isFieldValue(std::string_view text);

/// True for headers that concern one connection only and are never passed on (RFC 9110 section 7.6.1), and for
/// those that the sending library writes itself.
bool isHopByHop(std::string_view name);

/// The headers that may be passed on to the next hop.
HttpHeaders endToEndHeaders(const HttpHeaders &headers);

/// A whole request.
struct HttpRequest
{
    std::string method;
    std::string target; ///< path and query as received
    HttpHeaders headers;
    std::string body;

    /// The target up to the query.
    [[nodiscard]] std::string_view path() const;
    /// The value of \p key in the query; empty when absent. Percent-encoding is not undone.
    [[nodiscard]] std::string query(std::string_view key) const;
};

} // namespace jasminemast
