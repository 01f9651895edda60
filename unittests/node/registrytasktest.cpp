// Nodes that read a registry together: over real links, with a registry in memory.
#include "jasminemast/node/registrytask.h"

#include "../net/testpeer.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace jasminemast;

namespace
{

/// What the registry holds, and how it treats its readers.
struct FakeRegistry
{
    Revision revision {10};
    PublishedConfiguration configuration;
    std::map<EndpointId, RegisteredTarget> targets;
    std::map<HostId, int> calls; ///< listings and watches, without those of discovery
    std::optional<InvalidRecord> invalid; ///< in place of the configuration
    std::set<HostId> refused; ///< hosts that are turned away
    std::set<HostId> silent; ///< hosts whose watches report nothing and then time out

    void publish(std::uint64_t number)
    {
        revision = Revision(revision.number() + 1);
        invalid.reset();
        configuration.number = TicketNumber(number);
        configuration.digest = sha256(std::to_string(number));
    }

    /// Has a configuration that nodes refuse.
    void refuse(std::uint64_t number, const std::string &detail)
    {
        revision = Revision(revision.number() + 1);
        invalid = InvalidRecord {ResultCode::RegistryRecordMalformed, detail, std::nullopt, TicketNumber(number)};
    }
};

/// One host's connection to the registry.
class FakeSource final : public RegistrySource
{
public:
    FakeSource(Loop &loop, FakeRegistry &registry, HostId host)
        : m_loop(loop)
        , m_registry(registry)
        , m_host(std::move(host))
        , m_timer(loop, [this] { check(); })
    {
    }

    void list(const std::string & /*after*/, Handler handler) override
    {
        ++m_registry.calls[m_host];
        answer(all(), std::move(handler));
    }

    void listTargets(const std::string & /*after*/, Handler handler) override
    {
        RegistryResponse response = all();
        std::erase_if(response.records, [](const RegistryRecord &record) {
            return std::holds_alternative<PublishedConfiguration>(record);
        });
        answer(std::move(response), std::move(handler));
    }

    void watch(Revision revision, Milliseconds wait, Handler handler) override
    {
        ++m_registry.calls[m_host];
        if (m_registry.refused.contains(m_host)) {
            answer({}, std::move(handler));
            return;
        }
        m_watched = revision;
        m_checksLeft = wait.count() / CheckInterval.count();
        m_handler = std::move(handler);
        m_timer.startRepeating(CheckInterval);
    }

    void cancel() override
    {
        m_timer.stop();
        m_handler = nullptr;
        ++m_generation;
    }

private:
    static constexpr Milliseconds CheckInterval {5};

    [[nodiscard]] RegistryResponse all() const
    {
        RegistryResponse response;
        response.revision = m_registry.revision;
        if (m_registry.invalid) {
            response.records.emplace_back(*m_registry.invalid);
        } else if (m_registry.configuration.number != TicketNumber(0)) {
            response.records.emplace_back(m_registry.configuration);
        }
        for (const auto &[id, target] : m_registry.targets) {
            response.records.emplace_back(target);
        }
        return response;
    }

    void answer(RegistryResponse response, Handler handler)
    {
        if (m_registry.refused.contains(m_host)) {
            response = {};
            response.code = ResultCode::RegistryRefusing;
        }
        m_loop.post([this, response = std::move(response), handler = std::move(handler), alive = std::weak_ptr(m_alive),
                     generation = m_generation] {
            if (!alive.expired() && generation == m_generation) {
                handler(response);
            }
        });
    }

    void check()
    {
        const bool isOver = --m_checksLeft <= 0;
        const bool isSilent = m_registry.silent.contains(m_host);
        if (!isOver && (isSilent || m_registry.revision <= m_watched)) {
            return;
        }
        m_timer.stop();
        RegistryResponse response = all();
        if (isSilent) {
            response = {};
            response.code = ResultCode::RegistryUnreachable;
        }
        std::exchange(m_handler, nullptr)(std::move(response));
    }

    Loop &m_loop;
    FakeRegistry &m_registry;
    HostId m_host;
    Timer m_timer;
    Handler m_handler;
    Revision m_watched;
    long m_checksLeft = 0;
    unsigned m_generation = 0;
    std::shared_ptr<int> m_alive = std::make_shared<int>();
};

/// The control plane of one node, with its links.
class TestNode
{
public:
    TestNode(Loop &loop, FakeRegistry &registry, const SocketAddress &address, const std::string &zone)
    {
        m_settings.self = {HostId(address.ip), RegionId("r"), ZoneId(zone), address.ip};
        m_settings.linkPort = address.port;
        m_settings.registry.address = "127.0.0.1:1";
        m_settings.registry.regions = {{ZoneId("a"), RegionId("r")}, {ZoneId("b"), RegionId("r")}};
        Link::Handlers handlers;
        handlers.onFrame = [this](const std::shared_ptr<Link> &link, FrameType type, std::string_view payload) {
            m_task->onFrame(link, static_cast<ControlFrame>(type), payload);
        };
        handlers.onUp = [](const std::shared_ptr<Link> &) {
        };
        handlers.onDown = [this](const std::shared_ptr<Link> &link, ResultCode) {
            if (m_task) {
                m_task->onLinkDown(link);
            }
        };
        m_links = std::make_unique<LinkPool>(loop, m_clock, LinkIdentity {m_settings.self.host, Incarnation(1)},
                                             address, m_settings.links, std::move(handlers));
        m_task = std::make_unique<RegistryTask>(
            ControlContext {loop, m_clock, m_settings, Incarnation(1), *m_links, m_metrics},
            [&loop, &registry, host = m_settings.self.host](const std::string &) {
                return std::make_unique<FakeSource>(loop, registry, host);
            });
        m_task->start();
    }

    [[nodiscard]] TicketNumber number() const
    {
        return m_task->current()->number;
    }
    [[nodiscard]] HostId host() const
    {
        return m_settings.self.host;
    }
    /// The value of a gauge; empty if it was never set.
    [[nodiscard]] std::string gauge(const std::string &name) const
    {
        const std::string text = m_metrics.render();
        const std::size_t start = text.find("\n" + name + ' ');
        return start == std::string::npos
            ? std::string()
            : text.substr(start + name.size() + 2, text.find('\n', start + 1) - start - name.size() - 2);
    }
    [[nodiscard]] RegistryTask &task() const
    {
        return *m_task;
    }

private:
    SystemClock m_clock;
    NodeSettings m_settings;
    Metrics m_metrics {m_clock};
    std::unique_ptr<LinkPool> m_links;
    std::unique_ptr<RegistryTask> m_task;
};

class RegistryTaskTest : public testing::Test
{
protected:
    static constexpr int Nodes = 8;

    void SetUp() override
    {
        m_address = testAddress();
        m_registry.configuration.services = {ServiceId("s")};
        m_registry.publish(3);
        for (int i = 0; i < Nodes; ++i) {
            RegisteredTarget target;
            target.id = EndpointId("t" + std::to_string(i));
            target.service = ServiceId("s");
            target.zone = ZoneId(i % 2 == 0 ? "a" : "b");
            target.address = {addressOf(i).ip, 80};
            target.slots = 4;
            target.revision = m_registry.revision;
            m_registry.targets.emplace(target.id, target);
        }
        for (int i = 0; i < Nodes; ++i) {
            start(i);
        }
    }

    [[nodiscard]] SocketAddress addressOf(int i) const
    {
        const std::string host = m_address.ip.substr(m_address.ip.find('.', 4));
        return {"127." + std::to_string(80 + i) + host, m_address.port};
    }

    void start(int i)
    {
        m_nodes[i] = std::make_unique<TestNode>(m_loop, m_registry, addressOf(i), i % 2 == 0 ? "a" : "b");
    }

    bool haveAll(std::uint64_t number)
    {
        return runUntil(m_loop, [&] {
            return std::all_of(m_nodes.begin(), m_nodes.end(),
                               [number](const auto &item) { return item.second->number() == TicketNumber(number); });
        });
    }

    /// Runs until exactly one node reads the registry, and returns its number.
    int awaitReader()
    {
        int reader = -1;
        EXPECT_TRUE(runUntil(m_loop, [&] {
            int readers = 0;
            for (const auto &[i, node] : m_nodes) {
                if (node->task().isReader()) {
                    ++readers;
                    reader = i;
                }
            }
            return readers == 1;
        }));
        return reader;
    }

    Loop m_loop;
    SocketAddress m_address;
    FakeRegistry m_registry;
    std::map<int, std::unique_ptr<TestNode>> m_nodes;
};

} // namespace

TEST_F(RegistryTaskTest, OneNodeReadsTheRegistryAndAllGetItsChanges)
{
    ASSERT_TRUE(haveAll(3));
    const int reader = awaitReader();
    m_registry.calls.clear();
    for (std::uint64_t number = 4; number < 8; ++number) {
        m_registry.publish(number);
        ASSERT_TRUE(haveAll(number));
    }
    for (const auto &[i, node] : m_nodes) {
        EXPECT_EQ(m_registry.calls[node->host()] > 0, i == reader) << node->host().value();
        EXPECT_EQ(node->task().current()->endpoints.size(), static_cast<std::size_t>(Nodes));
    }
}

TEST_F(RegistryTaskTest, StandbyTakesOverWhenTheReaderIsGone)
{
    ASSERT_TRUE(haveAll(3));
    const int reader = awaitReader();
    m_nodes.erase(reader);
    m_registry.publish(4);
    EXPECT_TRUE(haveAll(4));
    EXPECT_NE(awaitReader(), reader);
    // It comes back with nothing, and gets everything from a peer or the registry.
    start(reader);
    m_registry.publish(5);
    EXPECT_TRUE(haveAll(5));
}

TEST_F(RegistryTaskTest, ChangesArriveWhileTheRegistryTurnsTheReaderAway)
{
    ASSERT_TRUE(haveAll(3));
    m_registry.refused.insert(m_nodes.at(awaitReader())->host());
    m_registry.publish(4);
    EXPECT_TRUE(haveAll(4));
}

TEST_F(RegistryTaskTest, ChangesArriveWhileTheReadersWatchIsSilent)
{
    ASSERT_TRUE(haveAll(3));
    m_registry.silent.insert(m_nodes.at(awaitReader())->host());
    m_registry.publish(4);
    EXPECT_TRUE(haveAll(4)) << "the silent reader gets it from the others";
}

TEST_F(RegistryTaskTest, NodesServeOnWhileTheRegistryIsDownAndANewOneLearnsFromThem)
{
    ASSERT_TRUE(haveAll(3));
    const int reader = awaitReader();
    for (const auto &[i, node] : m_nodes) {
        m_registry.refused.insert(node->host());
    }
    const int other = (reader + 1) % Nodes;
    // It can find its peers in the registry, but the registry may still refuse all others.
    m_registry.refused.erase(HostId(addressOf(other).ip));
    m_nodes.erase(other);
    m_registry.calls.clear();
    start(other);
    EXPECT_TRUE(haveAll(3));
    EXPECT_EQ(m_registry.calls[HostId(addressOf(other).ip)], 0) << "it got its records from a peer";
    for (const auto &[i, node] : m_nodes) {
        EXPECT_TRUE(node->task().isReady());
    }
    m_registry.refused.clear();
    m_registry.publish(4);
    EXPECT_TRUE(haveAll(4));
}

TEST_F(RegistryTaskTest, LeavingReaderSendsItsPeersElsewhere)
{
    ASSERT_TRUE(haveAll(3));
    const int reader = awaitReader();
    m_nodes.at(reader)->task().beginDrain();
    EXPECT_FALSE(m_nodes.at(reader)->task().isReady());
    m_registry.publish(4);
    EXPECT_TRUE(haveAll(4));
}

TEST_F(RegistryTaskTest, EntriesOfUnknownServicesNameNoHostToReadAt)
{
    ASSERT_TRUE(haveAll(3));
    const std::size_t known = m_registry.targets.size();
    for (int i = 0; i < Nodes; ++i) {
        RegisteredTarget odd = m_registry.targets.begin()->second;
        odd.id = EndpointId("odd" + std::to_string(i));
        odd.service = ServiceId("unknown");
        odd.zone = ZoneId(i % 2 == 0 ? "a" : "b");
        odd.address.ip = addressOf(Nodes + i).ip;
        m_registry.targets.emplace(odd.id, odd);
    }
    m_registry.publish(4);
    ASSERT_TRUE(haveAll(4));
    std::set<std::string> hosts;
    for (const auto &[i, node] : m_nodes) {
        hosts.insert(node->host().value());
    }
    for (const auto &[i, node] : m_nodes) {
        EXPECT_EQ(node->task().current()->endpoints.size(), known);
        const nlohmann::json upstream = node->task().upstream(TimePoint());
        for (const nlohmann::json &candidate : upstream.at("candidates")) {
            EXPECT_TRUE(hosts.contains(candidate.get<std::string>()))
                << node->host().value() << " reads at " << candidate;
        }
    }
}

// Guards against a fleet that silently stands still: the reader says that it refuses the newest configuration.
TEST_F(RegistryTaskTest, RefusedConfigurationShowsUntilTheNextOne)
{
    ASSERT_TRUE(haveAll(3));
    const int reader = awaitReader();
    EXPECT_EQ(m_nodes.at(reader)->gauge("jasminemast_configuration_refused"), "0");
    m_registry.refuse(4, "routes r1: unknown service x");
    const auto shown = [this, reader] {
        return m_nodes.at(reader)->task().upstream(TimePoint()).value("refusedNumber", 0);
    };
    ASSERT_TRUE(runUntil(m_loop, [&] { return shown() == 4; }));
    EXPECT_EQ(m_nodes.at(reader)->gauge("jasminemast_configuration_refused"), "1");
    EXPECT_EQ(m_nodes.at(reader)->task().upstream(TimePoint()).at("refusedBecause"), "routes r1: unknown service x");
    EXPECT_EQ(m_nodes.at(reader)->number(), TicketNumber(3));
    EXPECT_TRUE(m_nodes.at(reader)->task().isReady());
    m_nodes.erase(reader);
    start(reader);
    EXPECT_TRUE(haveAll(3)) << "it gets the configuration of a peer";
    m_registry.publish(5);
    ASSERT_TRUE(haveAll(5));
    EXPECT_EQ(shown(), 0);
    EXPECT_EQ(m_nodes.at(reader)->gauge("jasminemast_configuration_refused"), "0");
}

TEST_F(RegistryTaskTest, MalformedFramesAreRefused)
{
    ASSERT_TRUE(haveAll(3));
    RegistryTask &task = m_nodes.at(0)->task();
    EXPECT_THROW(task.onFrame(nullptr, ControlFrame::SyncRequest, "short"), ResultError);
    EXPECT_THROW(task.onFrame(nullptr, ControlFrame::SyncReply, "short"), ResultError);
    EXPECT_THROW(task.onFrame(nullptr, ControlFrame::Pull, ""), ResultError);
}
