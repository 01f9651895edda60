// Checkpoints: a snapshot cut into values of the configuration service, for nodes that start without any peer.
//
// Operators publish the values under their keys, the manifest last. A reader gets `checkpoints/latest` first, then the
// parts that it names.
#pragma once

#include "jasminemast/config/snapshot.h"
#include "jasminemast/config/ticket.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminemast
{

/// One value to publish.
struct CheckpointValue
{
    std::string key;
    std::string value; ///< JSON text, under CheckpointLimits::MaxValueBytes
};

/// Upper bounds of a checkpoint's values.
struct CheckpointLimits
{
    static constexpr std::size_t MaxValueBytes = 1'000'000;
    static constexpr std::size_t MaxParts = 64;
};

/// The value of `checkpoints/latest`.
struct CheckpointManifest
{
    Head head; ///< ticket that the checkpoint's state includes last
    Digest stateDigest;
    std::size_t parts = 0;
    Digest snapshotDigest; ///< SHA-256 of the joined data of all parts

    bool operator==(const CheckpointManifest &) const = default;
};

/// The key that a reader gets first.
inline constexpr std::string_view CheckpointManifestKey = "checkpoints/latest";

/// The key of \p part, counted from 1.
std::string checkpointPartKey(TicketNumber number, std::size_t part);

/// The values for \p state, in the order in which they are to be published: the parts, then the manifest.
/// \throws ResultError with SnapshotTooLarge, or CheckpointIncomplete before the first ticket.
std::vector<CheckpointValue> makeCheckpoint(const State &state, const std::vector<LogEntry> &history);

/// \throws ResultError with CheckpointMalformed.
CheckpointManifest parseCheckpointManifest(std::string_view bytes);

/// Puts a checkpoint together from the values that a caller fetches.
///
/// A fault ends the attempt with an exception; a later attempt starts with a new reader, since operators may have
/// published another checkpoint meanwhile.
class CheckpointReader
{
public:
    /// The key to fetch next; nothing when the checkpoint is complete.
    [[nodiscard]] std::optional<std::string> nextKey() const;

    /// Takes the value of nextKey().
    /// \throws ResultError with a 20xx code of snapshots and checkpoints.
    void addValue(std::string_view value);

    /// Tells that the service has no value for nextKey().
    /// \throws ResultError with CheckpointIncomplete.
    void reportMissingValue() const;

    /// The manifest, once it has been read. The caller compares its head with the accepted chain.
    [[nodiscard]] const std::optional<CheckpointManifest> &manifest() const
    {
        return m_manifest;
    }
    /// The checked snapshot, once all parts have been read.
    [[nodiscard]] const std::optional<Snapshot> &snapshot() const
    {
        return m_snapshot;
    }

private:
    void finish();

    std::optional<CheckpointManifest> m_manifest;
    std::size_t m_partsRead = 0;
    std::string m_data; ///< joined data of the parts read so far
    std::optional<Snapshot> m_snapshot;
};

} // namespace jasminemast
