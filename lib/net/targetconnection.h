// One connection of TargetClient.
#pragma once

#include "jasminemast/net/responseparser.h"
#include "jasminemast/net/targetclient.h"

#include <memory>
#include <string>
#include <vector>

namespace jasminemast
{

/// Sends one request at a time and reads its response.
class TargetConnection : public std::enable_shared_from_this<TargetConnection>
{
public:
    TargetConnection(TargetClient &client, SocketAddress address);

    /// Sends the request of \p transfer; connects first if needed. Reports a failure later.
    void run(const std::shared_ptr<TargetTransfer> &transfer);
    /// The transfer has ended. Without a complete response the connection is closed.
    void release(bool isComplete);
    /// Continues reading after a pause.
    void resume();
    /// Sends what was added to the body of the transfer.
    void writeMore();

    [[nodiscard]] const SocketAddress &address() const
    {
        return m_address;
    }
    /// True if an idle connection is still open and not too old for another request.
    [[nodiscard]] bool canBeUsed(TimePoint now, Milliseconds maxIdleTime) const;
    /// False if no request with \p id was sent on this connection, so that no copy of its response can arrive.
    [[nodiscard]] bool mayHaveCarried(const std::string &id) const;

private:
    void connect();
    void onIo(int events);
    void finishConnect();
    void flush();
    void readAvailable();
    void processInput();
    void handleHead(unsigned status, const HttpHeaders &headers, std::optional<std::uint64_t> length);
    /// True if the response with \p headers may belong to another request than the current one.
    [[nodiscard]] bool isForeign(const HttpHeaders &headers) const;
    void handleBody(std::string_view bytes);
    void finishResponse();
    void fail(ResultCode code, std::string detail);
    /// True if the target closed the connection before the request arrived.
    [[nodiscard]] bool wasStale() const;
    void watch();
    void close();
    /// Bytes of the request that are there and not yet written.
    [[nodiscard]] std::size_t unwrittenBytes() const;

    TargetClient &m_client;
    SocketAddress m_address;
    Descriptor m_socket;
    IoWatcher m_watcher;
    Timer m_connectTimer;
    ResponseParser m_parser;
    std::shared_ptr<TargetTransfer> m_transfer; ///< null while the connection is idle
    std::string m_head; ///< of the request
    std::size_t m_headWritten = 0; ///< bytes that the kernel has accepted
    std::size_t m_bodyWritten = 0; ///< of the transfer's body; an upload's is cleared once it is written
    std::string m_sendError; ///< why the rest of the request can't be sent; empty if it can
    std::string m_input; ///< received bytes that have not been parsed
    std::vector<std::size_t> m_carriedIds; ///< hashes of the ids of all requests sent on this connection
    bool m_connecting = false;
    bool m_wasUsed = false; ///< has carried a complete exchange
    bool m_receivedSome = false; ///< of the response
    bool m_isForeign = false; ///< the current response belongs to another request
    unsigned m_foreignResponses = 0;
    std::size_t m_foreignBytes = 0;
    TimePoint m_sentAt;
    TimePoint m_idleSince;
    Milliseconds m_keepAlive; ///< how long the target keeps the idle connection
};

} // namespace jasminemast
