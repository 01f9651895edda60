// Finds the `previous` field of a ticket without needing the rest of the ticket to be good.
#include "jasminemast/config/ticket.h"

#include <nlohmann/json.hpp>

namespace jasminemast
{

namespace
{

/// Stops the parser at the value of the first top-level key `previous`.
class PreviousFinder : public nlohmann::json_sax<nlohmann::json>
{
public:
    [[nodiscard]] const std::optional<Digest> &previous() const
    {
        return m_previous;
    }

    bool null() override
    {
        return isOtherValue();
    }
    bool boolean(bool /*value*/) override
    {
        return isOtherValue();
    }
    bool number_integer(number_integer_t /*value*/) override
    {
        return isOtherValue();
    }
    bool number_unsigned(number_unsigned_t /*value*/) override
    {
        return isOtherValue();
    }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override
    {
        return isOtherValue();
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
        return isOtherValue();
    }
    bool start_object(std::size_t /*size*/) override
    {
        ++m_depth;
        return isOtherValue();
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
        return isOtherValue();
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
    /// A value that is no string ends the search where a digest is due.
    [[nodiscard]] bool isOtherValue() const
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
    PreviousFinder finder;
    nlohmann::json::sax_parse(bytes, &finder);
    return finder.previous();
}

} // namespace jasminemast
