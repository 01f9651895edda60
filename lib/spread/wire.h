// Length-limited cereal fields: a length sent by a peer is checked before it is used.
#pragma once

#include "jasminemast/support/archive.h"
#include "jasminemast/support/ids.h"

#include <algorithm>
#include <stdexcept>
#include <string>
#include <vector>

namespace jasminemast::wire
{

constexpr std::size_t MaxNameLength = 64;

/// Serializes a length of at most \p maxLength as a \p WireLength.
template<class WireLength, class Archive>
std::size_t boundedLength(Archive &archive, std::size_t length, std::size_t maxLength)
{
    auto wireLength = static_cast<WireLength>(length);
    archive(wireLength);
    if (wireLength > maxLength) {
        throw std::length_error("length exceeds its limit");
    }
    return wireLength;
}

template<class Archive>
void text(Archive &archive, std::string &value, std::size_t maxLength)
{
    const auto length = boundedLength<std::uint32_t>(archive, value.size(), maxLength);
    if constexpr (Archive::is_loading::value) {
        value.resize(length);
    }
    archive(cereal::binary_data(value.data(), length));
}

/// Serializes a name of at most MaxNameLength bytes, preceded by its length in one byte.
template<class Archive, class Tag>
void name(Archive &archive, StrongId<Tag, std::string> &id)
{
    std::string value = id.value();
    auto length = static_cast<std::uint8_t>(std::min(value.size(), MaxNameLength + 1));
    archive(length);
    if (length > MaxNameLength) {
        throw std::length_error("name exceeds its maximum length");
    }
    value.resize(length);
    archive(cereal::binary_data(value.data(), length));
    if constexpr (Archive::is_loading::value) {
        id = StrongId<Tag, std::string>(std::move(value));
    }
}

/// Serializes a list of at most \p maxLength elements with \p serializeElement.
template<class Archive, class Element, class SerializeElement>
void list(Archive &archive, std::vector<Element> &elements, std::size_t maxLength, SerializeElement serializeElement)
{
    const auto length = boundedLength<std::uint16_t>(archive, elements.size(), maxLength);
    if constexpr (Archive::is_loading::value) {
        elements.clear();
        elements.reserve(std::min<std::size_t>(length, 64));
        for (std::size_t i = 0; i < length; ++i) {
            serializeElement(archive, elements.emplace_back());
        }
    } else {
        for (auto &entry : elements) {
            serializeElement(archive, entry);
        }
    }
}

} // namespace jasminemast::wire
