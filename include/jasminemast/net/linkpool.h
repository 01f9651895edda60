// All links of one node: listens, connects on demand, replaces dead links and closes idle ones.
#pragma once

#include "jasminemast/net/link.h"

#include <memory>
#include <set>
#include <unordered_map>

namespace jasminemast
{

/// Timing of links.
struct LinkSettings
{
    Milliseconds heartbeatInterval {500}; ///< a heartbeat is sent after this silence of a peer expected to send
    Milliseconds silenceLimit {1'500}; ///< a link is closed after this silence of a peer expected to send
    Milliseconds idleLimit {30'000}; ///< an unused link is closed after this time
    ByteRate rate; ///< of the host's network uplink; 0 means unlimited
};

/// Owns every link of the process.
class LinkPool
{
public:
    /// Listens on \p localAddress.
    /// \throws ResultError with BindFailed.
    LinkPool(Loop &loop, const Clock &clock, LinkIdentity self, const SocketAddress &localAddress,
             LinkSettings settings, Link::Handlers handlers);
    ~LinkPool();

    /// The outgoing link to \p host at \p address, opened now if there is none. Frames may be sent at once; errors,
    /// including an invalid address, are reported through onDown.
    std::shared_ptr<Link> connect(const HostId &host, const SocketAddress &address);

    [[nodiscard]] std::size_t size() const
    {
        return m_links.size();
    }

    /// Accepts no further links.
    void stopAccepting();
    /// Accepts no further links, and closes each link once its peer has everything that was sent on it.
    void finishSending();
    /// Number of links that finishSending() has not closed yet; links opened later do not count.
    [[nodiscard]] std::size_t finishingLinks() const;

    /// True while a link that is up has frames to write.
    [[nodiscard]] bool hasPending() const;

    /// Bytes on all links that the kernel has taken over and the peers have not acknowledged.
    [[nodiscard]] std::size_t unacknowledgedBytes() const;

    /// Accounts for \p bytes that the host sent over its network uplink outside of these links.
    void addUnscheduledBytes(std::size_t bytes)
    {
        m_pacer.addUnscheduledBytes(bytes);
    }
    /// Bytes of bulk frames waiting to be sent.
    [[nodiscard]] std::size_t queuedBytes() const
    {
        return m_pacer.queuedBytes();
    }

    /// Calls \p visitor for every link that is up.
    void forEachUp(const std::function<void(const std::shared_ptr<Link> &)> &visitor) const;

private:
    void acceptAll();
    std::shared_ptr<Link> makeLink();
    void onDown(const std::shared_ptr<Link> &link, ResultCode reason);
    void checkLinks();
    void checkLink(Link &link, TimePoint now) const;

    Loop &m_loop;
    const Clock &m_clock;
    LinkIdentity m_self;
    LinkSettings m_settings;
    Link::Handlers m_handlers;
    SendPacer m_pacer;
    Descriptor m_listener;
    IoWatcher m_acceptWatcher;
    Timer m_checkTimer;
    TimePoint m_lastCheck;
    bool m_isAccepting = true;
    std::set<std::shared_ptr<Link>> m_links;
    /// Invariant: every link here is outgoing, open and in m_links.
    std::unordered_map<HostId, std::shared_ptr<Link>> m_outgoingLinks;
};

} // namespace jasminemast
