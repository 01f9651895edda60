// Sends attempts to other nodes over links and receives the responses.
#pragma once

#include "jasminemast/net/link.h"
#include "jasminemast/node/responsesink.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace jasminemast
{

/// The client of the call protocol, for all links of a node.
class CallClient
{
public:
    explicit CallClient(Loop &loop);
    ~CallClient();
    CallClient(const CallClient &) = delete;
    CallClient &operator=(const CallClient &) = delete;

    /// Starts an attempt on the peer of \p link with the complete \p body. The sink is called later, never from within
    /// this function.
    std::unique_ptr<AttemptHandle> open(const std::shared_ptr<Link> &link, OpenMessage open, const std::string &body,
                                        std::shared_ptr<ResponseSink> sink);
    /// The same for an upload of \p length bytes, or of unknown length, of which \p body has arrived. A peer that does
    /// not understand uploads is sent the body no faster than the link takes it, and refuses one of unknown length.
    std::unique_ptr<AttemptHandle> openUpload(const std::shared_ptr<Link> &link, OpenMessage open,
                                              std::string_view body, std::optional<std::uint64_t> length,
                                              std::shared_ptr<ResponseSink> sink);
    /// Queries the outcome of an attempt that was sent over an earlier link; one that has not run is refused from then
    /// on.
    std::unique_ptr<AttemptHandle> fence(const std::shared_ptr<Link> &link, FenceMessage fence,
                                         std::shared_ptr<ResponseSink> sink);

    /// Handles Refused, Head, Data, End, FenceReply and Consumed.
    /// \throws ResultError with FrameMalformed, upon which the link is to be closed.
    void onFrame(const std::shared_ptr<Link> &link, CallFrame type, std::string_view payload);
    /// Reports to the sinks what the links have taken of uploads to peers that do not report it themselves.
    void reportWritten();
    /// Discards the attempts on \p link without calling their sinks.
    void onLinkDown(const std::shared_ptr<Link> &link);

private:
    friend class RemoteHandle;

    struct Stream;
    using Key = std::pair<Link *, std::uint64_t>;

    Key addStream(const std::shared_ptr<Link> &link, std::uint64_t stream, std::shared_ptr<ResponseSink> sink);
    std::shared_ptr<ResponseSink> sinkOf(const Key &key) const;
    void onLastFrame(const std::shared_ptr<Link> &link, CallFrame type, std::string_view payload);
    void sendBody(const Key &key, std::string_view bytes);
    void endBody(const Key &key);
    void cancel(const Key &key);
    void withdraw(const Key &key);
    void credit(const Key &key, std::size_t bytes);

    Loop &m_loop;
    std::uint64_t m_lastStream = 0;
    std::map<Key, std::unique_ptr<Stream>> m_streams;
    std::map<Key, std::size_t> m_unreported; ///< bytes of uploads that reportWritten() has not reported yet
};

} // namespace jasminemast
