// Keeps a link probed and open for as long as there is work on it.
#pragma once

#include "jasminemast/net/link.h"

#include <memory>
#include <utility>

namespace jasminemast
{

/// Holds one link while it exists.
class LinkReference
{
public:
    explicit LinkReference(std::shared_ptr<Link> held)
        : link(std::move(held))
    {
        link->retain();
    }

    ~LinkReference()
    {
        link->release();
    }

    LinkReference(const LinkReference &) = delete;
    LinkReference &operator=(const LinkReference &) = delete;

    const std::shared_ptr<Link> link; ///< never null
};

} // namespace jasminemast
