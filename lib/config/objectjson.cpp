// Writes objects under the keys that the ticket parser reads.
#include "objectjson.h"

namespace jasminemast
{

using Json = nlohmann::json;

Json toJson(const Route &route)
{
    Json json;
    json["pathPrefix"] = route.pathPrefix;
    json["methods"] = route.methods;
    json["service"] = route.service.value();
    if (route.repeatable) {
        json["repeatable"] = *route.repeatable;
    }
    json["timeoutMs"] = route.timeout.count();
    return json;
}

Json toJson(const Service &service)
{
    auto endpoints = Json::array();
    for (const EndpointId &endpoint : service.endpoints) {
        endpoints.push_back(endpoint.value());
    }
    return {{"endpoints", std::move(endpoints)}};
}

Json toJson(const Endpoint &endpoint)
{
    return {{"host", endpoint.host.value()},
            {"port", endpoint.port},
            {"slots", endpoint.slots},
            {"draining", endpoint.draining}};
}

} // namespace jasminemast
