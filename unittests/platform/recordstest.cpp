// Decoding of the store's records and responses, and refusal of invalid ones.
#include "platform/records.h"
#include "platform/storeclient.h"

#include "jasminemast/support/base64.h"

#include <gtest/gtest.h>

using namespace jasminemast;
using namespace jasminemast::platform;
using Json = nlohmann::json;

namespace
{

Json serverValue()
{
    return Json::parse(R"({"address":"10.128.0.9:8080","born":1700000000000,
        "info":{"service":"huvo11a","version":"v1","zone":"brescia","slots":12},
        "status":{"state":"ready","seq":4,"cold-left-ms":250}})");
}

Json configurationValue()
{
    return Json::parse(R"({"version":"0000001c","base-version":"00000005","resources":[
        {"type-url":"routes","metadata":{"name":"r1"},"spec":{"host":"Jepu9.example","prefix":"/lepu270/",
         "kind":"idempotent","timeout-ms":2000,"target-latency-ms":600,"priority":2,
         "split":[{"service":"huvo11a","weight":90},{"service":"kafi81c","weight":10}],"attempts":2}},
        {"type-url":"routes","metadata":{"name":"r2"},"spec":{"host":"hulo84.example","prefix":"/x/","kind":
         "non_idempotent","timeout-ms":2000,"priority":1,"service":"huvo11a","attempts":1}},
        {"type-url":"services","metadata":{"name":"huvo11a"},"spec":{"health-path":"/healthz","max-conns":110}},
        {"type-url":"services","metadata":{"name":"kafi81c"},"spec":{}},
        {"type-url":"limits","metadata":{},"spec":{"max-header-bytes":16384,"idle-timeout-ms":15000}}]})");
}

Json item(const std::string &key, const std::string &bytes)
{
    return {{"key", key}, {"value", encodeBase64(bytes)}, {"rev", 7U}, {"create-revision", 7U}, {"lease", 0U}};
}

bool isRefused(const Json &value)
{
    const auto record = decodeItem(value);
    return record && std::holds_alternative<InvalidRecord>(*record);
}

} // namespace

TEST(RecordsTest, DecodesServerAsTarget)
{
    const auto record = decodeItem(item("servers/i-1", serverValue().dump()));
    const auto &target = std::get<RegisteredTarget>(*record);
    EXPECT_EQ(target.id, EndpointId("i-1"));
    EXPECT_EQ(target.service, ServiceId("huvo11a"));
    EXPECT_EQ(target.address, (SocketAddress {"10.128.0.9", 8080}));
    EXPECT_EQ(target.zone, ZoneId("brescia"));
    EXPECT_EQ(target.slots, 12U);
    EXPECT_FALSE(target.draining);
    EXPECT_EQ(target.warmUpRemaining, Milliseconds(250));
    EXPECT_EQ(target.sequence, 4U);
    EXPECT_EQ(target.startedAt, 1'700'000'000'000U);
    EXPECT_EQ(target.revision, Revision(7));
}

TEST(RecordsTest, DecodesRemovedServer)
{
    const auto record = decodeItem({{"key", "servers/i-1"}, {"rev", 413U}, {"removed", true}});
    EXPECT_EQ(std::get<TargetRemoved>(*record).revision, Revision(413));
}

TEST(RecordsTest, RefusesInvalidServerRecords)
{
    const std::vector<std::pair<const char *, Json>> invalidFields = {
        {"/address", "10.0.0.1"},
        {"/address", "somewhere:80"},
        {"/address", 5},
        {"/address", "10.0.0.1:0"},
        {"/address", "10.0.0.1:99999"},
        {"/info/service", 7},
        {"/info/service", ""},
        {"/info/slots", 0},
        {"/info/slots", -3},
        {"/info/slots", "12"},
        {"/info/zone", nullptr},
        {"/status/state", "resting"},
        {"/status/seq", -1},
        {"/status/seq", 1.5},
        {"/status/cold-left-ms", "soon"},
        {"/born", 1.5},
        {"/born", "now"},
        {"/info", "none"},
        {"/status", Json::array()},
    };
    for (const auto &[path, invalidValue] : invalidFields) {
        Json value = serverValue();
        value[Json::json_pointer(path)] = invalidValue;
        EXPECT_TRUE(isRefused(item("servers/i-1", value.dump()))) << path << " " << invalidValue;
    }
    for (const char *missing : {"/address", "/info/service", "/info/zone", "/info/version", "/info/slots",
                                "/status/state", "/status/seq", "/status/cold-left-ms"}) {
        Json value = serverValue();
        const Json::json_pointer pointer(missing);
        value[pointer.parent_pointer()].erase(pointer.back());
        EXPECT_TRUE(isRefused(item("servers/i-1", value.dump()))) << missing;
    }
    EXPECT_TRUE(isRefused(item("servers/i-1", "{\"address\":")));
    EXPECT_TRUE(isRefused(item("servers/i-1", "\xff\xfe")));
    EXPECT_TRUE(isRefused({{"key", "servers/i-1"}, {"value", "no base64!"}, {"rev", 7}}));
    EXPECT_TRUE(isRefused({{"key", "servers/i-1"}, {"value", 5}, {"rev", 7}}));
    EXPECT_TRUE(isRefused({{"value", "AAAA"}, {"rev", 7}}));
    EXPECT_FALSE(decodeItem(item("notes/x", "anything"))) << "other keys are not used";
}

TEST(RecordsTest, DecodesConfiguration)
{
    const PublishedConfiguration configuration = decodeConfiguration(configurationValue().dump());
    EXPECT_EQ(configuration.number, TicketNumber(0x1c));
    ASSERT_EQ(configuration.routes.size(), 2U);
    const Route &first = *configuration.routes[0];
    EXPECT_EQ(first.host, "jepu9.example");
    EXPECT_EQ(first.pathPrefix, "/lepu270/");
    EXPECT_EQ(first.repeatable, true);
    EXPECT_EQ(first.timeout, Milliseconds(2000));
    EXPECT_EQ(first.targetLatency, Milliseconds(600));
    EXPECT_EQ(first.attempts, 2U);
    EXPECT_EQ(first.priority, 2U);
    ASSERT_EQ(first.split.size(), 2U);
    EXPECT_EQ(first.split[0], (WeightedService {ServiceId("huvo11a"), 90}));
    EXPECT_EQ(configuration.routes[1]->repeatable, false);
    EXPECT_EQ(configuration.routes[1]->service, ServiceId("huvo11a"));
    EXPECT_EQ(configuration.requestLimits.idleTimeout, Milliseconds(15'000));
}

TEST(RecordsTest, DecodesRegionsAndWarmUpLimits)
{
    Json value = configurationValue();
    value["resources"][0]["spec"]["allowed-regions"] = {"bogota", "medellin"};
    value["resources"][1]["spec"]["allowed-regions"] = Json::array();
    for (Json &resource : value["resources"]) {
        if (resource["type-url"] == "services" && resource["metadata"]["name"] == "huvo11a") {
            resource["spec"] = {{"health-path", "/healthz"}, {"cold-start-s", 3.0}, {"cold-per-s", 7.9}};
        }
    }
    const PublishedConfiguration configuration = decodeConfiguration(value.dump());
    EXPECT_EQ(configuration.routes[0]->allowedRegions,
              (std::vector<RegionId> {RegionId("bogota"), RegionId("medellin")}));
    EXPECT_TRUE(configuration.routes[1]->allowedRegions.empty());
    ASSERT_EQ(configuration.warmUps.size(), 1U);
    EXPECT_EQ(configuration.warmUps[0].service, ServiceId("huvo11a"));
    EXPECT_EQ(configuration.warmUps[0].limits, (WarmUpLimits {Milliseconds(3'000), 7.9, "/healthz"}));
}

TEST(RecordsTest, DecodesEvacuations)
{
    const auto begun = std::get<ZoneEvacuation>(*decodeItem(item("op/evacuate/bog-a", "{}")));
    EXPECT_EQ(begun.zone, ZoneId("bog-a"));
    EXPECT_TRUE(begun.isActive);
    const auto unreadable = std::get<ZoneEvacuation>(*decodeItem(item("op/evacuate/bog-a", "\xff")));
    EXPECT_TRUE(unreadable.isActive) << "the key alone asks for it";
    const auto ended
        = std::get<ZoneEvacuation>(*decodeItem({{"key", "op/evacuate/bog-a"}, {"rev", 413U}, {"removed", true}}));
    EXPECT_FALSE(ended.isActive);
    EXPECT_EQ(ended.revision, Revision(413));
    EXPECT_FALSE(decodeItem(item("op/evacuate/", "{}"))) << "it names no zone";
    EXPECT_TRUE(isRefused({{"key", "op/evacuate/bog-a"}, {"value", "e30="}}));
}

TEST(RecordsTest, RefusesConfigurationWithAnyInvalidField)
{
    const std::vector<std::pair<const char *, Json>> invalidFields = {
        {"/version", "1c"},
        {"/version", "0000001g"},
        {"/version", 28},
        {"/resources", Json::object()},
        {"/resources/0/spec/prefix", "lepu270"},
        {"/resources/0/spec/prefix", "/lepu270"},
        {"/resources/0/spec/host", 5},
        {"/resources/0/spec/kind", 1},
        {"/resources/0/spec/timeout-ms", "0"},
        {"/resources/0/spec/timeout-ms", {-5}},
        {"/resources/0/spec/attempts", "0"},
        {"/resources/0/spec/allowed-regions", "bogota"},
        {"/resources/0/spec/allowed-regions", {5}},
        {"/resources/0/spec/split", Json::array()},
        {"/resources/0/spec/split/0/weight", -1},
        {"/resources/0/spec/split/0/service", "unknown"},
        {"/resources/1/spec/service", "unknown"},
        {"/resources/0/metadata/name", 1},
        {"/resources/0/type-url", 3},
    };
    for (const auto &[path, invalidValue] : invalidFields) {
        Json value = configurationValue();
        value[Json::json_pointer(path)] = invalidValue;
        EXPECT_TRUE(isRefused(item("op/config", value.dump()))) << path << " " << invalidValue;
    }
    Json zeroWeights = configurationValue();
    for (Json &part : zeroWeights["resources"][0]["spec"]["split"]) {
        part["weight"] = 0;
    }
    EXPECT_TRUE(isRefused(item("op/config", zeroWeights.dump())));
    const std::string complete = configurationValue().dump();
    EXPECT_TRUE(isRefused(item("op/config", complete.substr(0, complete.size() / 2))));
}

TEST(StoreResponseTest, DecodesPagesAndChanges)
{
    const Json page
        = {{"items", {item("servers/i-1", serverValue().dump())}}, {"has-more", true}, {"store-revision", 530}};
    const RegistryResponse first = decodeResponse(200, page.dump());
    EXPECT_EQ(first.code, ResultCode::Ok);
    EXPECT_EQ(first.next, "servers/i-1");
    EXPECT_EQ(first.revision, Revision(530));
    EXPECT_EQ(first.records.size(), 1U);
    const RegistryResponse changes
        = decodeResponse(200, R"({"events":[{"key":"servers/i-1","rev":413,"removed":true}],"store-revision":413})");
    EXPECT_EQ(changes.records.size(), 1U);
    EXPECT_TRUE(changes.next.empty());
}

TEST(StoreResponseTest, DecodesOnlyTheNewestRecordOfAKey)
{
    Json newer = configurationValue();
    newer["version"] = "0000001d";
    Json draining = serverValue();
    draining["status"]["state"] = "draining";
    const Json changes = {{"events",
                           {item("op/config", configurationValue().dump()), item("servers/i-1", serverValue().dump()),
                            item("op/config", newer.dump()), item("servers/i-1", draining.dump())}},
                          {"store-revision", 530}};
    const RegistryResponse response = decodeResponse(200, changes.dump());
    ASSERT_EQ(response.records.size(), 2U);
    EXPECT_EQ(std::get<PublishedConfiguration>(response.records[0]).number, TicketNumber(0x1d));
    EXPECT_TRUE(std::get<RegisteredTarget>(response.records[1]).draining);
}

TEST(StoreResponseTest, InvalidConfigurationDoesNotHideTheOneBeforeIt)
{
    const Json changes = {{"events", {item("op/config", configurationValue().dump()), item("op/config", "{}")}},
                          {"store-revision", 5}};
    const RegistryResponse response = decodeResponse(200, changes.dump());
    ASSERT_EQ(response.records.size(), 2U);
    EXPECT_TRUE(std::holds_alternative<PublishedConfiguration>(response.records[0]));
    EXPECT_TRUE(std::holds_alternative<InvalidRecord>(response.records[1]));
}

TEST(StoreResponseTest, DistinguishesFailures)
{
    EXPECT_EQ(decodeResponse(410, "").code, ResultCode::RegistryHistoryGone);
    EXPECT_EQ(decodeResponse(429, "").code, ResultCode::RegistryRefusing);
    EXPECT_EQ(decodeResponse(503, "").code, ResultCode::RegistryRefusing);
    for (const unsigned status : {0U, 1U, 99U, 100U, 199U, 500U, 600U, 999U}) {
        EXPECT_EQ(decodeResponse(status, R"({"items":[],"store-revision":1})").code, ResultCode::RegistryUnreachable)
            << status;
    }
    for (const char *body : {"", "[]", "{}", "{\"items\":[]}", "{\"items\":{},\"store-revision\":1}",
                             "{\"items\":[],\"store-revision\":\"1\"}", "{\"items\":[],\"store-revision\":1"}) {
        EXPECT_EQ(decodeResponse(200, body).code, ResultCode::RegistryAnswerMalformed) << body;
    }
}
