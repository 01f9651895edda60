// Reads a JSON object key by key and refuses whatever was not asked for.
//
// Every refusal carries a numbered code, the path within the file (RFC 6901) and what was expected.
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

/// What may stand under one key of a settings file.
struct SettingInfo
{
    std::string path;
    std::string type;
    std::string range; ///< what is taken, as refusals put it
    std::string fallback; ///< the value when absent; "required" when it must be there

    auto operator<=>(const SettingInfo &) const = default;
};

/// Every key that was asked for, in this order; the table of docs/settings.md is compared with it.
using SettingCatalogue = std::vector<SettingInfo>;

/// One object of a settings file.
class JsonReader
{
public:
    /// Adds what it is asked for to \p catalogue unless that is null.
    /// \throws ResultError with SettingsWrongType when \p value is no object.
    JsonReader(const nlohmann::json &value, std::string path, SettingCatalogue *catalogue = nullptr);

    [[nodiscard]] bool has(const char *key) const;
    /// \throws ResultError with SettingsMissing, SettingsWrongType or SettingsOutOfRange.
    std::string string(const char *key);
    std::string string(const char *key, const std::string &fallback);
    std::uint64_t number(const char *key, std::uint64_t least, std::uint64_t most);
    std::uint64_t number(const char *key, std::uint64_t least, std::uint64_t most, std::uint64_t fallback);
    double real(const char *key, double least, double most, double fallback);
    bool boolean(const char *key, bool fallback);
    /// A duration in milliseconds; the key ends in "Ms".
    Milliseconds milliseconds(const char *key, Milliseconds least, Milliseconds most, Milliseconds fallback);
    /// An IP number in dotted form.
    std::string ipAddress(const char *key);
    std::string ipAddress(const char *key, const std::string &fallback);
    /// http://ADDRESS:PORT.
    std::string url(const char *key);
    std::uint16_t port(const char *key);
    /// "IP:PORT".
    SocketAddress socketAddress(const char *key, const SocketAddress &fallback);
    /// An empty object when absent.
    JsonReader object(const char *key);
    /// Readers of an array's objects; none when absent.
    std::vector<JsonReader> objects(const char *key);

    /// \throws ResultError with SettingsUnknownKey when a key was never asked for.
    void finish() const;

    [[nodiscard]] std::string pathOf(std::string_view key) const;
    [[noreturn]] void fail(ResultCode code, const char *key, const std::string &expected) const;

private:
    const nlohmann::json *find(const char *key);
    const nlohmann::json &require(const char *key);
    std::string readString(const char *key);
    std::string readIpAddress(const char *key);
    std::uint64_t readNumber(const char *key, std::uint64_t least, std::uint64_t most);
    void record(const char *key, std::string type, std::string range, std::string fallback);

    nlohmann::json m_value;
    std::string m_path;
    SettingCatalogue *m_catalogue;
    std::set<std::string, std::less<>> m_asked;
};

} // namespace jasminemast
