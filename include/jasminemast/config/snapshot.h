// Snapshots: a whole state with the results of the last tickets, encoded for another node or a checkpoint.
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

/// The contents of a snapshot.
struct Snapshot
{
    StatePtr state;
    std::vector<LogEntry> history; ///< ascending numbers; without state digests and times, which are local to each node
};

/// Encodes \p state and the last SnapshotLimits::MaxHistory entries of \p history: cereal data in one zstd frame.
std::string encodeSnapshot(const State &state, const std::vector<LogEntry> &history);

/// Decodes the result of encodeSnapshot() and checks limits, references and the state digest.
/// \throws ResultError with SnapshotMalformed, SnapshotTooLarge or SnapshotWrongDigest.
Snapshot decodeSnapshot(std::string_view bytes);

} // namespace jasminemast
