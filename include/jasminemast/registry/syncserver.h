// Answers the requests of peers that read the registry's records at this node.
#pragma once

#include "jasminemast/registry/registryfollower.h"
#include "jasminemast/registry/syncmessages.h"

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace jasminemast
{

struct SyncServerLimits
{
    std::size_t maxPending = 256; ///< requests that wait; further ones are answered at once
    std::size_t maxConfigurations = 4; ///< older configurations to which differences are sent
    std::size_t maxChanges = 64; ///< changes of targets that are sent one by one
    Milliseconds maxWait {2'000};
};

/// State machine without I/O.
///
/// Invariant: every request gets one reply, at the latest after the wait that it names.
class SyncServer
{
public:
    /// Identifies a request: the link on which it came, and its id there.
    using Client = std::pair<const void *, std::uint64_t>;
    using Replies = std::vector<std::pair<Client, SyncReply>>;

    /// \p follower outlives the server.
    explicit SyncServer(const RegistryFollower &follower, SyncServerLimits limits = {});

    /// \p confirmedAt is when the registry last confirmed the records.
    Replies onRequest(const Client &client, const SyncRequest &request, TimePoint confirmedAt, TimePoint now);
    /// The records have changed; \p targets are the ones that did.
    Replies onChange(std::vector<EndpointId> targets, TimePoint confirmedAt, TimePoint now);
    /// Answers the requests whose wait is over.
    Replies expire(TimePoint confirmedAt, TimePoint now);
    /// Drops the requests of a link that was lost.
    void onLinkDown(const void *link);
    /// Answers every request from now on, also those that wait, with SyncStatus::Leaving.
    Replies beginDrain(TimePoint now);

    [[nodiscard]] TimePoint nextExpiry() const;

private:
    struct Pending
    {
        SyncRequest request;
        TimePoint until;
    };
    /// Targets that changed together.
    struct Change
    {
        std::uint64_t digestBefore;
        std::vector<EndpointId> targets;
    };

    [[nodiscard]] bool differs(const SyncRequest &request) const;
    [[nodiscard]] bool needsTargets(const SyncRequest &request) const;
    SyncReply reply(const SyncRequest &request, TimePoint confirmedAt, TimePoint now);
    [[nodiscard]] SyncContent makeContent(const SyncRequest &request, TimePoint now) const;
    void addTargets(const SyncRequest &request, SyncContent &content, TimePoint now) const;
    [[nodiscard]] RegisteredTarget targetAt(const KnownTarget &known, TimePoint now) const;

    const RegistryFollower &m_follower;
    SyncServerLimits m_limits;
    std::map<Client, Pending> m_pending;
    std::deque<std::shared_ptr<const PublishedConfiguration>> m_configurations; ///< the newest last
    std::deque<Change> m_changes; ///< the newest last
    std::uint64_t m_digest = 0; ///< of the targets after the last of m_changes
    /// Encoded contents of the current records, by the number and digest of the request.
    std::map<std::pair<TicketNumber, std::uint64_t>, std::string> m_encoded;
    bool m_draining = false;
};

} // namespace jasminemast
