// Counting of holders, and eviction by inactivity.
#include "jasminemast/call/memorybudget.h"

#include <cassert>

namespace jasminemast
{

MemoryLimits MemoryLimits::forMachine(ByteCount machine)
{
    const ByteCount eighth = machine / 8;
    return {eighth + eighth / 2, eighth, eighth};
}

ByteCount MemoryLimits::of(MemoryUse use) const
{
    switch (use) {
    case MemoryUse::Connections:
        return connections;
    case MemoryUse::Requests:
        return requests;
    case MemoryUse::Uploads:
        break;
    }
    return uploads;
}

MemoryBudget::MemoryBudget(const MemoryLimits &limits)
    : m_limits(limits)
{
}

std::optional<MemoryBudget::Evicted> MemoryBudget::makeRoom(MemoryUse use, ByteCount bytes,
                                                            std::optional<Holder> except)
{
    const ByteCount limit = m_limits.of(use);
    ByteCount evictable = m_evictableBytes.at(index(use));
    if (except) {
        const Entry &entry = m_holders.at(*except);
        evictable -= entry.activity ? entry.bytes : ByteCount();
    }
    if (used(use) - evictable + bytes > limit) {
        return std::nullopt;
    }
    Evicted evicted;
    auto &order = m_evictable.at(index(use));
    for (auto position = order.begin(); used(use) + bytes > limit;) {
        const Holder holder = position->second;
        ++position;
        if (holder == except) {
            continue;
        }
        evicted.push_back(holder);
        remove(holder);
    }
    return evicted;
}

MemoryBudget::Addition MemoryBudget::add(MemoryUse use, ByteCount bytes, bool isEvictable)
{
    auto evicted = makeRoom(use, bytes, std::nullopt);
    if (!evicted) {
        return {};
    }
    const Holder holder(++m_lastHolder);
    Entry &entry = m_holders.emplace(holder, Entry {use, bytes, std::nullopt}).first->second;
    m_used.at(index(use)) += bytes;
    if (isEvictable) {
        startEvictable(holder, entry);
    }
    return {holder, std::move(*evicted)};
}

MemoryBudget::Resizing MemoryBudget::resize(Holder holder, ByteCount bytes)
{
    const auto found = m_holders.find(holder);
    if (found == m_holders.end()) {
        return {};
    }
    recordActivity(holder);
    Entry &entry = found->second;
    Evicted evicted;
    if (bytes > entry.bytes) {
        auto room = makeRoom(entry.use, bytes - entry.bytes, holder);
        if (!room) {
            return {};
        }
        evicted = std::move(*room);
    }
    const bool isEvictable = entry.activity.has_value();
    stopEvictable(entry);
    ByteCount &used = m_used.at(index(entry.use));
    used -= entry.bytes;
    used += bytes;
    entry.bytes = bytes;
    if (isEvictable) {
        startEvictable(holder, entry);
    }
    return {true, std::move(evicted)};
}

std::optional<MemoryBudget::Holder> MemoryBudget::evictOne(MemoryUse use)
{
    const auto &order = m_evictable.at(index(use));
    if (order.empty()) {
        return std::nullopt;
    }
    const Holder holder = order.begin()->second;
    remove(holder);
    return holder;
}

void MemoryBudget::setEvictable(Holder holder, bool isEvictable)
{
    const auto found = m_holders.find(holder);
    if (found == m_holders.end()) {
        return;
    }
    stopEvictable(found->second);
    if (isEvictable) {
        startEvictable(holder, found->second);
    }
}

void MemoryBudget::recordActivity(Holder holder)
{
    const auto found = m_holders.find(holder);
    // Pieces of one request mostly arrive one after the other.
    if (found == m_holders.end() || !found->second.activity || *found->second.activity == m_lastActivity) {
        return;
    }
    stopEvictable(found->second);
    startEvictable(holder, found->second);
}

void MemoryBudget::remove(Holder holder)
{
    const auto found = m_holders.find(holder);
    if (found == m_holders.end()) {
        return;
    }
    Entry &entry = found->second;
    stopEvictable(entry);
    m_used.at(index(entry.use)) -= entry.bytes;
    m_holders.erase(found);
}

void MemoryBudget::stopEvictable(Entry &entry)
{
    if (!entry.activity) {
        return;
    }
    m_evictable.at(index(entry.use)).erase(*entry.activity);
    m_evictableBytes.at(index(entry.use)) -= entry.bytes;
    entry.activity.reset();
}

void MemoryBudget::startEvictable(Holder holder, Entry &entry)
{
    assert(!entry.activity && "the holder is evictable already");
    entry.activity = ++m_lastActivity;
    m_evictable.at(index(entry.use)).emplace(*entry.activity, holder);
    m_evictableBytes.at(index(entry.use)) += entry.bytes;
}

} // namespace jasminemast
