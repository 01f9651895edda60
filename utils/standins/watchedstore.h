// Versioned keys that clients read and watch, with the faults that a platform service can show. No input or output.
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

/// What the service does wrong.
enum class FaultMode {
    Ok,
    Down, ///< closes every connection, or answers with FaultSettings::status when that is set
    Stale, ///< serves every key as it was when the fault began
    Slow, ///< answers after FaultSettings::delay
    Frozen, ///< takes requests and never answers
    Disordered, ///< holds every second answer for FaultSettings::delay, so that later answers overtake it
    Backwards, ///< every second answer carries an earlier value; watches are answered every FaultSettings::delay
};

/// Parses the lower-case name of a mode.
std::optional<FaultMode> parseFaultMode(const std::string &name);
/// The name that parseFaultMode() reads.
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

/// A read, or a watch when waitAbove is set.
struct ReadRequest
{
    std::string key;
    std::optional<std::uint64_t> waitAbove; ///< wait until the revision is above this
    bool waitExpired = false; ///< the time to wait has passed
};

/// What to do with a read.
struct RespondNow
{
    Version version;
};
struct RespondLater
{
    Version version; ///< as it was when the request came
    std::chrono::milliseconds delay;
};
struct KeepWaiting
{
    std::optional<std::chrono::milliseconds> retryAfter; ///< set: decide again after this time, even without a write
};
struct NeverRespond
{
};
struct CloseConnection
{
    unsigned status = 0; ///< not 0: answer with this status instead
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
    /// The latest version of \p key, whatever the fault.
    [[nodiscard]] Version latest(const std::string &key) const;

    void setFault(const FaultSettings &fault);
    [[nodiscard]] const FaultSettings &fault() const
    {
        return m_fault;
    }

    /// Decides one read. Call again for a waiting one after each write of its key and when its wait is over.
    ReadAction read(const ReadRequest &request);

private:
    [[nodiscard]] Version visible(const std::string &key) const;
    Version earlier(const std::string &key);
    ReadAction readBackwards(const ReadRequest &request);
    ReadAction answer(Version version);

    std::map<std::string, std::vector<Version>> m_history;
    std::uint64_t m_revision = 0;
    FaultSettings m_fault;
    std::uint64_t m_staleRevision = 0; ///< newest revision served while the mode is Stale
    std::uint64_t m_answers = 0;
};

} // namespace jasminemast::standin
