// Functions posted to the loop, and the objects they own when the loop is destroyed.
#include "jasminemast/net/loop.h"

#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <functional>

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

// With 200 callers that send again at once, a node ran nothing else for as long as they went on.
TEST(LoopTest, PostedFunctionsThatGoOnPostingLeaveDescriptorsAndTimersTheirTurn)
{
    constexpr int MaxPosts = 1'000'000; // ends the test if nothing else does
    Loop loop;
    std::array<int, 2> sockets {};
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()), 0);
    const Descriptor near(sockets[0]);
    const Descriptor far(sockets[1]);
    bool wasReadable = false;
    bool wasDue = false;
    int posts = 0;
    std::function<void()> postAgain = [&] {
        if ((wasReadable && wasDue) || ++posts > MaxPosts) {
            loop.stop();
            return;
        }
        loop.post(postAgain);
    };
    IoWatcher watcher(loop, [&](int /*events*/) {
        wasReadable = true;
        watcher.stop();
    });
    watcher.start(near.get(), EV_READ);
    Timer timer(loop, [&] { wasDue = true; });
    timer.start(std::chrono::milliseconds(1));
    ASSERT_EQ(::write(far.get(), "x", 1), 1);
    loop.post(postAgain);
    loop.run();
    EXPECT_TRUE(wasReadable);
    EXPECT_TRUE(wasDue);
    EXPECT_LE(posts, MaxPosts);
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

// What arrived while the process was paused counts, although a limit of time has passed meanwhile.
TEST(LoopTest, DueTimerRunsAfterWhatHasArrivedWasRead)
{
    using std::chrono_literals::operator""ms;
    Loop loop;
    std::array<int, 2> pipe {};
    ASSERT_EQ(::pipe(pipe.data()), 0);
    const Descriptor readEnd(pipe[0]);
    const Descriptor writeEnd(pipe[1]);
    ASSERT_EQ(::write(writeEnd.get(), "x", 1), 1);
    bool wasRead = false;
    bool wasReadFirst = false;
    bool wasActiveUntilCalled = false;
    Timer timer(loop, [&] {
        wasReadFirst = wasRead;
        loop.stop();
    });
    IoWatcher watcher(loop, [&](int /*events*/) {
        wasRead = true;
        wasActiveUntilCalled = timer.isActive();
        watcher.stop();
    });
    watcher.start(readEnd.get(), EV_READ);
    timer.start(0ms);
    loop.run();
    EXPECT_TRUE(wasReadFirst);
    EXPECT_TRUE(wasActiveUntilCalled) << "its owner would start it again, or drop it";
}

// The platform counts the time until it kills the process from the signal.
TEST(LoopTest, SignalThatComesWhileTheLoopIsBusyTellsHowLongAgoItCame)
{
    using std::chrono_literals::operator""ms;
    Loop loop;
    const SystemClock clock;
    Duration busy {0};
    Duration age {0};
    const SignalWatcher watcher(loop, SIGUSR1, [&](Duration since) {
        age = since;
        loop.stop();
    });
    loop.post([&] {
        ::raise(SIGUSR1);
        const TimePoint raisedAt = clock.now();
        while (busy < 1ms) {
            busy = clock.now() - raisedAt;
        }
    });
    Timer keepRunning(loop, [] {});
    keepRunning.startRepeating(1ms);
    loop.run();
    EXPECT_GE(age, busy);
}

} // namespace
} // namespace jasminemast
