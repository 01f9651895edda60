// Several EntryCore and TargetCore objects connected by an unreliable network on a test clock, with a record of what
// the targets really ran. The test chooses every step; the simulation executes it and checks the guarantees to callers.
#pragma once

#include "jasminemast/call/entry.h"
#include "jasminemast/call/target.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace jasminemast::simulation
{

/// One step of a run: `kind` selects an action (see Simulation::step()), `first` and `second` are its arguments.
struct Step
{
    std::uint8_t kind = 0;
    std::uint8_t first = 0;
    std::uint8_t second = 0;
};

/// Faults of the implementation, injected to test that the simulation detects them.
struct FaultInjection
{
    bool renumberDuplicates = false; ///< the second copy of a message names another attempt
    bool reportLostAsNotRun = false; ///< a lost response is reported as not run
    bool keepMinGeneration = false; ///< a fence does not raise the lowest accepted link generation
    bool ignoreLeaving = false; ///< the target's node is never notified that it leaves
    bool misrouteResponses = false; ///< responses are delivered to another call
};

class Simulation
{
public:
    explicit Simulation(FaultInjection faults = {}, std::size_t maxRemembered = 4);

    void run(const std::vector<Step> &steps);
    /// Delivers the remaining messages, ends the running requests and advances the clock past every deadline.
    void runToCompletion();
    /// Descriptions of the violated guarantees; empty when there are none.
    [[nodiscard]] std::vector<std::string> violations() const;

    [[nodiscard]] std::size_t answeredCalls() const;
    [[nodiscard]] std::size_t fenceReplies() const
    {
        return m_fenceReplies;
    }

private:
    struct Reply
    {
        AttemptId attempt;
        enum class Kind { Refused, ResponseLost, Response, Fence } kind;
        ResultCode code = ResultCode::Ok;
        FenceStatus status = FenceStatus::Unknown;
        CallId responseOf; ///< call that the response belongs to
    };
    using ToTarget = std::variant<OpenRequest, FenceRequest, AttemptId>; ///< an AttemptId alone cancels the attempt
    struct Message
    {
        std::size_t entry;
        std::size_t target;
        std::uint64_t entryIncarnation; ///< of the processes that send or receive the message
        std::uint64_t targetIncarnation;
        std::variant<ToTarget, Reply> content;
    };
    struct Entry
    {
        std::unique_ptr<EntryCore> core;
        std::uint64_t incarnation = 0;
    };
    struct Target
    {
        std::unique_ptr<TargetCore> core;
        std::uint64_t incarnation = 0;
        std::map<AttemptId, bool> running; ///< attempts that the target runs, and whether they are idempotent
        bool leaving = false;
        std::set<AttemptId> arrived; ///< attempts whose first copy arrived
        std::set<AttemptId> arrivedWhileLeaving;
    };
    struct CallRecord
    {
        bool repeatable = false;
        std::optional<Outcome> outcome;
        std::size_t finishes = 0;
        bool entryRestarted = false;
        std::optional<CallId> responseOf;
    };

    void step(const Step &step);
    void startEntry(std::size_t index);
    void startTarget(std::size_t index);
    void beginCall(const Step &step);
    void deliver(std::size_t index, bool twice);
    void deliverToTarget(const Message &message, const ToTarget &content);
    void deliverToEntry(const Message &message, const Reply &reply);
    void connect(std::size_t index);
    void loseLink(const Step &step);
    void finishRun(const Step &step);
    void advance(Duration duration);
    void apply(std::size_t entry, const EntryActions &actions);
    void apply(std::size_t target, const TargetActions &actions);
    void reply(std::size_t target, const Reply &reply);
    void setLeaving(std::size_t target);
    void startRun(std::size_t target, const targetaction::Start &start);

    FaultInjection m_faults;
    std::size_t m_maxRemembered; ///< FenceLimits::maxAttempts of the targets' nodes
    ManualClock m_clock;
    Metrics m_metrics {m_clock};
    std::vector<Entry> m_entries;
    std::vector<Target> m_targets;
    std::vector<Message> m_messages;
    std::set<std::pair<std::size_t, std::size_t>> m_connecting; ///< entry and target
    std::map<CallId, CallRecord> m_records; ///< what was reported to callers
    std::map<CallId, std::size_t> m_runCounts; ///< how often targets received each call
    std::vector<std::string> m_violations;
    std::size_t m_fenceReplies = 0;
};

} // namespace jasminemast::simulation
