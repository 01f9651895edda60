// Versioned keys that clients read and watch, with the faults that a platform service can have. Does no I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jasminemast::standin
{

/// Injected faults of the service.
enum class FaultMode {
    Ok,
    Down, ///< closes every connection, or responds with FaultSettings::status when that is set
    Stale, ///< serves every key as it was when the fault began
    Slow, ///< responds after FaultSettings::delay
    Frozen, ///< accepts requests and never responds
    Disordered, ///< delays every second response by FaultSettings::delay, so that later responses overtake it
    Backwards, ///< every second response has an earlier value; watches get one every FaultSettings::delay
};

/// Parses the lower-case name of a mode.
std::optional<FaultMode> parseFaultMode(const std::string &name);
/// The name that parseFaultMode() accepts.
std::string faultModeName(FaultMode mode);

struct FaultSettings
{
    FaultMode mode = FaultMode::Ok;
    std::chrono::milliseconds delay {200};
    unsigned status = 0; ///< for Down: 0 closes the connection
};

/// One version of a key. Revision 0 means that the key does not exist.
struct Version
{
    std::uint64_t revision = 0;
    std::string value;
};

/// A read, or a watch when afterRevision is set.
struct ReadRequest
{
    std::string key;
    std::optional<std::uint64_t> afterRevision; ///< wait for a revision greater than this
    bool waitExpired = false; ///< the maximum wait of the watch has passed
};

/// How to handle a read: the alternatives of ReadAction.
struct RespondNow
{
    Version version;
};
struct RespondLater
{
    Version version; ///< as it was when the read was decided
    std::chrono::milliseconds delay;
};
struct KeepWaiting
{
    /// When set, the wait ends after this time, even without a write.
    std::optional<std::chrono::milliseconds> retryAfter;
};
struct NeverRespond
{
};
struct CloseConnection
{
    unsigned status = 0; ///< not 0: respond with this status instead
};
using ReadAction = std::variant<RespondNow, RespondLater, KeepWaiting, NeverRespond, CloseConnection>;

/// The keys and their history.
///
/// Invariants: revisions come from one counter and only grow; m_history holds every version of each key in order.
class WatchedStore
{
public:
    /// Writes \p value when the key's revision is \p expected (0: it must not exist).
    /// Returns the new revision, or nothing when the revision differs.
    std::optional<std::uint64_t> put(const std::string &key, std::string value, std::uint64_t expected);
    /// The latest version of \p key, regardless of the fault.
    [[nodiscard]] Version latest(const std::string &key) const;

    void setFault(const FaultSettings &fault);
    [[nodiscard]] const FaultSettings &fault() const
    {
        return m_fault;
    }

    /// Decides how to handle one read. Call again for a waiting one after a write of its key and when its wait ends.
    ReadAction read(const ReadRequest &request);

private:
    [[nodiscard]] Version visibleVersion(const std::string &key) const;
    Version earlierVersion(const std::string &key);
    ReadAction readBackwards(const ReadRequest &request);
    ReadAction respond(Version version);

    std::map<std::string, std::vector<Version>> m_history;
    std::uint64_t m_revision = 0;
    FaultSettings m_fault;
    std::uint64_t m_staleRevision = 0; ///< newest revision served while the mode is Stale
    std::uint64_t m_responses = 0;
};

} // namespace jasminemast::standin
