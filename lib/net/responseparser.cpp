// Boost.Beast's parser behind ResponseParser.
#include "jasminemast/net/responseparser.h"

#include "jasminemast/support/result.h"

#if defined(__GNUC__) && !defined(__clang__)
// With the sanitizers, GCC 12 takes an empty boost::optional in the headers for uninitialized.
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif
#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <limits>

namespace jasminemast
{

namespace
{

namespace http = boost::beast::http;
using ErrorCode = boost::beast::error_code;
using Text = boost::beast::string_view;

constexpr unsigned FirstStatus = 100;
constexpr unsigned FirstFinalStatus = 200;

std::string_view toView(Text text)
{
    return {text.data(), text.size()};
}

/// True if a body has a transfer encoding other than "chunked".
bool hasOtherTransferEncoding(const HttpHeaders &headers)
{
    return std::any_of(headers.begin(), headers.end(), [](const HttpHeader &header) {
        return equalHeaderNames(header.name, "Transfer-Encoding") && !equalHeaderNames(header.value, "chunked")
            && !equalHeaderNames(header.value, "identity");
    });
}

/// True if \p text contains a status line, up to the status: the rest of a line that was cut is the next response then.
bool containsStatusLine(std::string_view text)
{
    constexpr std::string_view Pattern = "HTTP/1.# ###";
    const auto matches = [](char c, char expected) {
        return expected == '#' ? c >= '0' && c <= '9' : c == expected;
    };
    return std::search(text.begin(), text.end(), Pattern.begin(), Pattern.end(), matches) != text.end();
}

[[noreturn]] void throwError(const ErrorCode &error)
{
    const bool isTooLarge = error == http::error::header_limit || error == http::error::body_limit;
    throw ResultError(isTooLarge ? ResultCode::AnswerTooLarge : ResultCode::HttpTransferFailed, error.message());
}

} // namespace

class ResponseParser::Parser final : public http::basic_parser<false>
{
public:
    Parser(const Handlers &handlers, std::size_t maxHeadBytes, bool hasBody)
        : m_handlers(handlers)
    {
        eager(true);
        skip(!hasBody);
        header_limit(static_cast<std::uint32_t>(maxHeadBytes));
        body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    [[nodiscard]] bool isInterim() const
    {
        return m_status < FirstFinalStatus;
    }

private:
    void on_request_impl(http::verb /*method*/, Text /*name*/, Text /*target*/, int /*version*/,
                         ErrorCode & /*error*/) override
    {
    }

    void on_response_impl(int status, Text reason, int /*version*/, ErrorCode &error) override
    {
        m_status = static_cast<unsigned>(status);
        const bool isKnown = m_status >= FirstStatus && (isInterim() || isFinalStatus(m_status));
        if (!isKnown) {
            error = http::error::bad_status;
        } else if (containsStatusLine(toView(reason))) {
            error = http::error::bad_reason;
        }
    }

    void on_field_impl(http::field /*field*/, Text name, Text value, ErrorCode &error) override
    {
        if (containsStatusLine(toView(value))) {
            error = http::error::bad_value;
            return;
        }
        // Trailers, which follow the body, are dropped.
        if (!is_header_done()) {
            m_headers.push_back({std::string(toView(name)), std::string(toView(value))});
        }
    }

    void on_header_impl(ErrorCode &error) override
    {
        if (isInterim()) {
            return;
        }
        // The header is not passed on, so the body would be taken for decoded.
        if (hasOtherTransferEncoding(m_headers)) {
            error = http::error::bad_transfer_encoding;
            return;
        }
        const auto length = content_length();
        m_handlers.onHead(m_status, m_headers, length && !chunked() ? std::optional(*length) : std::nullopt);
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/, ErrorCode & /*error*/) override
    {
    }

    std::size_t on_body_impl(Text body, ErrorCode & /*error*/) override
    {
        m_handlers.onBody(toView(body));
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, Text /*extensions*/, ErrorCode & /*error*/) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, Text body, ErrorCode & /*error*/) override
    {
        m_handlers.onBody(toView(body));
        return body.size();
    }

    void on_finish_impl(ErrorCode & /*error*/) override
    {
    }

    const Handlers &m_handlers;
    HttpHeaders m_headers;
    unsigned m_status = 0;
};

ResponseParser::ResponseParser(Handlers handlers, ResponseParserLimits limits)
    : m_handlers(std::move(handlers))
    , m_limits(limits)
{
    begin(true);
}

ResponseParser::~ResponseParser() = default;

void ResponseParser::begin(bool hasBody)
{
    m_hasBody = hasBody;
    m_interimResponses = 0;
    m_parser = std::make_unique<Parser>(m_handlers, m_limits.maxHeadBytes, hasBody);
}

std::size_t ResponseParser::parse(std::string_view bytes)
{
    std::size_t parsed = 0;
    while (parsed < bytes.size() && !isComplete()) {
        ErrorCode error;
        const std::string_view rest = bytes.substr(parsed);
        const std::size_t size = m_parser->put(boost::asio::const_buffer(rest.data(), rest.size()), error);
        parsed += size;
        if (error && error != http::error::need_more) {
            throwError(error);
        }
        if (m_parser->is_done() && m_parser->isInterim()) {
            if (++m_interimResponses > m_limits.maxInterimResponses) {
                throw ResultError(ResultCode::AnswerTooLarge, "too many interim responses");
            }
            m_parser = std::make_unique<Parser>(m_handlers, m_limits.maxHeadBytes, m_hasBody);
            continue;
        }
        if (error || size == 0) {
            break;
        }
    }
    if (bytes.size() - parsed > m_limits.maxHeadBytes && !isComplete()) {
        throw ResultError(ResultCode::AnswerTooLarge, "head, trailers or chunk header without end");
    }
    return parsed;
}

void ResponseParser::parseEnd()
{
    ErrorCode error;
    if (m_parser->got_some()) {
        m_parser->put_eof(error);
    }
    if (error) {
        throwError(error);
    }
    if (!isComplete()) {
        throw ResultError(ResultCode::HttpTransferFailed, "the connection ended before the response did");
    }
}

bool ResponseParser::isComplete() const
{
    return m_parser->is_done() && !m_parser->isInterim();
}

bool ResponseParser::keepsConnection() const
{
    return m_parser->keep_alive() && !m_parser->need_eof();
}

} // namespace jasminemast
