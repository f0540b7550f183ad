/// \file Export of merged timelines as trace-event JSON.
#include "core/json_func.h"
#include "timeline/timeline_func.h"

#include <map>
#include <set>

namespace snipeshunt {

namespace {

bool endsTask(TimelineKind Kind) {
  // A rejection by the upstream (TaskNotRun) also ends the attempt; the same
  // instance may start the task again later.
  return Kind == TimelineKind::TaskFinished ||
         Kind == TimelineKind::TaskFailed ||
         Kind == TimelineKind::TaskUnknown || Kind == TimelineKind::TaskNotRun;
}

int64_t wallMicroseconds(const TimelineEvent &Event) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             Event.Wall.time_since_epoch())
      .count();
}

/// Job id of an event. Without one it is the task id up to its last hyphen.
std::string jobIdOf(const TimelineEvent &Event) {
  if (!Event.Job.empty())
    return Event.Job;
  return Event.Task.substr(0, Event.Task.rfind('-'));
}

/// Converts merged events to trace events.
class TraceWriter {
public:
  explicit TraceWriter(const std::vector<SourcedEvent> &Merged);
  std::string text() const;

private:
  struct Process {
    int Pid = 0;
    /// Thread id of each job and track; track 0 has the instant events.
    std::map<std::pair<std::string, size_t>, int> Threads;
    /// End of the last task of each track in microseconds of wall time, per
    /// job.
    std::map<std::string, std::vector<int64_t>> TrackEnds;
    /// Index in the merged list of the start event of each running task, by
    /// task id.
    std::map<std::string, size_t> Running;
  };

  /// Assigns process ids and adds the names of the processes.
  void addProcesses(const std::vector<SourcedEvent> &Merged);
  /// Finds the end event of each attempt whose start event is in the list.
  void matchSpans(const std::vector<SourcedEvent> &Merged);
  void addMetadata(int Pid, int Tid, const char *Name,
                   const std::string &Value);
  /// Thread of a track of \p Job, created on first use; 0 without a job.
  int threadId(Process &P, const std::string &Job, size_t Track);
  void addInstant(Process &P, const TimelineEvent &Event);
  void addSpan(Process &P, const TimelineEvent &Start,
               const TimelineEvent &End);

  std::map<TimelineSource, Process> Processes;
  /// Index of the end event by index of the start event, in the merged list.
  std::map<size_t, size_t> EndOfStart;
  /// Indices of the end events, which are not shown by themselves.
  std::set<size_t> SpanEnds;
  std::vector<Json::Value> Events;
};

Json::Value arguments(const TimelineEvent &Event) {
  Json::Value Out(Json::objectValue);
  if (std::string Job = jobIdOf(Event); !Job.empty())
    Out["job"] = Job;
  if (!Event.Task.empty())
    Out["task"] = Event.Task;
  if (!Event.Detail.empty())
    Out["detail"] = Event.Detail;
  return Out;
}

TraceWriter::TraceWriter(const std::vector<SourcedEvent> &Merged) {
  addProcesses(Merged);
  matchSpans(Merged);
  for (size_t I = 0; I < Merged.size(); ++I) {
    Process &P = Processes[Merged[I].Source];
    auto End = EndOfStart.find(I);
    if (End != EndOfStart.end())
      addSpan(P, Merged[I].Event, Merged[End->second].Event);
    else if (!SpanEnds.count(I))
      addInstant(P, Merged[I].Event);
  }
}

void TraceWriter::addProcesses(const std::vector<SourcedEvent> &Merged) {
  for (const SourcedEvent &Sourced : Merged)
    Processes[Sourced.Source];
  int NextPid = 1;
  for (auto &[Source, P] : Processes) {
    P.Pid = NextPid++;
    char Incarnation[17];
    snprintf(Incarnation, sizeof(Incarnation), "%016llx",
             static_cast<unsigned long long>(Source.Incarnation.Value));
    addMetadata(P.Pid, 0, "process_name",
                Source.Centre.Value + " " + Source.Instance.Value + " " +
                    Incarnation);
    addMetadata(P.Pid, 0, "thread_name", "instance");
  }
}

void TraceWriter::matchSpans(const std::vector<SourcedEvent> &Merged) {
  for (size_t I = 0; I < Merged.size(); ++I) {
    const TimelineEvent &Event = Merged[I].Event;
    auto &Running = Processes[Merged[I].Source].Running;
    if (Event.Kind == TimelineKind::TaskStarted) {
      Running[Event.Task] = I;
      continue;
    }
    auto Start = Running.find(Event.Task);
    if (!endsTask(Event.Kind) || Start == Running.end())
      continue;
    EndOfStart[Start->second] = I;
    SpanEnds.insert(I);
    Running.erase(Start);
  }
}

void TraceWriter::addMetadata(int Pid, int Tid, const char *Name,
                              const std::string &Value) {
  Json::Value Out(Json::objectValue);
  Out["ph"] = "M";
  Out["pid"] = Pid;
  Out["tid"] = Tid;
  Out["name"] = Name;
  Out["args"]["name"] = Value;
  Events.push_back(std::move(Out));
}

int TraceWriter::threadId(Process &P, const std::string &Job, size_t Track) {
  if (Job.empty())
    return 0;
  int Next = static_cast<int>(P.Threads.size()) + 1;
  auto [It, Added] = P.Threads.emplace(std::make_pair(Job, Track), Next);
  if (Added)
    addMetadata(P.Pid, Next, "thread_name",
                "job " + Job +
                    (Track ? " tasks " + std::to_string(Track) : ""));
  return It->second;
}

void TraceWriter::addInstant(Process &P, const TimelineEvent &Event) {
  int Tid = threadId(P, jobIdOf(Event), 0);
  Json::Value Out(Json::objectValue);
  Out["ph"] = "i";
  Out["s"] = "t";
  Out["pid"] = P.Pid;
  Out["tid"] = Tid;
  Out["ts"] = Json::Int64(wallMicroseconds(Event));
  Out["name"] = std::string(timelineKindName(Event.Kind));
  Out["args"] = arguments(Event);
  Events.push_back(std::move(Out));
}

void TraceWriter::addSpan(Process &P, const TimelineEvent &Start,
                          const TimelineEvent &End) {
  int64_t Begin = wallMicroseconds(Start);
  // Measured by the steady clock, because a step of the wall clock could make
  // the duration negative.
  int64_t Length = std::max<int64_t>(
      0, std::chrono::duration_cast<std::chrono::microseconds>(End.Steady -
                                                               Start.Steady)
             .count());
  std::string Job = jobIdOf(Start);
  // Trace viewers draw overlapping spans of one thread only if they are nested,
  // so tasks that overlap are put on separate tracks.
  std::vector<int64_t> &Ends = P.TrackEnds[Job];
  size_t Track = 0;
  while (Track < Ends.size() && Ends[Track] > Begin)
    ++Track;
  if (Track == Ends.size())
    Ends.push_back(0);
  Ends[Track] = Begin + Length;
  int Tid = threadId(P, Job, Track + 1);
  Json::Value Out(Json::objectValue);
  Out["ph"] = "X";
  Out["pid"] = P.Pid;
  Out["tid"] = Tid;
  Out["ts"] = Json::Int64(Begin);
  Out["dur"] = Json::Int64(Length);
  Out["name"] = "task " + Start.Task.substr(Start.Task.rfind('-') + 1);
  Out["args"] = arguments(Start);
  Out["args"]["outcome"] = std::string(timelineKindName(End.Kind));
  if (!End.Detail.empty())
    Out["args"]["end_detail"] = End.Detail;
  Events.push_back(std::move(Out));
}

std::string TraceWriter::text() const {
  // One event per line keeps a diff of two traces readable.
  std::string Out = "{\"displayTimeUnit\":\"ms\",\"traceEvents\":[";
  for (size_t I = 0; I < Events.size(); ++I)
    Out += (I ? ",\n" : "\n") + writeJson(Events[I]);
  return Out + "\n]}\n";
}

} // namespace

std::string exportTrace(const std::vector<SourcedEvent> &Merged) {
  return TraceWriter(Merged).text();
}

} // namespace snipeshunt
