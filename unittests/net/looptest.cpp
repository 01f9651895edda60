// Posted work and what it owns at the end of a loop.
#include "jasminemast/net/loop.h"

#include <gtest/gtest.h>

#include <sys/socket.h>

namespace jasminemast
{
namespace
{

TEST(LoopTest, WorkPostedByWorkRunsBeforeTheLoopWaits)
{
    Loop loop;
    bool ran = false;
    loop.post([&] {
        loop.post([&] {
            ran = true;
            loop.stop();
        });
    });
    loop.run();
    EXPECT_TRUE(ran);
}

// A link that has frames to send is owned by posted work; a node that ended in that moment was aborted by libev.
TEST(LoopTest, EndsWhilePostedWorkOwnsAnActiveWatcher)
{
    auto loop = std::make_unique<Loop>();
    const Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    ASSERT_TRUE(socket.isOpen());
    auto watcher = std::make_shared<IoWatcher>(*loop, [](int /*events*/) {});
    watcher->start(socket.get(), EV_READ);
    const std::weak_ptr<IoWatcher> owned = watcher;
    loop->post([watcher] { FAIL() << "posted work ran at the end of its loop"; });
    watcher.reset();
    loop.reset();
    EXPECT_TRUE(owned.expired());
}

} // namespace
} // namespace jasminemast
