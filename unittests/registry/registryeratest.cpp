// Evacuated zones, and a registry that comes back from an older copy of its records, at nodes that read it or each
// other.
#include "jasminemast/registry/syncserver.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>

using namespace jasminemast;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start {std::chrono::hours(1)};
const ZoneId Zone("z");

RegisteredTarget target(const std::string &id, std::uint64_t sequence, bool draining = false)
{
    RegisteredTarget result;
    result.id = EndpointId(id);
    result.service = ServiceId("s");
    result.zone = Zone;
    result.address = {"10.0.0." + id, 80};
    result.slots = 4;
    result.draining = draining;
    result.startedAt = 1'000;
    result.sequence = sequence;
    return result;
}

/// A registry whose writers write again what it lost.
class Registry
{
public:
    void put(const std::string &key, RegistryRecord record)
    {
        setRevision(record);
        m_items.insert_or_assign(key, std::move(record));
        m_changedAt[key] = m_number;
    }

    void remove(const std::string &key, RegistryRecord removal)
    {
        if (m_items.erase(key) > 0) {
            setRevision(removal);
            m_removals.insert_or_assign(key, std::move(removal));
            m_changedAt[key] = m_number;
        }
    }

    [[nodiscard]] RegistryResponse list() const
    {
        RegistryResponse response = empty();
        for (const auto &[key, item] : m_items) {
            response.records.push_back(item);
        }
        return response;
    }

    [[nodiscard]] RegistryResponse watch(Revision after) const
    {
        RegistryResponse response = empty();
        if (after.number() > m_number || after.number() < m_oldest) {
            response.code = ResultCode::RegistryHistoryGone;
            return response;
        }
        for (const auto &[key, changedAt] : m_changedAt) {
            if (changedAt <= after.number()) {
                continue;
            }
            const auto item = m_items.find(key);
            response.records.push_back(item == m_items.end() ? m_removals.at(key) : item->second);
        }
        return response;
    }

    /// The response to what \p follower calls now; nothing if it waits.
    [[nodiscard]] std::optional<RegistryResponse> respond(const RegistryFollower &follower, TimePoint now) const
    {
        const RegistryAction action = follower.next(now);
        if (const auto *watched = std::get_if<registryaction::Watch>(&action)) {
            return watch(watched->revision);
        }
        return std::holds_alternative<registryaction::List>(action) ? std::optional(list()) : std::nullopt;
    }

    [[nodiscard]] Revision revision() const
    {
        return Revision(m_number, m_era);
    }
    /// Another registry with the same records, which comes back as this one later.
    [[nodiscard]] Registry restored(RegistryEra era) const
    {
        Registry copy = *this;
        copy.m_era = era;
        copy.m_oldest = copy.m_number;
        copy.m_changedAt.clear();
        for (auto &[key, item] : copy.m_items) {
            std::visit(
                [era](auto &record) {
                    if constexpr (requires { record.revision; }) {
                        record.revision = Revision(record.revision.number(), era);
                    }
                },
                item);
        }
        return copy;
    }
    [[nodiscard]] RegistryEra era() const
    {
        return m_era;
    }

private:
    [[nodiscard]] RegistryResponse empty() const
    {
        RegistryResponse response;
        response.revision = Revision(m_number, m_era);
        return response;
    }

    void setRevision(RegistryRecord &record)
    {
        const Revision revision(++m_number, m_era);
        std::visit(
            [revision](auto &concrete) {
                if constexpr (requires { concrete.revision; }) {
                    concrete.revision = revision;
                }
            },
            record);
    }

    RegistryEra m_era {1};
    std::uint64_t m_number = 0;
    std::uint64_t m_oldest = 0;
    std::map<std::string, RegistryRecord> m_items;
    std::map<std::string, RegistryRecord> m_removals;
    std::map<std::string, std::uint64_t> m_changedAt;
};

PublishedConfiguration configuration(std::uint64_t number)
{
    PublishedConfiguration result;
    result.number = TicketNumber(number);
    return result;
}

struct Node
{
    void read(const Registry &registry, TimePoint now)
    {
        if (auto response = registry.respond(follower, now)) {
            take(std::move(*response), now);
        }
    }

    void take(RegistryResponse response, TimePoint now)
    {
        follower.onCallStarted(now);
        follower.onResponse(std::move(response), now);
        server.onChange(follower.takeChangedTargets(), now, now);
    }

    void readAt(Node &upstream, TimePoint now)
    {
        SyncRequest request;
        request.isListed = follower.isListed();
        request.number = follower.configuration() ? follower.configuration()->number : TicketNumber(0);
        request.revision = follower.revision();
        request.recordsDigest = follower.recordsDigest();
        const auto replies = upstream.server.onRequest({&upstream, 1}, request, now, now);
        if (!replies.empty() && replies.front().second.status == SyncStatus::Ok) {
            follower.applyContent(decodeSyncContent(replies.front().second.content), now, now);
            server.onChange(follower.takeChangedTargets(), now, now);
        }
    }

    [[nodiscard]] bool uses(const std::string &id) const
    {
        const auto found = follower.targets().find(EndpointId(id));
        return found != follower.targets().end() && !found->second.target.draining;
    }
    [[nodiscard]] bool isEvacuated() const
    {
        return follower.evacuations().isEvacuated(Zone);
    }

    RegistryFollower follower;
    SyncServer server {follower};
};

/// A registry with configuration 3, the targets 1 and 2 and the zone evacuated, read by a reader and its peer.
class RegistryEraTest : public testing::Test
{
protected:
    RegistryEraTest()
    {
        m_registry.put("c", configuration(3));
        m_registry.put("1", target("1", 1));
        m_registry.put("2", target("2", 1));
        m_copy = m_registry;
        m_registry.put("e", ZoneEvacuation {Zone, {}, true});
        m_registry.put("2", target("2", 2, true));
        m_registry.put("3", target("3", 1));
        m_registry.put("c", configuration(4));
        m_reader.read(m_registry, Start);
        m_peer.readAt(m_reader, Start);
    }

    /// The registry comes back from the copy.
    void comeBack()
    {
        m_registry = m_copy.restored(RegistryEra(m_registry.era().value() + 1));
    }

    Registry m_registry;
    Registry m_copy; ///< without the latest changes
    Node m_reader;
    Node m_peer;
};

} // namespace

TEST_F(RegistryEraTest, EvacuationIsPassedOnAndTakenBack)
{
    EXPECT_TRUE(m_peer.isEvacuated());
    Node started;
    started.readAt(m_peer, Start);
    EXPECT_TRUE(started.follower.isListed());
    EXPECT_TRUE(started.isEvacuated()) << "with its first content";
    m_registry.remove("e", ZoneEvacuation {Zone, {}, false});
    m_reader.read(m_registry, Start + 1s);
    m_peer.readAt(m_reader, Start + 1s);
    EXPECT_FALSE(m_reader.isEvacuated());
    EXPECT_FALSE(m_peer.isEvacuated());
    m_peer.readAt(started, Start + 1s);
    EXPECT_FALSE(m_peer.isEvacuated()) << "a peer that is behind begins nothing again";
    m_registry.put("e", ZoneEvacuation {Zone, {}, true});
    m_reader.read(m_registry, Start + 2s);
    EXPECT_TRUE(m_reader.isEvacuated());
}

TEST_F(RegistryEraTest, EvacuationMissingInAListingOfTheSameEraHasEnded)
{
    m_registry.remove("e", ZoneEvacuation {Zone, {}, false});
    m_reader.follower.refresh(Start + 1s);
    m_reader.read(m_registry, Start + 1s);
    EXPECT_FALSE(m_reader.isEvacuated());
}

TEST_F(RegistryEraTest, NothingGoesBackWhenTheRegistryComesBackOlder)
{
    comeBack();
    m_reader.read(m_registry, Start + 1s);
    m_reader.read(m_registry, Start + 1s);
    m_peer.readAt(m_reader, Start + 1s);
    for (const Node *node : {&m_reader, &m_peer}) {
        EXPECT_EQ(node->follower.era(), RegistryEra(2));
        EXPECT_EQ(node->follower.configuration()->number, TicketNumber(4));
        EXPECT_FALSE(node->uses("2")) << "it was draining";
        EXPECT_TRUE(node->uses("3")) << "it may only be lost";
        EXPECT_TRUE(node->isEvacuated());
    }
}

TEST_F(RegistryEraTest, WhatIsWrittenAgainOrNewGetsInThoughItsRevisionIsLower)
{
    comeBack();
    m_reader.read(m_registry, Start + 1s);
    m_reader.read(m_registry, Start + 1s);
    m_registry.put("4", target("4", 1));
    m_registry.put("1", target("1", 2, true));
    m_reader.read(m_registry, Start + 2s);
    m_peer.readAt(m_reader, Start + 2s);
    for (const Node *node : {&m_reader, &m_peer}) {
        EXPECT_TRUE(node->uses("4"));
        EXPECT_FALSE(node->uses("1"));
    }
    EXPECT_EQ(m_peer.follower.recordsDigest(), m_reader.follower.recordsDigest());
}

TEST_F(RegistryEraTest, WhatIsNotWrittenAgainEnds)
{
    comeBack();
    m_reader.read(m_registry, Start + 1s);
    m_reader.read(m_registry, Start + 1s);
    m_reader.follower.expire(Start + 4s);
    EXPECT_FALSE(m_reader.uses("3"));
    EXPECT_TRUE(m_reader.isEvacuated());
    EXPECT_EQ(m_reader.follower.nextExpiry(), Start + 11s);
    m_reader.follower.expire(Start + 11s);
    EXPECT_FALSE(m_reader.isEvacuated());
}

// A watch names a position of the era before, which the registry may have given out again.
TEST_F(RegistryEraTest, ChangesOfAWatchAcrossTwoErasAreListedAgain)
{
    comeBack();
    for (int i = 0; i < 20; ++i) {
        m_registry.put("5", target("5", static_cast<std::uint64_t>(i)));
    }
    m_reader.read(m_registry, Start + 1s);
    EXPECT_TRUE(std::holds_alternative<registryaction::List>(m_reader.follower.next(Start + 1s)));
}

TEST_F(RegistryEraTest, ResponsesOfAnEarlierEraOrWithoutAnEraAreIgnored)
{
    const RegistryResponse late = m_registry.list();
    comeBack();
    m_reader.read(m_registry, Start + 1s);
    m_reader.read(m_registry, Start + 1s);
    m_registry.remove("1", TargetRemoved {EndpointId("1"), {}});
    m_reader.read(m_registry, Start + 5s);
    ASSERT_FALSE(m_reader.uses("1"));
    RegistryResponse unnamed = m_registry.restored(RegistryEra(0)).list();
    for (const RegistryResponse &response : {late, unnamed}) {
        m_reader.follower.refresh(Start + 6s);
        EXPECT_FALSE(m_reader.follower.onResponse(response, Start + 6s));
        EXPECT_FALSE(m_reader.uses("1"));
        EXPECT_EQ(m_reader.follower.era(), RegistryEra(2));
    }
}

namespace
{

/// Operators and targets, which write again what the registry lost.
class Writers
{
public:
    explicit Writers(Registry &registry)
        : m_registry(registry)
    {
    }

    void publish()
    {
        ++m_number;
        m_registry.put("c", configuration(m_number));
    }
    void report(int id)
    {
        if (!m_gone.contains(id)) {
            const bool isDraining = m_draining.contains(id);
            m_registry.put(std::to_string(id), target(std::to_string(id), ++m_sequences[id], isDraining));
        }
    }
    void drain(int id)
    {
        m_draining.insert(id);
        report(id);
    }
    void leave(int id)
    {
        m_gone.insert(id);
        m_registry.remove(std::to_string(id), TargetRemoved {EndpointId(std::to_string(id)), {}});
    }
    void evacuate(bool isActive)
    {
        if (isActive) {
            m_registry.put("e", ZoneEvacuation {Zone, {}, true});
            if (!isEvacuated) {
                m_evacuatedAt.clear();
            }
            m_evacuatedAt.insert(m_registry.revision());
        } else {
            m_registry.remove("e", ZoneEvacuation {Zone, {}, false});
        }
        isEvacuated = isActive;
    }
    /// True if the node knows of the current evacuation, not only of one before it.
    [[nodiscard]] bool isKnownTo(const Node &node) const
    {
        const auto active = node.follower.evacuations().active(Start);
        return isEvacuated && !active.empty()
            && std::any_of(m_evacuatedAt.begin(), m_evacuatedAt.end(), [&active](const Revision &revision) {
                   const Revision known = active.front().revision;
                   return known.number() == revision.number() && known.era() >= revision.era();
               });
    }
    /// After the registry has come back.
    void writeAgain()
    {
        if (m_number > 0) {
            m_registry.put("c", configuration(m_number));
        }
        for (const auto &[id, sequence] : std::map(m_sequences)) {
            report(id);
        }
        for (const int id : m_gone) {
            leave(id);
        }
        evacuate(isEvacuated);
    }
    [[nodiscard]] bool isGone(int id) const
    {
        return m_gone.contains(id);
    }
    [[nodiscard]] bool isDraining(int id) const
    {
        return m_draining.contains(id);
    }
    [[nodiscard]] std::uint64_t number() const
    {
        return m_number;
    }
    [[nodiscard]] std::uint64_t sequence(int id) const
    {
        const auto found = m_sequences.find(id);
        return found == m_sequences.end() ? 0 : found->second;
    }

    bool isEvacuated = false;

private:
    Registry &m_registry;
    std::uint64_t m_number = 0;
    std::map<int, std::uint64_t> m_sequences;
    std::set<int> m_draining;
    std::set<int> m_gone;
    std::set<Revision> m_evacuatedAt; ///< where the current evacuation was written
};

} // namespace

// Any order of changes, drills, late responses and reads of several nodes at the registry and each other.
RC_GTEST_PROP(RegistryEraProperty, NothingGoesBackAndAllNodesConverge, ())
{
    constexpr std::size_t Nodes = 3;
    constexpr int Targets = 4;
    constexpr int Steps = 80;
    Registry registry;
    Writers writers(registry);
    writers.publish();
    std::vector<std::unique_ptr<Node>> nodes;
    for (std::size_t i = 0; i < Nodes; ++i) {
        nodes.push_back(std::make_unique<Node>());
    }
    std::deque<Registry> copies {registry};
    std::deque<RegistryResponse> lateResponses {registry.list()};
    TimePoint writeAgainAt = TimePoint::max();
    TimePoint now = Start;
    const auto any = [](int count) {
        return *rc::gen::inRange(0, count);
    };
    for (int step = 0; step < Steps; ++step) {
        now += Milliseconds(any(400));
        if (now >= writeAgainAt) {
            writers.writeAgain();
            writeAgainAt = TimePoint::max();
        }
        std::vector<std::uint64_t> numbers;
        std::vector<std::set<int>> unused;
        std::vector<bool> wasEvacuated;
        for (const auto &node : nodes) {
            numbers.push_back(node->follower.configuration() ? node->follower.configuration()->number.value() : 0);
            unused.emplace_back();
            for (int id = 0; id < Targets; ++id) {
                const auto known = node->follower.targets().find(EndpointId(std::to_string(id)));
                const bool isKnown = known != node->follower.targets().end();
                if (isKnown && known->second.target.draining) {
                    unused.back().insert(id);
                }
            }
            wasEvacuated.push_back(writers.isKnownTo(*node));
        }
        const auto node = static_cast<std::size_t>(any(Nodes));
        switch (any(11)) {
        case 0:
            writers.publish();
            break;
        case 1:
            writers.report(any(Targets));
            break;
        case 2:
            writers.drain(any(Targets));
            break;
        case 3:
            writers.leave(any(Targets));
            break;
        case 4:
            writers.evacuate(!writers.isEvacuated);
            break;
        case 5:
            copies.push_back(registry);
            lateResponses.push_back(registry.list());
            break;
        case 6:
            registry = copies[static_cast<std::size_t>(any(static_cast<int>(copies.size())))].restored(
                RegistryEra(registry.era().value() + 1));
            writeAgainAt = now + Milliseconds(any(1'500));
            break;
        case 7: {
            const auto late = lateResponses[static_cast<std::size_t>(any(static_cast<int>(lateResponses.size())))];
            if (late.revision.era() < nodes[node]->follower.era()) {
                nodes[node]->take(late, now);
            }
            break;
        }
        case 8:
            nodes[node]->readAt(*nodes[static_cast<std::size_t>(any(Nodes))], now);
            break;
        default:
            nodes[node]->read(registry, now);
        }
        for (std::size_t i = 0; i < Nodes; ++i) {
            nodes[i]->follower.expire(now);
            const auto &published = nodes[i]->follower.configuration();
            RC_ASSERT((published ? published->number.value() : 0) >= numbers[i]);
            for (const int id : unused[i]) {
                RC_ASSERT(!nodes[i]->uses(std::to_string(id)));
            }
            RC_ASSERT(nodes[i]->isEvacuated() || !wasEvacuated[i] || !writers.isEvacuated);
        }
    }
    writers.writeAgain();
    for (int round = 0; round < 60; ++round) {
        now += 500ms;
        for (const auto &node : nodes) {
            node->read(registry, now);
            node->follower.expire(now);
        }
    }
    for (const auto &node : nodes) {
        RC_ASSERT(node->follower.configuration()->number.value() == writers.number());
        RC_ASSERT(node->isEvacuated() == writers.isEvacuated);
        for (int id = 0; id < Targets; ++id) {
            const bool isUsable = writers.sequence(id) > 0 && !writers.isGone(id) && !writers.isDraining(id);
            RC_ASSERT(node->uses(std::to_string(id)) == isUsable);
        }
        RC_ASSERT(node->follower.recordsDigest() == nodes.front()->follower.recordsDigest());
    }
}
