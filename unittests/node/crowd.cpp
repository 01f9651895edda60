// Writes the scripts with non-blocking sockets, in turns.
#include "crowd.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <iomanip>
#include <sstream>

namespace jasminemast::fleet
{

namespace
{

constexpr std::chrono::milliseconds IdlePause {5};
/// Without progress of any caller for this long, none is expected any more.
constexpr std::chrono::milliseconds SettleTime {1'500};

std::string head(const std::string &target, const std::string &framing)
{
    return "POST " + target + " HTTP/1.1\r\nHost: a\r\nJasminemast-Deadline-Ms: 8000\r\n" + framing + "\r\n\r\n";
}

} // namespace

CallerScript lengthScript(const std::string &target, std::size_t announced, std::size_t sent)
{
    constexpr std::size_t UnitBytes = 64 << 10;
    CallerScript script;
    script.head = head(target, "Content-Length: " + std::to_string(announced));
    script.unit = std::make_shared<const std::string>(UnitBytes, 'x');
    script.repeats = sent / UnitBytes;
    script.tail = std::string(sent % UnitBytes, 'x');
    return script;
}

CallerScript chunkedScript(const std::string &target, std::size_t chunkBytes, std::size_t chunks, bool isEnded)
{
    std::ostringstream size;
    size << std::hex << chunkBytes << "\r\n";
    CallerScript script;
    script.head = head(target, "Transfer-Encoding: chunked");
    script.unit = std::make_shared<const std::string>(size.str() + std::string(chunkBytes, 'x') + "\r\n");
    script.repeats = chunks;
    script.tail = isEnded ? "0\r\n\r\n" : "";
    return script;
}

Crowd::Crowd(const SocketAddress &server, const std::vector<CallerScript> &scripts)
    : m_server(server)
{
    for (const CallerScript &script : scripts) {
        m_callers.push_back({script, Descriptor(), 0});
    }
    m_openConnections = scripts.size();
    m_thread = std::thread([this] { run(); });
}

Crowd::~Crowd()
{
    m_isStopping = true;
    m_thread.join();
}

void Crowd::connect(Caller &caller) const
{
    const sockaddr_in system = toSystemAddress(m_server);
    caller.socket = Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (::connect(caller.socket.get(), reinterpret_cast<const sockaddr *>(&system), sizeof(system)) != 0
        && errno != EINPROGRESS) {
        caller.socket.close();
    }
}

std::size_t Crowd::totalBytes(const CallerScript &script)
{
    const std::size_t unitBytes = script.unit ? script.unit->size() : 0;
    return script.head.size() + unitBytes * script.repeats + script.tail.size();
}

std::string_view Crowd::nextBytes(const Caller &caller)
{
    const CallerScript &script = caller.script;
    std::size_t offset = caller.sent;
    if (offset < script.head.size()) {
        return std::string_view(script.head).substr(offset);
    }
    offset -= script.head.size();
    const std::size_t unitBytes = script.unit ? script.unit->size() : 0;
    if (offset < unitBytes * script.repeats) {
        return std::string_view(*script.unit).substr(offset % unitBytes);
    }
    return std::string_view(script.tail).substr(offset - unitBytes * script.repeats);
}

bool Crowd::advance(Caller &caller)
{
    const std::size_t total = totalBytes(caller.script);
    std::size_t turn = 0;
    while (caller.sent < total && turn < caller.script.pieceBytes) {
        const std::string_view bytes = nextBytes(caller).substr(0, caller.script.pieceBytes - turn);
        const ssize_t size = ::send(caller.socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (size < 0 && (errno == EAGAIN || errno == ENOTCONN)) {
            break;
        }
        if (size < 0) {
            caller.socket.close();
            return true;
        }
        caller.sent += static_cast<std::size_t>(size);
        turn += static_cast<std::size_t>(size);
    }
    m_sentBytes += turn;
    std::array<char, 4096> response;
    const ssize_t received = ::recv(caller.socket.get(), response.data(), response.size(), MSG_DONTWAIT);
    if (received == 0 || (received < 0 && errno != EAGAIN && errno != ENOTCONN)) {
        caller.socket.close();
        return true;
    }
    return turn > 0 || received > 0;
}

void Crowd::run()
{
    for (Caller &caller : m_callers) {
        connect(caller);
    }
    auto lastProgress = std::chrono::steady_clock::now();
    while (!m_isStopping) {
        bool isProgressing = false;
        std::size_t open = 0;
        std::size_t unfinished = 0;
        for (Caller &caller : m_callers) {
            if (!caller.socket.isOpen()) {
                continue;
            }
            isProgressing = advance(caller) || isProgressing;
            open += caller.socket.isOpen() ? 1 : 0;
            unfinished += caller.socket.isOpen() && caller.sent < totalBytes(caller.script) ? 1 : 0;
        }
        m_openConnections = open;
        const auto now = std::chrono::steady_clock::now();
        if (isProgressing) {
            lastProgress = now;
        } else {
            std::this_thread::sleep_for(IdlePause);
        }
        if ((unfinished == 0 && !isProgressing) || now - lastProgress > SettleTime) {
            m_isSettled = true;
        }
    }
}

std::string exchangeOnce(const SocketAddress &server, std::string_view request)
{
    constexpr timeval Patience {20, 0}; // longer than any deadline
    const sockaddr_in system = toSystemAddress(server);
    const Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    ::setsockopt(socket.get(), SOL_SOCKET, SO_RCVTIMEO, &Patience, sizeof(Patience));
    ::setsockopt(socket.get(), SOL_SOCKET, SO_SNDTIMEO, &Patience, sizeof(Patience));
    if (::connect(socket.get(), reinterpret_cast<const sockaddr *>(&system), sizeof(system)) != 0) {
        return {};
    }
    while (!request.empty()) {
        const ssize_t size = ::send(socket.get(), request.data(), request.size(), MSG_NOSIGNAL);
        if (size <= 0) {
            break; // the response may be there nevertheless
        }
        request.remove_prefix(static_cast<std::size_t>(size));
    }
    std::string response;
    std::array<char, 4096> buffer;
    for (ssize_t size = 0; (size = ::recv(socket.get(), buffer.data(), buffer.size(), 0)) > 0;) {
        response.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return response;
}

KeptConnectionCaller::KeptConnectionCaller(const SocketAddress &server, std::string request, int count)
    : m_server(server)
    , m_request(std::move(request))
    , m_count(count)
    , m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , m_thread([this] { run(); })
{
}

KeptConnectionCaller::~KeptConnectionCaller()
{
    ::shutdown(m_socket.get(), SHUT_RDWR);
    m_thread.join();
}

unsigned KeptConnectionCaller::readResponse() const
{
    constexpr std::string_view LengthName = "Content-Length: ";
    constexpr std::size_t StatusOffset = 9; // after the version
    std::string response;
    std::array<char, 4096> buffer;
    while (true) {
        const std::size_t headEnd = response.find("\r\n\r\n");
        const std::size_t length = response.find(LengthName);
        if (headEnd != std::string::npos && length < headEnd
            && response.size() >= headEnd + 4 + std::stoul(response.substr(length + LengthName.size()))) {
            return static_cast<unsigned>(std::stoul(response.substr(StatusOffset)));
        }
        const ssize_t size = ::recv(m_socket.get(), buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            return 0;
        }
        response.append(buffer.data(), static_cast<std::size_t>(size));
    }
}

void KeptConnectionCaller::run()
{
    const sockaddr_in system = toSystemAddress(m_server);
    bool isOpen = ::connect(m_socket.get(), reinterpret_cast<const sockaddr *>(&system), sizeof(system)) == 0;
    for (int i = 0; isOpen && i < m_count; ++i) {
        std::string_view rest(m_request);
        while (!rest.empty()) {
            const ssize_t size = ::send(m_socket.get(), rest.data(), rest.size(), MSG_NOSIGNAL);
            if (size < 0) {
                break;
            }
            rest.remove_prefix(static_cast<std::size_t>(size));
        }
        m_statuses.push_back(readResponse());
        isOpen = m_statuses.back() != 0;
    }
    m_isOver = true;
}

} // namespace jasminemast::fleet
