// The encoding of snapshots.
#include "jasminemast/config/snapshot.h"

#include "jasminemast/config/ticket.h"
#include "jasminemast/support/archive.h"
#include "jasminemast/support/compression.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

constexpr std::uint32_t FormatVersion = 1;

[[noreturn]] void failMalformed(const std::string &what)
{
    throw ResultError(ResultCode::SnapshotMalformed, what);
}

std::uint32_t readCount(DecodeArchive &archive, std::size_t maxCount)
{
    std::uint32_t count = 0;
    archive(count);
    if (count > maxCount) {
        failMalformed("more than " + std::to_string(maxCount) + " items");
    }
    return count;
}

/// Encodes or decodes a list of at most \p maxCount items. Decoding grows the list item by item, so that a false length
/// allocates no memory.
template<class Item>
void serializeList(EncodeArchive &archive, std::vector<Item> &items, std::size_t /*maxCount*/)
{
    archive(static_cast<std::uint32_t>(items.size()));
    for (Item &item : items) {
        archive(item);
    }
}

template<class Item>
void serializeList(DecodeArchive &archive, std::vector<Item> &items, std::size_t maxCount)
{
    const std::uint32_t count = readCount(archive, maxCount);
    for (std::uint32_t i = 0; i < count; ++i) {
        archive(items.emplace_back());
    }
}

/// Encodes or decodes a bool as one byte. Decoding refuses a byte other than 0 and 1.
void serializeFlag(EncodeArchive &archive, bool flag)
{
    archive(static_cast<std::uint8_t>(flag ? 1 : 0));
}

void serializeFlag(DecodeArchive &archive, bool &flag)
{
    std::uint8_t byte = 0;
    archive(byte);
    if (byte > 1) {
        failMalformed("truth value of " + std::to_string(byte));
    }
    flag = byte == 1;
}

template<class Archive>
void serializeOptionalFlag(Archive &archive, std::optional<bool> &flag)
{
    bool isSet = flag.has_value();
    serializeFlag(archive, isSet);
    bool value = flag.value_or(false);
    serializeFlag(archive, value);
    flag = isSet ? std::optional<bool>(value) : std::nullopt;
}

template<class Archive>
void serializeFields(Archive &archive, Route &route)
{
    std::int64_t timeoutMs = route.timeout.count();
    archive(route.id, route.pathPrefix, route.service, timeoutMs);
    serializeOptionalFlag(archive, route.repeatable);
    serializeList(archive, route.methods, TicketLimits::MaxMethods);
    route.timeout = Milliseconds(timeoutMs);
}

template<class Archive>
void serializeFields(Archive &archive, Service &service)
{
    archive(service.id);
    serializeList(archive, service.endpoints, TicketLimits::MaxObjects);
}

template<class Archive>
void serializeFields(Archive &archive, Endpoint &endpoint)
{
    archive(endpoint.id, endpoint.host, endpoint.port, endpoint.slots);
    serializeFlag(archive, endpoint.draining);
}

template<class Archive>
void serializeFields(Archive &archive, LogEntry &entry)
{
    auto code = static_cast<std::int32_t>(number(entry.code));
    archive(entry.head, code, entry.detail);
    const auto known = resultFromNumber(code);
    if (!known) {
        failMalformed("unknown result code " + std::to_string(code));
    }
    entry.code = *known;
}

template<class Map>
void writeObjects(EncodeArchive &archive, const Map &objects)
{
    archive(static_cast<std::uint32_t>(objects.size()));
    for (const auto &[id, object] : objects) {
        auto copy = *object;
        serializeFields(archive, copy);
    }
}

template<class Map>
void readObjects(DecodeArchive &archive, Map &objects)
{
    using Object = std::remove_const_t<typename Map::mapped_type::element_type>;
    const std::uint32_t count = readCount(archive, TicketLimits::MaxObjects);
    auto &edited = objects.edit();
    for (std::uint32_t i = 0; i < count; ++i) {
        auto object = std::make_shared<Object>();
        serializeFields(archive, *object);
        const auto id = object->id;
        if (!edited.empty() && id <= edited.rbegin()->first) {
            failMalformed("objects out of order at " + id.value());
        }
        object->digest = objectDigest(*object);
        edited.emplace_hint(edited.end(), id, std::move(object));
    }
}

void writeHistory(EncodeArchive &archive, const std::vector<LogEntry> &history)
{
    const std::size_t count = std::min(history.size(), SnapshotLimits::MaxHistory);
    archive(static_cast<std::uint32_t>(count));
    for (auto entry = history.end() - static_cast<std::ptrdiff_t>(count); entry != history.end(); ++entry) {
        LogEntry copy = *entry;
        serializeFields(archive, copy);
    }
}

std::vector<LogEntry> readHistory(DecodeArchive &archive, TicketNumber last)
{
    std::vector<LogEntry> history;
    const std::uint32_t count = readCount(archive, SnapshotLimits::MaxHistory);
    for (std::uint32_t i = 0; i < count; ++i) {
        LogEntry entry;
        serializeFields(archive, entry);
        entry.origin = LogEntry::Origin::History;
        const bool isAscending = history.empty() || entry.head.number > history.back().head.number;
        if (!isAscending || entry.head.number > last) {
            failMalformed("history out of order");
        }
        history.push_back(std::move(entry));
    }
    return history;
}

Snapshot readSnapshot(DecodeArchive &archive)
{
    std::uint32_t version = 0;
    archive(version);
    if (version != FormatVersion) {
        failMalformed("format version " + std::to_string(version));
    }
    State state;
    archive(state.number, state.ticketDigest, state.stateDigest);
    if (state.number.value() > TicketLimits::MaxNumber) {
        failMalformed("ticket number out of range");
    }
    readObjects(archive, state.routes);
    readObjects(archive, state.services);
    readObjects(archive, state.endpoints);
    Snapshot snapshot;
    snapshot.history = readHistory(archive, state.number);
    if (archive.remaining() != 0) {
        failMalformed("bytes left over");
    }
    if (computeStateDigest(state) != state.stateDigest) {
        throw ResultError(ResultCode::SnapshotWrongDigest, "expected " + state.stateDigest.hex());
    }
    checkReferences(state);
    state.routeIndex = std::make_shared<const RouteIndex>(state);
    snapshot.state = std::make_shared<const State>(std::move(state));
    return snapshot;
}

} // namespace

std::string encodeSnapshot(const State &state, const std::vector<LogEntry> &history)
{
    std::string uncompressed;
    EncodeArchive archive(uncompressed);
    archive(FormatVersion, state.number, state.ticketDigest, state.stateDigest);
    writeObjects(archive, state.routes);
    writeObjects(archive, state.services);
    writeObjects(archive, state.endpoints);
    writeHistory(archive, history);
    return compress(uncompressed);
}

Snapshot decodeSnapshot(std::string_view bytes)
{
    if (bytes.size() > SnapshotLimits::MaxCompressedBytes) {
        throw ResultError(ResultCode::SnapshotTooLarge, std::to_string(bytes.size()) + " bytes");
    }
    const std::string uncompressed = decompress(bytes, SnapshotLimits::MaxUncompressedBytes,
                                                {ResultCode::SnapshotMalformed, ResultCode::SnapshotTooLarge});
    DecodeArchive archive(uncompressed);
    try {
        return readSnapshot(archive);
    } catch (const ResultError &error) {
        const bool isWrongDigest = error.code() == ResultCode::SnapshotWrongDigest;
        throw ResultError(isWrongDigest ? error.code() : ResultCode::SnapshotMalformed, error.detail());
    } catch (const std::exception &error) {
        failMalformed(error.what());
    }
}

} // namespace jasminemast
