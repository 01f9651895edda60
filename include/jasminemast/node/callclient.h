// Sends attempts to other nodes over links and brings their answers back.
#pragma once

#include "jasminemast/net/linkpool.h"
#include "jasminemast/node/answersink.h"

#include <map>
#include <memory>

namespace jasminemast
{

/// The asking end of the call protocol, for all links of a node.
class CallClient
{
public:
    CallClient(Loop &loop, LinkPool &links);

    ~CallClient();
    CallClient(const CallClient &) = delete;
    CallClient &operator=(const CallClient &) = delete;

    /// Starts an attempt on \p host. The sink is called later, never from within this call.
    std::unique_ptr<AttemptHandle> open(const HostId &host, const SocketAddress &address, OpenMessage open,
                                        const std::string &body, std::shared_ptr<AnswerSink> sink);

    /// Handles Refused, Head, Data and End.
    /// \throws ResultError with FrameMalformed, upon which the link is to be closed.
    void onFrame(const std::shared_ptr<Link> &link, CallFrame type, std::string_view payload);
    void onLinkDown(const std::shared_ptr<Link> &link, ResultCode reason);

private:
    friend class RemoteHandle;

    struct Stream;
    using Key = std::pair<Link *, std::uint64_t>;

    std::shared_ptr<AnswerSink> sinkOf(const Key &key) const;
    void cancel(const Key &key);
    void credit(const Key &key, std::size_t bytes);

    Loop &m_loop;
    LinkPool &m_links;
    std::uint64_t m_lastStream = 0;
    std::map<Key, std::unique_ptr<Stream>> m_streams;
};

} // namespace jasminemast
