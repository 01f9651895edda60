// Binary encoding of messages: cereal archives over a string.
//
// Numbers are little-endian. A length larger than the rest of the input is refused before memory is allocated, so that
// a hostile message costs no more than its own size.
#pragma once

#include "jasminemast/support/result.h"

#include <cereal/cereal.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include <bit>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

namespace jasminemast
{

static_assert(std::endian::native == std::endian::little,
              "messages are little-endian and written in the byte order of the host");

/// Appends encoded values to a string.
class EncodeArchive : public cereal::OutputArchive<EncodeArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit EncodeArchive(std::string &out)
        : cereal::OutputArchive<EncodeArchive, cereal::AllowEmptyClassElision>(this)
        , m_out(out)
    {
    }

    void writeBytes(const void *data, std::size_t size)
    {
        m_out.append(static_cast<const char *>(data), size);
    }

private:
    std::string &m_out;
};

/// Reads encoded values from a view; throws cereal::Exception when the view is too short.
class DecodeArchive : public cereal::InputArchive<DecodeArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit DecodeArchive(std::string_view in)
        : cereal::InputArchive<DecodeArchive, cereal::AllowEmptyClassElision>(this)
        , m_in(in)
    {
    }

    void readBytes(void *data, std::size_t size)
    {
        if (size > m_in.size()) {
            throw cereal::Exception("message is cut short");
        }
        std::memcpy(data, m_in.data(), size);
        m_in.remove_prefix(size);
    }

    [[nodiscard]] std::size_t remaining() const
    {
        return m_in.size();
    }

private:
    std::string_view m_in;
};

template<class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_SAVE_FUNCTION_NAME(EncodeArchive &archive, const T &value)
{
    archive.writeBytes(std::addressof(value), sizeof(value));
}

template<class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(DecodeArchive &archive, T &value)
{
    if constexpr (std::is_same_v<T, bool>) {
        std::uint8_t byte = 0;
        archive.readBytes(std::addressof(byte), sizeof(byte));
        if (byte > 1) {
            throw cereal::Exception("neither true nor false");
        }
        value = byte == 1;
    } else {
        archive.readBytes(std::addressof(value), sizeof(value));
    }
}

template<class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(EncodeArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template<class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(DecodeArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(EncodeArchive &archive, const cereal::SizeTag<T> &tag)
{
    archive(static_cast<std::uint32_t>(tag.size));
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(DecodeArchive &archive, cereal::SizeTag<T> &tag)
{
    std::uint32_t size = 0;
    archive(size);
    if (size > archive.remaining()) {
        throw cereal::Exception("length exceeds the message");
    }
    tag.size = size;
}

/// Grows the vector element by element instead of by the encoded size: an element can be far larger in memory than
/// encoded.
template<class T, class Allocator>
std::enable_if_t<!std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(DecodeArchive &archive,
                                                                     std::vector<T, Allocator> &vector)
{
    cereal::size_type size = 0;
    archive(cereal::make_size_tag(size));
    vector.clear();
    for (cereal::size_type i = 0; i < size; ++i) {
        archive(vector.emplace_back());
    }
}

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(EncodeArchive &archive, const cereal::BinaryData<T> &data)
{
    archive.writeBytes(data.data, static_cast<std::size_t>(data.size));
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(DecodeArchive &archive, cereal::BinaryData<T> &data)
{
    archive.readBytes(data.data, static_cast<std::size_t>(data.size));
}

/// The encoded form of \p message.
template<class Message>
std::string encodeMessage(const Message &message)
{
    std::string out;
    EncodeArchive archive(out);
    archive(message);
    return out;
}

/// Decodes a message.
/// \throws ResultError with \p code when \p bytes are truncated, too long or otherwise not a valid message.
template<class Message>
Message decodeMessage(std::string_view bytes, ResultCode code)
{
    Message message;
    DecodeArchive archive(bytes);
    try {
        archive(message);
    } catch (const std::exception &error) {
        throw ResultError(code, error.what());
    }
    if (archive.remaining() != 0) {
        throw ResultError(code, "unexpected bytes after the message");
    }
    return message;
}

} // namespace jasminemast

CEREAL_REGISTER_ARCHIVE(jasminemast::EncodeArchive)
CEREAL_REGISTER_ARCHIVE(jasminemast::DecodeArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(jasminemast::DecodeArchive, jasminemast::EncodeArchive)
