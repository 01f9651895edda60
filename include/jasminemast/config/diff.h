// The objects that differ between two states, and warnings for operators to read before they accept a ticket.
#pragma once

#include "jasminemast/config/state.h"

#include <string>
#include <vector>

namespace jasminemast
{

/// How an object differs between two states.
enum class ChangeKind : std::uint8_t { Added, Changed, Removed };

enum class ObjectKind : std::uint8_t { Route, Service, Endpoint };

/// One field of a changed object.
struct FieldChange
{
    std::string field; ///< name as in a ticket
    std::string before; ///< JSON text
    std::string after; ///< JSON text

    bool operator==(const FieldChange &) const = default;
};

/// One object that differs.
struct ObjectChange
{
    ChangeKind change = ChangeKind::Added;
    ObjectKind kind = ObjectKind::Route;
    std::string id;
    std::vector<FieldChange> fields; ///< empty unless the object changed

    bool operator==(const ObjectChange &) const = default;
};

/// The objects that differ, routes first, then services, then endpoints, each in the order of their ids.
std::vector<ObjectChange> diffStates(const State &before, const State &after);

/// Warnings about a valid state that is probably a mistake: a route that no request can match, a service without
/// usable endpoints, an endpoint in no service, two endpoints on one port of a host.
std::vector<std::string> findOddities(const State &state);

std::string_view changeName(ChangeKind change);
std::string_view objectName(ObjectKind kind);

} // namespace jasminemast
