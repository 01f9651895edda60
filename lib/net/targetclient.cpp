// Transfers of TargetClient and its pool of connections.
#include "jasminemast/net/targetclient.h"

#include "targetconnection.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace jasminemast
{

namespace
{

constexpr Milliseconds IdleCheckInterval {500};

} // namespace

const std::string *requestId(const TargetClientRequest &request)
{
    return request.requestIdHeader.empty() ? nullptr : findHeader(request.headers, request.requestIdHeader);
}

TargetTransfer::TargetTransfer(TargetClient &client, TargetClientRequest request, Handlers handlers)
    : m_client(client)
    , m_request(std::move(request))
    , m_handlers(std::make_shared<const Handlers>(std::move(handlers)))
    , m_deadline(client.m_loop, [this] {
        const auto self = shared_from_this();
        finish({ResultCode::DeadlineExceeded, "no complete response in time", m_requestSent});
    })
{
}

TargetTransfer::~TargetTransfer() = default;

void TargetTransfer::cancel()
{
    m_handlers = std::make_shared<const Handlers>();
    finish({ResultCode::CallWithdrawn, "", m_requestSent});
}

void TargetTransfer::finish(const HttpClientResult &result)
{
    if (std::exchange(m_ended, true)) {
        return;
    }
    const auto self = shared_from_this();
    m_deadline.stop();
    m_client.m_active.erase(self);
    if (const auto connection = std::exchange(m_connection, nullptr)) {
        connection->release(result.code == ResultCode::Ok);
    }
    const auto handlers = std::exchange(m_handlers, std::make_shared<const Handlers>());
    if (handlers->onDone) {
        handlers->onDone(result);
    }
}

void TargetTransfer::pause()
{
    m_paused = true;
}

void TargetTransfer::unpause()
{
    if (std::exchange(m_paused, false) && m_connection) {
        m_connection->resume();
    }
}

void TargetTransfer::writeBody(std::string_view bytes)
{
    if (m_ended || bytes.empty()) {
        return;
    }
    if (m_request.uploadLength) {
        m_request.body += bytes;
    } else {
        std::ostringstream size;
        size << std::hex << bytes.size();
        m_request.body += size.str() + "\r\n";
        m_request.body += bytes;
        m_request.body += "\r\n";
    }
    writeMore();
}

void TargetTransfer::endBody()
{
    if (m_ended || std::exchange(m_isBodyEnded, true)) {
        return;
    }
    if (!m_request.uploadLength) {
        m_request.body += "0\r\n\r\n";
    }
    writeMore();
}

void TargetTransfer::writeMore()
{
    // A malformed request gets no connection.
    if (m_connection) {
        m_connection->writeMore();
    }
}

TargetClient::TargetClient(Loop &loop, const Clock &clock, TargetClientLimits limits)
    : m_loop(loop)
    , m_clock(clock)
    , m_limits(limits)
    , m_idleTimer(loop, [this] { closeOldConnections(); })
{
    m_idleTimer.startRepeating(IdleCheckInterval);
}

TargetClient::~TargetClient()
{
    const auto active = m_active;
    for (const auto &transfer : active) {
        transfer->cancel();
    }
}

std::shared_ptr<TargetTransfer> TargetClient::start(TargetClientRequest request, TargetTransfer::Handlers handlers)
{
    const bool isWellFormed = isWellFormedRequest(request.method, request.target, request.headers);
    std::shared_ptr<TargetTransfer> transfer(new TargetTransfer(*this, std::move(request), std::move(handlers)));
    m_active.insert(transfer);
    if (!isWellFormed) {
        m_loop.post([transfer] {
            transfer->finish({ResultCode::BadRequest, "method, target or header holds a forbidden character", false});
        });
        return transfer;
    }
    transfer->m_deadline.start(transfer->m_request.timeout);
    // What was written of an upload can't be sent again if a kept connection turns out to be closed.
    run(transfer, transfer->m_request.isUpload);
    return transfer;
}

void TargetClient::run(const std::shared_ptr<TargetTransfer> &transfer, bool onNewConnection)
{
    auto connection = onNewConnection ? nullptr : takeIdle(transfer->m_request);
    if (connection == nullptr) {
        connection = std::make_shared<TargetConnection>(*this, transfer->m_request.address);
    }
    transfer->m_connection = connection;
    connection->run(transfer);
}

std::shared_ptr<TargetConnection> TargetClient::takeIdle(const TargetClientRequest &request)
{
    // On a kept connection, a late copy of an earlier response could not be told from the response.
    const std::string *id = requestId(request);
    if (!request.requestIdHeader.empty() && id == nullptr) {
        return nullptr;
    }
    const Milliseconds maxIdleTime = request.atMostOnce ? m_limits.maxIdleTimeAtMostOnce : m_limits.maxIdleTime;
    const TimePoint now = m_clock.now();
    for (auto position = m_idle.rbegin(); position != m_idle.rend(); ++position) {
        auto connection = *position;
        if (connection->address() != request.address || !connection->canBeUsed(now, maxIdleTime)
            || (id != nullptr && connection->mayHaveCarried(*id))) {
            continue;
        }
        m_idle.erase(std::next(position).base());
        return connection;
    }
    return nullptr;
}

void TargetClient::recycle(const std::shared_ptr<TargetConnection> &connection)
{
    m_idle.push_back(connection);
    if (m_idle.size() > m_limits.maxIdleConnections) {
        m_idle.pop_front();
    }
}

void TargetClient::closeOldConnections()
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_idle,
                  [this, now](const auto &connection) { return !connection->canBeUsed(now, m_limits.maxIdleTime); });
}

} // namespace jasminemast
