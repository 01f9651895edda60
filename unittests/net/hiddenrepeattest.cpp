// libcurl repeats a request by itself when a reused connection turns out dead before any byte of the answer. The
// server here runs such a request and closes without answering, so that a repeat would run it twice.
#include "jasminemast/net/httpclient.h"
#include "jasminemast/net/socketaddress.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>

#include <map>

using namespace jasminemast;

namespace
{

/// Answers every request but the one for /cut, after which it closes the connection. Requests have no body.
class CuttingServer
{
public:
    explicit CuttingServer(Loop &loop)
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
    [[nodiscard]] int ran(const std::string &path) const
    {
        const auto found = m_ran.find(path);
        return found == m_ran.end() ? 0 : found->second;
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
        std::string in;
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
        connection.in.append(buffer, static_cast<std::size_t>(size));
        if (connection.in.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        const std::size_t start = connection.in.find(' ') + 1;
        const std::string path = connection.in.substr(start, connection.in.find(' ', start) - start);
        connection.in.clear();
        ++m_ran[path];
        if (path == "/cut") {
            close(id);
            return;
        }
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        ::send(id, answer.data(), answer.size(), MSG_NOSIGNAL);
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
    std::map<std::string, int> m_ran;
    int m_connections = 0;
};

class HiddenRepeatTest : public testing::Test
{
protected:
    HttpClientResult post(const std::string &path, bool atMostOnce)
    {
        HttpClientRequest request;
        request.method = "POST";
        request.url = m_server.url(path);
        request.atMostOnce = atMostOnce;
        HttpClientResult outcome;
        m_client.fetch(
            std::move(request),
            [this, &outcome](const HttpClientResult &result, unsigned, const HttpHeaders &, const std::string &) {
                outcome = result;
                m_loop.stop();
            });
        m_loop.run();
        return outcome;
    }

    Loop m_loop;
    CuttingServer m_server {m_loop};
    HttpClient m_client {m_loop};
};

} // namespace

TEST_F(HiddenRepeatTest, requestMarkedAtMostOnceIsSentOnce)
{
    EXPECT_EQ(post("/first", true).code, ResultCode::Ok);
    const HttpClientResult cut = post("/cut", true);
    EXPECT_EQ(cut.code, ResultCode::RepeatPrevented);
    EXPECT_TRUE(cut.requestSent);
    EXPECT_EQ(m_server.ran("/cut"), 1);
}

TEST_F(HiddenRepeatTest, connectionsStayReusable)
{
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(post("/again", true).code, ResultCode::Ok);
    }
    EXPECT_EQ(m_server.connections(), 1);
}

TEST_F(HiddenRepeatTest, trapIsReal)
{
    post("/first", false);
    post("/cut", false);
    EXPECT_GT(m_server.ran("/cut"), 1) << "the library no longer repeats; the guard may go";
}
