// Reads a JSON object key by key and refuses unknown keys.
//
// Every error has a result code, the path within the file (RFC 6901) and what was expected.
#pragma once

#include "jasminemast/net/socketaddress.h"
#include "jasminemast/support/clock.h"
#include "jasminemast/support/result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jasminemast
{

/// Description of one key of a settings file.
struct SettingInfo
{
    std::string path;
    std::string type;
    std::string range; ///< accepted values, worded as in error messages
    std::string fallback; ///< default value; "required" if the key must be present

    auto operator<=>(const SettingInfo &) const = default;
};

/// The keys read, in order; a test compares the table of docs/settings.md with it.
using SettingCatalogue = std::vector<SettingInfo>;

/// One object of a settings file.
class JsonReader
{
public:
    /// Adds every key that is read to \p catalogue unless that is null.
    /// \throws ResultError with SettingsWrongType when \p value is not an object.
    JsonReader(const nlohmann::json &value, std::string path, SettingCatalogue *catalogue = nullptr);

    [[nodiscard]] bool has(const char *key) const;

    // Readers of one key each. Without `fallback`, the key is required.

    /// \throws ResultError with SettingsMissing, SettingsWrongType or SettingsOutOfRange.
    std::string string(const char *key);
    std::string string(const char *key, const std::string &fallback);
    std::uint64_t number(const char *key, std::uint64_t min, std::uint64_t max);
    std::uint64_t number(const char *key, std::uint64_t min, std::uint64_t max, std::uint64_t fallback);
    double real(const char *key, double min, double max, double fallback);
    bool boolean(const char *key, bool fallback);
    /// A duration in milliseconds; the key ends in "Ms".
    Milliseconds milliseconds(const char *key, Milliseconds min, Milliseconds max, Milliseconds fallback);
    /// An IPv4 address in dotted form.
    std::string ipAddress(const char *key);
    std::string ipAddress(const char *key, const std::string &fallback);
    /// http://ADDRESS:PORT.
    std::string url(const char *key);
    std::uint16_t port(const char *key);
    /// "IP:PORT".
    SocketAddress socketAddress(const char *key, const SocketAddress &fallback);
    /// A reader of an object, which is empty when the key is absent.
    JsonReader object(const char *key);
    /// Readers of an array's objects; empty when the key is absent.
    std::vector<JsonReader> objects(const char *key);

    /// Call after all keys have been read.
    /// \throws ResultError with SettingsUnknownKey when the object has a key that was not read.
    void finish() const;

    [[nodiscard]] std::string pathOf(std::string_view key) const;
    [[noreturn]] void fail(ResultCode code, const char *key, const std::string &expected) const;

private:
    const nlohmann::json *find(const char *key);
    const nlohmann::json &require(const char *key);
    std::string readString(const char *key);
    std::string readIpAddress(const char *key);
    std::uint64_t readNumber(const char *key, std::uint64_t min, std::uint64_t max);
    void addToCatalogue(const char *key, std::string type, std::string range, std::string fallback);

    nlohmann::json m_value;
    std::string m_path;
    SettingCatalogue *m_catalogue;
    std::set<std::string, std::less<>> m_requestedKeys;
};

} // namespace jasminemast
