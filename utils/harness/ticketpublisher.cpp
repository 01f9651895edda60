// A ticket's bytes are its serialized JSON; each ticket contains the digest of the previous one.
#include "ticketpublisher.h"

#include "httpcall.h"

#include <stdexcept>

namespace jasminemast::harness
{

std::uint64_t TicketPublisher::write(const nlohmann::json &objects)
{
    const Digest previous = m_lastNumber == 0 ? Digest {} : m_digests.at(m_lastNumber);
    nlohmann::json ticket = {{"number", m_lastNumber + 1},
                             {"previous", previous.hex()},
                             {"routes", nlohmann::json::object()},
                             {"services", nlohmann::json::object()},
                             {"endpoints", nlohmann::json::object()}};
    ticket.update(objects);
    return writeRaw(ticket.dump());
}

std::uint64_t TicketPublisher::writeRaw(const std::string &bytes)
{
    const std::uint64_t number = m_lastNumber + 1;
    put("tickets/" + std::to_string(number), bytes, "0");
    m_digests[number] = sha256(bytes);
    m_lastNumber = number;
    return number;
}

void TicketPublisher::accept(std::uint64_t number)
{
    const HttpResponse head = httpCall("GET", m_url + "/v1/kv/accepted");
    const nlohmann::json value = {{"number", number}, {"digest", m_digests.at(number).hex()}};
    put("accepted", value.dump(), head.index.empty() ? "0" : head.index);
}

std::uint64_t TicketPublisher::publish(const nlohmann::json &objects)
{
    const std::uint64_t number = write(objects);
    accept(number);
    return number;
}

void TicketPublisher::put(const std::string &key, const std::string &value, const std::string &revision)
{
    const HttpResponse response = httpCall("PUT", m_url + "/v1/kv/" + key + "?cas=" + revision, value);
    if (response.status != 200) {
        throw std::runtime_error("writing " + key + " returned status " + std::to_string(response.status) + ": "
                                 + response.body);
    }
}

} // namespace jasminemast::harness
