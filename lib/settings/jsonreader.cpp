// Typed access to settings with errors that name the path and the expected value.
#include "jasminemast/settings/jsonreader.h"

#include <arpa/inet.h>

#include <charconv>
#include <sstream>

namespace jasminemast
{

namespace
{

constexpr std::size_t MaxStringLength = 256;
constexpr std::uint64_t MaxPort = 65'535;
constexpr const char *Required = "required";
constexpr const char *IpAddressRange = "an IPv4 address in dotted form";
constexpr const char *SocketAddressRange = "IP:PORT";
constexpr const char *UrlRange = "http://ADDRESS:PORT without a path";

std::string stringRange()
{
    return "1 to " + std::to_string(MaxStringLength) + " characters";
}

std::string numberRange(std::uint64_t min, std::uint64_t max)
{
    return "a whole number from " + std::to_string(min) + " to " + std::to_string(max);
}

std::string realText(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

bool isIpAddress(const std::string &text)
{
    in_addr parsed {};
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1;
}

bool isPort(std::string_view text)
{
    std::uint64_t port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    return error == std::errc() && end == text.data() + text.size() && port >= 1 && port <= MaxPort;
}

bool isUrl(std::string_view text)
{
    constexpr std::string_view Scheme = "http://";
    if (!text.starts_with(Scheme)) {
        return false;
    }
    text.remove_prefix(Scheme.size());
    const std::size_t colon = text.find(':');
    return colon != std::string_view::npos && isIpAddress(std::string(text.substr(0, colon)))
        && isPort(text.substr(colon + 1));
}

} // namespace

JsonReader::JsonReader(const nlohmann::json &value, std::string path, SettingCatalogue *catalogue)
    : m_value(value)
    , m_path(std::move(path))
    , m_catalogue(catalogue)
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

void JsonReader::addToCatalogue(const char *key, std::string type, std::string range, std::string fallback)
{
    if (m_catalogue != nullptr) {
        m_catalogue->push_back({pathOf(key), std::move(type), std::move(range), std::move(fallback)});
    }
}

const nlohmann::json *JsonReader::find(const char *key)
{
    m_requestedKeys.insert(key);
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

std::string JsonReader::readString(const char *key)
{
    const nlohmann::json &value = require(key);
    if (!value.is_string()) {
        fail(ResultCode::SettingsWrongType, key, "a string");
    }
    auto text = value.get<std::string>();
    if (text.empty() || text.size() > MaxStringLength) {
        fail(ResultCode::SettingsOutOfRange, key, stringRange());
    }
    return text;
}

std::string JsonReader::string(const char *key)
{
    addToCatalogue(key, "string", stringRange(), Required);
    return readString(key);
}

std::string JsonReader::string(const char *key, const std::string &fallback)
{
    addToCatalogue(key, "string", stringRange(), fallback);
    return find(key) == nullptr ? fallback : readString(key);
}

std::uint64_t JsonReader::readNumber(const char *key, std::uint64_t min, std::uint64_t max)
{
    const nlohmann::json &value = require(key);
    if (!value.is_number_integer()) {
        fail(ResultCode::SettingsWrongType, key, numberRange(min, max));
    }
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() < min || value.get<std::uint64_t>() > max) {
        fail(ResultCode::SettingsOutOfRange, key, numberRange(min, max));
    }
    return value.get<std::uint64_t>();
}

std::uint64_t JsonReader::number(const char *key, std::uint64_t min, std::uint64_t max)
{
    addToCatalogue(key, "integer", numberRange(min, max), Required);
    return readNumber(key, min, max);
}

std::uint64_t JsonReader::number(const char *key, std::uint64_t min, std::uint64_t max, std::uint64_t fallback)
{
    addToCatalogue(key, "integer", numberRange(min, max), std::to_string(fallback));
    return find(key) == nullptr ? fallback : readNumber(key, min, max);
}

std::uint16_t JsonReader::port(const char *key)
{
    return static_cast<std::uint16_t>(number(key, 1, MaxPort));
}

SocketAddress JsonReader::socketAddress(const char *key, const SocketAddress &fallback)
{
    addToCatalogue(key, "string", SocketAddressRange, fallback.port == 0 ? "none" : fallback.toString());
    if (find(key) == nullptr) {
        return fallback;
    }
    const std::string text = readString(key);
    const std::size_t colon = text.find(':');
    if (colon == std::string::npos || !isIpAddress(text.substr(0, colon)) || !isPort(text.substr(colon + 1))) {
        fail(ResultCode::SettingsOutOfRange, key, SocketAddressRange);
    }
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

double JsonReader::real(const char *key, double min, double max, double fallback)
{
    const std::string range = "a number from " + realText(min) + " to " + realText(max);
    addToCatalogue(key, "number", range, realText(fallback));
    const nlohmann::json *value = find(key);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_number()) {
        fail(ResultCode::SettingsWrongType, key, range);
    }
    const auto real = value->get<double>();
    if (real < min || real > max) {
        fail(ResultCode::SettingsOutOfRange, key, range);
    }
    return real;
}

bool JsonReader::boolean(const char *key, bool fallback)
{
    addToCatalogue(key, "boolean", "true or false", fallback ? "true" : "false");
    const nlohmann::json *value = find(key);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        fail(ResultCode::SettingsWrongType, key, "true or false");
    }
    return value->get<bool>();
}

Milliseconds JsonReader::milliseconds(const char *key, Milliseconds min, Milliseconds max, Milliseconds fallback)
{
    return Milliseconds(number(key, static_cast<std::uint64_t>(min.count()), static_cast<std::uint64_t>(max.count()),
                               static_cast<std::uint64_t>(fallback.count())));
}

std::string JsonReader::readIpAddress(const char *key)
{
    std::string text = readString(key);
    if (!isIpAddress(text)) {
        fail(ResultCode::SettingsOutOfRange, key, IpAddressRange);
    }
    return text;
}

std::string JsonReader::ipAddress(const char *key)
{
    addToCatalogue(key, "string", IpAddressRange, Required);
    return readIpAddress(key);
}

std::string JsonReader::ipAddress(const char *key, const std::string &fallback)
{
    addToCatalogue(key, "string", IpAddressRange, fallback);
    return find(key) == nullptr ? fallback : readIpAddress(key);
}

std::string JsonReader::url(const char *key)
{
    addToCatalogue(key, "string", UrlRange, Required);
    std::string text = readString(key);
    if (!isUrl(text)) {
        fail(ResultCode::SettingsOutOfRange, key, UrlRange);
    }
    return text;
}

JsonReader JsonReader::object(const char *key)
{
    const nlohmann::json *value = find(key);
    return {value == nullptr ? nlohmann::json::object() : *value, pathOf(key), m_catalogue};
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
        readers.emplace_back((*value)[i], pathOf(key) + "/" + std::to_string(i), m_catalogue);
    }
    return readers;
}

void JsonReader::finish() const
{
    for (const auto &item : m_value.items()) {
        if (!m_requestedKeys.contains(item.key())) {
            throw ResultError(ResultCode::SettingsUnknownKey, pathOf(item.key()) + ": expected no such key");
        }
    }
}

} // namespace jasminemast
