// Writes and accepts tickets as an operator does, with compare-and-set writes to the configuration service.
#pragma once

#include "jasminemast/support/digest.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace jasminemast::harness
{

/// Numbers tickets, links each to the digest of the previous one and writes them to the configuration service.
class TicketPublisher
{
public:
    explicit TicketPublisher(std::string configSourceUrl)
        : m_url(std::move(configSourceUrl))
    {
    }

    /// Writes the next ticket; \p objects may contain "routes", "services" and "endpoints". Returns its number.
    /// \throws std::runtime_error if the service refuses the write.
    std::uint64_t write(const nlohmann::json &objects);
    /// Writes \p bytes unchanged under the next ticket number.
    std::uint64_t writeRaw(const std::string &bytes);
    /// Makes ticket \p number the accepted head, which nodes then apply up to.
    void accept(std::uint64_t number);
    /// Writes and accepts a ticket.
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
