// The side of a node that stands beside a target: admits attempts, runs them and streams the answers.
#pragma once

#include "jasminemast/net/httpclient.h"
#include "jasminemast/node/answersink.h"
#include "jasminemast/node/views.h"

#include <map>
#include <memory>

namespace jasminemast
{

/// Runs attempts on the targets of this host.
class TargetSide
{
public:
    TargetSide(Loop &loop, const ConfigView &config, HostId self, std::string targetAddress);

    /// Runs one attempt whose request body is whole. The sink is called later, never from within this call.
    std::unique_ptr<AttemptHandle> open(OpenMessage open, std::string body, std::shared_ptr<AnswerSink> sink);

    /// Attempts that are running.
    [[nodiscard]] std::size_t running() const
    {
        return m_running;
    }

private:
    friend class RunningAttempt;

    [[nodiscard]] ResultCode admit(const OpenMessage &open, const Endpoint *endpoint) const;

    Loop &m_loop;
    const ConfigView &m_config;
    HostId m_self;
    std::string m_targetAddress;
    HttpClient m_http;
    std::size_t m_running = 0;
    std::map<EndpointId, unsigned> m_slotsUsed;
};

} // namespace jasminemast
