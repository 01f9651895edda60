// Records that nodes pass on to each other, in any order of changes, losses, restarts and changes of upstream.
#include "jasminemast/registry/syncserver.h"

#include "jasminemast/support/compression.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

using namespace jasminemast;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start {std::chrono::hours(1)};

Route route(const std::string &id, const std::string &service = "s")
{
    Route result;
    result.id = RouteId(id);
    result.host = "h.example";
    result.pathPrefix = "/" + id + "/";
    result.service = ServiceId(service);
    result.repeatable = true;
    result.timeout = 500ms;
    return result;
}

PublishedConfiguration configuration(std::uint64_t number, const std::vector<Route> &routes)
{
    PublishedConfiguration result;
    result.number = TicketNumber(number);
    result.digest = sha256(std::to_string(number));
    for (const Route &item : routes) {
        result.routes.push_back(std::make_shared<const Route>(item));
    }
    result.services = {ServiceId("s"), ServiceId("t")};
    result.requestLimits.maxHeaderBytes = 4'096;
    return result;
}

RegisteredTarget target(const std::string &id, std::uint64_t sequence, std::uint64_t revision, bool draining = false)
{
    RegisteredTarget result;
    result.id = EndpointId(id);
    result.service = ServiceId("s");
    result.zone = ZoneId("z");
    result.address = {"10.0.0." + id, 80};
    result.slots = 4;
    result.draining = draining;
    result.startedAt = 1'000;
    result.sequence = sequence;
    result.revision = Revision(revision);
    return result;
}

RegistryResponse response(std::uint64_t revision, std::vector<RegistryRecord> records)
{
    RegistryResponse result;
    result.revision = Revision(revision);
    result.records = std::move(records);
    return result;
}

/// A node: what it knows, and what it tells others.
struct Node
{
    void read(RegistryResponse records, TimePoint now)
    {
        follower.onResponse(std::move(records), now);
        changed(now);
    }

    /// What waiting peers are told.
    SyncServer::Replies changed(TimePoint now)
    {
        return server.onChange(follower.takeChangedTargets(), now, now);
    }

    [[nodiscard]] SyncRequest request(std::uint32_t waitMs = 0) const
    {
        SyncRequest result;
        result.id = 7;
        result.isListed = follower.isListed();
        result.number = follower.configuration() ? follower.configuration()->number : TicketNumber(0);
        result.revision = follower.revision();
        result.recordsDigest = follower.recordsDigest();
        result.waitMs = waitMs;
        return result;
    }

    /// Reads at \p upstream and returns its reply.
    SyncReply readAt(Node &upstream, TimePoint now)
    {
        auto replies = upstream.server.onRequest({&upstream, 7}, request(), now, now);
        EXPECT_EQ(replies.size(), 1U);
        SyncReply reply = replies.front().second;
        if (reply.status == SyncStatus::Ok) {
            follower.applyContent(decodeSyncContent(reply.content), now, now);
            changed(now);
        }
        return reply;
    }

    RegistryFollower follower;
    SyncServer server {follower};
};

std::map<EndpointId, Revision> revisionsOf(const Node &node)
{
    std::map<EndpointId, Revision> result;
    for (const auto &[id, known] : node.follower.targets()) {
        result.emplace(id, known.target.revision);
    }
    return result;
}

std::map<RouteId, Route> routesOf(const PublishedConfiguration &published)
{
    std::map<RouteId, Route> result;
    for (const RoutePtr &item : published.routes) {
        result.emplace(item->id, *item);
    }
    return result;
}

} // namespace

TEST(SyncTest, NodeWithoutRecordsGetsAll)
{
    Node upstream;
    Node node;
    EXPECT_EQ(node.readAt(upstream, Start).status, SyncStatus::NotListed);
    upstream.read(response(10, {configuration(3, {route("a"), route("b")}), target("1", 1, 8), target("2", 1, 9)}),
                  Start);
    EXPECT_EQ(node.readAt(upstream, Start).status, SyncStatus::Ok);
    EXPECT_TRUE(node.follower.isListed());
    EXPECT_EQ(routesOf(*node.follower.configuration()), routesOf(*upstream.follower.configuration()));
    EXPECT_EQ(node.follower.configuration()->requestLimits, upstream.follower.configuration()->requestLimits);
    EXPECT_EQ(revisionsOf(node), revisionsOf(upstream));
    const RegistryAction watch = node.follower.next(Start);
    EXPECT_EQ(std::get<registryaction::Watch>(watch).revision, Revision(10)) << "a reader goes on from here";
}

TEST(SyncTest, ChangeAnswersAWaitingRequestWithTheDifference)
{
    std::vector<Route> routes;
    for (int i = 0; i < 1'400; ++i) {
        routes.push_back(route("r" + std::to_string(i)));
    }
    Node upstream;
    Node node;
    upstream.read(response(10, {configuration(3, routes), target("1", 1, 8), target("2", 1, 9)}), Start);
    const std::size_t wholeBytes = node.readAt(upstream, Start).content.size();
    EXPECT_TRUE(upstream.server.onRequest({&node, 1}, node.request(500), Start, Start).empty());
    routes[7] = route("r7", "t");
    routes.erase(routes.begin() + 9);
    routes.push_back(route("new"));
    upstream.follower.onResponse(response(12, {configuration(5, routes), target("1", 2, 12, true)}), Start + 100ms);
    const auto replies = upstream.changed(Start + 100ms);
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_LT(replies.front().second.content.size(), wholeBytes / 10);
    EXPECT_TRUE(
        node.follower.applyContent(decodeSyncContent(replies.front().second.content), Start + 100ms, Start + 100ms));
    EXPECT_EQ(routesOf(*node.follower.configuration()), routesOf(configuration(5, routes)));
    EXPECT_TRUE(node.follower.targets().at(EndpointId("1")).target.draining);
    EXPECT_EQ(node.follower.recordsDigest(), upstream.follower.recordsDigest());
}

TEST(SyncTest, ConfigurationsShareTheRoutesThatHaveNotChanged)
{
    const auto objectsOf = [](const Node &node) {
        std::map<RouteId, RoutePtr> result;
        for (const RoutePtr &item : node.follower.configuration()->routes) {
            result.emplace(item->id, item);
        }
        return result;
    };
    Node reader;
    Node peer;
    reader.read(response(10, {configuration(3, {route("a"), route("b"), route("c")}), target("1", 1, 8)}), Start);
    peer.readAt(reader, Start);
    const auto readerBefore = objectsOf(reader);
    const auto peerBefore = objectsOf(peer);
    const PublishedConfiguration next = configuration(4, {route("d"), route("b", "t"), route("a")});
    reader.read(response(11, {next}), Start);
    peer.readAt(reader, Start);
    for (const auto &[node, before] : {std::pair(&reader, &readerBefore), std::pair(&peer, &peerBefore)}) {
        const auto after = objectsOf(*node);
        EXPECT_EQ(routesOf(*node->follower.configuration()), routesOf(next));
        EXPECT_EQ(after.at(RouteId("a")), before->at(RouteId("a")));
        EXPECT_NE(after.at(RouteId("b")), before->at(RouteId("b")));
        EXPECT_EQ(before->at(RouteId("b"))->service, ServiceId("s")) << "the older configuration stays as it was";
    }
}

TEST(SyncTest, RequestsAreAnsweredWhenTheirWaitIsOverOrTheNodeLeaves)
{
    Node upstream;
    Node node;
    upstream.read(response(10, {configuration(3, {route("a")})}), Start);
    node.readAt(upstream, Start);
    upstream.server.onRequest({&node, 1}, node.request(500), Start, Start);
    EXPECT_EQ(upstream.server.nextExpiry(), Start + 500ms);
    EXPECT_TRUE(upstream.server.expire(Start, Start + 499ms).empty());
    const auto replies = upstream.server.expire(Start + 200ms, Start + 500ms);
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(replies.front().second.ageMs, 300U) << "how old the records are";
    upstream.server.onRequest({&node, 2}, node.request(500), Start, Start);
    upstream.server.onRequest({&upstream, 2}, node.request(500), Start, Start);
    upstream.server.onLinkDown(&upstream);
    const auto last = upstream.server.beginDrain(Start);
    ASSERT_EQ(last.size(), 1U);
    EXPECT_EQ(last.front().second.status, SyncStatus::Leaving);
}

TEST(SyncTest, UpstreamThatIsBehindRemovesAndAddsNothing)
{
    Node behind;
    Node ahead;
    behind.read(response(10, {configuration(3, {route("a")}), target("1", 1, 8), target("2", 1, 9)}), Start);
    ahead.readAt(behind, Start);
    ahead.read(
        response(14,
                 {configuration(4, {route("b")}), TargetRemoved {EndpointId("1"), Revision(12)}, target("3", 1, 13)}),
        Start);
    ahead.readAt(behind, Start);
    EXPECT_EQ(ahead.follower.configuration()->number, TicketNumber(4));
    EXPECT_EQ(revisionsOf(ahead),
              (std::map<EndpointId, Revision> {{EndpointId("2"), Revision(9)}, {EndpointId("3"), Revision(13)}}));
}

// A process that has just started must not use again what has left, if one of its peers still knows it.
TEST(SyncTest, RestartedNodeFollowsTheNewerOfTwoPeers)
{
    Node behind;
    Node ahead;
    behind.read(response(10, {configuration(3, {route("a")}), target("1", 1, 8)}), Start);
    ahead.readAt(behind, Start);
    ahead.read(response(14, {TargetRemoved {EndpointId("1"), Revision(12)}, target("2", 1, 13)}), Start);
    Node restarted;
    restarted.readAt(behind, Start);
    restarted.readAt(ahead, Start);
    EXPECT_EQ(revisionsOf(restarted), revisionsOf(ahead));
    restarted.readAt(behind, Start);
    EXPECT_EQ(revisionsOf(restarted), revisionsOf(ahead)) << "and does not go back";
}

// A reader that retained a target told nobody of the removal, also not the nodes that knew of no outage (review/2).
TEST(SyncTest, RemovalIsPassedOnWhileTheNodeRetainsTheTarget)
{
    Node reader;
    Node disturbed;
    Node undisturbed;
    reader.read(response(10, {configuration(3, {route("a")}), target("1", 1, 8), target("2", 1, 9)}), Start);
    disturbed.readAt(reader, Start);
    undisturbed.readAt(reader, Start);
    RegistryResponse outage;
    outage.code = ResultCode::RegistryUnreachable;
    const TimePoint back = Start + 5s;
    for (TimePoint now = Start; now < back; now += 500ms) {
        reader.read(outage, now);
        disturbed.read(outage, now);
    }
    EXPECT_TRUE(undisturbed.server.onRequest({&reader, 1}, reader.request(500), back, back).empty());
    reader.read(response(13, {TargetRemoved {EndpointId("1"), Revision(12)}}), back);
    EXPECT_TRUE(reader.follower.targets().contains(EndpointId("1")));
    disturbed.readAt(reader, back);
    EXPECT_TRUE(disturbed.follower.targets().contains(EndpointId("1"))) << "it could not call the registry either";
    undisturbed.readAt(reader, back);
    EXPECT_FALSE(undisturbed.follower.targets().contains(EndpointId("1")));
    Node started;
    started.readAt(reader, back);
    EXPECT_FALSE(started.follower.targets().contains(EndpointId("1")));
    for (const Node *node : {&disturbed, &undisturbed, &started}) {
        EXPECT_EQ(node->follower.recordsDigest(), reader.follower.recordsDigest());
        const RegistryAction watch = node->follower.next(back);
        EXPECT_EQ(std::get<registryaction::Watch>(watch).revision, Revision(13)) << "a reader goes on from here";
    }
    for (Node *node : {&reader, &disturbed}) {
        const TimePoint expiry = node->follower.nextExpiry();
        EXPECT_LE(expiry, back + 2s);
        node->follower.expire(expiry);
        EXPECT_FALSE(node->follower.targets().contains(EndpointId("1")));
    }
}

// Nodes of different versions do not understand each other's contents, so that the encoding only changes on purpose.
TEST(SyncTest, EncodingOfContentStaysTheSame)
{
    Route split = route("split");
    split.service = {};
    split.split = {{ServiceId("s"), 90}, {ServiceId("t"), 10}};
    split.methods = {"GET", "PUT"};
    split.attempts = 2;
    split.priority = 1;
    split.targetLatency = 60ms;
    SyncContent content;
    content.revision = Revision(12);
    content.recordsDigest = 13;
    content.configuration = ConfigurationDelta {TicketNumber(4), configuration(5, {route("a"), split}), {RouteId("b")}};
    content.targets = {target("1", 2, 11)};
    content.removedTargets = {EndpointId("2")};
    content.evacuations = {{ZoneId("z"), Revision(9, RegistryEra(2)), true, 700ms}};
    const std::string encoded
        = decompress(encodeSyncContent(content), 1U << 20U, {ResultCode::FrameMalformed, ResultCode::FrameMalformed});
    EXPECT_EQ(sha256(encoded).hex(), "66fb6c0b472c54e1e3e33c7b9a093133cbe9adddabe883558255f4b53193393b");
}

TEST(SyncTest, MalformedContentIsRefused)
{
    EXPECT_THROW(decodeSyncContent("no zstd frame"), ResultError);
    Node upstream;
    upstream.read(response(10, {configuration(3, {route("a")}), target("1", 1, 8)}), Start);
    Node node;
    const std::string content = node.readAt(upstream, Start).content;
    EXPECT_THROW(decodeSyncContent(content.substr(0, content.size() / 2)), ResultError);
}

// Any order of changes in the registry, reads at it and at each other, restarts and outages. No configuration falls,
// no target that left comes back, and once all have read, all agree.
RC_GTEST_PROP(SyncProperty, NodesConvergeAndNothingGoesBack, ())
{
    constexpr std::size_t Nodes = 4;
    std::vector<std::unique_ptr<Node>> nodes;
    for (std::size_t i = 0; i < Nodes; ++i) {
        nodes.push_back(std::make_unique<Node>());
    }
    struct Registry
    {
        std::uint64_t revision = 10;
        std::uint64_t number = 1;
        std::vector<Route> routes;
        std::map<std::string, RegisteredTarget> targets;
        std::map<std::string, std::uint64_t> sequences;
        std::vector<std::pair<std::uint64_t, RegistryRecord>> history;
    };
    Registry registry;
    TimePoint now = Start;
    const auto listing = [&registry] {
        std::vector<RegistryRecord> records {configuration(registry.number, registry.routes)};
        for (const auto &[id, item] : registry.targets) {
            records.emplace_back(item);
        }
        return response(registry.revision, std::move(records));
    };
    const auto readRegistry = [&](Node &node) {
        node.follower.expire(now);
        const RegistryAction action = node.follower.next(now + 10s);
        if (const auto *watch = std::get_if<registryaction::Watch>(&action)) {
            std::vector<RegistryRecord> records;
            for (const auto &[revision, record] : registry.history) {
                if (revision > watch->revision.number()) {
                    records.push_back(record);
                }
            }
            node.read(response(registry.revision, std::move(records)), now);
        } else {
            node.read(listing(), now);
        }
    };
    const int steps = *rc::gen::inRange(10, 60);
    for (int step = 0; step < steps; ++step) {
        now += 300ms;
        const auto kind = *rc::gen::inRange(0, 10);
        const std::string id = std::to_string(*rc::gen::inRange(0, 5));
        Node &node = *nodes[*rc::gen::inRange<std::size_t>(0, Nodes)];
        const auto number = node.follower.configuration() ? node.follower.configuration()->number : TicketNumber(0);
        const Revision settled = node.follower.revision();
        bool wasRestarted = false;
        if (kind == 0) {
            registry.number += *rc::gen::inRange<std::uint64_t>(1, 4);
            registry.routes = {route(id), route("r" + std::to_string(step))};
            registry.history.emplace_back(++registry.revision, configuration(registry.number, registry.routes));
        } else if (kind <= 2) {
            ++registry.revision;
            registry.targets[id] = target(id, ++registry.sequences[id], registry.revision);
            registry.history.emplace_back(registry.revision, registry.targets[id]);
        } else if (kind == 3 && registry.targets.erase(id) > 0) {
            ++registry.revision;
            registry.history.emplace_back(registry.revision,
                                          TargetRemoved {EndpointId(id), Revision(registry.revision)});
        } else if (kind == 4) {
            const auto position
                = std::find_if(nodes.begin(), nodes.end(), [&](const auto &item) { return item.get() == &node; });
            *position = std::make_unique<Node>();
            wasRestarted = true;
        } else if (kind == 5) {
            RegistryResponse failed;
            failed.code = *rc::gen::element(ResultCode::RegistryUnreachable, ResultCode::RegistryHistoryGone);
            node.read(std::move(failed), now);
        } else if (kind <= 7) {
            readRegistry(node);
        } else {
            Node &upstream = *nodes[*rc::gen::inRange<std::size_t>(0, Nodes)];
            if (&upstream != &node) {
                node.readAt(upstream, now);
            }
        }
        if (!wasRestarted) {
            const auto &current = node.follower.configuration();
            RC_ASSERT((current ? current->number : TicketNumber(0)) >= number);
            RC_ASSERT(node.follower.revision() >= settled);
        }
    }
    // Grace periods end.
    now += 10s;
    readRegistry(*nodes[0]);
    now += 10s;
    nodes[0]->follower.expire(now);
    nodes[0]->changed(now);
    readRegistry(*nodes[0]);
    for (std::size_t i = 1; i < Nodes; ++i) {
        nodes[i]->follower.expire(now);
        nodes[i]->changed(now);
        nodes[i]->readAt(*nodes[i - 1], now);
        nodes[i]->readAt(*nodes[i - 1], now); // the first reply may be a difference to records with another digest
    }
    std::map<EndpointId, Revision> expected;
    for (const auto &[id, item] : registry.targets) {
        expected.emplace(item.id, item.revision);
    }
    for (const auto &node : nodes) {
        RC_ASSERT(revisionsOf(*node) == expected);
        RC_ASSERT(routesOf(*node->follower.configuration())
                  == routesOf(configuration(registry.number, registry.routes)));
    }
}

// Configurations that share some of their routes, hold equal ones as other objects, and differ in the rest.
RC_GTEST_PROP(SyncProperty, DeltaLeadsToTheOtherConfiguration, ())
{
    const auto anyService = [] {
        return std::string(*rc::gen::element("s", "t"));
    };
    std::vector<Route> routes;
    for (int i = 0; i < 12; ++i) {
        if (*rc::gen::inRange(0, 4) != 0) {
            routes.push_back(route("r" + std::to_string(i), anyService()));
        }
    }
    const PublishedConfiguration base = configuration(3, routes);
    PublishedConfiguration next = configuration(4, {});
    std::set<RouteId> changed;
    std::set<RouteId> removed;
    for (const RoutePtr &item : base.routes) {
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            removed.insert(item->id);
            break;
        case 1:
            next.routes.push_back(std::make_shared<const Route>(*item));
            break;
        case 2:
            next.routes.push_back(std::make_shared<const Route>(route(item->id.value(), "u")));
            changed.insert(item->id);
            break;
        default:
            next.routes.insert(next.routes.begin(), item);
        }
    }
    const int added = *rc::gen::inRange(0, 4);
    for (int i = 0; i < added; ++i) {
        next.routes.push_back(std::make_shared<const Route>(route("new" + std::to_string(i), anyService())));
        changed.insert(next.routes.back()->id);
    }
    const ConfigurationDelta delta = makeDelta(base, next);
    std::set<RouteId> sent;
    for (const RoutePtr &item : delta.configuration.routes) {
        sent.insert(item->id);
    }
    RC_ASSERT(sent == changed);
    RC_ASSERT((std::set<RouteId>(delta.removedRoutes.begin(), delta.removedRoutes.end())) == removed);
    const PublishedConfiguration result = applyDelta(base, delta);
    RC_ASSERT(result.routes.size() == next.routes.size());
    RC_ASSERT(routesOf(result) == routesOf(next));
}
