// Header classification and request accessors.
#include "jasminemast/net/httpmessage.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace jasminemast
{

namespace
{

constexpr std::array<std::string_view, 12> HopByHopNames = {"connection",
                                                            "keep-alive",
                                                            "proxy-authenticate",
                                                            "proxy-authorization",
                                                            "proxy-connection",
                                                            "te",
                                                            "trailer",
                                                            "transfer-encoding",
                                                            "upgrade",
                                                            "content-length",
                                                            "expect",
                                                            "date"};

char lower(char c)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

} // namespace

bool equalHeaderNames(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

bool isToken(std::string_view text)
{
    constexpr std::string_view Punctuation = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [Punctuation](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || Punctuation.find(c) != std::string_view::npos;
    });
}

bool isFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](char c) { return c != '\t' && std::iscntrl(static_cast<unsigned char>(c)) != 0; });
}

const std::string *findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (equalHeaderNames(header.name, name)) {
            return &header.value;
        }
    }
    return nullptr;
}

std::optional<std::uint64_t> requestBodyLength(const HttpHeaders &headers)
{
    const std::string *text = findHeader(headers, "Content-Length");
    std::uint64_t length = 0;
    if (text == nullptr || findHeader(headers, "Transfer-Encoding") != nullptr
        || std::from_chars(text->data(), text->data() + text->size(), length).ec != std::errc()) {
        return std::nullopt;
    }
    return length;
}

bool isWellFormedRequest(std::string_view method, std::string_view target, const HttpHeaders &headers)
{
    const auto isWellFormedHeader = [](const HttpHeader &header) {
        return isToken(header.name) && isFieldValue(header.value);
    };
    return isToken(method) && isFieldValue(target) && std::all_of(headers.begin(), headers.end(), isWellFormedHeader);
}

bool isHopByHop(std::string_view name)
{
    return std::any_of(HopByHopNames.begin(), HopByHopNames.end(),
                       [name](std::string_view hop) { return equalHeaderNames(hop, name); });
}

HttpHeaders endToEndHeaders(const HttpHeaders &headers)
{
    HttpHeaders endToEnd;
    for (const HttpHeader &header : headers) {
        if (isHopByHop(header.name)) {
            continue;
        }
        endToEnd.push_back(header);
    }
    return endToEnd;
}

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string HttpRequest::query(std::string_view key) const
{
    const std::size_t start = target.find('?');
    if (start == std::string::npos) {
        return {};
    }
    std::string_view rest = std::string_view(target).substr(start + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) != key) {
            continue;
        }
        return equals == std::string_view::npos ? std::string() : std::string(pair.substr(equals + 1));
    }
    return {};
}

} // namespace jasminemast
