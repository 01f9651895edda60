// Encodes and decodes the manifest and the parts of checkpoints as JSON.
#include "jasminemast/config/checkpoint.h"

#include "jasminemast/support/base64.h"
#include "strictjson.h"

#include <algorithm>

namespace jasminemast
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t MaxJsonDepth = 4;
constexpr std::size_t MaxManifestBytes = 4'096;
constexpr std::size_t PartDataBytes = 720'000; // 960,000 characters in Base64; leaves space for the other fields

[[noreturn]] void failMalformed(const std::string &what)
{
    throw ResultError(ResultCode::CheckpointMalformed, what);
}

Json parseValue(std::string_view bytes, std::size_t maxBytes)
{
    if (bytes.size() > maxBytes) {
        failMalformed("more than " + std::to_string(maxBytes) + " bytes");
    }
    try {
        Json json = parseStrictJson(bytes, MaxJsonDepth);
        if (!json.is_object()) {
            failMalformed("expected an object");
        }
        return json;
    } catch (const ResultError &error) {
        failMalformed(error.detail());
    }
}

std::uint64_t readNumber(const Json &json, const char *key, std::uint64_t max)
{
    const auto found = json.find(key);
    const bool isNumber = found != json.end() && found->is_number_unsigned();
    if (!isNumber || found->get<std::uint64_t>() < 1 || found->get<std::uint64_t>() > max) {
        failMalformed(std::string("/") + key + ": expected 1 to " + std::to_string(max));
    }
    return found->get<std::uint64_t>();
}

std::string readString(const Json &json, const char *key)
{
    const auto found = json.find(key);
    if (found == json.end() || !found->is_string()) {
        failMalformed(std::string("/") + key + ": expected a string");
    }
    return found->get<std::string>();
}

Digest readDigest(const Json &json, const char *key)
{
    const auto digest = Digest::fromHex(readString(json, key));
    if (!digest) {
        failMalformed(std::string("/") + key + ": expected 64 lower-case hexadecimal digits");
    }
    return *digest;
}

Head readHead(const Json &json)
{
    return Head {TicketNumber(readNumber(json, "number", TicketLimits::MaxNumber)), readDigest(json, "digest")};
}

Json headJson(const Head &head)
{
    return {{"number", head.number.value()}, {"digest", head.digest.hex()}};
}

CheckpointValue makePart(const Head &head, std::size_t part, std::string_view data)
{
    Json json = headJson(head);
    json["part"] = part;
    json["data"] = encodeBase64(data);
    return {checkpointPartKey(head.number, part), json.dump()};
}

CheckpointValue makeManifest(const CheckpointManifest &manifest)
{
    Json json = headJson(manifest.head);
    json["stateDigest"] = manifest.stateDigest.hex();
    json["parts"] = manifest.parts;
    json["snapshotDigest"] = manifest.snapshotDigest.hex();
    return {std::string(CheckpointManifestKey), json.dump()};
}

std::string readPart(std::string_view value, const Head &head, std::size_t part)
{
    const Json json = parseValue(value, CheckpointLimits::MaxValueBytes);
    if (readHead(json) != head || readNumber(json, "part", CheckpointLimits::MaxParts) != part) {
        failMalformed("not part " + std::to_string(part) + " of checkpoint " + std::to_string(head.number.value()));
    }
    std::optional<std::string> data = decodeBase64(readString(json, "data"));
    if (!data) {
        failMalformed("/data: not Base64");
    }
    return std::move(*data);
}

} // namespace

std::string checkpointPartKey(TicketNumber number, std::size_t part)
{
    return "checkpoints/" + std::to_string(number.value()) + "/" + std::to_string(part);
}

std::vector<CheckpointValue> makeCheckpoint(const State &state, const std::vector<LogEntry> &history)
{
    if (state.number == TicketNumber(0)) {
        throw ResultError(ResultCode::CheckpointIncomplete, "no ticket has been applied");
    }
    const std::string bytes = encodeSnapshot(state, history);
    CheckpointManifest manifest;
    manifest.head = {state.number, state.ticketDigest};
    manifest.stateDigest = state.stateDigest;
    manifest.snapshotDigest = sha256(bytes);
    if (bytes.size() > SnapshotLimits::MaxCompressedBytes) {
        throw ResultError(ResultCode::SnapshotTooLarge, std::to_string(bytes.size()) + " bytes");
    }
    std::vector<CheckpointValue> values;
    const std::string_view view(bytes);
    for (std::size_t start = 0; start < view.size(); start += PartDataBytes) {
        ++manifest.parts;
        values.push_back(makePart(manifest.head, manifest.parts, view.substr(start, PartDataBytes)));
    }
    values.push_back(makeManifest(manifest));
    return values;
}

CheckpointManifest parseCheckpointManifest(std::string_view bytes)
{
    const Json json = parseValue(bytes, MaxManifestBytes);
    CheckpointManifest manifest;
    manifest.head = readHead(json);
    manifest.stateDigest = readDigest(json, "stateDigest");
    manifest.parts = readNumber(json, "parts", CheckpointLimits::MaxParts);
    manifest.snapshotDigest = readDigest(json, "snapshotDigest");
    return manifest;
}

std::optional<std::string> CheckpointReader::nextKey() const
{
    if (!m_manifest) {
        return std::string(CheckpointManifestKey);
    }
    if (m_partsRead == m_manifest->parts) {
        return std::nullopt;
    }
    return checkpointPartKey(m_manifest->head.number, m_partsRead + 1);
}

void CheckpointReader::addValue(std::string_view value)
{
    if (!m_manifest) {
        m_manifest = parseCheckpointManifest(value);
        return;
    }
    m_data += readPart(value, m_manifest->head, m_partsRead + 1);
    ++m_partsRead;
    if (m_partsRead == m_manifest->parts) {
        finish();
    }
}

void CheckpointReader::reportMissingValue() const
{
    throw ResultError(ResultCode::CheckpointIncomplete, nextKey().value_or("") + " is not there");
}

void CheckpointReader::finish()
{
    if (sha256(m_data) != m_manifest->snapshotDigest) {
        throw ResultError(ResultCode::CheckpointWrongDigest, "/snapshotDigest");
    }
    Snapshot snapshot = decodeSnapshot(m_data);
    m_data.clear();
    const State &state = *snapshot.state;
    const bool isNamedTicket = Head {state.number, state.ticketDigest} == m_manifest->head;
    if (!isNamedTicket || state.stateDigest != m_manifest->stateDigest) {
        throw ResultError(ResultCode::CheckpointWrongDigest, "the state is not the one that the manifest names");
    }
    m_snapshot = std::move(snapshot);
}

} // namespace jasminemast
