// The event catalogue and its output to glog.
#include "jasminemast/support/events.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>

namespace jasminemast
{

namespace
{

constexpr std::array Catalogue = {
#define JASMINEMAST_EVENT(name, number, severity, text) EventInfo {Event::name, #name, Severity::severity, text},
#include "jasminemast/support/events.def"
#undef JASMINEMAST_EVENT
};

bool canStayUnquoted(std::string_view value)
{
    return !value.empty() && std::all_of(value.begin(), value.end(), [](char c) {
        return c > ' ' && c < '\x7f' && c != '"' && c != '=' && c != '\\';
    });
}

void appendQuoted(std::string &line, std::string_view value)
{
    line.push_back('"');
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line.push_back('\\');
        }
        line.push_back(c >= ' ' ? c : '?');
    }
    line.push_back('"');
}

} // namespace

std::span<const EventInfo> allEvents()
{
    return Catalogue;
}

const EventInfo &eventInfo(Event event)
{
    return *std::find_if(Catalogue.begin(), Catalogue.end(),
                         [event](const EventInfo &info) { return info.event == event; });
}

std::string formatEvent(Event event, std::initializer_list<EventField> fields)
{
    const EventInfo &info = eventInfo(event);
    std::string line = "E" + std::to_string(static_cast<int>(event)) + " " + std::string(info.name);
    line += " \"" + std::string(info.text) + "\"";
    for (const auto &[key, value] : fields) {
        line.push_back(' ');
        line += key;
        line.push_back('=');
        if (canStayUnquoted(value)) {
            line += value;
        } else {
            appendQuoted(line, value);
        }
    }
    return line;
}

void logEvent(Event event, std::initializer_list<EventField> fields)
{
    const std::string line = formatEvent(event, fields);
    switch (eventInfo(event).severity) {
    case Severity::Info:
        LOG(INFO) << line;
        break;
    case Severity::Warning:
        LOG(WARNING) << line;
        break;
    case Severity::Error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace jasminemast
