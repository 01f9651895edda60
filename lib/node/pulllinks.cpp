// Frames of pulls.
#include "jasminemast/node/pulllinks.h"

#include "jasminemast/net/linkreference.h"

#include "jasminemast/support/archive.h"
#include "jasminemast/support/result.h"

#include <vector>

namespace jasminemast
{

namespace
{

constexpr std::size_t PartBytes = 256U << 10U;
constexpr std::size_t MaxAnswerBytes = 20U << 20U;
constexpr std::size_t IdBytes = sizeof(std::uint64_t);
constexpr std::uint64_t ControlStreams = 1ULL << 63U; ///< keeps streams of pulls apart from those of calls
constexpr Milliseconds Lifetime {10'000}; ///< of a pull or an answer

FrameType frameType(ControlFrame type)
{
    return static_cast<FrameType>(type);
}

std::uint64_t readId(std::string_view payload)
{
    if (payload.size() < IdBytes) {
        throw ResultError(ResultCode::FrameMalformed, "frame without the id of its pull");
    }
    return decodeMessage<std::uint64_t>(payload.substr(0, IdBytes), ResultCode::FrameMalformed);
}

} // namespace

/// A pull or an answer under way. Holds its link while it exists.
struct PullLinks::Held : LinkReference
{
    Held(std::shared_ptr<Link> on, TimePoint until, bool isSnapshot)
        : LinkReference(std::move(on))
        , deadline(until)
        , snapshot(isSnapshot)
    {
    }

    TimePoint deadline;
    bool snapshot = false;
};

PullLinks::PullLinks(LinkPool &links, const Clock &clock, Handlers handlers)
    : m_links(links)
    , m_clock(clock)
    , m_handlers(std::move(handlers))
{
}

PullLinks::~PullLinks() = default;

void PullLinks::sendRequest(const HostId &to, const SocketAddress &address, const PullRequest &request)
{
    const auto link = m_links.connect(to, address);
    m_requests[request.id] = std::make_unique<Held>(link, m_clock.now() + Lifetime, false);
    link->send(frameType(ControlFrame::Pull), encodePullRequest(request));
}

void PullLinks::sendAnswer(const HostId &to, const SocketAddress &address, const PullReply &answer)
{
    std::shared_ptr<Link> link;
    const auto asker = m_askers.find({to, answer.id});
    if (asker != m_askers.end()) {
        link = asker->second.lock();
        m_askers.erase(asker);
    }
    const bool served = answer.id != 0 && answer.result == PullResult::Served;
    const bool snapshot = !answer.snapshot.empty();
    if (answer.id == 0) {
        link = m_links.connect(to, address);
    }
    if (!link || link->isClosed()) {
        if (served) {
            m_handlers.onSent(snapshot);
        }
        return;
    }
    if (served) {
        m_answers[{link.get(), answer.id}] = std::make_unique<Held>(link, m_clock.now() + Lifetime, snapshot);
    }
    const std::string bytes = encodePullReply(answer);
    const std::string id = encodeMessage(answer.id);
    const StreamId stream(ControlStreams | answer.id);
    std::string_view rest = bytes;
    while (rest.size() > PartBytes) {
        link->sendBulk(stream, frameType(ControlFrame::AnswerPart), id + std::string(rest.substr(0, PartBytes)));
        rest.remove_prefix(PartBytes);
    }
    link->sendBulk(stream, frameType(ControlFrame::AnswerEnd), id + std::string(rest));
}

void PullLinks::onFrame(const std::shared_ptr<Link> &link, ControlFrame type, std::string_view payload)
{
    switch (type) {
    case ControlFrame::Pull: {
        auto request = decodePullRequest(payload);
        m_askers[{link->peer().host, request.id}] = link;
        m_handlers.onRequest(link->peer().host, std::move(request));
        return;
    }
    case ControlFrame::AnswerPart:
    case ControlFrame::AnswerEnd:
        onPart(link, type, payload);
        return;
    case ControlFrame::Taken: {
        const auto answer = m_answers.find({link.get(), readId(payload)});
        if (answer != m_answers.end()) {
            const bool snapshot = answer->second->snapshot;
            m_answers.erase(answer);
            m_handlers.onSent(snapshot);
        }
        return;
    }
    }
}

void PullLinks::onPart(const std::shared_ptr<Link> &link, ControlFrame type, std::string_view payload)
{
    const auto id = readId(payload);
    auto &parts = m_parts[{link.get(), id}];
    parts.append(payload.substr(IdBytes));
    if (parts.size() > MaxAnswerBytes) {
        throw ResultError(ResultCode::FrameTooLarge, "answer to a pull over its bound");
    }
    if (type == ControlFrame::AnswerPart) {
        return;
    }
    const auto whole = std::move(parts);
    m_parts.erase({link.get(), id});
    auto answer = decodePullReply(whole);
    if (answer.id != 0) {
        link->send(frameType(ControlFrame::Taken), encodeMessage(answer.id));
    }
    m_requests.erase(answer.id);
    m_handlers.onAnswer(std::move(answer));
}

void PullLinks::onLinkDown(const std::shared_ptr<Link> &link)
{
    std::erase_if(m_parts, [&link](const auto &entry) { return entry.first.first == link.get(); });
    std::vector<std::uint64_t> failed;
    for (const auto &[id, request] : m_requests) {
        if (request->link == link) {
            failed.push_back(id);
        }
    }
    std::vector<bool> lost;
    for (const auto &[key, answer] : m_answers) {
        if (key.first == link.get()) {
            lost.push_back(answer->snapshot);
        }
    }
    std::erase_if(m_answers, [&link](const auto &entry) { return entry.first.first == link.get(); });
    for (const auto id : failed) {
        m_requests.erase(id);
        m_handlers.onFailed(id);
    }
    for (const bool snapshot : lost) {
        m_handlers.onSent(snapshot);
    }
}

void PullLinks::expire()
{
    const auto now = m_clock.now();
    std::erase_if(m_requests, [now](const auto &entry) { return now >= entry.second->deadline; });
    std::erase_if(m_askers, [](const auto &entry) { return entry.second.expired(); });
    std::vector<bool> lost;
    for (const auto &[key, answer] : m_answers) {
        if (now >= answer->deadline) {
            lost.push_back(answer->snapshot);
        }
    }
    std::erase_if(m_answers, [now](const auto &entry) { return now >= entry.second->deadline; });
    for (const bool snapshot : lost) {
        m_handlers.onSent(snapshot);
    }
}

} // namespace jasminemast
