#include "decide/classqueue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace fescuesill
{

static QueueItem item(int number, const std::string &workspace, int rank, Duration cost, Instant latest = Instant(1h))
{
    return {RequestId(std::to_string(number)), WorkspaceId(workspace), rank, cost, Instant(1ms * number), latest};
}

static ClassQueue::Options inOrderOfArrival()
{
    ClassQueue::Options options;
    options.shortFirst = 0;
    return options;
}

// Cost popped for each workspace, out of `pops` requests.
static std::map<std::string, Duration> served(ClassQueue &queue, int pops)
{
    std::map<std::string, Duration> sums;
    for (int i = 0; i < pops; ++i) {
        const QueueItem head = *queue.head();
        sums[head.workspace.value()] += head.cost;
        queue.pop();
    }
    return sums;
}

TEST(ClassQueue, UrgentWorkGoesFirstAndPatientWorkIsNotStarved)
{
    ClassQueue queue(inOrderOfArrival());
    for (int i = 0; i < 2000; ++i) {
        queue.push(item(i, "urgent", 0, 10ms));
        queue.push(item(10000 + i, "patient", 2, 30ms));
    }
    const auto sums = served(queue, 1000);
    const double share = static_cast<double>(sums.at("patient").count())
        / static_cast<double>((sums.at("patient") + sums.at("urgent")).count());
    EXPECT_GT(share, 0.04);
    EXPECT_LT(share, 0.06);
}

TEST(ClassQueue, TheHeadOfOneRankCanBePoppedBeforeThatOfAnother)
{
    ClassQueue queue(inOrderOfArrival());
    queue.push(item(1, "w", -1, 10ms));
    queue.push(item(2, "w", 0, 10ms));
    queue.push(item(3, "w", 0, 10ms));
    EXPECT_EQ(queue.head(2), nullptr);
    queue.pop(2);
    EXPECT_EQ(queue.head(0)->request, RequestId("2"));
    queue.pop(0);
    EXPECT_EQ(queue.head(0)->request, RequestId("3"));
    EXPECT_EQ(queue.head()->request, RequestId("1"));
    EXPECT_EQ(queue.size(), 2U);
}

TEST(ClassQueue, AFloodOfOneWorkspaceDoesNotDelayAnother)
{
    ClassQueue queue(inOrderOfArrival());
    for (int i = 0; i < 1000; ++i) {
        queue.push(item(i, "flood", 1, 20ms));
    }
    for (int i = 1000; i < 1020; ++i) {
        queue.push(item(i, "quiet", 1, 20ms));
    }
    EXPECT_EQ(served(queue, 40).at("quiet"), 20 * 20ms);
    EXPECT_EQ(queue.takeLast(1)->workspace, WorkspaceId("flood"));
}

TEST(ClassQueue, SendingOneByOneGainsNothing)
{
    ClassQueue queue(inOrderOfArrival());
    for (int i = 0; i < 100; ++i) {
        queue.push(item(i, "together", 1, 10ms));
    }
    int sent = 0;
    int single = 0;
    for (int i = 100; i < 200; ++i) {
        if (single == sent) {
            queue.push(item(i, "single", 1, 10ms));
            ++sent;
        }
        single += queue.head()->workspace == WorkspaceId("single") ? 1 : 0;
        queue.pop();
    }
    EXPECT_LE(single, 51);
}

// Long prompts are served after short ones of the same moment, but not after all later ones.
TEST(ClassQueue, ShortOnesGoFirstAndLongOnesAreNotStarved)
{
    ClassQueue queue(ClassQueue::Options{});
    queue.push(item(0, "a", 1, 400ms, Instant(4s)));
    int popped = 0;
    for (int i = 1; i < 5000; ++i) {
        queue.push({RequestId(std::to_string(i)), WorkspaceId("a"), 1, 10ms, Instant(1ms * i), Instant(1ms * i + 4s)});
        if (queue.head()->request == RequestId("0")) {
            break;
        }
        queue.pop();
        ++popped;
    }
    EXPECT_GT(popped, 100);
    EXPECT_LT(popped, 4000);
}

// Reference implementation: a list that is searched from end to end for each query.
struct ReferenceQueue {
    struct Flow {
        Duration served{0};
        bool known = false;
    };
    std::vector<QueueItem> items;
    std::map<std::string, Duration> served;
    Duration virtualTime{0};

    void push(const QueueItem &item)
    {
        const std::string name = item.workspace.value();
        const bool waiting = std::any_of(this->items.begin(), this->items.end(),
                                         [&](const QueueItem &other) { return other.workspace == item.workspace; });
        if (!waiting) {
            this->served[name] = std::max(this->served[name], this->virtualTime);
        }
        this->items.push_back(item);
    }
    const QueueItem &head() const
    {
        return *std::min_element(this->items.begin(), this->items.end(), [this](const auto &a, const auto &b) {
            const auto key = [this](const QueueItem &item) {
                return std::make_tuple(this->served.at(item.workspace.value()), item.workspace, item.arrival);
            };
            return key(a) < key(b);
        });
    }
    void pop()
    {
        const QueueItem first = this->head();
        this->virtualTime = this->served[first.workspace.value()];
        this->served[first.workspace.value()] += first.cost;
        this->remove(first.request);
    }
    void remove(const RequestId &request)
    {
        const auto same = [&](const QueueItem &item) {
            return item.request == request;
        };
        this->items.erase(std::remove_if(this->items.begin(), this->items.end(), same), this->items.end());
        if (this->items.empty()) {
            this->served.clear();
        }
    }
};

// Any mix of arrivals, placings and cancellations of one rank gives the same order as the reference implementation.
RC_GTEST_PROP(ClassQueueProperty, SameOrderAsTheReferenceQueue, (const std::vector<std::uint16_t> &script))
{
    ClassQueue queue(inOrderOfArrival());
    ReferenceQueue reference;
    int number = 0;
    for (const std::uint16_t step : script) {
        const int kind = step % 8;
        if (kind < 5) {
            const QueueItem next =
                item(number++, std::string(1, static_cast<char>('a' + step / 8 % 5)), 1, Duration(1 + step / 64 % 32));
            queue.push(next);
            reference.push(next);
        } else if (reference.items.empty()) {
            RC_ASSERT(queue.head() == nullptr);
        } else if (kind < 7) {
            RC_ASSERT(queue.head()->request == reference.head().request);
            queue.pop();
            reference.pop();
        } else {
            const RequestId victim = reference.items[step / 8 % reference.items.size()].request;
            RC_ASSERT(queue.remove(victim));
            reference.remove(victim);
        }
        Duration backlog{0};
        for (const QueueItem &left : reference.items) {
            backlog += left.cost;
        }
        RC_ASSERT(queue.backlog(1) == backlog);
        RC_ASSERT(queue.size() == reference.items.size());
    }
}

TEST(ClassQueue, RemovesRequestsThatCanNoLongerMeetTheirTarget)
{
    ClassQueue queue(inOrderOfArrival());
    queue.push(item(1, "a", 1, 1ms, Instant(10ms)));
    queue.push(item(2, "a", 1, 1ms, Instant(20ms)));
    EXPECT_EQ(queue.nextExpiry(), Instant(10ms));
    const auto expired = queue.takeExpired(Instant(15ms));
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired.front().request, RequestId("1"));
    EXPECT_EQ(queue.backlog(1), 1ms);
}

} // namespace fescuesill
