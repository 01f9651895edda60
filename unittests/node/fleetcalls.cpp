// Callers of the nodes, and the check of what they got.
#include "fleet.h"

#include <algorithm>

namespace jasminemast::fleet
{

namespace
{

constexpr std::size_t ConcurrentCalls = 24;
/// How long callers wait beyond the deadline that they name.
constexpr Milliseconds CallerPatience {6'000};
constexpr unsigned StatusOk = 200;

} // namespace

std::string responseFor(const std::string &key, std::size_t paddingBytes)
{
    return key + ":" + std::string(paddingBytes, 'x');
}

void Fleet::call(std::size_t total, const std::function<void(std::size_t)> &onProgress)
{
    m_totalCalls = m_startedCalls + total;
    const std::size_t before = m_records.size();
    m_onProgress = [onProgress, before](std::size_t ended) {
        onProgress(ended - before);
    };
    for (std::size_t i = 0; i < ConcurrentCalls && m_startedCalls < m_totalCalls; ++i) {
        startNextCall();
    }
    while (m_records.size() < m_totalCalls) {
        m_loop.run();
    }
}

void Fleet::startNextCall()
{
    CallPlan plan;
    plan.repeatable = m_startedCalls % 3 == 0;
    send(plan, nextKey(plan), [this] {
        m_loop.post([this] {
            m_onProgress(m_records.size());
            if (m_startedCalls < m_totalCalls) {
                startNextCall();
            } else if (m_records.size() == m_totalCalls) {
                m_loop.stop();
            }
        });
    });
}

std::string Fleet::startCall(const CallPlan &plan)
{
    std::string key = nextKey(plan);
    send(plan, key, [] {});
    return key;
}

void Fleet::keepCalling(const CallPlan &plan, std::size_t concurrent)
{
    m_keepsCalling = true;
    for (std::size_t i = 0; i < concurrent; ++i) {
        callRepeatedly(plan);
    }
}

void Fleet::callRepeatedly(const CallPlan &plan)
{
    send(plan, nextKey(plan), [this, plan] {
        m_loop.post([this, plan] {
            if (m_keepsCalling) {
                callRepeatedly(plan);
            }
        });
    });
}

void Fleet::finishCalls()
{
    m_keepsCalling = false;
    awaitState([this] { return m_records.size() == m_startedCalls; });
}

std::string Fleet::nextKey(const CallPlan &plan)
{
    const std::string name = "call" + std::to_string(m_startedCalls);
    ++m_startedCalls;
    return plan.targetHost ? "h" + std::to_string(*plan.targetHost) + "/" + name : name;
}

void Fleet::send(const CallPlan &plan, const std::string &key, std::function<void()> onEnded)
{
    HttpClientRequest request;
    request.method = plan.repeatable ? "GET" : "POST";
    request.url = "http://" + callerAddress(plan.entryHost).toString() + "/" + key
        + "?padding=" + std::to_string(plan.paddingBytes);
    request.headers = {{"Jasminemast-Deadline-Ms", std::to_string(plan.deadline.count())}};
    request.timeout = plan.deadline + CallerPatience;
    request.atMostOnce = true;
    m_client.fetch(std::move(request),
                   [this, plan, key, onEnded = std::move(onEnded)](const HttpClientResult &result, unsigned status,
                                                                   const HttpHeaders &headers,
                                                                   const std::string &body) {
                       CallRecord ended;
                       ended.key = key;
                       ended.repeatable = plan.repeatable;
                       ended.paddingBytes = plan.paddingBytes;
                       ended.status = result.code == ResultCode::Ok ? status : 0;
                       const std::string *outcome = findHeader(headers, "Jasminemast-Outcome");
                       ended.outcome = outcome == nullptr ? "" : *outcome;
                       ended.body = body;
                       m_records.push_back(std::move(ended));
                       onEnded();
                   });
}

void Fleet::keepConnections(const CallPlan &plan, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        auto caller = std::make_unique<Caller>();
        caller->entryHost = plan.entryHost;
        caller->connection = std::make_unique<KeptConnection>(m_loop, callerAddress(plan.entryHost));
        sendOn(*caller, plan, nextKey(plan));
        awaitState([&caller] { return caller->isRecorded; });
        m_callers.push_back(std::move(caller));
    }
}

std::optional<std::string> Fleet::callOnKeptConnection(const CallPlan &plan)
{
    const auto caller = std::find_if(m_callers.begin(), m_callers.end(), [&plan](const auto &candidate) {
        return candidate->entryHost == plan.entryHost && candidate->connection->isIdle();
    });
    if (caller == m_callers.end()) {
        return std::nullopt;
    }
    std::string key = nextKey(plan);
    sendOn(**caller, plan, key);
    return key;
}

void Fleet::sendOn(Caller &caller, const CallPlan &plan, const std::string &key)
{
    caller.call = CallRecord();
    caller.call.key = key;
    caller.call.repeatable = plan.repeatable;
    caller.call.paddingBytes = plan.paddingBytes;
    caller.isRecorded = false;
    const std::string request = std::string(plan.repeatable ? "GET" : "POST") + " /" + key
        + "?padding=" + std::to_string(plan.paddingBytes) + " HTTP/1.1\r\nHost: " + address(plan.entryHost)
        + "\r\nJasminemast-Deadline-Ms: " + std::to_string(plan.deadline.count())
        + (plan.repeatable ? "" : "\r\nContent-Length: 0") + "\r\n\r\n";
    caller.connection->send(request,
                            [this, &caller](unsigned status, const HttpHeaders &headers, const std::string &body) {
                                caller.call.status = status;
                                const std::string *outcome = findHeader(headers, "Jasminemast-Outcome");
                                caller.call.outcome = outcome == nullptr ? "" : *outcome;
                                caller.call.body = body;
                                caller.isRecorded = true;
                                m_records.push_back(caller.call);
                            });
}

void Fleet::recordCutCalls(std::size_t host)
{
    const auto isOpen = [host](const auto &caller) {
        return caller->entryHost == host && !caller->isRecorded && !caller->connection->isCut();
    };
    awaitState([&] { return std::none_of(m_callers.begin(), m_callers.end(), isOpen); });
    for (const auto &caller : m_callers) {
        if (caller->entryHost == host && !caller->isRecorded) {
            caller->isRecorded = true;
            caller->call.wasRead = !caller->connection->isReset();
            m_records.push_back(caller->call);
        }
    }
}

const CallRecord *Fleet::findRecord(const std::string &key) const
{
    const auto found = std::find_if(m_records.begin(), m_records.end(),
                                    [&key](const CallRecord &record) { return record.key == key; });
    return found == m_records.end() ? nullptr : &*found;
}

std::size_t Fleet::runsOf(const std::string &key) const
{
    const auto found = m_runsByCall.find(key);
    return found == m_runsByCall.end() ? 0 : found->second;
}

std::size_t Fleet::okResponses() const
{
    return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(),
                                                  [](const CallRecord &record) { return record.status == StatusOk; }));
}

std::string Fleet::failures() const
{
    std::string text;
    for (const CallRecord &record : m_records) {
        if (record.status != StatusOk) {
            text += record.key + " " + std::to_string(record.status) + " " + record.outcome + " " + record.body;
        }
    }
    return text;
}

std::vector<std::string> Fleet::violations() const
{
    std::vector<std::string> found;
    for (const CallRecord &record : m_records) {
        const std::size_t runs = runsOf(record.key);
        if (!record.repeatable && runs > 1) {
            found.push_back("ran twice: " + record.key);
        }
        if (record.outcome == "not-run" && runs > 0) {
            found.push_back("reported as not run but ran: " + record.key);
        }
        if (record.status == StatusOk && (runs == 0 || record.body != responseFor(record.key, record.paddingBytes))) {
            found.push_back("wrong or incomplete response: " + record.key);
        }
        if (record.status == 0 && (record.wasRead || runs > 0)) {
            found.push_back("connection lost: " + record.key);
        }
    }
    return found;
}

} // namespace jasminemast::fleet
