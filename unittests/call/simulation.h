// Entry and target cores joined by a faulty network on a test clock, with a ledger of what the targets really ran.
//
// Every step is chosen by the test; the simulation only keeps the books and judges the promises.
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

/// One step of a run; `first` and `second` choose among whatever the step applies to.
struct Step
{
    std::uint8_t kind = 0;
    std::uint8_t first = 0;
    std::uint8_t second = 0;
};

/// Switches that break a mechanism, to see the judge find it.
struct Sabotage
{
    bool doublesUnseen = false; ///< the second copy of a message looks like another attempt
    bool lieAboutLost = false; ///< a lost answer is reported as not run
    bool fenceOnOldGeneration = false; ///< a fence does not raise the generation floor
    bool leavingIgnored = false; ///< the target's node is never told to leave
    bool crossedAnswers = false; ///< answers reach another call than their own
};

class Simulation
{
public:
    explicit Simulation(Sabotage sabotage = {}, std::size_t remembered = 4);

    void run(const std::vector<Step> &steps);
    /// Delivers what is left, ends what runs and passes every deadline.
    void settle();
    /// The promises that were broken; empty when none was.
    [[nodiscard]] std::vector<std::string> violations() const;

    [[nodiscard]] std::size_t answeredCalls() const;
    [[nodiscard]] std::size_t fencesAnswered() const
    {
        return m_fencesAnswered;
    }

private:
    struct Reply
    {
        AttemptId attempt;
        enum class Kind { Refused, Lost, Answer, Fence } kind;
        ResultCode code = ResultCode::Ok;
        FenceStatus status = FenceStatus::Unknown;
        CallId answerOf; ///< call that the body belongs to
    };
    using ToTarget = std::variant<OpenRequest, FenceRequest, AttemptId>; ///< a bare id is a cancel
    struct Message
    {
        std::size_t entry;
        std::size_t target;
        std::uint64_t entryProcess; ///< sender or receiver
        std::uint64_t targetProcess;
        std::variant<ToTarget, Reply> content;
    };
    struct Entry
    {
        std::unique_ptr<EntryCore> core;
        std::uint64_t process = 0;
    };
    struct Target
    {
        std::unique_ptr<TargetCore> core;
        std::uint64_t process = 0;
        std::map<AttemptId, bool> running; ///< attempts at the target and whether they may be repeated
        bool leaving = false;
        std::set<AttemptId> arrived; ///< attempts whose first copy arrived
        std::set<AttemptId> arrivedWhileLeaving;
    };
    struct Record
    {
        bool repeatable = false;
        std::optional<Outcome> outcome;
        std::size_t finishes = 0;
        bool entryDied = false;
        std::optional<CallId> answerOf;
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
    void endRun(const Step &step);
    void advance(Duration duration);
    void apply(std::size_t entry, const EntryActions &actions);
    void apply(std::size_t target, const TargetActions &actions);
    void reply(std::size_t target, const Reply &reply);
    void setLeaving(std::size_t target);
    void startRun(std::size_t target, const targetaction::Start &start);

    Sabotage m_sabotage;
    std::size_t m_remembered; ///< finished attempts that a target's node remembers
    ManualClock m_clock;
    Metrics m_metrics {m_clock};
    std::vector<Entry> m_entries;
    std::vector<Target> m_targets;
    std::vector<Message> m_messages;
    std::set<std::pair<std::size_t, std::size_t>> m_connecting; ///< entry and target
    std::map<CallId, Record> m_records; ///< what callers were told
    std::map<CallId, std::size_t> m_ledger; ///< how often targets got each call
    std::vector<std::string> m_violations;
    std::size_t m_fencesAnswered = 0;
};

} // namespace jasminemast::simulation
