// Checkpoints: a snapshot split into values of the configuration service, for nodes that start while no peer is up.
//
// Operators publish the parts first and the manifest last. A reader fetches the manifest, `checkpoints/latest`, and
// then the parts that it lists.
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
    Head head; ///< last ticket that the checkpoint's state includes
    Digest stateDigest;
    std::size_t parts = 0;
    Digest snapshotDigest; ///< SHA-256 of the concatenated data of all parts

    bool operator==(const CheckpointManifest &) const = default;
};

/// Key of the manifest, which a reader fetches first.
inline constexpr std::string_view CheckpointManifestKey = "checkpoints/latest";

/// The key of \p part, counted from 1.
std::string checkpointPartKey(TicketNumber number, std::size_t part);

/// Encodes \p state as a checkpoint. The values are to be published in the order returned: parts, then manifest.
/// \throws ResultError with SnapshotTooLarge, or with CheckpointIncomplete when no ticket has been applied.
std::vector<CheckpointValue> makeCheckpoint(const State &state, const std::vector<LogEntry> &history);

/// \throws ResultError with CheckpointMalformed.
CheckpointManifest parseCheckpointManifest(std::string_view bytes);

/// Assembles a checkpoint from values that the caller fetches.
///
/// After an exception, retry with a new reader: operators may have published another checkpoint in the meantime.
class CheckpointReader
{
public:
    /// The key to fetch next; std::nullopt when the checkpoint is complete.
    [[nodiscard]] std::optional<std::string> nextKey() const;

    /// Adds the value fetched for nextKey().
    /// \throws ResultError with a 20xx code of snapshots and checkpoints.
    void addValue(std::string_view value);

    /// Reports that the configuration service has no value for nextKey(); always throws.
    /// \throws ResultError with CheckpointIncomplete.
    void reportMissingValue() const;

    /// The manifest, once it has been read. The caller checks its head against the accepted tickets.
    [[nodiscard]] const std::optional<CheckpointManifest> &manifest() const
    {
        return m_manifest;
    }
    /// The verified snapshot, once all parts have been read.
    [[nodiscard]] const std::optional<Snapshot> &snapshot() const
    {
        return m_snapshot;
    }

private:
    void finish();

    std::optional<CheckpointManifest> m_manifest;
    std::size_t m_partsRead = 0;
    std::string m_data; ///< concatenated data of the parts read so far
    std::optional<Snapshot> m_snapshot;
};

} // namespace jasminemast
