// libcurl silently resends a request if a reused connection closes before any byte of the response. The server here
// executes such a request and closes without a response, so that a resend would execute the request twice.
#include "jasminemast/net/httpclient.h"
#include "jasminemast/net/socketaddress.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>

#include <map>

using namespace jasminemast;

namespace
{

/// Responds to every request except those for /close, after which it closes the connection. Requests have no body.
class ClosingServer
{
public:
    explicit ClosingServer(Loop &loop)
        : m_loop(loop)
        , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
        , m_acceptWatcher(loop, [this](int) { acceptOne(); })
    {
        sockaddr_in address = toSystemAddress({"127.0.0.1", 0});
        ::bind(m_listener.get(), reinterpret_cast<sockaddr *>(&address), sizeof(address));
        ::listen(m_listener.get(), 8);
        socklen_t size = sizeof(address);
        ::getsockname(m_listener.get(), reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_acceptWatcher.start(m_listener.get(), EV_READ);
    }

    [[nodiscard]] std::string url(const std::string &path) const
    {
        return "http://127.0.0.1:" + std::to_string(m_port) + path;
    }
    [[nodiscard]] int executions(const std::string &path) const
    {
        const auto found = m_executions.find(path);
        return found == m_executions.end() ? 0 : found->second;
    }
    [[nodiscard]] int connections() const
    {
        return m_connections;
    }

private:
    struct Connection
    {
        Descriptor socket;
        std::unique_ptr<IoWatcher> watcher;
        std::string received;
    };

    void acceptOne()
    {
        Descriptor socket(::accept4(m_listener.get(), nullptr, nullptr, SOCK_NONBLOCK));
        if (!socket.isOpen()) {
            return;
        }
        ++m_connections;
        const int id = socket.get();
        Connection &connection = m_open[id];
        connection.socket = std::move(socket);
        connection.watcher = std::make_unique<IoWatcher>(m_loop, [this, id](int) { read(id); });
        connection.watcher->start(id, EV_READ);
    }

    void read(int id)
    {
        Connection &connection = m_open.at(id);
        char buffer[4096];
        const ssize_t size = ::recv(id, buffer, sizeof(buffer), 0);
        if (size <= 0) {
            close(id);
            return;
        }
        connection.received.append(buffer, static_cast<std::size_t>(size));
        if (connection.received.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        const std::size_t start = connection.received.find(' ') + 1;
        const std::string path = connection.received.substr(start, connection.received.find(' ', start) - start);
        connection.received.clear();
        ++m_executions[path];
        if (path == "/close") {
            close(id);
            return;
        }
        const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        ::send(id, response.data(), response.size(), MSG_NOSIGNAL);
    }

    void close(int id)
    {
        m_loop.post([this, id] { m_open.erase(id); });
    }

    Loop &m_loop;
    Descriptor m_listener;
    IoWatcher m_acceptWatcher;
    std::uint16_t m_port = 0;
    std::map<int, Connection> m_open;
    std::map<std::string, int> m_executions;
    int m_connections = 0;
};

class ImplicitResendTest : public testing::Test
{
protected:
    HttpClientResult post(const std::string &path, bool atMostOnce)
    {
        HttpClientRequest request;
        request.method = "POST";
        request.url = m_server.url(path);
        request.atMostOnce = atMostOnce;
        HttpClientResult transferResult;
        m_client.fetch(std::move(request),
                       [this, &transferResult](const HttpClientResult &result, unsigned, const HttpHeaders &,
                                               const std::string &) {
                           transferResult = result;
                           m_loop.stop();
                       });
        m_loop.run();
        return transferResult;
    }

    Loop m_loop;
    ClosingServer m_server {m_loop};
    HttpClient m_client {m_loop};
};

} // namespace

TEST_F(ImplicitResendTest, SendsAtMostOnceRequestOnce)
{
    EXPECT_EQ(post("/first", true).code, ResultCode::Ok);
    const HttpClientResult closed = post("/close", true);
    EXPECT_EQ(closed.code, ResultCode::RepeatPrevented);
    EXPECT_TRUE(closed.requestSent);
    EXPECT_EQ(m_server.executions("/close"), 1);
}

TEST_F(ImplicitResendTest, ReusesConnections)
{
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(post("/again", true).code, ResultCode::Ok);
    }
    EXPECT_EQ(m_server.connections(), 1);
}

TEST_F(ImplicitResendTest, LibcurlResendsUnmarkedRequest)
{
    post("/first", false);
    post("/close", false);
    EXPECT_GT(m_server.executions("/close"), 1) << "libcurl no longer resends; the protection can be removed";
}
