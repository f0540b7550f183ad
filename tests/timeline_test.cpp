/// \file Ring buffer, JSON encoding, merging and trace export of timelines.
#include "core/json_func.h"
#include "timeline/timeline_func.h"
#include "timeline/timeline_table.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

namespace snipeshunt {
namespace {

const TimelineSource Home{{"127.0.1.1:7070"}, {0xa1}, {"dc1"}};
const TimelineSource Peer{{"127.0.2.1:7070"}, {0xb2}, {"dc2"}};
const std::string Job = "00000000000000a1-7";

TimelineEvent makeEvent(int64_t Us, TimelineKind Kind,
                        const std::string &Task = "",
                        const std::string &Detail = "") {
  std::chrono::microseconds Offset(Us);
  return {WallTime(std::chrono::seconds(1700000000) + Offset),
          SteadyTime(std::chrono::seconds(5) + Offset),
          Kind,
          Job,
          Task.empty() ? "" : Job + "-" + Task,
          Detail};
}

std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  std::stringstream Out;
  Out << In.rdbuf();
  return Out.str();
}

// Guards against a ring that grows without bound or returns events out of
// order.
TEST(TimelineTest, RingDropsOldestAndCounts) {
  TimelineRing Ring(3);
  for (int I = 0; I < 5; ++I)
    Ring.record(makeEvent(I, TimelineKind::TaskQueued, std::to_string(I)));
  std::vector<TimelineEvent> Events = Ring.events();
  ASSERT_EQ(Events.size(), 3U);
  EXPECT_EQ(Events.front().Task, Job + "-2");
  EXPECT_EQ(Events.back().Task, Job + "-4");
  EXPECT_EQ(Ring.dropped(), 2U);
}

// Guards against two kinds that share a name, or a name that is not found
// again.
TEST(TimelineTest, KindNamesAreDistinctAndReadable) {
  std::set<std::string_view> Seen;
  for (std::string_view Name : TimelineKindNames) {
    EXPECT_TRUE(Seen.insert(Name).second) << Name;
    std::optional<TimelineKind> Kind = findTimelineKind(Name);
    ASSERT_TRUE(Kind);
    EXPECT_EQ(timelineKindName(*Kind), Name);
  }
  EXPECT_EQ(timelineKindName(TimelineKind::JobSubmitted), "job_submitted");
  EXPECT_EQ(timelineKindName(TimelineKind::AnswerSent), "answer_sent");
  EXPECT_FALSE(findTimelineKind("task_exploded"));
}

// Guards against fields that JSON encoding and decoding lose or change.
TEST(TimelineTest, JsonKeepsEveryField) {
  TimelineRing Ring(1);
  Ring.record(makeEvent(1, TimelineKind::TaskQueued, "0"));
  Ring.record(makeEvent(2, TimelineKind::TaskFailed, "1", "exit 3"));
  Result<Json::Value> Parsed = parseJson(encodeTimeline(Home, Ring));
  ASSERT_FALSE(failed(Parsed));
  Result<TimelineAnswer> Answer = decodeTimeline(valueOf(Parsed));
  ASSERT_FALSE(failed(Answer)) << errorOf(Answer).Message;
  EXPECT_EQ(valueOf(Answer).Dropped, 1U);
  ASSERT_EQ(valueOf(Answer).Events.size(), 1U);
  const SourcedEvent &Decoded = valueOf(Answer).Events[0];
  EXPECT_TRUE(Decoded.Source == Home);
  EXPECT_EQ(Decoded.Event.Kind, TimelineKind::TaskFailed);
  EXPECT_EQ(Decoded.Event.Task, Job + "-1");
  EXPECT_EQ(Decoded.Event.Detail, "exit 3");
  EXPECT_EQ(Decoded.Event.Wall, Ring.events()[0].Wall);
  EXPECT_EQ(Decoded.Event.Steady, Ring.events()[0].Steady);
}

// Guards against rejecting a whole timeline for one event of a newer version.
TEST(TimelineTest, UnknownKindIsCounted) {
  TimelineRing Ring(2);
  Ring.record(makeEvent(1, TimelineKind::TaskQueued, "0"));
  Ring.record(makeEvent(2, TimelineKind::TaskStarted, "0"));
  Result<Json::Value> Parsed = parseJson(encodeTimeline(Home, Ring));
  ASSERT_FALSE(failed(Parsed));
  Json::Value Encoded = std::move(valueOf(Parsed));
  Encoded["events"][0]["kind"] = "task_exploded";
  Result<TimelineAnswer> Answer = decodeTimeline(Encoded);
  ASSERT_FALSE(failed(Answer));
  EXPECT_EQ(valueOf(Answer).Events.size(), 1U);
  EXPECT_EQ(valueOf(Answer).Unreadable, 1U);
}

// Guards against merging that swaps events of equal time.
TEST(TimelineTest, MergeIsStableByWallTime) {
  std::vector<SourcedEvent> Merged =
      mergeTimelines({{{Home, makeEvent(5, TimelineKind::JobSubmitted)},
                       {Home, makeEvent(5, TimelineKind::TaskQueued, "0")},
                       {Home, makeEvent(9, TimelineKind::JobCompleted)}},
                      {{Peer, makeEvent(1, TimelineKind::InstanceStarted)},
                       {Peer, makeEvent(7, TimelineKind::TaskReceived, "0")}}});
  std::string Order;
  for (const SourcedEvent &Sourced : Merged)
    Order += std::string(timelineKindName(Sourced.Event.Kind)) + " ";
  EXPECT_EQ(Order, "instance_started job_submitted task_queued task_received "
                   "job_completed ");
}

// Guards against changes of the trace format, and against a trace that omits
// overlapping tasks, tasks that have not ended, or tasks of a job that another
// instance ran.
TEST(TimelineTest, TraceMatchesGoldenFile) {
  TimelineEvent JoblessEvent = makeEvent(0, TimelineKind::InstanceStarted);
  JoblessEvent.Job.clear();
  std::vector<SourcedEvent> Merged = mergeTimelines(
      {{{Home, JoblessEvent},
        {Home, makeEvent(100, TimelineKind::JobSubmitted)},
        {Home, makeEvent(200, TimelineKind::TaskStarted, "0", "10.0.0.1:1")},
        {Home, makeEvent(300, TimelineKind::TaskStarted, "1")},
        {Home, makeEvent(350, TimelineKind::TaskHandedOver, "2")},
        {Home, makeEvent(400, TimelineKind::TaskNotRun, "1", "busy")},
        {Home, makeEvent(450, TimelineKind::TaskStarted, "1")},
        {Home, makeEvent(500, TimelineKind::TaskFinished, "0")},
        {Home, makeEvent(600, TimelineKind::TaskFailed, "1", "exit 3")},
        {Home, makeEvent(700, TimelineKind::TaskStarted, "3")},
        {Home, makeEvent(900, TimelineKind::JobFailed)}},
       {{Peer, makeEvent(360, TimelineKind::TaskReceived, "2")},
        {Peer, makeEvent(370, TimelineKind::TaskStarted, "2")},
        {Peer, makeEvent(800, TimelineKind::TaskUnknown, "2")}}});
  EXPECT_EQ(exportTrace(Merged),
            readFile(SOURCE_DIR "/tests/golden/timeline_trace.json"));
}

} // namespace
} // namespace snipeshunt
