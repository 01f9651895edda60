// Typed access to settings with exact refusals.
#include "jasminemast/settings/jsonreader.h"

#include <arpa/inet.h>

namespace jasminemast
{

JsonReader::JsonReader(const nlohmann::json &value, std::string path)
    : m_value(value)
    , m_path(std::move(path))
{
    if (!m_value.is_object()) {
        throw ResultError(ResultCode::SettingsWrongType, (m_path.empty() ? "/" : m_path) + ": expected an object");
    }
}

std::string JsonReader::pathOf(std::string_view key) const
{
    return m_path + "/" + std::string(key);
}

void JsonReader::fail(ResultCode code, const char *key, const std::string &expected) const
{
    throw ResultError(code, pathOf(key) + ": expected " + expected);
}

bool JsonReader::has(const char *key) const
{
    return m_value.contains(key);
}

const nlohmann::json *JsonReader::find(const char *key)
{
    m_asked.insert(key);
    const auto found = m_value.find(key);
    return found == m_value.end() ? nullptr : &*found;
}

const nlohmann::json &JsonReader::require(const char *key)
{
    const nlohmann::json *value = find(key);
    if (value == nullptr) {
        fail(ResultCode::SettingsMissing, key, "a value");
    }
    return *value;
}

std::string JsonReader::string(const char *key)
{
    constexpr std::size_t MaxLength = 256;
    const nlohmann::json &value = require(key);
    if (!value.is_string()) {
        fail(ResultCode::SettingsWrongType, key, "a string");
    }
    auto text = value.get<std::string>();
    if (text.empty() || text.size() > MaxLength) {
        fail(ResultCode::SettingsOutOfRange, key, "1 to " + std::to_string(MaxLength) + " characters");
    }
    return text;
}

std::string JsonReader::string(const char *key, const std::string &fallback)
{
    return find(key) == nullptr ? fallback : string(key);
}

std::uint64_t JsonReader::number(const char *key, std::uint64_t least, std::uint64_t most)
{
    const nlohmann::json &value = require(key);
    const std::string range = "a whole number from " + std::to_string(least) + " to " + std::to_string(most);
    if (!value.is_number_integer()) {
        fail(ResultCode::SettingsWrongType, key, range);
    }
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() < least || value.get<std::uint64_t>() > most) {
        fail(ResultCode::SettingsOutOfRange, key, range);
    }
    return value.get<std::uint64_t>();
}

std::uint64_t JsonReader::number(const char *key, std::uint64_t least, std::uint64_t most, std::uint64_t fallback)
{
    return find(key) == nullptr ? fallback : number(key, least, most);
}

double JsonReader::real(const char *key, double least, double most, double fallback)
{
    const nlohmann::json *value = find(key);
    if (value == nullptr) {
        return fallback;
    }
    const std::string range = "a number from " + std::to_string(least) + " to " + std::to_string(most);
    if (!value->is_number()) {
        fail(ResultCode::SettingsWrongType, key, range);
    }
    const auto real = value->get<double>();
    if (real < least || real > most) {
        fail(ResultCode::SettingsOutOfRange, key, range);
    }
    return real;
}

bool JsonReader::boolean(const char *key, bool fallback)
{
    const nlohmann::json *value = find(key);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        fail(ResultCode::SettingsWrongType, key, "true or false");
    }
    return value->get<bool>();
}

Milliseconds JsonReader::milliseconds(const char *key, Milliseconds least, Milliseconds most, Milliseconds fallback)
{
    return Milliseconds(number(key, static_cast<std::uint64_t>(least.count()), static_cast<std::uint64_t>(most.count()),
                               static_cast<std::uint64_t>(fallback.count())));
}

std::string JsonReader::ipAddress(const char *key)
{
    std::string text = string(key);
    in_addr parsed {};
    if (inet_pton(AF_INET, text.c_str(), &parsed) != 1) {
        fail(ResultCode::SettingsOutOfRange, key, "an IPv4 address in dotted form");
    }
    return text;
}

JsonReader JsonReader::object(const char *key)
{
    const nlohmann::json *value = find(key);
    return {value == nullptr ? nlohmann::json::object() : *value, pathOf(key)};
}

std::vector<JsonReader> JsonReader::objects(const char *key)
{
    std::vector<JsonReader> readers;
    const nlohmann::json *value = find(key);
    if (value == nullptr) {
        return readers;
    }
    if (!value->is_array()) {
        fail(ResultCode::SettingsWrongType, key, "an array of objects");
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        readers.emplace_back((*value)[i], pathOf(key) + "/" + std::to_string(i));
    }
    return readers;
}

void JsonReader::finish() const
{
    for (const auto &item : m_value.items()) {
        if (!m_asked.contains(item.key())) {
            throw ResultError(ResultCode::SettingsUnknownKey, pathOf(item.key()) + ": expected no such key");
        }
    }
}

} // namespace jasminemast
