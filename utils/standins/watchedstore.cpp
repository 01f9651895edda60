// Implements the faults for every service whose keys are read and watched.
#include "watchedstore.h"

#include <algorithm>
#include <array>

namespace jasminemast::standin
{

namespace
{

constexpr std::array<std::pair<const char *, FaultMode>, 7> ModeNames {{
    {"ok", FaultMode::Ok},
    {"down", FaultMode::Down},
    {"stale", FaultMode::Stale},
    {"slow", FaultMode::Slow},
    {"frozen", FaultMode::Frozen},
    {"disordered", FaultMode::Disordered},
    {"backwards", FaultMode::Backwards},
}};

} // namespace

std::optional<FaultMode> parseFaultMode(const std::string &name)
{
    for (const auto &[text, mode] : ModeNames) {
        if (name == text) {
            return mode;
        }
    }
    return std::nullopt;
}

std::string faultModeName(FaultMode mode)
{
    for (const auto &[text, named] : ModeNames) {
        if (named == mode) {
            return text;
        }
    }
    return "unknown";
}

std::optional<std::uint64_t> WatchedStore::put(const std::string &key, std::string value, std::uint64_t expected)
{
    if (latest(key).revision != expected) {
        return std::nullopt;
    }
    m_history[key].push_back({++m_revision, std::move(value)});
    return m_revision;
}

Version WatchedStore::latest(const std::string &key) const
{
    const auto found = m_history.find(key);
    return found == m_history.end() ? Version {} : found->second.back();
}

void WatchedStore::setFault(const FaultSettings &fault)
{
    if (fault.mode == FaultMode::Stale && m_fault.mode != FaultMode::Stale) {
        m_staleRevision = m_revision;
    }
    m_fault = fault;
}

Version WatchedStore::visibleVersion(const std::string &key) const
{
    if (m_fault.mode != FaultMode::Stale) {
        return latest(key);
    }
    const auto found = m_history.find(key);
    if (found == m_history.end()) {
        return {};
    }
    Version newest;
    for (const Version &version : found->second) {
        if (version.revision <= m_staleRevision) {
            newest = version;
        }
    }
    return newest;
}

ReadAction WatchedStore::read(const ReadRequest &request)
{
    switch (m_fault.mode) {
    case FaultMode::Down:
        return CloseConnection {m_fault.status};
    case FaultMode::Frozen:
        return NeverRespond {};
    case FaultMode::Backwards:
        return readBackwards(request);
    default:
        break;
    }
    Version version = visibleVersion(request.key);
    const bool waits = request.afterRevision && version.revision <= *request.afterRevision && !request.waitExpired;
    if (waits) {
        return KeepWaiting {};
    }
    return respond(std::move(version));
}

ReadAction WatchedStore::respond(Version version)
{
    ++m_responses;
    const bool isDelayed
        = m_fault.mode == FaultMode::Slow || (m_fault.mode == FaultMode::Disordered && m_responses % 2 == 1);
    if (isDelayed) {
        return RespondLater {std::move(version), m_fault.delay};
    }
    return RespondNow {std::move(version)};
}

ReadAction WatchedStore::readBackwards(const ReadRequest &request)
{
    Version version = latest(request.key);
    const bool nothingNew = request.afterRevision && version.revision <= *request.afterRevision;
    if (nothingNew && !request.waitExpired) {
        return KeepWaiting {m_fault.delay};
    }
    ++m_responses;
    if (m_responses % 2 == 1) {
        version = earlierVersion(request.key);
    }
    return RespondNow {std::move(version)};
}

Version WatchedStore::earlierVersion(const std::string &key)
{
    const auto found = m_history.find(key);
    if (found == m_history.end()) {
        return {};
    }
    const std::vector<Version> &versions = found->second;
    const std::size_t stepsBack = 1 + m_responses / 2 % versions.size();
    return versions[versions.size() - std::min(stepsBack + 1, versions.size())];
}

} // namespace jasminemast::standin
