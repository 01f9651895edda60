// Receives attempts from other nodes over links and passes them to the target proxy.
#pragma once

#include "jasminemast/call/memorybudget.h"
#include "jasminemast/call/pausedetector.h"
#include "jasminemast/net/link.h"
#include "jasminemast/node/targetproxy.h"

#include <functional>
#include <map>
#include <memory>

namespace jasminemast
{

/// The server of the call protocol, for all links of a node.
class CallServer
{
public:
    CallServer(TargetProxy &targetProxy, const Clock &clock, const PauseDetector &pauseDetector,
               std::size_t maxRequestBytes, MemoryBudget &memory);

    ~CallServer();
    CallServer(const CallServer &) = delete;
    CallServer &operator=(const CallServer &) = delete;

    /// Calls \p handler with the requesting host and the ticket that it routed by, before an attempt starts.
    void setTicketObserver(std::function<void(const HostId &, TicketNumber)> handler)
    {
        m_ticketObserver = std::move(handler);
    }

    /// Handles Open, OpenUpload, RequestBody, UploadEnd, Credit, Cancel and Fence.
    /// \throws ResultError with FrameMalformed or RequestTooLarge, upon which the link is to be closed.
    void onFrame(const std::shared_ptr<Link> &link, CallFrame type, std::string_view payload);
    /// Cancels the repeatable attempts of \p link. The others go on, so that a fence can still fetch their responses.
    void onLinkDown(const std::shared_ptr<Link> &link);

private:
    struct Stream;
    class LinkSink;
    using Key = std::pair<Link *, std::uint64_t>;

    void onOpen(const std::shared_ptr<Link> &link, std::string_view payload, bool isUpload);
    void onFence(const std::shared_ptr<Link> &link, std::string_view payload);
    void onCredit(const std::shared_ptr<Link> &link, std::string_view payload);
    void onCancel(const std::shared_ptr<Link> &link, std::string_view payload);
    void onRequestBody(const std::shared_ptr<Link> &link, std::string_view payload);
    void onUploadEnd(const std::shared_ptr<Link> &link, std::string_view payload);
    void passOn(const Key &key, Stream &stream, std::string_view bytes);
    void refuse(const std::shared_ptr<Link> &link, std::uint64_t stream, ResultCode code);
    void startIfComplete(const std::shared_ptr<Link> &link, Stream &stream);
    void start(const std::shared_ptr<Link> &link, Stream &stream);
    void erase(const Key &key);

    TargetProxy &m_targetProxy;
    const Clock &m_clock;
    const PauseDetector &m_pauseDetector;
    std::size_t m_maxRequestBytes;
    MemoryBudget &m_memory;
    std::map<Key, std::unique_ptr<Stream>> m_streams;
    std::function<void(const HostId &, TicketNumber)> m_ticketObserver;
};

} // namespace jasminemast
