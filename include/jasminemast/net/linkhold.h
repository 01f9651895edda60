// Keeps a link probed and open for as long as there is work on it.
#pragma once

#include "jasminemast/net/link.h"

#include <memory>
#include <utility>

namespace jasminemast
{

/// Holds one link while it exists.
class LinkHold
{
public:
    explicit LinkHold(std::shared_ptr<Link> held)
        : link(std::move(held))
    {
        link->hold();
    }

    ~LinkHold()
    {
        link->release();
    }

    LinkHold(const LinkHold &) = delete;
    LinkHold &operator=(const LinkHold &) = delete;

    const std::shared_ptr<Link> link; ///< never null
};

} // namespace jasminemast
