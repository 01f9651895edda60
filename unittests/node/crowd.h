// Many callers at once that send large, slow or endless requests and may never finish them.
#pragma once

#include "jasminemast/net/loop.h"
#include "jasminemast/net/socketaddress.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace jasminemast::fleet
{

/// What one caller sends: the head, the unit repeated so many times, and the tail. Then it stays connected.
struct CallerScript
{
    std::string head;
    std::shared_ptr<const std::string> unit;
    std::size_t repeats = 0;
    std::string tail;
    std::size_t pieceBytes = 1 << 20; ///< written at most before the other callers get their turn
};

/// A request with a Content-Length of \p announced, of whose body \p sent bytes are sent.
CallerScript lengthScript(const std::string &target, std::size_t announced, std::size_t sent);
/// A request with \p chunks chunks of \p chunkBytes bytes each; \p isEnded: with the last chunk.
CallerScript chunkedScript(const std::string &target, std::size_t chunkBytes, std::size_t chunks, bool isEnded);

/// Runs the scripts on a thread of its own, one connection each. The connections that the server does not close stay
/// open until the crowd is destroyed.
class Crowd
{
public:
    Crowd(const SocketAddress &server, const std::vector<CallerScript> &scripts);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// True once each caller has sent its script or lost its connection, or the server reads from none of them.
    [[nodiscard]] bool isSettled() const
    {
        return m_isSettled;
    }
    /// Connections that the server has not closed.
    [[nodiscard]] std::size_t openConnections() const
    {
        return m_openConnections;
    }
    /// Bytes that the kernel took from all callers.
    [[nodiscard]] std::size_t sentBytes() const
    {
        return m_sentBytes;
    }

private:
    struct Caller
    {
        CallerScript script;
        Descriptor socket;
        std::size_t sent = 0;
    };

    void run();
    void connect(Caller &caller) const;
    /// Sends and reads what the socket takes and has; true if anything was moved.
    bool advance(Caller &caller);
    static std::string_view nextBytes(const Caller &caller);
    static std::size_t totalBytes(const CallerScript &script);

    SocketAddress m_server;
    std::vector<Caller> m_callers; ///< used by the thread until it has ended
    std::atomic<bool> m_isStopping {false};
    std::atomic<bool> m_isSettled {false};
    std::atomic<std::size_t> m_openConnections {0};
    std::atomic<std::size_t> m_sentBytes {0};
    std::thread m_thread;
};

/// Sends \p request, which asks for the connection to be closed, and returns what the server sends; empty if that is
/// nothing.
std::string exchangeOnce(const SocketAddress &server, std::string_view request);

/// Sends one request several times on one connection, the next one after each response, on a thread of its own.
class KeptConnectionCaller
{
public:
    KeptConnectionCaller(const SocketAddress &server, std::string request, int count);
    ~KeptConnectionCaller();
    KeptConnectionCaller(const KeptConnectionCaller &) = delete;
    KeptConnectionCaller &operator=(const KeptConnectionCaller &) = delete;

    /// True once all requests are answered or the connection is lost.
    [[nodiscard]] bool isOver() const
    {
        return m_isOver;
    }
    /// Statuses of the responses; for use once isOver() is true.
    [[nodiscard]] const std::vector<unsigned> &statuses() const
    {
        return m_statuses;
    }

private:
    void run();
    /// Reads one response with a Content-Length; 0 if the connection ends before.
    [[nodiscard]] unsigned readResponse() const;

    SocketAddress m_server;
    std::string m_request;
    int m_count;
    Descriptor m_socket;
    std::vector<unsigned> m_statuses; ///< used by the thread until m_isOver
    std::atomic<bool> m_isOver {false};
    std::thread m_thread;
};

} // namespace jasminemast::fleet
