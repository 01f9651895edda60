// Interface to the platform's configuration service, and its HTTP implementation.
#pragma once

#include "jasminemast/config/checkpoint.h"
#include "jasminemast/config/ticket.h"
#include "jasminemast/net/httpclient.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jasminemast
{

/// Reads published tickets. Every handler is called once, from the event loop, unless it is replaced.
class ConfigSource
{
public:
    /// Ok with the accepted head, or with none if no ticket has been accepted; otherwise the reason of the failure.
    using HeadHandler = std::function<void(ResultCode code, std::optional<Head> head)>;
    /// Ok with the bytes; otherwise the reason of the failure.
    using TicketHandler = std::function<void(ResultCode code, std::string bytes)>;
    /// A checkpoint, or nothing if none could be read.
    using CheckpointHandler = std::function<void(std::optional<Snapshot> snapshot)>;

    virtual ~ConfigSource() = default;

    /// Reads the accepted head: at once if \p wait is zero, else when it changes or after \p wait. Cancels the previous
    /// watch, whose handler is then not called.
    virtual void watchHead(Milliseconds wait, HeadHandler handler) = 0;
    virtual void fetchTicket(TicketNumber number, TicketHandler handler) = 0;
    virtual void fetchCheckpoint(CheckpointHandler handler) = 0;
};

/// Reads the platform's key-value service over HTTP.
class HttpConfigSource final : public ConfigSource
{
public:
    HttpConfigSource(HttpClient &http, std::string url);
    ~HttpConfigSource() override;

    void watchHead(Milliseconds wait, HeadHandler handler) override;
    void fetchTicket(TicketNumber number, TicketHandler handler) override;
    void fetchCheckpoint(CheckpointHandler handler) override;

private:
    void continueCheckpoint(const std::shared_ptr<CheckpointReader> &reader, const CheckpointHandler &handler);

    HttpClient &m_http;
    std::string m_url; ///< prefix of all keys, ending in a slash
    std::string m_index = "0"; ///< index of the head read last, for the next long poll
    std::shared_ptr<HttpTransfer> m_watch;
};

} // namespace jasminemast
