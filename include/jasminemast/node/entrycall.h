// One call of a caller, from its request to the last byte of its answer.
#pragma once

#include "jasminemast/node/entryside.h"

#include <memory>
#include <set>
#include <string>

namespace jasminemast
{

/// The state of one call. Ends by answering the caller or by finding it gone.
class EntryCall : public std::enable_shared_from_this<EntryCall>
{
public:
    EntryCall(EntrySide &side, std::shared_ptr<HttpExchange> exchange, CallId id);

    void start();

private:
    class Sink;

    void route();
    void tryNext();
    void onRefused(ResultCode code, const std::string &detail);
    void onHead(const HeadMessage &head);
    void onData(std::string_view bytes);
    void onEnd(ResultCode code, const std::string &detail);
    void onDeadline();
    void onCallerGone();
    void answerNotRun(ResultCode code, const std::string &detail);
    void answerUnknown(ResultCode code, const std::string &detail);
    void answerError(unsigned status, const char *outcome, ResultCode code, const std::string &detail);
    void finish();
    [[nodiscard]] Milliseconds remaining() const;
    [[nodiscard]] OpenMessage makeOpen(const Endpoint &endpoint) const;

    EntrySide &m_side;
    std::shared_ptr<HttpExchange> m_exchange;
    CallId m_id;
    StatePtr m_state; ///< the configuration that the call began with
    const Route *m_route = nullptr;
    TimePoint m_deadline;
    Timer m_timer;
    std::uint32_t m_attempt = 0;
    std::set<EndpointId> m_avoided; ///< endpoints that refused this call
    std::shared_ptr<Sink> m_sink;
    std::unique_ptr<AttemptHandle> m_handle; ///< attempt under way
    bool m_headSent = false;
    bool m_over = false;
};

} // namespace jasminemast
