// Values of a configuration that the platform's pages allow, however unusual, and what each becomes on the way to
// every node: docs/design/registry-values.md, one row a field.
#include "platform/records.h"

#include "../registry/registryfleet.h"

#include "jasminemast/call/split.h"
#include "jasminemast/support/base64.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <stdexcept>

using namespace jasminemast;
using namespace jasminemast::platform;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace
{

constexpr Milliseconds Day = 24h;
constexpr const char *Split = "/resources/0/spec";
constexpr const char *Plain = "/resources/1/spec";

Json configurationValue(unsigned version = 0x1c)
{
    Json value = Json::parse(R"({"version":"","resources":[
        {"type-url":"routes","metadata":{"name":"r1"},"spec":{"host":"jepu9.example","prefix":"/lepu270/",
         "kind":"idempotent","timeout-ms":2000,"target-latency-ms":600,"priority":2,"attempts":2,
         "split":[{"service":"huvo11a","weight":90},{"service":"kafi81c","weight":10}]}},
        {"type-url":"routes","metadata":{"name":"r2"},"spec":{"host":"hulo84.example","prefix":"/x/",
         "kind":"non_idempotent","timeout-ms":2000,"priority":1,"service":"huvo11a","attempts":1}},
        {"type-url":"services","metadata":{"name":"huvo11a"},
         "spec":{"health-path":"/healthz","cold-start-s":3,"cold-per-s":8}},
        {"type-url":"services","metadata":{"name":"kafi81c"},"spec":{}},
        {"type-url":"limits","metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":1048576,
         "header-timeout-ms":5000,"idle-timeout-ms":15000}}]})");
    std::array<char, 9> digits {};
    std::snprintf(digits.data(), digits.size(), "%08x", version);
    value["version"] = digits.data();
    return value;
}

/// The configuration with the value of one field replaced by \p text, which is JSON; "none" removes the field.
Json with(const std::string &path, const std::string &text, Json value = configurationValue())
{
    const Json::json_pointer pointer(path);
    if (text == "none") {
        value[pointer.parent_pointer()].erase(pointer.back());
    } else {
        value[pointer] = Json::parse(text);
    }
    return value;
}

RegistryRecord decodeRecord(const Json &value)
{
    return *decodeItem({{"key", "op/config"}, {"value", encodeBase64(value.dump())}, {"rev", 7U}});
}

/// Why the configuration is refused; empty if it is not.
std::string refusal(const Json &value)
{
    const RegistryRecord record = decodeRecord(value);
    const auto *invalid = std::get_if<InvalidRecord>(&record);
    return invalid == nullptr ? std::string() : invalid->detail;
}

/// \throws std::runtime_error if the configuration is refused.
PublishedConfiguration decoded(const Json &value)
{
    const RegistryRecord record = decodeRecord(value);
    if (const auto *invalid = std::get_if<InvalidRecord>(&record)) {
        throw std::runtime_error(invalid->detail);
    }
    return std::get<PublishedConfiguration>(record);
}

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

/// The route of a configuration in which one field of the route is replaced.
Route routeWith(const std::string &spec, const std::string &field, const std::string &text)
{
    return *decoded(with(spec + "/" + field, text)).routes.at(spec == Split ? 0 : 1);
}

RequestLimits limitsWith(const std::string &field, const std::string &text)
{
    return decoded(with("/resources/4/spec/" + field, text)).requestLimits;
}

WarmUpLimits warmUpWith(const std::string &field, const std::string &text)
{
    const PublishedConfiguration configuration = decoded(with("/resources/2/spec/" + field, text));
    return configuration.warmUps.empty() ? WarmUpLimits() : configuration.warmUps.front().limits;
}

std::string longText(std::size_t bytes)
{
    std::string text = "/";
    while (text.size() < bytes) {
        text += "mercato-usato/";
    }
    return text;
}

/// Share of the requests that the first part of a split gets.
double shareOfFirst(const std::string &weights)
{
    constexpr int Calls = 10'000;
    const Route route = routeWith(Split, "split", weights);
    RouteSplit split;
    int count = 0;
    for (int i = 0; i < Calls && !route.split.empty(); ++i) {
        count += split.next(route) == route.split.front().service ? 1 : 0;
    }
    return static_cast<double>(count) / Calls;
}

/// Routes by their ids.
std::map<RouteId, Route> routesOf(const PublishedConfiguration &configuration)
{
    std::map<RouteId, Route> routes;
    for (const RoutePtr &route : configuration.routes) {
        routes.emplace(route->id, *route);
    }
    return routes;
}

bool areSame(const PublishedConfiguration &left, const PublishedConfiguration &right)
{
    const auto isSameWarmUp = [](const ServiceWarmUp &one, const ServiceWarmUp &other) {
        return one.service == other.service && one.limits == other.limits;
    };
    return left.number == right.number && left.digest == right.digest && routesOf(left) == routesOf(right)
        && left.services == right.services && left.requestLimits == right.requestLimits
        && std::equal(left.warmUps.begin(), left.warmUps.end(), right.warmUps.begin(), right.warmUps.end(),
                      isSameWarmUp);
}

/// What a peer makes of \p target, which it gets as a whole or as the difference to \p base.
PublishedConfiguration passedOn(const PublishedConfiguration &target, const PublishedConfiguration *base)
{
    SyncContent content;
    content.configuration
        = base == nullptr ? ConfigurationDelta {TicketNumber(0), target, {}} : makeDelta(*base, target);
    const SyncContent received = decodeSyncContent(encodeSyncContent(content));
    return base == nullptr ? received.configuration->configuration : applyDelta(*base, *received.configuration);
}

/// The state in which \p configuration is in force.
State inForce(const PublishedConfiguration &configuration)
{
    State state;
    std::map<RouteId, RoutePtr> routes;
    for (const RoutePtr &route : configuration.routes) {
        routes.emplace(route->id, route);
    }
    state.routes = State::RouteMap(std::move(routes));
    state.routeIndex = std::make_shared<const RouteIndex>(state);
    return state;
}

/// One field of an entry, and values that are taken whatever the others are.
struct Field
{
    std::string path;
    std::vector<std::string> values;
};

std::vector<Field> takenFields()
{
    const std::vector<std::string> numbers {"none", "null", "0",     "-1",   "1",    "2000.0",     "2e3",
                                            "0.25", "1e19", "1e300", "12.5", "-0.5", "5000000000", "172800000"};
    const std::vector<std::string> weights {"0.5", "12.5", "87.5", "1", "90.0", "1e300", "5000000000", "0.000001"};
    std::vector<Field> fields;
    for (const char *spec : {Split, Plain}) {
        for (const char *field : {"timeout-ms", "target-latency-ms", "priority", "attempts"}) {
            fields.push_back({std::string(spec) + "/" + field, numbers});
        }
        fields.push_back(
            {std::string(spec) + "/kind", {"none", "null", "\"\"", "\"download\"", quoted(longText(300))}});
        fields.push_back({std::string(spec) + "/allowed-regions", {"null", "[]", "[\"" + longText(300) + "\"]"}});
        fields.push_back({std::string(spec) + "/host",
                          {quoted(std::string(300, 'A') + ".example"), "\"Jepu9.EXAMPLE:8080\"", "\"h\\u00e9\""}});
    }
    fields.push_back({std::string(Split) + "/service", {"null", "\"\"", "5", "\"unknown\""}});
    fields.push_back({std::string(Split) + "/split/0/weight", weights});
    fields.push_back({std::string(Split) + "/split/1/weight", weights});
    fields.push_back({std::string(Plain) + "/split", {"null", "[]", R"([{"service":"kafi81c","weight":0}])"}});
    fields.push_back({std::string(Plain) + "/prefix", {quoted(longText(231)), quoted(longText(5'000)), "\"/\""}});
    fields.push_back({"/resources/0/metadata/name", {"none", "null", "\"\"", "\"r2\"", quoted(longText(300))}});
    fields.push_back({"/resources/1/metadata", {"none", "null", "{}", "[]", "{\"name\":\"r1\"}"}});
    fields.push_back({"/resources/3/spec", {"none", "null", "[]", "\"\"", "{\"max-conns\":\"many\"}"}});
    for (const char *field : {"cold-start-s", "cold-per-s"}) {
        fields.push_back({std::string("/resources/2/spec/") + field, numbers});
    }
    fields.push_back(
        {"/resources/2/spec/health-path", {"none", "null", "\"\"", "5", "\"healthz\"", quoted(longText(300))}});
    for (const char *field : {"max-header-bytes", "max-body-bytes", "header-timeout-ms", "idle-timeout-ms"}) {
        fields.push_back({std::string("/resources/4/spec/") + field, numbers});
    }
    return fields;
}

} // namespace

TEST(ConfigurationValuesTest, LongTextsAreTakenAsTheyAre)
{
    for (const std::size_t bytes : {201U, 231U, 5'000U, 100'000U}) {
        const std::string text = longText(bytes);
        EXPECT_EQ(routeWith(Plain, "prefix", quoted(text)).pathPrefix, text);
        EXPECT_EQ(routeWith(Plain, "host", quoted(std::string(bytes, 'A'))).host, std::string(bytes, 'a'));
        EXPECT_EQ(routeWith(Plain, "kind", quoted(text)).repeatable, false);
        EXPECT_EQ(routeWith(Plain, "allowed-regions", "[" + quoted(text) + "]").allowedRegions,
                  std::vector<RegionId> {RegionId(text)});
        EXPECT_EQ(decoded(with("/resources/1/metadata/name", quoted(text))).routes[1]->id, RouteId(text));
        Json service = with("/resources/3/metadata/name", quoted(text));
        service = with(std::string(Split) + "/split/1/service", quoted(text), service);
        EXPECT_EQ(decoded(service).routes[0]->split[1].service, ServiceId(text));
    }
}

TEST(ConfigurationValuesTest, TimesAreSaturatedAndZeroMeansNone)
{
    const std::vector<std::tuple<std::string, Milliseconds, Milliseconds>> rows = {{"2000.0", 2s, 2s},
                                                                                   {"2e3", 2s, 2s},
                                                                                   {"1500.7", 1'500ms, 1'500ms},
                                                                                   {"0.25", 1ms, 1ms},
                                                                                   {"172800000", Day, Day},
                                                                                   {"1e300", Day, Day},
                                                                                   {"18446744073709551616", Day, Day},
                                                                                   {"0", Day, 0ms},
                                                                                   {"-5", Day, 0ms},
                                                                                   {"null", Day, 0ms},
                                                                                   {"none", Day, 0ms}};
    for (const auto &[text, timeout, other] : rows) {
        EXPECT_EQ(routeWith(Plain, "timeout-ms", text).timeout, timeout) << text;
        EXPECT_EQ(routeWith(Split, "target-latency-ms", text).targetLatency, other) << text;
        EXPECT_EQ(limitsWith("header-timeout-ms", text).headerTimeout, other) << text;
        EXPECT_EQ(limitsWith("idle-timeout-ms", text).idleTimeout, other) << text;
    }
}

TEST(ConfigurationValuesTest, CountsAreSaturated)
{
    const std::vector<std::tuple<std::string, unsigned, unsigned>> rows
        = {{"2.0", 2, 2}, {"2.9", 2, 2},  {"0.5", 1, 1},  {"1e20", UINT32_MAX, UINT32_MAX},      {"-1", 0, 1},
           {"0", 0, 1},   {"null", 0, 1}, {"none", 0, 1}, {"4294967296", UINT32_MAX, UINT32_MAX}};
    for (const auto &[text, priority, attempts] : rows) {
        EXPECT_EQ(routeWith(Plain, "priority", text).priority, priority) << text;
        EXPECT_EQ(routeWith(Plain, "attempts", text).attempts, attempts) << text;
    }
    EXPECT_EQ(limitsWith("max-body-bytes", "5000000000").maxBodyBytes, 5'000'000'000U);
    EXPECT_EQ(limitsWith("max-body-bytes", "1e300").maxBodyBytes, SIZE_MAX);
    EXPECT_EQ(limitsWith("max-header-bytes", "16384.0").maxHeaderBytes, 16'384U);
    for (const char *text : {"0", "-1", "null", "none"}) {
        EXPECT_EQ(limitsWith("max-header-bytes", text).maxHeaderBytes, 0U) << text;
    }
}

TEST(ConfigurationValuesTest, WeightsKeepTheirProportions)
{
    const auto weights = [](const std::string &first, const std::string &second) {
        return R"([{"service":"huvo11a","weight":)" + first + R"(},{"service":"kafi81c","weight":)" + second + "}]";
    };
    EXPECT_NEAR(shareOfFirst(weights("12.5", "87.5")), 0.125, 0.0002);
    EXPECT_NEAR(shareOfFirst(weights("0.2", "0.6")), 0.25, 0.0002);
    EXPECT_NEAR(shareOfFirst(weights("1e300", "3e300")), 0.25, 0.0002);
    EXPECT_NEAR(shareOfFirst(weights("5000000000", "5000000000")), 0.5, 0.0002);
    EXPECT_NEAR(shareOfFirst(weights("1e-300", "1e300")), 0, 0.0002);
    EXPECT_NEAR(shareOfFirst(weights("0", "0.5")), 0, 0);
    EXPECT_EQ(routeWith(Split, "split", weights("90.0", "1e1")).split,
              (std::vector<WeightedService> {{ServiceId("huvo11a"), 90}, {ServiceId("kafi81c"), 10}}));
    EXPECT_EQ(routeWith(Split, "split", weights("1e-300", "1")).split[0].weight, 1U) << "it gets some requests";
}

TEST(ConfigurationValuesTest, SplitWithoutSharesLeavesTheService)
{
    for (const char *split : {"null", "[]", R"([{"service":"kafi81c","weight":0}])"}) {
        const Route route = routeWith(Plain, "split", split);
        EXPECT_TRUE(route.split.empty()) << split;
        EXPECT_EQ(route.service, ServiceId("huvo11a")) << split;
    }
    for (const char *service : {"null", "\"\"", "5", "\"unknown\""}) {
        EXPECT_EQ(routeWith(Split, "service", service).split.size(), 2U) << service;
    }
}

TEST(ConfigurationValuesTest, RoutesOfOneNameOrNoneAreAllInForce)
{
    for (const char *metadata :
         {"none", "null", "{}", "[]", R"({"name":null})", R"({"name":""})", R"({"name":"r1"})"}) {
        const PublishedConfiguration configuration = decoded(with("/resources/1/metadata", metadata));
        const State state = inForce(configuration);
        EXPECT_EQ(state.routes.size(), 2U) << metadata;
        EXPECT_NE(state.findRoute("GET", "/lepu270/2f", "jepu9.example"), nullptr) << metadata;
        EXPECT_NE(state.findRoute("GET", "/x/2f", "hulo84.example"), nullptr) << metadata;
    }
    Json many = configurationValue();
    for (const char *name : {"r1", "r1#2", "r1", "r1"}) {
        Json route = many["resources"][0];
        route["metadata"]["name"] = name;
        route["spec"]["prefix"] = "/" + std::to_string(many["resources"].size()) + "/";
        many["resources"].push_back(route);
    }
    EXPECT_EQ(inForce(decoded(many)).routes.size(), 6U);
}

TEST(ConfigurationValuesTest, HostHasNoPort)
{
    EXPECT_EQ(routeWith(Plain, "host", "\"Hulo84.example:8080\"").host, "hulo84.example");
}

TEST(ConfigurationValuesTest, WarmUpLimitsAreSaturated)
{
    EXPECT_EQ(warmUpWith("cold-start-s", "1e9").duration, Day);
    EXPECT_EQ(warmUpWith("cold-start-s", "-1").duration, 0ms);
    EXPECT_EQ(warmUpWith("cold-start-s", "2.5").duration, 2'500ms);
    EXPECT_EQ(warmUpWith("cold-per-s", "1e30").requestsPerSecond, 1e9);
    EXPECT_EQ(warmUpWith("cold-per-s", "0.5").requestsPerSecond, 0.5);
    EXPECT_TRUE(decoded(with("/resources/2/spec/cold-per-s", "-1")).warmUps.empty());
    EXPECT_EQ(warmUpWith("health-path", "\"healthz\"").healthPath, "/healthz");
    EXPECT_EQ(warmUpWith("health-path", quoted(longText(300))).healthPath, longText(300));
    for (const char *path : {"none", "null", "\"\"", "5"}) {
        EXPECT_EQ(warmUpWith("health-path", path).healthPath, "") << path;
    }
    EXPECT_EQ(decoded(with("/resources/3/spec", "\"\"")).services.size(), 2U);
}

TEST(ConfigurationValuesTest, EntriesOfOtherTypesAreIgnored)
{
    for (const std::string &type : {quoted(""), quoted("quotas"), quoted(std::string(300, 'q'))}) {
        const PublishedConfiguration configuration = decoded(with("/resources/4/type-url", type));
        EXPECT_EQ(configuration.requestLimits, RequestLimits()) << type;
        EXPECT_EQ(configuration.routes.size(), 2U) << type;
    }
    EXPECT_EQ(decoded(with("/resources/4/spec", "none")).requestLimits, RequestLimits());
}

// What has no meaning at all is refused whole, and the log says which field it was and what stood there.
TEST(ConfigurationValuesTest, RefusalNamesTheFieldAndWhatStoodThere)
{
    const std::string split = Split;
    const std::string plain = Plain;
    const std::vector<std::tuple<std::string, std::string, std::string>> rows = {
        {"/version", "\"1c\"", "version: not eight hexadecimal digits"},
        {"/version", "28", "version: number in place of a string"},
        {"/resources", "{}", "resources: object in place of an array"},
        {"/resources", "none", "resources: missing"},
        {"/resources/0/type-url", "3", "type-url: number in place of a string"},
        {"/resources/0", "null", "type-url: missing"},
        {"/resources/0/metadata/name", "1", "routes : name: number in place of a string"},
        {"/resources/0/spec", "none", "routes r1: host: missing or empty"},
        {split + "/host", "5", "routes r1: host: number in place of a string"},
        {split + "/host", "\":80\"", "routes r1: host: only a port"},
        {split + "/prefix", "\"\"", "routes r1: prefix: missing or empty"},
        {split + "/prefix", "\"lepu270/\"", "routes r1: prefix: no slash at its start or end"},
        {split + "/prefix", "\"/lepu270\"", "routes r1: prefix: no slash at its start or end"},
        {split + "/kind", "1", "routes r1: kind: number in place of a string"},
        {split + "/timeout-ms", "\"2 s\"", "routes r1: timeout-ms: string in place of a number"},
        {split + "/attempts", "true", "routes r1: attempts: boolean in place of a number"},
        {split + "/priority", "[]", "routes r1: priority: array in place of a number"},
        {split + "/split", "{}", "routes r1: split: object in place of an array"},
        {split + "/split", "[]", "routes r1: service: missing or empty"},
        {split + "/split/0/weight", "-1", "routes r1: weight: missing or negative"},
        {split + "/split/0/weight", "none", "routes r1: weight: missing or negative"},
        {split + "/split/0/weight", "\"90\"", "routes r1: weight: string in place of a number"},
        {split + "/split/0/service", "\"unknown\"", "routes r1: unknown service unknown"},
        {split + "/allowed-regions", "\"bogota\"", "routes r1: allowed-regions: string in place of an array"},
        {split + "/allowed-regions", "[5]", "routes r1: allowed-regions: an entry that is no name"},
        {plain + "/service", "null", "routes r2: service: missing or empty"},
        {plain + "/service", "\"unknown\"", "routes r2: unknown service unknown"},
        {"/resources/2/metadata/name", "\"\"", "services : name: missing or empty"},
        {"/resources/2/spec/cold-per-s", "\"8\"", "services huvo11a: cold-per-s: string in place of a number"},
        {"/resources/4/spec/max-body-bytes", "{}", "limits : max-body-bytes: object in place of a number"},
    };
    for (const auto &[path, text, detail] : rows) {
        EXPECT_EQ(refusal(with(path, text)), "op/config: " + detail) << path << " " << text;
    }
    const std::string longName(100'000, 'n');
    EXPECT_LT(refusal(with(plain + "/service", "5", with("/resources/1/metadata/name", quoted(longName)))).size(),
              300U);
    EXPECT_LT(refusal(with(plain + "/service", quoted(longName))).size(), 300U);
}

// One odd value must not stop the versions after it: on both nodes, and on one that starts meanwhile.
TEST(ConfigurationValuesTest, VersionAfterAnOddOneIsInForceOnAllNodes)
{
    for (const Field &field : takenFields()) {
        for (const std::string &text : field.values) {
            RegistryFleet fleet(2, 1);
            fleet.publish(decodeRecord(configurationValue(7)));
            fleet.runUntil(RegistryFleet::Start + 4s);
            fleet.publish(decodeRecord(with(field.path, text, configurationValue(9))));
            fleet.runUntil(RegistryFleet::Start + 6'500ms);
            fleet.restart(0);
            fleet.publish(decodeRecord(with(field.path, text, configurationValue(12))));
            fleet.runUntil(RegistryFleet::Start + 9s);
            for (std::size_t node = 0; node < fleet.size(); ++node) {
                EXPECT_EQ(fleet.numberAt(node), TicketNumber(12)) << field.path << " " << text << " node " << node;
            }
        }
    }
}

// Any number of odd values in one version: decoded, passed on to a peer whole and as a difference, and in force.
RC_GTEST_PROP(ConfigurationValuesProperty, WhatTheTableTakesReachesEveryPeerUnchanged, ())
{
    static const std::vector<Field> fields = takenFields();
    Json value = configurationValue();
    Json before = configurationValue(0x1b);
    for (const Field &field : fields) {
        // The entry's fields can't be set if the entry itself was replaced.
        if (*rc::gen::inRange(0, 3) == 0) {
            value = with(field.path, *rc::gen::elementOf(field.values), value);
        }
        if (*rc::gen::inRange(0, 8) == 0) {
            before = with(field.path, *rc::gen::elementOf(field.values), before);
        }
    }
    RC_LOG() << value.dump() << "\n";
    RC_ASSERT(refusal(value).empty());
    const PublishedConfiguration configuration = decoded(value);
    const PublishedConfiguration base = decoded(before);
    RC_ASSERT(areSame(passedOn(configuration, nullptr), configuration));
    RC_ASSERT(areSame(passedOn(configuration, &base), configuration));
    const State state = inForce(configuration);
    for (const RoutePtr &route : configuration.routes) {
        RC_ASSERT(state.findRoute("GET", route->pathPrefix + "2f", route->host) == route.get());
        RC_ASSERT(route->timeout > 0ms);
        RC_ASSERT(route->attempts > 0U);
    }
}
