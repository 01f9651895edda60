// Appends, merges and finds entries of the logbook.
#include "jasminemast/config/logbook.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

/// Truncates at a character boundary, so that the detail stays valid UTF-8.
std::string truncateDetail(const std::string &detail)
{
    if (detail.size() <= Logbook::MaxDetailBytes) {
        return detail;
    }
    std::size_t end = Logbook::MaxDetailBytes;
    while (end > 0 && (static_cast<unsigned char>(detail[end]) & 0xC0U) == 0x80U) {
        --end;
    }
    return detail.substr(0, end);
}

LogEntry makeHistoryEntry(const LogEntry &entry)
{
    LogEntry result = entry;
    result.detail = truncateDetail(entry.detail);
    result.stateDigest = {};
    result.inForceAt = {};
    result.origin = LogEntry::Origin::History;
    return result;
}

} // namespace

Logbook::Logbook(std::size_t maxEntries)
    : m_maxEntries(maxEntries)
{
}

void Logbook::append(LogEntry entry)
{
    if (!m_entries.empty() && entry.head.number <= m_entries.back().head.number) {
        return;
    }
    entry.detail = truncateDetail(entry.detail);
    m_entries.push_back(std::move(entry));
    if (m_entries.size() > m_maxEntries) {
        m_entries.pop_front();
    }
}

void Logbook::mergeHistory(const std::vector<LogEntry> &history)
{
    for (const LogEntry &entry : history) {
        append(makeHistoryEntry(entry));
    }
    for (auto entry = history.rbegin(); entry != history.rend() && m_entries.size() < m_maxEntries; ++entry) {
        if (entry->head.number < m_entries.front().head.number) {
            m_entries.push_front(makeHistoryEntry(*entry));
        }
    }
}

const LogEntry *Logbook::find(TicketNumber number) const
{
    const auto found
        = std::lower_bound(m_entries.begin(), m_entries.end(), number,
                           [](const LogEntry &entry, TicketNumber wanted) { return entry.head.number < wanted; });
    if (found == m_entries.end() || found->head.number != number) {
        return nullptr;
    }
    return &*found;
}

std::vector<LogEntry> Logbook::tail(std::size_t maxCount) const
{
    const std::size_t count = std::min(maxCount, m_entries.size());
    return {m_entries.end() - static_cast<std::ptrdiff_t>(count), m_entries.end()};
}

} // namespace jasminemast
