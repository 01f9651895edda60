// Ticket bytes are the dumped JSON; each carries the digest of the one before.
#include "ticketdesk.h"

#include "httpcall.h"

#include <stdexcept>

namespace jasminemast::harness
{

std::uint64_t TicketDesk::file(const nlohmann::json &objects)
{
    const Digest previous = m_lastNumber == 0 ? Digest {} : m_digests.at(m_lastNumber);
    nlohmann::json ticket = {{"number", m_lastNumber + 1},
                             {"previous", previous.hex()},
                             {"routes", nlohmann::json::object()},
                             {"services", nlohmann::json::object()},
                             {"endpoints", nlohmann::json::object()}};
    ticket.update(objects);
    return fileRaw(ticket.dump());
}

std::uint64_t TicketDesk::fileRaw(const std::string &bytes)
{
    const std::uint64_t number = m_lastNumber + 1;
    put("tickets/" + std::to_string(number), bytes, "0");
    m_digests[number] = sha256(bytes);
    m_lastNumber = number;
    return number;
}

void TicketDesk::accept(std::uint64_t number)
{
    const HttpAnswer head = httpCall("GET", m_url + "/v1/kv/accepted");
    const nlohmann::json value = {{"number", number}, {"digest", m_digests.at(number).hex()}};
    put("accepted", value.dump(), head.index.empty() ? "0" : head.index);
}

std::uint64_t TicketDesk::publish(const nlohmann::json &objects)
{
    const std::uint64_t number = file(objects);
    accept(number);
    return number;
}

void TicketDesk::put(const std::string &key, const std::string &value, const std::string &revision)
{
    const HttpAnswer answer = httpCall("PUT", m_url + "/v1/kv/" + key + "?cas=" + revision, value);
    if (answer.status != 200) {
        throw std::runtime_error("writing " + key + " gave " + std::to_string(answer.status) + " " + answer.body);
    }
}

} // namespace jasminemast::harness
