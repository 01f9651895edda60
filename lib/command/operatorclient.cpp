// Blocking HTTP client for the command line (libcurl easy interface).
#include "jasminemast/command/operatorclient.h"

#include "jasminemast/support/result.h"

#include <curl/curl.h>

#include <memory>

namespace jasminemast
{

namespace
{

constexpr long TimeoutMs = 5'000;
constexpr long StatusOk = 200;
constexpr std::size_t MaxResponseBytes = 64U << 20U;

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *body = static_cast<std::string *>(context);
    if (body->size() + size * count > MaxResponseBytes) {
        return 0;
    }
    body->append(data, size * count);
    return size * count;
}

using EasyHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;

EasyHandle makeEasyHandle()
{
    return {curl_easy_init(), &curl_easy_cleanup};
}

nlohmann::json perform(const EasyHandle &easy, const std::string &node, const std::string &path)
{
    const std::string url = "http://" + node + path;
    std::string body;
    curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, TimeoutMs);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &body);
    const CURLcode code = curl_easy_perform(easy.get());
    if (code != CURLE_OK) {
        throw ResultError(ResultCode::NodeUnreachable, url + ": " + curl_easy_strerror(code));
    }
    long status = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
    auto json = nlohmann::json::parse(body, nullptr, false);
    if (status != StatusOk || json.is_discarded()) {
        throw ResultError(ResultCode::NodeAnswerInvalid, url + ": status " + std::to_string(status));
    }
    return json;
}

} // namespace

nlohmann::json fetchFromNode(const std::string &node, const std::string &path)
{
    return perform(makeEasyHandle(), node, path);
}

nlohmann::json postToNode(const std::string &node, const std::string &path, const std::string &body)
{
    const EasyHandle easy = makeEasyHandle();
    curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, body.data());
    return perform(easy, node, path);
}

} // namespace jasminemast
