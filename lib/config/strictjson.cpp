// Builds a JSON value from parser events and refuses what the library's own builder lets pass.
#include "strictjson.h"

#include "jasminemast/support/result.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace jasminemast
{

namespace
{

using Json = nlohmann::json;

class StrictBuilder : public nlohmann::json_sax<Json>
{
public:
    explicit StrictBuilder(std::size_t maxDepth)
        : m_maxDepth(maxDepth)
    {
    }

    Json takeResult()
    {
        return std::move(m_root);
    }

    bool null() override
    {
        add(nullptr);
        return true;
    }
    bool boolean(bool value) override
    {
        add(value);
        return true;
    }
    bool number_integer(number_integer_t value) override
    {
        add(value);
        return true;
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        add(value);
        return true;
    }
    bool number_float(number_float_t value, const string_t & /*text*/) override
    {
        add(value);
        return true;
    }
    bool string(string_t &value) override
    {
        add(std::move(value));
        return true;
    }
    bool binary(binary_t & /*value*/) override
    {
        return false; // JSON text holds none
    }
    bool start_object(std::size_t /*size*/) override
    {
        open(Json::object());
        return true;
    }
    bool key(string_t &name) override
    {
        const auto [member, isNew] = m_open.back()->emplace(std::move(name), nullptr);
        if (!isNew) {
            throw ResultError(ResultCode::TicketDuplicateKey, childPath(path(), member.key()) + ": repeated key");
        }
        m_member = &*member;
        m_keys.back() = member.key();
        return true;
    }
    bool end_object() override
    {
        close();
        return true;
    }
    bool start_array(std::size_t /*size*/) override
    {
        open(Json::array());
        return true;
    }
    bool end_array() override
    {
        close();
        return true;
    }
    bool parse_error(std::size_t position, const std::string & /*token*/,
                     const nlohmann::detail::exception &error) override
    {
        constexpr int NumberOverflow = 406; // identifier of the library's out_of_range error
        if (error.id == NumberOverflow) {
            throw ResultError(ResultCode::TicketWrongType, path() + ": number out of range");
        }
        // The library's own text may repeat bytes that are not UTF-8.
        const bool isEncoding = std::string_view(error.what()).find("ill-formed UTF-8") != std::string_view::npos;
        const std::string cause = isEncoding ? "not UTF-8" : "not JSON";
        throw ResultError(ResultCode::TicketNotJson, path() + ": " + cause + " at byte " + std::to_string(position));
    }

private:
    /// Puts \p value where the parser stands and returns its place.
    template<class Value>
    Json *add(Value &&value)
    {
        if (m_open.empty()) {
            m_root = std::forward<Value>(value);
            return &m_root;
        }
        if (m_open.back()->is_array()) {
            return &m_open.back()->emplace_back(std::forward<Value>(value));
        }
        m_keys.back().reset();
        *m_member = std::forward<Value>(value);
        return m_member;
    }

    void open(Json container)
    {
        if (m_open.size() >= m_maxDepth) {
            throw ResultError(ResultCode::TicketTooDeep,
                              path() + ": more than " + std::to_string(m_maxDepth) + " levels");
        }
        m_places.push_back(path());
        m_open.push_back(add(std::move(container)));
        m_keys.emplace_back();
    }

    void close()
    {
        m_places.pop_back();
        m_open.pop_back();
        m_keys.pop_back();
    }

    /// The JSON pointer of the place where the parser stands: a value if one is due, otherwise the open container.
    [[nodiscard]] std::string path() const
    {
        if (m_open.empty()) {
            return "";
        }
        if (m_open.back()->is_array()) {
            return childPath(m_places.back(), std::to_string(m_open.back()->size()));
        }
        return m_keys.back() ? childPath(m_places.back(), *m_keys.back()) : m_places.back();
    }

    std::size_t m_maxDepth;
    Json m_root;
    std::vector<Json *> m_open; ///< containers that enclose the place, outermost first
    std::vector<std::string> m_places; ///< JSON pointer of each open container
    std::vector<std::optional<std::string>> m_keys; ///< for each open object the key whose value is due
    Json *m_member = nullptr; ///< where the value of the key just read goes
};

} // namespace

Json parseStrictJson(std::string_view bytes, std::size_t maxDepth)
{
    StrictBuilder builder(maxDepth);
    Json::sax_parse(bytes, &builder);
    return builder.takeResult();
}

std::string childPath(const std::string &path, std::string_view key)
{
    constexpr std::size_t MaxShownBytes = 128;
    std::string text = path + "/";
    std::size_t end = std::min(key.size(), MaxShownBytes);
    while (end < key.size() && end > 0 && (static_cast<unsigned char>(key[end]) & 0xC0U) == 0x80U) {
        --end;
    }
    for (const char c : key.substr(0, end)) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '~') {
            text += "~0";
        } else if (c == '/') {
            text += "~1";
        } else {
            text.push_back(byte < 0x20 || byte == 0x7F ? '?' : c);
        }
    }
    return text;
}

} // namespace jasminemast
