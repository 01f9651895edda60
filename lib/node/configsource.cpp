// Long polls and reads of the key-value service over HTTP.
#include "jasminemast/node/configsource.h"

#include "jasminemast/node/platformindex.h"

namespace jasminemast
{

namespace
{

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr Milliseconds ReadTimeout {1'000};
constexpr Milliseconds ConnectTimeout {500};

HttpClientRequest readRequest(std::string url, Milliseconds timeout)
{
    HttpClientRequest request;
    request.url = std::move(url);
    request.timeout = timeout;
    request.connectTimeout = ConnectTimeout;
    request.maxBodyBytes = TicketLimits::MaxBytes;
    return request;
}

std::string waitSeconds(Milliseconds wait)
{
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(wait).count());
}

} // namespace

HttpConfigSource::HttpConfigSource(HttpClient &http, std::string url)
    : m_http(http)
    , m_url(std::move(url) + "/v1/kv/")
{
}

HttpConfigSource::~HttpConfigSource()
{
    if (m_watch) {
        m_watch->cancel();
    }
}

void HttpConfigSource::watchHead(Milliseconds wait, HeadHandler handler)
{
    if (m_watch) {
        m_watch->cancel();
    }
    const std::string since = wait == Milliseconds(0) ? "0" : m_index;
    auto request = readRequest(m_url + "accepted?index=" + since + "&wait=" + waitSeconds(wait), wait + ReadTimeout);
    m_watch = m_http.fetch(std::move(request),
                           [this, handler = std::move(handler)](const HttpClientResult &result, unsigned status,
                                                                const HttpHeaders &headers, const std::string &body) {
                               m_watch = nullptr;
                               if (result.code != ResultCode::Ok || (status != StatusOk && status != StatusNotFound)) {
                                   handler(ResultCode::SourceUnreachable, std::nullopt);
                                   return;
                               }
                               const auto index = platformIndex(headers);
                               if (!index) {
                                   handler(ResultCode::SourceAnswerMalformed, std::nullopt);
                                   return;
                               }
                               m_index = *index;
                               if (status == StatusNotFound) {
                                   handler(ResultCode::Ok, std::nullopt);
                                   return;
                               }
                               std::optional<Head> head;
                               try {
                                   head = parseHead(body);
                               } catch (const ResultError &error) {
                                   handler(error.code(), std::nullopt);
                                   return;
                               }
                               handler(ResultCode::Ok, head);
                           });
}

void HttpConfigSource::fetchTicket(TicketNumber number, TicketHandler handler)
{
    auto request = readRequest(m_url + "tickets/" + std::to_string(number.value()), ReadTimeout);
    m_http.fetch(std::move(request),
                 [handler = std::move(handler)](const HttpClientResult &result, unsigned status, const HttpHeaders &,
                                                std::string body) {
                     const bool isComplete = result.code == ResultCode::Ok && status == StatusOk;
                     handler(isComplete ? ResultCode::Ok : ResultCode::SourceUnreachable, std::move(body));
                 });
}

void HttpConfigSource::fetchCheckpoint(CheckpointHandler handler)
{
    continueCheckpoint(std::make_shared<CheckpointReader>(), handler);
}

void HttpConfigSource::continueCheckpoint(const std::shared_ptr<CheckpointReader> &reader,
                                          const CheckpointHandler &handler)
{
    const auto key = reader->nextKey();
    if (!key) {
        handler(reader->snapshot());
        return;
    }
    m_http.fetch(readRequest(m_url + *key, ReadTimeout),
                 [this, reader, handler](const HttpClientResult &result, unsigned status, const HttpHeaders &,
                                         const std::string &body) {
                     if (result.code != ResultCode::Ok || status != StatusOk) {
                         handler(std::nullopt);
                         return;
                     }
                     try {
                         reader->addValue(body);
                     } catch (const ResultError &) {
                         handler(std::nullopt);
                         return;
                     }
                     continueCheckpoint(reader, handler);
                 });
}

} // namespace jasminemast
