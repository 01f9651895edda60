// A proxy between one node and the store.
#pragma once

#include "standins.h"

namespace review
{

/// Passes the calls of one node on to the store, one at a time on each connection.
class StoreProxy
{
public:
    StoreProxy(const Address &address, Address store)
        : m_store(std::move(store))
        , m_listener(address, [this](Connection &connection) { serve(connection); })
    {
    }
    /// Resets all connections, and refuses new ones, until it ends.
    void setCut(bool isCut)
    {
        m_isCut = isCut;
    }
    /// Answers nothing until it ends; a connection that has lost an answer stays silent for good.
    void setSilent(bool isSilent)
    {
        m_isSilent = isSilent;
    }
    /// Calls of the node so far.
    int calls() const
    {
        return m_calls;
    }
    int watches() const
    {
        return m_watches;
    }

private:
    void serve(Connection &connection)
    {
        std::atomic<bool> ended {false};
        // Closes the connection at once when the cut begins, also while a call waits.
        std::thread guard([&] {
            while (!ended) {
                if (m_isCut) {
                    connection.shutdown();
                    return;
                }
                sleepMs(2);
            }
        });
        const auto upstream = Connection::open(m_store, 10'000);
        bool isLost = false;
        std::string first;
        Headers headers;
        while (upstream && !m_isCut && connection.readHead(first, headers) && !m_isCut) {
            // A connection that is opened during a cut comes to nothing: its first packet is lost.
            const bool isCutOff = m_isSilent;
            ++m_calls;
            m_watches += first.find("/kv-watch") != std::string::npos ? 1 : 0;
            std::string answer;
            std::string body;
            Headers answered;
            if (!upstream->send(first + "\r\n\r\n") || !upstream->readHead(answer, answered)
                || !upstream->readBody(std::stoul("0" + answered.get("content-length")), body) || m_isCut || m_isSilent
                || isCutOff
                || !connection.send(answer + "\r\nContent-Type: application/json\r\nContent-Length: "
                                    + std::to_string(body.size()) + "\r\n\r\n" + body)) {
                isLost = m_isSilent || isCutOff;
                break;
            }
        }
        while (m_isSilent && !connection.isClosed()) {
            sleepMs(5);
        }
        // After its end, a connection that lost an answer waits for the node to give up.
        for (int i = 0; isLost && i < 1'000 && !connection.isClosed(); ++i) {
            sleepMs(5);
        }
        ended = true;
        guard.join();
    }

    Address m_store;
    std::atomic<bool> m_isCut {false};
    std::atomic<bool> m_isSilent {false};
    std::atomic<int> m_calls {0};
    std::atomic<int> m_watches {0};
    Listener m_listener;
};

} // namespace review
