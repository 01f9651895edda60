// Retains a link while there is work on it.
#pragma once

#include "jasminemast/net/link.h"

#include <memory>
#include <utility>

namespace jasminemast
{

/// Retains a link for its own lifetime.
class LinkReference
{
public:
    explicit LinkReference(std::shared_ptr<Link> retained)
        : link(std::move(retained))
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
