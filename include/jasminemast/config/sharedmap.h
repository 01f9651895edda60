// A copy-on-write map.
#pragma once

#include <memory>
#include <utility>

namespace jasminemast
{

/// Has the read interface of \p Map. A copy shares the map; the first edit() after that copies it.
template<class Map>
class SharedMap
{
public:
    using key_type = typename Map::key_type; // NOLINT(readability-identifier-naming): name of the standard containers
    using mapped_type = typename Map::mapped_type; // NOLINT(readability-identifier-naming): as above
    using Iterator = typename Map::const_iterator;

    SharedMap()
        : m_map(std::make_shared<Map>())
    {
    }
    explicit SharedMap(Map map)
        : m_map(std::make_shared<Map>(std::move(map)))
    {
    }

    [[nodiscard]] Iterator begin() const
    {
        return m_map->begin();
    }
    [[nodiscard]] Iterator end() const
    {
        return m_map->end();
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_map->size();
    }
    [[nodiscard]] bool empty() const
    {
        return m_map->empty();
    }
    [[nodiscard]] bool contains(const key_type &key) const
    {
        return m_map->contains(key);
    }
    [[nodiscard]] Iterator find(const key_type &key) const
    {
        return m_map->find(key);
    }
    [[nodiscard]] const mapped_type &at(const key_type &key) const
    {
        return m_map->at(key);
    }

    /// Returns the map for modification; other copies stay unchanged. Not safe while another thread copies this object.
    Map &edit()
    {
        if (m_map.use_count() != 1) {
            m_map = std::make_shared<Map>(*m_map);
        }
        return *m_map;
    }

private:
    std::shared_ptr<Map> m_map; ///< never null; modified only while this object is its sole owner
};

} // namespace jasminemast
