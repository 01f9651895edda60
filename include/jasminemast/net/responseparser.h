// Incremental parser of the responses on one HTTP/1.1 connection.
#pragma once

#include "jasminemast/net/httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace jasminemast
{

struct ResponseParserLimits
{
    /// Limit of the status line and headers, of the trailers, and of one chunk header with its extensions.
    std::size_t maxHeadBytes = 64U << 10U;
    unsigned maxInterimResponses = 8; ///< 1xx responses before the final one
};

/// Parses one response after the other. Interim (1xx) responses are skipped.
class ResponseParser
{
public:
    struct Handlers
    {
        std::function<void(unsigned status, const HttpHeaders &, std::optional<std::uint64_t> length)> onHead;
        std::function<void(std::string_view)> onBody;
    };

    explicit ResponseParser(Handlers handlers, ResponseParserLimits limits = {});
    ~ResponseParser();

    /// Starts over with the next response; \p hasBody is false for the response to a HEAD request.
    void begin(bool hasBody);
    /// Parses from the start of \p bytes, at most up to the end of the response, and returns how many bytes to drop;
    /// the others have to be passed again together with those that follow.
    /// \throws ResultError with HttpTransferFailed or AnswerTooLarge.
    std::size_t parse(std::string_view bytes);
    /// The connection has ended. This completes a response without length.
    /// \throws ResultError with HttpTransferFailed if the response is incomplete.
    void parseEnd();

    [[nodiscard]] bool isComplete() const;
    /// True if another response may follow the complete one on the connection.
    [[nodiscard]] bool keepsConnection() const;

private:
    class Parser;

    Handlers m_handlers;
    ResponseParserLimits m_limits;
    bool m_hasBody = true;
    unsigned m_interimResponses = 0; ///< before the current response
    std::unique_ptr<Parser> m_parser; ///< never null
};

} // namespace jasminemast
