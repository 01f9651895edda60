// Uses libcurl's easy interface with a new handle for each request.
#include "httpcall.h"

#include <curl/curl.h>
#include <memory>
#include <stdexcept>

namespace jasminemast::harness
{

namespace
{

std::size_t appendBody(char *data, std::size_t, std::size_t length, void *target)
{
    static_cast<std::string *>(target)->append(data, length);
    return length;
}

} // namespace

HttpResponse httpCall(const std::string &method, const std::string &url, const std::string &body,
                      std::chrono::milliseconds timeout)
{
    HttpResponse response;
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(curl_easy_init(), &curl_easy_cleanup);
    const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(curl_slist_append(nullptr, "Expect:"),
                                                                              &curl_slist_free_all);
    curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &response.body);
    if (method != "GET") {
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
        curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, body.data());
        curl_easy_setopt(easy.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
    }
    if (curl_easy_perform(easy.get()) != CURLE_OK) {
        return response;
    }
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &response.status);
    curl_header *index = nullptr;
    if (curl_easy_header(easy.get(), "X-Index", 0, CURLH_HEADER, -1, &index) == CURLHE_OK) {
        response.index = index->value;
    }
    return response;
}

nlohmann::json getJson(const std::string &url)
{
    const HttpResponse response = httpCall("GET", url);
    auto json = nlohmann::json::parse(response.body, nullptr, false);
    if (response.status != 200 || json.is_discarded()) {
        throw std::runtime_error("GET " + url + " returned status " + std::to_string(response.status) + ": "
                                 + response.body);
    }
    return json;
}

nlohmann::json postJson(const std::string &url, const nlohmann::json &body)
{
    const HttpResponse response = httpCall("POST", url, body.dump());
    if (response.status != 200) {
        throw std::runtime_error("POST " + url + " returned status " + std::to_string(response.status) + ": "
                                 + response.body);
    }
    return nlohmann::json::parse(response.body, nullptr, false);
}

} // namespace jasminemast::harness
