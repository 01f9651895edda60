// The caller's event loop on libcurl's multi interface.
#include "caller.h"

#include "patternbody.h"

#include <chrono>
#include <cmath>
#include <curl/curl.h>
#include <map>
#include <memory>
#include <random>

namespace jasminemast::standin
{

namespace
{

using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t MaxStoredBodyBytes = std::size_t {64} * 1024; ///< bodies above this are only hashed

/// One call in flight.
struct Transfer
{
    CallRecord record;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    std::string requestBody;
    std::string body; ///< the first MaxStoredBodyBytes of the response, rounded up to the last block received
    Checksum checksum;
    std::string checksumHeader;
    std::string callIdHeader;
    unsigned sendCount = 0;

    ~Transfer()
    {
        curl_slist_free_all(headers);
        curl_easy_cleanup(easy);
    }
};

using TransferPtr = std::unique_ptr<Transfer>;

/// Aborts a second transmission: libcurl retries a request by itself when a reused connection turns out to be closed.
int onBeforeSend(void *context, char *, char *, int, int)
{
    auto &transfer = *static_cast<Transfer *>(context);
    ++transfer.sendCount;
    return transfer.sendCount > 1 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

std::size_t onBody(char *data, std::size_t, std::size_t length, void *context)
{
    auto &transfer = *static_cast<Transfer *>(context);
    transfer.record.bytes += length;
    transfer.checksum.add({data, length});
    if (transfer.body.size() < MaxStoredBodyBytes) {
        transfer.body.append(data, length);
    }
    return length;
}

std::string headerValue(CURL *easy, const char *name)
{
    curl_header *header = nullptr;
    if (curl_easy_header(easy, name, 0, CURLH_HEADER, -1, &header) != CURLHE_OK) {
        return {};
    }
    return header->value;
}

/// Verifies the identity and the checksum of a response with status 200.
void verifyResponse(Transfer &transfer)
{
    CallRecord &record = transfer.record;
    record.outcome = CallOutcome::Wrong;
    if (transfer.callIdHeader != record.id) {
        record.detail = "answer to " + transfer.callIdHeader;
        return;
    }
    if (transfer.checksumHeader != transfer.checksum.hex()) {
        record.detail = "checksum differs";
        return;
    }
    const bool isBlob = record.path.find("/blob") != std::string::npos;
    if (!isBlob) {
        const auto json = nlohmann::json::parse(transfer.body, nullptr, false);
        const bool matchesCall = json.is_object() && json.value("callId", "") == record.id;
        const bool requestIntact = matchesCall && json.value("requestChecksum", "") == checksumOf(transfer.requestBody);
        if (!requestIntact) {
            record.detail = matchesCall ? "request arrived damaged" : "body of another call";
            return;
        }
    }
    record.outcome = CallOutcome::Whole;
}

void recordOutcome(Transfer &transfer, CURLcode code)
{
    CallRecord &record = transfer.record;
    curl_off_t microseconds = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_TOTAL_TIME_T, &microseconds);
    curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &record.status);
    record.microseconds = microseconds;
    record.outcomeHeader = headerValue(transfer.easy, "Jasminemast-Outcome");
    record.ticketHeader = headerValue(transfer.easy, "Jasminemast-Ticket");
    record.codeHeader = headerValue(transfer.easy, "Jasminemast-Code");
    transfer.checksumHeader = headerValue(transfer.easy, "X-Checksum");
    transfer.callIdHeader = headerValue(transfer.easy, "X-Call-Id");
    if (code != CURLE_OK) {
        record.outcome = CallOutcome::Broken;
        record.detail = curl_easy_strerror(code);
        return;
    }
    if (record.status == 200) {
        verifyResponse(transfer);
        return;
    }
    record.detail = transfer.body.substr(0, 200);
    if (record.outcomeHeader == "not-run") {
        record.outcome = CallOutcome::NotRun;
        return;
    }
    record.outcome = record.outcomeHeader == "unknown" ? CallOutcome::Unknown : CallOutcome::Failed;
}

/// Starts calls at the configured rate and collects their records.
class Caller
{
public:
    explicit Caller(const CallerSettings &settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_multi(curl_multi_init())
    {
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, static_cast<long>(settings.concurrency) + 1);
    }
    ~Caller()
    {
        curl_multi_cleanup(m_multi);
    }
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    std::vector<CallRecord> run()
    {
        m_startTime = SteadyClock::now();
        while (m_records.size() < m_settings.count) {
            int running = 0;
            curl_multi_perform(m_multi, &running);
            collectFinished();
            // New transfers start before the next wait, so that no free slot stays unused during the wait.
            if (startDueCalls()) {
                continue;
            }
            curl_multi_poll(m_multi, nullptr, 0, pollMilliseconds(), nullptr);
        }
        return std::move(m_records);
    }

private:
    [[nodiscard]] std::uint64_t dueCount() const
    {
        if (m_settings.rate <= 0) {
            return m_settings.count;
        }
        const double elapsed = std::chrono::duration<double>(SteadyClock::now() - m_startTime).count();
        return std::min<std::uint64_t>(m_settings.count, 1 + static_cast<std::uint64_t>(elapsed * m_settings.rate));
    }

    [[nodiscard]] int pollMilliseconds() const
    {
        constexpr int IdleMilliseconds = 100;
        const bool paced = m_settings.rate > 0 && m_startedCount < m_settings.count;
        return paced ? 1 : IdleMilliseconds;
    }

    /// Returns true when it started any call.
    bool startDueCalls()
    {
        const std::uint64_t due = dueCount();
        const std::uint64_t before = m_startedCount;
        while (m_startedCount < due && m_inFlight.size() < m_settings.concurrency) {
            start();
        }
        return m_startedCount > before;
    }

    void start()
    {
        auto transfer = std::make_unique<Transfer>();
        CallRecord &record = transfer->record;
        const bool isPost = std::uniform_real_distribution<double>(0, 1)(m_random) < m_settings.postShare;
        const std::vector<std::string> &paths = isPost ? m_settings.postPaths : m_settings.getPaths;
        record.id = m_settings.idPrefix + "-" + std::to_string(m_startedCount);
        record.method = isPost ? "POST" : "GET";
        record.base = m_settings.baseUrls[m_startedCount % m_settings.baseUrls.size()];
        record.path = paths[m_random() % paths.size()];
        const auto wallClock = std::chrono::system_clock::now().time_since_epoch();
        record.startedMs = std::chrono::duration_cast<std::chrono::milliseconds>(wallClock).count();
        ++m_startedCount;
        prepare(*transfer);
        CURL *easy = transfer->easy;
        m_inFlight.emplace(easy, std::move(transfer));
        curl_multi_add_handle(m_multi, easy);
    }

    void prepare(Transfer &transfer)
    {
        transfer.easy = curl_easy_init();
        CURL *easy = transfer.easy;
        const std::string url = transfer.record.base + transfer.record.path;
        curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
        transfer.headers = curl_slist_append(nullptr, ("X-Call-Id: " + transfer.record.id).c_str());
        transfer.headers = curl_slist_append(transfer.headers, "Expect:");
        if (m_settings.deadlineMs) {
            const std::string deadline = "Jasminemast-Deadline-Ms: " + std::to_string(*m_settings.deadlineMs);
            transfer.headers = curl_slist_append(transfer.headers, deadline.c_str());
        }
        if (transfer.record.method == "POST") {
            transfer.requestBody.resize(m_settings.postBytes);
            fillPattern(m_settings.seed + m_startedCount, 0, transfer.requestBody.data(), transfer.requestBody.size());
            curl_easy_setopt(easy, CURLOPT_POST, 1L);
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer.requestBody.data());
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(transfer.requestBody.size()));
            transfer.headers = curl_slist_append(transfer.headers, "Content-Type: application/octet-stream");
        }
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers);
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(m_settings.timeoutMs));
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, onBeforeSend);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    }

    void collectFinished()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            CURL *easy = message->easy_handle;
            const CURLcode code = message->data.result;
            const auto found = m_inFlight.find(easy);
            recordOutcome(*found->second, code);
            curl_multi_remove_handle(m_multi, easy);
            m_records.push_back(std::move(found->second->record));
            m_inFlight.erase(found);
        }
    }

    const CallerSettings &m_settings;
    std::mt19937_64 m_random;
    CURLM *m_multi;
    SteadyClock::time_point m_startTime;
    std::uint64_t m_startedCount = 0;
    std::map<CURL *, TransferPtr> m_inFlight;
    std::vector<CallRecord> m_records;
};

} // namespace

std::vector<CallRecord> runCalls(const CallerSettings &settings)
{
    return Caller(settings).run();
}

} // namespace jasminemast::standin
