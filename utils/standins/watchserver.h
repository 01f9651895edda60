// Serves reads and watches of a WatchedStore over HTTP, with the admin pages for statistics and faults.
#pragma once

#include "httpserver.h"
#include "watchedstore.h"

#include <deque>
#include <list>

namespace jasminemast::standin
{

/// Load that readers have caused so far.
struct ReadStatistics
{
    std::uint64_t calls = 0; ///< reads and watches; a waiting watch counts once
    std::uint64_t bytes = 0; ///< value bytes sent
    std::uint64_t peakPerSecond = 0; ///< maximum number of calls within one second
    std::map<std::string, std::uint64_t> callsByKey;
};

/// Responds to reads of one store; the owner maps paths to keys.
class WatchServer
{
public:
    /// Creates the response body from a stored value, for services whose response depends on the client.
    using Render = std::function<std::string(const std::string &value)>;

    explicit WatchServer(EventLoop &loop)
        : m_loop(loop)
    {
    }

    WatchedStore &store()
    {
        return m_store;
    }

    /// Responds to one GET of \p key, or keeps it pending.
    void read(const HttpExchangePtr &exchange, const std::string &key, const Render &render);
    /// Processes the pending watches of \p key again. Call after each write of it.
    void keyChanged(const std::string &key);
    /// Handles `/admin/stats` and `/admin/fault`; false for any other path.
    bool handleAdmin(const HttpExchangePtr &exchange);

private:
    struct PendingRead
    {
        HttpExchangePtr exchange;
        ReadRequest request;
        Render render;
        bool abandoned = false; ///< never gets a response
    };
    using PendingReadPtr = std::shared_ptr<PendingRead>;

    void countRead(const std::string &key);
    void process(const PendingReadPtr &pending);
    void processMatching(const std::function<bool(const PendingRead &)> &matches);
    void respondWith(const PendingReadPtr &pending, const Version &version);
    void setFault(const HttpExchangePtr &exchange);
    [[nodiscard]] HttpResponse statistics();

    EventLoop &m_loop;
    WatchedStore m_store;
    ReadStatistics m_statistics;
    std::deque<TimePoint> m_recentReads; ///< times of the reads and watches within the last second
    std::list<PendingReadPtr> m_pending;
};

} // namespace jasminemast::standin
