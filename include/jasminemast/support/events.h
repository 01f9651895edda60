// Structured logs: numbered events with key=value fields, written through glog.
//
// The catalogue is in events.def; docs/events.md explains each entry.
#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace jasminemast
{

enum class Severity { Info, Warning, Error };

enum class Event : int {
#define JASMINEMAST_EVENT(name, number, severity, text) name = number,
#include "jasminemast/support/events.def"
#undef JASMINEMAST_EVENT
};

/// One row of the event catalogue.
struct EventInfo
{
    Event event;
    std::string_view name;
    Severity severity;
    std::string_view text;
};

std::span<const EventInfo> allEvents();
const EventInfo &eventInfo(Event event);

using EventField = std::pair<std::string_view, std::string>;

/// Formats one line: `E1001 NodeStarted "node started" host=h1`. Values with spaces or special characters are quoted.
std::string formatEvent(Event event, std::initializer_list<EventField> fields);

/// Writes the event to the log at its severity.
void logEvent(Event event, std::initializer_list<EventField> fields = {});

} // namespace jasminemast
