// What a ticket changes: the objects that differ between two states, and what operators should look at before
// accepting.
#pragma once

#include "jasminemast/config/state.h"

#include <string>
#include <vector>

namespace jasminemast
{

/// What became of one object.
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
    std::vector<FieldChange> fields; ///< of a changed object only

    bool operator==(const ObjectChange &) const = default;
};

/// The objects that differ, routes first, then services, then endpoints, each in the order of their ids.
std::vector<ObjectChange> diffStates(const State &before, const State &after);

/// Findings that do not make a state invalid but are rarely meant: a route that can never be chosen, a service without
/// usable endpoints, an endpoint in no service, two endpoints for one port of a host.
std::vector<std::string> findOddities(const State &state);

std::string_view changeName(ChangeKind change);
std::string_view objectName(ObjectKind kind);

} // namespace jasminemast
