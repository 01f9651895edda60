// HTTP/1.1 client for the targets of a host.
//
// A target may send a second copy of an earlier response where the response to the next request is expected. HttpClient
// cannot read past it, and closing the connection would end a request that the target is working on. This client
// identifies responses by their request id, skips those of other requests and reads on.
#pragma once

#include "jasminemast/net/httpclient.h"
#include "jasminemast/net/loop.h"
#include "jasminemast/net/socketaddress.h"
#include "jasminemast/support/clock.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace jasminemast
{

class TargetClient;
class TargetConnection;

/// A request to a target.
struct TargetClientRequest
{
    SocketAddress address;
    std::string method = "GET";
    std::string target; ///< path and query
    HttpHeaders headers;
    std::string body;
    /// The body follows in writeBody() and endBody(). The request is sent on a new connection, never again.
    bool isUpload = false;
    std::optional<std::uint64_t> uploadLength; ///< unset: the body is sent in chunks
    Milliseconds timeout {10'000};
    Milliseconds connectTimeout {1'000};
    bool atMostOnce = false; ///< never send the request again after the target may have received it
    /// Header that names the request. A response with another value under it is skipped, and on a connection that has
    /// carried another request also one without it. Empty: none is skipped.
    std::string requestIdHeader;
};

/// The id of \p request; null if it has none.
const std::string *requestId(const TargetClientRequest &request);

struct TargetClientLimits
{
    std::size_t maxIdleConnections = 100;
    /// Shorter than the idle timeout of targets, so that no request is sent on a connection that is being closed.
    Milliseconds maxIdleTime {4'000};
    /// The same for requests that must not be repeated: some targets drop idle connections sooner.
    Milliseconds maxIdleTimeAtMostOnce {1'000};
    Milliseconds keepAliveMargin {500}; ///< a connection is used until so long before the timeout that the target named
    /// A connection that is reset so soon after a request was sent was closed before the request arrived.
    Milliseconds staleResetTime {10};
    std::size_t maxRequestsPerConnection = 1'000; ///< of those with an id: all ids are remembered
    unsigned maxForeignResponses = 8; ///< skipped while one response is awaited
    std::size_t maxForeignBytes = 1U << 20U; ///< size of their bodies
};

/// A request in progress; TargetClient owns it until it ends. Canceling it closes its connection.
class TargetTransfer : public std::enable_shared_from_this<TargetTransfer>
{
public:
    struct Handlers
    {
        std::function<void(unsigned status, const HttpHeaders &, std::optional<std::uint64_t> length)> onHead;
        std::function<void(std::string_view)> onData;
        std::function<void()> onForeignResponse; ///< a response to another request was skipped; may be empty
        std::function<void()> onBodyWritten; ///< all of the last writeBody() was written; may be empty
        std::function<void(const HttpClientResult &)> onDone; ///< last call; not made after cancel()
    };

    ~TargetTransfer();

    void cancel();
    /// Pause and continue reading the response.
    void pause();
    void unpause();
    /// Sends the next bytes of an upload's body.
    void writeBody(std::string_view bytes);
    /// The body of an upload is complete.
    void endBody();
    /// True if the request was sent again after a connection that may have carried it had ended: the response tells
    /// only what became of it the second time.
    [[nodiscard]] bool mayHaveArrivedBefore() const
    {
        return m_mayHaveArrivedBefore;
    }

private:
    friend class TargetClient;
    friend class TargetConnection;

    TargetTransfer(TargetClient &client, TargetClientRequest request, Handlers handlers);
    void finish(const HttpClientResult &result);
    void writeMore();

    TargetClient &m_client;
    TargetClientRequest m_request;
    std::shared_ptr<const Handlers>
        m_handlers; ///< never null; empty after the end, so that a running handler stays valid
    std::shared_ptr<TargetConnection> m_connection; ///< null before the start and after the end
    Timer m_deadline;
    bool m_requestSent = false;
    bool m_wasResent = false;
    bool m_mayHaveArrivedBefore = false;
    bool m_paused = false;
    bool m_isBodyEnded = false; ///< of an upload
    bool m_ended = false;
};

/// Keeps connections to targets and sends requests over them, one at a time on each.
class TargetClient
{
public:
    TargetClient(Loop &loop, const Clock &clock, TargetClientLimits limits = {});
    ~TargetClient();
    TargetClient(const TargetClient &) = delete;
    TargetClient &operator=(const TargetClient &) = delete;

    /// Starts a transfer; its handlers are called from the loop.
    std::shared_ptr<TargetTransfer> start(TargetClientRequest request, TargetTransfer::Handlers handlers);

    [[nodiscard]] std::size_t idleConnections() const
    {
        return m_idle.size();
    }

private:
    friend class TargetTransfer;
    friend class TargetConnection;

    void run(const std::shared_ptr<TargetTransfer> &transfer, bool onNewConnection);
    std::shared_ptr<TargetConnection> takeIdle(const TargetClientRequest &request);
    void recycle(const std::shared_ptr<TargetConnection> &connection);
    void closeOldConnections();

    Loop &m_loop;
    const Clock &m_clock;
    TargetClientLimits m_limits;
    std::list<std::shared_ptr<TargetConnection>> m_idle; ///< the longest idle first
    std::set<std::shared_ptr<TargetTransfer>> m_active; ///< transfers that have not ended
    Timer m_idleTimer;
};

} // namespace jasminemast
