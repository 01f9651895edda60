// Sizes of connections and bodies.
#include "connectionmemory.h"

#include "jasminemast/call/requestupload.h"

#include <utility>

namespace jasminemast
{

namespace
{

/// The server reads up to half of a connection's memory before it knows the length of a head.
constexpr ByteCount NewConnectionBytes = kibibytes(48);
/// A body may fill all of that memory.
constexpr ByteCount BodyConnectionBytes = kibibytes(80);
/// libmicrohttpd clears all memory of a connection after each request.
constexpr ByteCount IdleConnectionBytes = kibibytes(72);
/// While a request is in work, nothing is read from its connection: what the caller sends meanwhile stays in the
/// kernel.
constexpr ByteCount UnreadBytes = kibibytes(32);
/// A short head and its response touch few pages.
constexpr ByteCount FirstWorkBytes = kibibytes(16) + UnreadBytes;
constexpr ByteCount WorkBytes = kibibytes(64) + UnreadBytes;
/// The body, and its frames in the send queue of a link.
constexpr std::uint64_t CopiesOfBody = 2;
constexpr std::size_t BodyStepBytes = 4 << 10;
/// The collected start, the window in frames, and what was read and not sent.
constexpr ByteCount UploadBytes
    = ByteCount(UploadLimits::CollectedBytes) + ByteCount(UploadLimits::WindowBytes) + kibibytes(64);

} // namespace

ConnectionMemory::ConnectionMemory(MemoryBudget *budget, std::size_t maxConnections)
    : m_budget(budget)
    , m_maxConnections(maxConnections)
{
}

ConnectionMemory::~ConnectionMemory()
{
    for (const auto &[holder, connection] : m_connections) {
        m_budget->remove(holder);
    }
}

void ConnectionMemory::resolve(const MemoryBudget::Evicted &holders, Connections &evicted) const
{
    for (const MemoryBudget::Holder holder : holders) {
        const auto found = m_connections.find(holder);
        if (found != m_connections.end()) {
            evicted.push_back(found->second);
        }
    }
}

std::optional<MemoryBudget::Holder> ConnectionMemory::addHolder(MHD_Connection *connection, MemoryUse use,
                                                                ByteCount bytes, bool isEvictable, Connections &evicted)
{
    const MemoryBudget::Addition addition = m_budget->add(use, bytes, isEvictable);
    resolve(addition.evicted, evicted);
    if (addition.holder) {
        m_connections.emplace(*addition.holder, connection);
    }
    return addition.holder;
}

void ConnectionMemory::removeHolder(std::optional<MemoryBudget::Holder> holder)
{
    if (holder) {
        m_budget->remove(*holder);
        m_connections.erase(*holder);
    }
}

bool ConnectionMemory::resize(MemoryBudget::Holder holder, ByteCount bytes, Connections &evicted)
{
    const MemoryBudget::Resizing resizing = m_budget->resize(holder, bytes);
    resolve(resizing.evicted, evicted);
    return resizing.isGranted;
}

bool ConnectionMemory::canAdd() const
{
    return !isCounting() || m_budget->canAdd(MemoryUse::Connections, NewConnectionBytes);
}

bool ConnectionMemory::add(MHD_Connection *connection, Connections &evicted)
{
    if (!isCounting()) {
        return true;
    }
    const auto holder = addHolder(connection, MemoryUse::Connections, NewConnectionBytes, true, evicted);
    if (holder) {
        m_states.emplace(connection, State {*holder, std::nullopt, 0, false});
    }
    if (m_states.size() > m_maxConnections) {
        if (const auto other = m_budget->evictOne(MemoryUse::Connections)) {
            resolve({*other}, evicted);
        }
    }
    return holder.has_value();
}

void ConnectionMemory::remove(MHD_Connection *connection)
{
    const auto found = m_states.find(connection);
    if (found == m_states.end()) {
        return;
    }
    removeHolder(found->second.connection);
    removeHolder(found->second.body);
    m_states.erase(found);
}

void ConnectionMemory::recordActivity(MHD_Connection *connection)
{
    const auto found = m_states.find(connection);
    if (found != m_states.end()) {
        m_budget->recordActivity(found->second.connection);
    }
}

bool ConnectionMemory::setBodySize(MHD_Connection *connection, std::size_t bytes, Connections &evicted)
{
    const auto found = m_states.find(connection);
    if (found == m_states.end()) {
        return !isCounting();
    }
    State &state = found->second;
    const std::size_t counted = (bytes + BodyStepBytes - 1) / BodyStepBytes * BodyStepBytes;
    if (state.body && counted == state.countedBodyBytes) {
        m_budget->recordActivity(*state.body);
        return true;
    }
    state.countedBodyBytes = counted;
    const ByteCount size = ByteCount(counted) * CopiesOfBody;
    if (state.body) {
        return resize(*state.body, size, evicted);
    }
    state.body = addHolder(connection, MemoryUse::Requests, size, true, evicted);
    return state.body && resize(state.connection, BodyConnectionBytes, evicted);
}

bool ConnectionMemory::beginUpload(MHD_Connection *connection, Connections &evicted)
{
    const auto found = m_states.find(connection);
    if (found == m_states.end()) {
        return !isCounting();
    }
    State &state = found->second;
    const auto holder = addHolder(connection, MemoryUse::Uploads, UploadBytes, false, evicted);
    if (!holder) {
        return false;
    }
    removeHolder(state.body);
    state.body = holder;
    return true;
}

void ConnectionMemory::beginWork(MHD_Connection *connection, Connections &evicted)
{
    const auto found = m_states.find(connection);
    if (found == m_states.end()) {
        return;
    }
    const State &state = found->second;
    m_budget->setEvictable(state.connection, false);
    if (state.body) {
        m_budget->setEvictable(*state.body, false);
    }
    const bool isShortFirst = !state.body && !state.hasCarriedRequest;
    // If there is nobody to evict, the request goes on nevertheless: the share has room for it after the next response.
    resize(state.connection, isShortFirst ? FirstWorkBytes : WorkBytes, evicted);
}

bool ConnectionMemory::endWork(MHD_Connection *connection, Connections &evicted)
{
    const auto found = m_states.find(connection);
    if (found == m_states.end()) {
        return !isCounting();
    }
    State &state = found->second;
    removeHolder(std::exchange(state.body, std::nullopt));
    state.countedBodyBytes = 0;
    state.hasCarriedRequest = true;
    m_budget->setEvictable(state.connection, true);
    return resize(state.connection, IdleConnectionBytes, evicted);
}

} // namespace jasminemast
