#pragma once

#include "mimosahollow/core/time.h"
#include "mimosahollow/duties/dutycall.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace mimosahollow::duties {

struct CallQueueOptions
{
    double callsPerSecond = 0; /**< That the platform accepts from all machines together; 0: no limit. */
    double usedShare = 0.8; /**< Of that rate. */
    Duration shortestBackoff = milliseconds(250);
    Duration longestBackoff = seconds(4);
};

/** What calls are about: a service in a failure domain. All usage reports together are one subject, with empty names. */
using CallSubject = std::pair<std::string, std::string>;

[[nodiscard]] CallSubject subjectOf(const DutyContent &content);

/** A call to send now. */
struct QueuedCall
{
    std::uint64_t number = 0; /**< Names the call in callEnded(). */
    DutyContent content;
};

/** A call without an outcome. */
struct PendingCall
{
    std::uint64_t number = 0;
    TimePoint sentAt{};
    unsigned desired = 0; /**< Of a scaling order. */
    std::uint64_t window = 0; /**< Of a usage report. */
    bool isAbandoned = false; /**< The duty was lost meanwhile. */
};

/** Numbers of servers of one subject. */
struct ScalingSubject
{
    std::optional<unsigned> waiting; /**< Newest number that was not sent. */
    std::optional<unsigned> settled; /**< Number that the platform has, or has rejected; empty: not known. */
};

/** Calls to the platform that wait for their turn. */
struct CallQueue
{
    CallQueueOptions options;
    std::map<std::uint64_t, UsageReport> reports; /**< Not accepted yet, by window. */
    std::optional<std::uint64_t> endedWindow; /**< Newest window whose report has been accepted or rejected. */
    std::map<CallSubject, ScalingSubject> orders;
    std::map<CallSubject, PendingCall> pending; /**< At most one for each subject. */
    std::map<CallSubject, std::uint64_t> lastNumbers; /**< Of the last call about each subject. */
    std::uint64_t callsSent = 0;
    TimePoint nextSend{};
    Duration backoff{}; /**< After the next failure that counts; 0: the last call was answered. */
    TimePoint backoffSince{};
};

/** Adds a report whose content is final. Returns false if the queue has one for its window, or has sent it: the first content counts. */
bool addReport(CallQueue &queue, const UsageReport &report);

/** Sets the wanted number of servers. It replaces one that was not sent; nothing is sent if the platform has it. */
void setWanted(CallQueue &queue, const ScalingOrder &order);

/** The call to send at @p now, if any. Each one has to end with callEnded(). */
[[nodiscard]] std::optional<QueuedCall> takeCall(CallQueue &queue, TimePoint now);

/** The call @p number has the outcome @p outcome. */
void callEnded(CallQueue &queue, std::uint64_t number, DutyOutcome outcome, TimePoint now);

/** The usage reports are another machine's duty now. What is sent can't be called back, and its outcome still has to be given to callEnded(). */
void abandonReports(CallQueue &queue);
/** The same for the numbers of servers. */
void abandonOrders(CallQueue &queue);

} // namespace mimosahollow::duties
