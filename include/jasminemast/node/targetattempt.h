// One attempt beside its target: waits for a slot, runs, and streams the answer to whoever asks for it now.
#pragma once

#include "jasminemast/net/httpclient.h"
#include "jasminemast/node/answersink.h"
#include "jasminemast/settings/nodesettings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jasminemast
{

/// Where and with what an attempt is sent.
struct TargetRequest
{
    std::string url; ///< of the target, without the path
    Milliseconds remaining {0};
    HeaderNames headers;
    std::function<std::size_t()> window; ///< bytes of the answer that may wait for their reader
};

/// An attempt that was accepted. Keeps the start of a non-repeatable call's answer, so that a fence can have it again.
class TargetAttempt : public std::enable_shared_from_this<TargetAttempt>
{
public:
    /// Told how the transfer ended; \p answer is set when the whole answer was kept.
    using DoneHandler = std::function<void(const HttpClientResult &, std::shared_ptr<const CachedResponse> answer)>;

    TargetAttempt(OpenMessage open, std::string body, std::shared_ptr<AnswerSink> sink);

    void start(HttpClient &http, const TargetRequest &request, DoneHandler onDone);
    /// Closes the connection to the target; the done handler is not called.
    void abort();
    void credit(std::size_t bytes);

    /// Lets the answer go to \p sink from its first byte on; false when what was already passed on is not kept.
    bool moveTo(std::shared_ptr<AnswerSink> sink);

    [[nodiscard]] const OpenMessage &open() const
    {
        return m_open;
    }
    [[nodiscard]] const std::shared_ptr<AnswerSink> &sink() const
    {
        return m_sink;
    }
    /// Load and ticket that the head of the answer names.
    void setHeadContext(std::function<void(HeadMessage &)> context)
    {
        m_headContext = std::move(context);
    }

private:
    void onHead(unsigned status, const HttpHeaders &headers, std::optional<std::uint64_t> length);
    [[nodiscard]] ResultCode judge(unsigned status, const HttpHeaders &headers) const;
    void giveUpForeign();
    void onData(std::string_view bytes);
    void onDone(const HttpClientResult &result);
    void pass(std::string_view bytes);
    [[nodiscard]] std::shared_ptr<const CachedResponse> kept() const;

    OpenMessage m_open;
    HeaderNames m_names;
    std::function<std::size_t()> m_window;
    ResultCode m_judgement = ResultCode::Ok; ///< why the answer is not passed on
    std::string m_requestBody;
    std::shared_ptr<AnswerSink> m_sink;
    std::shared_ptr<HttpTransfer> m_transfer;
    DoneHandler m_onDone;
    std::function<void(HeadMessage &)> m_headContext;
    std::optional<HeadMessage> m_head; ///< set once the answer has begun
    std::string m_record; ///< the answer body so far, while it is kept
    bool m_recordWhole = true; ///< m_record holds every byte so far
    std::size_t m_unacknowledged = 0; ///< answer bytes passed on and not yet credited
};

/// Gives \p answer to \p sink from head to end.
void replay(const CachedResponse &answer, AnswerSink &sink);

} // namespace jasminemast
