// Snapshots: a whole state with the verdicts that led to it, as bytes for another node or a checkpoint.
#pragma once

#include "jasminemast/config/logbook.h"
#include "jasminemast/config/state.h"

#include <string>
#include <string_view>
#include <vector>

namespace jasminemast
{

/// Upper bounds of a snapshot.
struct SnapshotLimits
{
    static constexpr std::size_t MaxCompressedBytes = 16U << 20U;
    static constexpr std::size_t MaxUncompressedBytes = 32U << 20U;
    static constexpr std::size_t MaxHistory = 5'000;
};

/// What a snapshot holds.
struct Snapshot
{
    StatePtr state;
    std::vector<LogEntry> history; ///< ascending numbers; without state digests and times, which are each node's own
};

/// Encodes \p state and the last SnapshotLimits::MaxHistory entries of \p history: cereal inside one zstd frame.
std::string encodeSnapshot(const State &state, const std::vector<LogEntry> &history);

/// Decodes what encodeSnapshot() gave and checks all of it: limits, references and the state digest.
/// \throws ResultError with SnapshotMalformed, SnapshotTooLarge or SnapshotWrongDigest.
Snapshot decodeSnapshot(std::string_view bytes);

} // namespace jasminemast
