// Delays, faults and byte counts of the links between zones.
#include "standins/zonelink.h"

#include "harness/httpcall.h"
#include "serving.h"
#include "standins/socketaddress.h"

#include <gtest/gtest.h>

namespace jasminemast::standin
{

namespace
{

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::chrono::milliseconds ShortTimeout {150};

LinkMatrix makeThreeZones()
{
    return {{{1, "lombardy"}, {2, "lombardy"}, {3, "veneto"}}, "lombardy", 500us, 20ms, 1'000'000};
}

TEST(LinkMatrix, DelaysByRegionAndByBytesStillInTransmission)
{
    LinkMatrix links = makeThreeZones();
    const LinkMatrix::TimePoint now {1h};
    EXPECT_EQ(links.arrivalTime(1, 2, 0, now), now + 500us);
    EXPECT_EQ(links.arrivalTime(1, 3, 1'000, now), now + 1ms + 20ms);
    EXPECT_EQ(links.arrivalTime(1, 3, 1'000, now), now + 2ms + 20ms);
    EXPECT_EQ(links.arrivalTime(3, 1, 0, now), now + 20ms);
    EXPECT_TRUE(links.direction(PlatformZone, 3).paid);
    EXPECT_FALSE(links.direction(1, 2).paid);
}

struct ModeCase
{
    const char *name;
    json request;
    bool forwardDelivers; ///< from zone 1 to zone 3
    bool backDelivers;
    bool otherPairDelivers; ///< from zone 1 to zone 2
};

class LinkModes : public testing::TestWithParam<ModeCase>
{
};

TEST_P(LinkModes, DropTrafficOnlyInTheGivenDirections)
{
    LinkMatrix links = makeThreeZones();
    links.apply(GetParam().request);
    const LinkMatrix::TimePoint now {1h};
    EXPECT_EQ(links.arrivalTime(1, 3, 1, now).has_value(), GetParam().forwardDelivers);
    EXPECT_EQ(links.arrivalTime(3, 1, 1, now).has_value(), GetParam().backDelivers);
    EXPECT_EQ(links.arrivalTime(1, 2, 1, now).has_value(), GetParam().otherPairDelivers);
    links.apply({{"from", "*"}, {"to", "*"}, {"mode", "ok"}});
    EXPECT_TRUE(links.arrivalTime(1, 3, 1, now) && links.arrivalTime(3, 1, 1, now) && links.arrivalTime(1, 2, 1, now));
}

const std::vector<ModeCase> ModeCases = {
    {"ok", {{"from", 1}, {"to", 3}, {"mode", "ok"}}, true, true, true},
    {"cut", {{"from", 1}, {"to", 3}, {"mode", "cut"}}, false, false, true},
    {"silent", {{"from", 3}, {"to", 1}, {"mode", "silent"}}, false, false, true},
    {"silentForward", {{"from", 1}, {"to", 3}, {"mode", "silent-forward"}}, false, true, true},
    {"silentBack", {{"from", 1}, {"to", 3}, {"mode", "silent-back"}}, true, false, true},
    {"everyZone", {{"from", 1}, {"to", "*"}, {"mode", "cut"}}, false, false, false},
};

INSTANTIATE_TEST_SUITE_P(Modes, LinkModes, testing::ValuesIn(ModeCases),
                         [](const auto &each) { return std::string(each.param.name); });

TEST(LinkMatrix, RefusesUnknownZonesAndModes)
{
    LinkMatrix links = makeThreeZones();
    EXPECT_THROW(links.apply({{"from", 9}, {"to", 1}, {"mode", "cut"}}), std::invalid_argument);
    EXPECT_THROW(links.apply({{"from", 1}, {"to", 2}, {"mode", "sideways"}}), std::invalid_argument);
}

TEST(RelayAddress, EncodesSourceZoneAndHostZone)
{
    const sockaddr_in host = parseSocketAddress("127.3.0.7:7002");
    const sockaddr_in address = relayAddress(host, 2);
    EXPECT_EQ(formatSocketAddress(address), "127.35.0.7:7002");
    EXPECT_EQ(relayZonePair(address).from, 2U);
    EXPECT_EQ(formatSocketAddress(realAddress(address)), "127.3.0.7:7002");
    const sockaddr_in platform = relayAddress(parseSocketAddress("127.0.0.10:8500"), 2);
    EXPECT_EQ(formatSocketAddress(platform), "127.47.0.10:8500");
    EXPECT_EQ(formatSocketAddress(realAddress(platform)), "127.0.0.10:8500");
}

/// An HTTP server in zone 3 that a client in zone 1 connects to through the relay.
class ZoneLinkTest : public testing::Test
{
protected:
    static constexpr const char *ResponseBody = "0123456789";

    ZoneLinkTest()
    {
        ZoneLinkSettings settings;
        settings.zones = {{1, "lombardy"}, {3, "veneto"}};
        settings.platformRegion = "lombardy";
        settings.zoneDelay = 100us;
        settings.regionDelay = 1ms;
        settings.hosts = {m_host};
        m_link = std::make_unique<ZoneLink>(m_loop, parseSocketAddress("127.0.0.1:0"), settings);
    }

    long fetchStatus()
    {
        const std::string url = "http://" + formatSocketAddress(relayAddress(m_host, 1)) + "/";
        return whileServing(m_loop, [url] { return harness::httpCall("GET", url, {}, ShortTimeout).status; });
    }

    EventLoop m_loop;
    HttpServer m_server {m_loop, parseSocketAddress("127.3.0.1:0"), [](const HttpExchangePtr &exchange) {
                             exchange->respond({200, ResponseBody, {}, {}});
                         }};
    sockaddr_in m_host = parseSocketAddress("127.3.0.1:" + std::to_string(m_server.port()));
    std::unique_ptr<ZoneLink> m_link;
};

TEST_F(ZoneLinkTest, RelaysAndCountsPaidBytes)
{
    EXPECT_EQ(fetchStatus(), 200);
    const json bytes = m_link->bytesJson();
    const json &pairs = bytes.at("pairs");
    ASSERT_EQ(pairs.size(), 2U);
    EXPECT_EQ(pairs.at(0).at("connections"), 1);
    EXPECT_GT(pairs.at(1).at("tcpBytes").get<unsigned>(), std::string(ResponseBody).size());
    EXPECT_EQ(bytes.at("unpaidBytes"), 0);
    EXPECT_GT(bytes.at("paidBytes").get<unsigned>(), 0U);
}

TEST_F(ZoneLinkTest, DeliversNothingWhileCutOrSilentAndRecoversAfterwards)
{
    for (const char *mode : {"cut", "silent", "silent-forward", "silent-back"}) {
        m_link->apply({{"from", 1}, {"to", 3}, {"mode", mode}});
        EXPECT_EQ(fetchStatus(), 0) << mode;
        m_link->apply({{"from", 1}, {"to", 3}, {"mode", "ok"}});
        EXPECT_EQ(fetchStatus(), 200) << mode;
    }
}

TEST_F(ZoneLinkTest, SilencesOpenConnectionsPermanentlyWhileNewOnesWork)
{
    const int client = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = relayAddress(m_host, 1);
    const timeval timeout {0, 150'000};
    setsockopt(client, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    const auto sendRequest = [this, client] {
        return whileServing(m_loop, [client] {
            const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
            std::array<char, 1024> response {};
            send(client, request.data(), request.size(), MSG_NOSIGNAL);
            return recv(client, response.data(), response.size(), 0);
        });
    };
    ASSERT_EQ(connect(client, reinterpret_cast<const sockaddr *>(&address), sizeof(address)), 0);
    EXPECT_GT(sendRequest(), 0);
    m_link->apply({{"from", 1}, {"to", 3}, {"mode", "silent-existing"}});
    EXPECT_EQ(sendRequest(), -1);
    EXPECT_EQ(fetchStatus(), 200);
    EXPECT_EQ(sendRequest(), -1);
    close(client);
}

TEST_F(ZoneLinkTest, RelaysDatagramsInOneDirection)
{
    const int receiver = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
    ASSERT_EQ(bind(receiver, reinterpret_cast<const sockaddr *>(&m_host), sizeof(m_host)), 0);
    const int sender = socket(AF_INET, SOCK_DGRAM, 0);
    const sockaddr_in address = relayAddress(m_host, 1);
    std::array<char, 16> data {};
    sendto(sender, ResponseBody, 10, 0, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    m_loop.runUntil([&] { return recv(receiver, data.data(), data.size(), 0) == 10; }, 10s);
    EXPECT_STREQ(data.data(), ResponseBody);
    EXPECT_EQ(m_link->bytesJson().at("pairs").at(0).at("udpBytes"), 10);
    EXPECT_EQ(m_link->bytesJson().at("pairs").at(0).at("datagrams"), 1);
    close(receiver);
    close(sender);
}

} // namespace

} // namespace jasminemast::standin
