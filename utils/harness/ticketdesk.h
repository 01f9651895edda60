// The operators' side: files tickets and accepts them, with revision-checked writes.
#pragma once

#include "jasminemast/support/digest.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace jasminemast::harness
{

/// Keeps the chain of filed tickets and publishes it in the configuration service.
class TicketDesk
{
public:
    explicit TicketDesk(std::string configSourceUrl)
        : m_url(std::move(configSourceUrl))
    {
    }

    /// Files the next ticket; \p objects holds any of "routes", "services" and "endpoints". Returns its number.
    /// \throws std::runtime_error when the service refuses the write.
    std::uint64_t file(const nlohmann::json &objects);
    /// Files \p bytes as they are under the next number.
    std::uint64_t fileRaw(const std::string &bytes);
    /// Makes ticket \p number the accepted head.
    void accept(std::uint64_t number);
    /// Files and accepts.
    std::uint64_t publish(const nlohmann::json &objects);

    [[nodiscard]] std::uint64_t lastNumber() const
    {
        return m_lastNumber;
    }
    [[nodiscard]] Digest digestOf(std::uint64_t number) const
    {
        return m_digests.at(number);
    }

private:
    void put(const std::string &key, const std::string &value, const std::string &revision);

    std::string m_url;
    std::uint64_t m_lastNumber = 0;
    std::map<std::uint64_t, Digest> m_digests;
};

} // namespace jasminemast::harness
