// Long polls with the platform's index.
#include "jasminemast/node/sourcewatcher.h"

#include "jasminemast/node/platformindex.h"

namespace jasminemast
{

namespace
{

using std::chrono_literals::operator""ms;

/// The platform sends the complete value after the wait even if it has not changed: long waits save network traffic.
constexpr int WaitSeconds = 120;
constexpr Milliseconds PollTimeout {125'000};
constexpr Milliseconds RetryDelay {500};
/// Delay between polls, so that a burst of changes, as when a zone restarts, is read in few responses.
constexpr Milliseconds PollDelay {2'000};
constexpr std::size_t MaxValueBytes = 1 << 20;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;

} // namespace

SourceWatcher::SourceWatcher(Loop &loop, HttpClient &http, std::string url, Handlers handlers)
    : m_http(http)
    , m_url(std::move(url))
    , m_handlers(std::move(handlers))
    , m_pollTimer(loop, [this] { poll(); })
{
}

void SourceWatcher::start()
{
    m_pollTimer.start(0ms);
}

void SourceWatcher::stop()
{
    m_pollTimer.stop();
    if (m_transfer) {
        m_transfer->cancel();
        m_transfer = nullptr;
    }
}

void SourceWatcher::poll()
{
    HttpClientRequest request;
    request.url = m_url + "?index=" + m_index + "&wait=" + std::to_string(WaitSeconds);
    request.timeout = PollTimeout;
    request.maxBodyBytes = MaxValueBytes;
    m_transfer = m_http.fetch(std::move(request),
                              [this](const HttpClientResult &result, unsigned status, const HttpHeaders &headers,
                                     const std::string &body) { onResponse(result, status, headers, body); });
}

void SourceWatcher::onResponse(const HttpClientResult &result, unsigned status, const HttpHeaders &headers,
                               std::string_view body)
{
    m_transfer = nullptr;
    const bool hasExpectedStatus = result.code == ResultCode::Ok && (status == StatusOk || status == StatusNotFound);
    const auto index = platformIndex(headers);
    if (!hasExpectedStatus || !index) {
        m_handlers.onFailure(hasExpectedStatus ? ResultCode::SourceAnswerMalformed : ResultCode::SourceUnreachable,
                             result.detail);
        m_pollTimer.start(RetryDelay);
        return;
    }
    const bool changed = *index != m_index;
    m_index = *index;
    if (status == StatusOk && changed) {
        m_handlers.onValue(body);
    }
    m_pollTimer.start(PollDelay);
}

} // namespace jasminemast
