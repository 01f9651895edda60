// Bounded cereal fields: no length that a peer claims is believed before it has been checked.
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

/// Carries a length of at most \p most as a \p Wire.
template<class Wire, class Archive>
std::size_t boundedLength(Archive &archive, std::size_t length, std::size_t most)
{
    auto wireLength = static_cast<Wire>(length);
    archive(wireLength);
    if (wireLength > most) {
        throw std::length_error("length over its bound");
    }
    return wireLength;
}

template<class Archive>
void text(Archive &archive, std::string &value, std::size_t most)
{
    const auto length = boundedLength<std::uint32_t>(archive, value.size(), most);
    if constexpr (Archive::is_loading::value) {
        value.resize(length);
    }
    archive(cereal::binary_data(value.data(), length));
}

/// A name of at most MaxNameLength bytes with a length of one byte.
template<class Archive, class Tag>
void name(Archive &archive, StrongId<Tag, std::string> &id)
{
    std::string value = id.value();
    auto length = static_cast<std::uint8_t>(std::min(value.size(), MaxNameLength + 1));
    archive(length);
    if (length > MaxNameLength) {
        throw std::length_error("name over its bound");
    }
    value.resize(length);
    archive(cereal::binary_data(value.data(), length));
    if constexpr (Archive::is_loading::value) {
        id = StrongId<Tag, std::string>(std::move(value));
    }
}

/// A list of at most \p most elements, each carried by \p element.
template<class Archive, class Element, class Carry>
void list(Archive &archive, std::vector<Element> &elements, std::size_t most, Carry element)
{
    const auto length = boundedLength<std::uint16_t>(archive, elements.size(), most);
    if constexpr (Archive::is_loading::value) {
        elements.clear();
        elements.reserve(std::min<std::size_t>(length, 64));
        for (std::size_t i = 0; i < length; ++i) {
            element(archive, elements.emplace_back());
        }
    } else {
        for (auto &entry : elements) {
            element(archive, entry);
        }
    }
}

} // namespace jasminemast::wire
