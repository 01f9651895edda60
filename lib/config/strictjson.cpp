// Builds a JSON value from parser events and refuses what the library's builder accepts: repeated keys, deep nesting.
#include "strictjson.h"

#include "jasminemast/support/result.h"

#include <algorithm>
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
        return false; // does not occur in JSON text
    }
    bool start_object(std::size_t /*size*/) override
    {
        open(Json::object());
        return true;
    }
    bool key(string_t &name) override
    {
        Frame &frame = m_open.back();
        const auto [member, isNew] = frame.container->emplace(std::move(name), nullptr);
        if (!isNew) {
            throw ResultError(ResultCode::TicketDuplicateKey, childPath(path(), member.key()) + ": repeated key");
        }
        frame.key = &member.key();
        frame.member = &*member;
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
        constexpr int NumberOverflow = 406; // id of the library's exception for numbers out of range
        if (error.id == NumberOverflow) {
            throw ResultError(ResultCode::TicketWrongType, path() + ": number out of range");
        }
        // The library's message may contain bytes that are not UTF-8, so it is not passed on.
        const bool isEncoding = std::string_view(error.what()).find("ill-formed UTF-8") != std::string_view::npos;
        const std::string cause = isEncoding ? "not UTF-8" : "not JSON";
        throw ResultError(ResultCode::TicketNotJson, path() + ": " + cause + " at byte " + std::to_string(position));
    }

private:
    /// An array or object that is being parsed.
    struct Frame
    {
        Json *container;
        const std::string *key = nullptr; ///< of an object: the key whose value comes next or is being parsed
        Json *member = nullptr; ///< where that value is stored
    };

    /// Stores \p value at the current position and returns a pointer to it.
    template<class Value>
    Json *put(Value &&value)
    {
        if (m_open.empty()) {
            m_root = std::forward<Value>(value);
            return &m_root;
        }
        Frame &frame = m_open.back();
        if (frame.container->is_array()) {
            return &frame.container->emplace_back(std::forward<Value>(value));
        }
        *frame.member = std::forward<Value>(value);
        return frame.member;
    }

    template<class Value>
    void add(Value &&value)
    {
        put(std::forward<Value>(value));
        endValue();
    }

    void open(Json container)
    {
        if (m_open.size() >= m_maxDepth) {
            throw ResultError(ResultCode::TicketTooDeep,
                              path() + ": more than " + std::to_string(m_maxDepth) + " levels");
        }
        m_open.push_back({put(std::move(container))});
    }

    void close()
    {
        m_open.pop_back();
        endValue();
    }

    void endValue()
    {
        if (!m_open.empty()) {
            m_open.back().key = nullptr;
        }
    }

    /// The JSON pointer of the current position: the next value if one is expected, otherwise the open container.
    [[nodiscard]] std::string path() const
    {
        std::string text;
        for (const Frame &frame : m_open) {
            if (frame.container->is_array()) {
                const bool isInnermost = &frame == &m_open.back();
                text = childPath(text, std::to_string(frame.container->size() - (isInnermost ? 0 : 1)));
            } else if (frame.key != nullptr) {
                text = childPath(text, *frame.key);
            }
        }
        return text;
    }

    std::size_t m_maxDepth;
    Json m_root;
    std::vector<Frame> m_open; ///< outermost first
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
