// Creates HTTP responses and parses request bodies with nlohmann-json.
#include "jsonhttp.h"

#include <stdexcept>

namespace jasminemast::standin
{

HttpResponse jsonResponse(unsigned status, const nlohmann::json &json)
{
    return {status, json.dump() + "\n", {{"Content-Type", "application/json"}}, {}};
}

HttpResponse textResponse(unsigned status, const std::string &text)
{
    return {status, text + "\n", {{"Content-Type", "text/plain"}}, {}};
}

nlohmann::json parseObject(const std::string &body)
{
    auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        throw std::invalid_argument("the body is no JSON object");
    }
    return json;
}

} // namespace jasminemast::standin
