// Reads the `previous` field of a ticket even if the rest of the ticket is invalid.
#include "jasminemast/config/ticket.h"

#include <nlohmann/json.hpp>

namespace jasminemast
{

namespace
{

/// Stops the parser at the value of the first top-level key `previous`.
class PreviousDigestFinder : public nlohmann::json_sax<nlohmann::json>
{
public:
    [[nodiscard]] const std::optional<Digest> &previous() const
    {
        return m_previous;
    }

    bool null() override
    {
        return continuesAfterValue();
    }
    bool boolean(bool /*value*/) override
    {
        return continuesAfterValue();
    }
    bool number_integer(number_integer_t /*value*/) override
    {
        return continuesAfterValue();
    }
    bool number_unsigned(number_unsigned_t /*value*/) override
    {
        return continuesAfterValue();
    }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override
    {
        return continuesAfterValue();
    }
    bool string(string_t &value) override
    {
        if (m_isAtPrevious) {
            m_previous = Digest::fromHex(value);
        }
        return !m_isAtPrevious;
    }
    bool binary(binary_t & /*value*/) override
    {
        return continuesAfterValue();
    }
    bool start_object(std::size_t /*size*/) override
    {
        ++m_depth;
        return continuesAfterValue();
    }
    bool key(string_t &name) override
    {
        m_isAtPrevious = m_depth == 1 && name == "previous";
        return true;
    }
    bool end_object() override
    {
        --m_depth;
        return true;
    }
    bool start_array(std::size_t /*size*/) override
    {
        ++m_depth;
        return continuesAfterValue();
    }
    bool end_array() override
    {
        --m_depth;
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) override
    {
        return false;
    }

private:
    /// Called for values that are not strings: continues parsing unless this is the value of `previous`.
    [[nodiscard]] bool continuesAfterValue() const
    {
        return !m_isAtPrevious;
    }

    std::size_t m_depth = 0;
    bool m_isAtPrevious = false;
    std::optional<Digest> m_previous;
};

} // namespace

std::optional<Digest> parsePreviousDigest(std::string_view bytes)
{
    PreviousDigestFinder finder;
    nlohmann::json::sax_parse(bytes, &finder);
    return finder.previous();
}

} // namespace jasminemast
