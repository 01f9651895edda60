// Watches one value of the platform, such as the host list, by long polls.
#pragma once

#include "jasminemast/net/httpclient.h"

#include <functional>
#include <memory>
#include <string>

namespace jasminemast
{

/// Long-polls one URL and reports each new value.
class SourceWatcher
{
public:
    struct Handlers
    {
        std::function<void(std::string_view value)> onValue;
        std::function<void(ResultCode code, const std::string &detail)> onFailure;
    };

    SourceWatcher(Loop &loop, HttpClient &http, std::string url, Handlers handlers);

    void start();
    void stop();

private:
    void poll();
    void onResponse(const HttpClientResult &result, unsigned status, const HttpHeaders &headers, std::string_view body);

    HttpClient &m_http;
    std::string m_url;
    Handlers m_handlers;
    Timer m_pollTimer;
    std::string m_index = "0"; ///< index of the value read last
    std::shared_ptr<HttpTransfer> m_transfer;
};

} // namespace jasminemast
