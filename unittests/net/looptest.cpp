// Functions posted to the loop, and the objects they own when the loop is destroyed.
#include "jasminemast/net/loop.h"

#include <gtest/gtest.h>

#include <sys/socket.h>

namespace jasminemast
{
namespace
{

TEST(LoopTest, RunsNestedPostsBeforeWaiting)
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

// A link with frames to send is owned by a posted function; libev aborted a node that stopped at that moment.
TEST(LoopTest, DestroysPostedFunctionThatOwnsActiveWatcher)
{
    auto loop = std::make_unique<Loop>();
    const Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    ASSERT_TRUE(socket.isOpen());
    auto watcher = std::make_shared<IoWatcher>(*loop, [](int /*events*/) {});
    watcher->start(socket.get(), EV_READ);
    const std::weak_ptr<IoWatcher> owned = watcher;
    loop->post([watcher] { FAIL() << "posted function ran while its loop was destroyed"; });
    watcher.reset();
    loop.reset();
    EXPECT_TRUE(owned.expired());
}

} // namespace
} // namespace jasminemast
