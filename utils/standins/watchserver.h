// Serves reads and watches of a WatchedStore over HTTP, with the admin pages for statistics and faults.
#pragma once

#include "httpserver.h"
#include "watchedstore.h"

#include <deque>
#include <list>

namespace jasminemast::standin
{

/// What readers have cost so far.
struct ReadStatistics
{
    std::uint64_t calls = 0; ///< reads and watches; a waiting watch counts once
    std::uint64_t bytes = 0; ///< value bytes sent
    std::uint64_t peakPerSecond = 0; ///< most calls in one whole second
    std::map<std::string, std::uint64_t> callsByKey;
};

/// Answers reads of one store; the owner decides which path means which key.
class WatchServer
{
public:
    /// Makes the body of an answer from a stored value, for services whose clients see different forms of it.
    using Render = std::function<std::string(const std::string &value)>;

    explicit WatchServer(EventLoop &loop)
        : m_loop(loop)
    {
    }

    WatchedStore &store()
    {
        return m_store;
    }

    /// Answers, or holds, one GET of \p key.
    void read(const HttpExchangePtr &exchange, const std::string &key, const Render &render);
    /// Looks at every held watch again, after a write of \p key.
    void keyChanged(const std::string &key);
    /// Handles `/admin/stats` and `/admin/fault`; false for any other path.
    bool handleAdmin(const HttpExchangePtr &exchange);

private:
    struct Held
    {
        HttpExchangePtr exchange;
        ReadRequest request;
        Render render;
        bool lost = false; ///< never to be answered
    };
    using HeldPtr = std::shared_ptr<Held>;

    void count(const std::string &key);
    void decide(const HeldPtr &held);
    void decideAll(const std::function<bool(const Held &)> &matches);
    void answer(const HeldPtr &held, const Version &version);
    void setFault(const HttpExchangePtr &exchange);
    [[nodiscard]] HttpResponse statistics();

    EventLoop &m_loop;
    WatchedStore m_store;
    ReadStatistics m_statistics;
    std::deque<TimePoint> m_lastSecond; ///< times of the calls of the last second
    std::list<HeldPtr> m_held;
};

} // namespace jasminemast::standin
