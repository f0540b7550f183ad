/// \file Checks the histories of a run against the guarantees.
#include "history/history_func.h"

#include "history/ticket_text.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>
#include <unordered_map>

namespace snipeshunt {

namespace {

constexpr size_t MaxExamples = 20;

/// Returns the job id of a task id, `<job id>-<index>`.
std::string jobOfTask(const std::string &Task) {
  return Task.substr(0, Task.rfind('-'));
}

bool isFinal(const std::string &Outcome) {
  return Outcome == "complete" || Outcome == "failed" || Outcome == "not_run";
}

std::string describe(const HistoryCallerRecord &Record) {
  return "caller " + Record.Caller + ", ticket " + Record.Ticket;
}

GuaranteeReport checkSingleStarts(const HistoryInput &Input) {
  GuaranteeReport Report{"a: each task starts at most once"};
  std::unordered_map<std::string, std::string> FirstUpstream;
  for (const HistoryUpstreamRecord &Record : Input.Upstreams) {
    if (Record.Event != HistoryUpstreamEvent::Start)
      continue;
    ++Report.Checked;
    auto [It, Added] = FirstUpstream.emplace(Record.Task, Record.Upstream);
    if (!Added)
      addViolation(Report, "task " + Record.Task + " started on " + It->second +
                               " and again on " + Record.Upstream);
  }
  return Report;
}

/// Returns an empty string if \p Answer has exactly one result for each of
/// \p Payloads, with the output of that payload; otherwise what is wrong.
std::string findMismatch(const Json::Value &Answer,
                         const std::vector<std::string> &Payloads) {
  if (!Answer.isObject() || !Answer["results"].isArray())
    return "the answer has no results";
  std::vector<bool> Seen(Payloads.size(), false);
  for (const Json::Value &ResultItem : Answer["results"]) {
    if (!ResultItem.isObject() || !ResultItem["index"].isUInt64() ||
        !ResultItem["output"].isString())
      return "a result has no index or output";
    uint64_t Index = ResultItem["index"].asUInt64();
    std::string Position = "index " + std::to_string(Index);
    if (Index >= Payloads.size())
      return Position + " was not submitted";
    if (Seen[Index])
      return Position + " has two results";
    Seen[Index] = true;
    if (ResultItem["output"].asString() != "echo:" + Payloads[Index])
      return Position + " has the output of another payload";
  }
  auto Missing = std::find(Seen.begin(), Seen.end(), false);
  if (Missing != Seen.end())
    return "index " + std::to_string(Missing - Seen.begin()) + " has no result";
  return {};
}

/// Payloads by caller and ticket. A pair has several lists only if the caller
/// reused the ticket for another job body.
using Submissions = std::map<std::pair<std::string, std::string>,
                             std::vector<const std::vector<std::string> *>>;

Submissions indexSubmissions(const HistoryInput &Input) {
  Submissions Out;
  for (const HistoryCallerRecord &Record : Input.Callers)
    if (!Record.IsAnswer)
      Out[{Record.Caller, Record.Ticket}].push_back(&Record.Payloads);
  return Out;
}

GuaranteeReport checkCompleteAnswers(const HistoryInput &Input) {
  GuaranteeReport Report{"b: a complete answer has each task's own result"};
  Submissions Submitted = indexSubmissions(Input);
  for (const HistoryCallerRecord &Record : Input.Callers) {
    if (!Record.IsAnswer || Record.Outcome != "complete")
      continue;
    ++Report.Checked;
    auto Submission = Submitted.find({Record.Caller, Record.Ticket});
    if (Submission == Submitted.end()) {
      addViolation(Report, describe(Record) +
                               ": answer to a ticket that was never submitted");
      continue;
    }
    std::string Mismatch;
    for (const std::vector<std::string> *Payloads : Submission->second) {
      Mismatch = findMismatch(Record.Answer, *Payloads);
      if (Mismatch.empty())
        break;
    }
    if (!Mismatch.empty())
      addViolation(Report, describe(Record) + ": " + Mismatch);
  }
  return Report;
}

GuaranteeReport checkTasksRan(const HistoryInput &Input) {
  GuaranteeReport Report{"c: each task of a complete answer ran"};
  std::set<std::string> Started;
  std::set<std::string> Finished;
  for (const HistoryUpstreamRecord &Record : Input.Upstreams) {
    if (Record.Event == HistoryUpstreamEvent::Start)
      Started.insert(Record.Task);
    else if (Record.Event == HistoryUpstreamEvent::Finish)
      Finished.insert(Record.Task);
  }
  for (const HistoryCallerRecord &Record : Input.Callers) {
    if (!Record.IsAnswer || Record.Outcome != "complete")
      continue;
    std::optional<std::string> Job = jobIdFromTicketText(Record.Ticket);
    if (!Job) {
      addViolation(Report, describe(Record) + ": the ticket is malformed");
      continue;
    }
    // Guarantee b checks the form of the answer.
    const Json::Value &Results = Record.Answer.isObject()
                                     ? Record.Answer["results"]
                                     : Json::Value::nullSingleton();
    for (Json::ArrayIndex I = 0; Results.isArray() && I < Results.size(); ++I) {
      ++Report.Checked;
      std::string Task = *Job + "-" + std::to_string(I);
      if (!Started.count(Task))
        addViolation(Report, "task " + Task + " has a result but no start");
      else if (!Finished.count(Task))
        addViolation(Report, "task " + Task + " has a result but no finish");
    }
  }
  return Report;
}

GuaranteeReport checkEqualAnswers(const HistoryInput &Input) {
  GuaranteeReport Report{"d: final answers for one ticket are equal"};
  std::unordered_map<std::string, const HistoryCallerRecord *> First;
  for (const HistoryCallerRecord &Record : Input.Callers) {
    if (!Record.IsAnswer || !isFinal(Record.Outcome))
      continue;
    ++Report.Checked;
    const HistoryCallerRecord &Other =
        *First.emplace(Record.Ticket, &Record).first->second;
    if (Other.Outcome != Record.Outcome)
      addViolation(Report, describe(Record) + ": " + Other.Outcome + " and " +
                               Record.Outcome);
    else if (Other.Answer != Record.Answer)
      addViolation(Report, describe(Record) + ": two different " +
                               Record.Outcome + " answers");
  }
  return Report;
}

GuaranteeReport checkNotRun(const HistoryInput &Input) {
  GuaranteeReport Report{"e: a job answered not_run has no start"};
  std::unordered_map<std::string, std::string> StartedTask;
  for (const HistoryUpstreamRecord &Record : Input.Upstreams)
    if (Record.Event == HistoryUpstreamEvent::Start)
      StartedTask.emplace(jobOfTask(Record.Task), Record.Task);
  for (const HistoryCallerRecord &Record : Input.Callers) {
    if (!Record.IsAnswer || Record.Outcome != "not_run")
      continue;
    ++Report.Checked;
    std::optional<std::string> Job = jobIdFromTicketText(Record.Ticket);
    if (!Job) {
      addViolation(Report, describe(Record) + ": the ticket is malformed");
      continue;
    }
    auto Started = StartedTask.find(*Job);
    if (Started != StartedTask.end())
      addViolation(Report,
                   describe(Record) + ": task " + Started->second + " started");
  }
  return Report;
}

GuaranteeReport checkLeaving(const HistoryInput &Input, Duration Grace) {
  GuaranteeReport Report{"f: a leaving upstream gets no new task"};
  std::unordered_map<std::string, int64_t> LeavingSince;
  for (const HistoryUpstreamRecord &Record : Input.Upstreams) {
    if (!Record.Leaving)
      continue;
    int64_t &Since =
        LeavingSince.emplace(Record.Upstream, Record.WallUs).first->second;
    Since = std::min(Since, Record.WallUs);
  }
  int64_t GraceUs =
      std::chrono::duration_cast<std::chrono::microseconds>(Grace).count();
  for (const HistoryUpstreamRecord &Record : Input.Upstreams) {
    if (Record.Event != HistoryUpstreamEvent::Start)
      continue;
    ++Report.Checked;
    auto Since = LeavingSince.find(Record.Upstream);
    if (Since == LeavingSince.end())
      continue;
    int64_t After = Record.WallUs - Since->second;
    if (After > GraceUs)
      addViolation(Report, "task " + Record.Task + " started on " +
                               Record.Upstream + " " +
                               std::to_string(After / 1000) +
                               " ms after its first record as leaving");
  }
  return Report;
}

/// Returns the number N of `revision=N` in the detail of an event.
std::optional<uint64_t> revisionOf(const std::string &Detail) {
  constexpr std::string_view Field = "revision=";
  size_t Position = Detail.find(Field);
  if (Position == std::string::npos)
    return std::nullopt;
  uint64_t Out = 0;
  auto [Rest, Code] = std::from_chars(Detail.data() + Position + Field.size(),
                                      Detail.data() + Detail.size(), Out);
  if (Code != std::errc())
    return std::nullopt;
  return Out;
}

GuaranteeReport checkRevisions(const HistoryInput &Input) {
  GuaranteeReport Report{"g: configuration revisions never fall"};
  struct Applied {
    int64_t SteadyUs;
    uint64_t Revision;
  };
  std::map<TimelineSource, std::vector<Applied>> BySource;
  // A timeline that was read several times repeats its events.
  std::set<std::tuple<TimelineSource, int64_t, uint64_t>> Seen;
  for (const HistoryConfigurationRecord &Record : Input.Configurations) {
    std::optional<uint64_t> Revision = revisionOf(Record.Detail);
    if (!Revision)
      addViolation(Report, Record.Source.Instance.Value +
                               ": an applied configuration has no revision");
    else if (Seen.emplace(Record.Source, Record.SteadyUs, *Revision).second)
      BySource[Record.Source].push_back({Record.SteadyUs, *Revision});
  }
  for (auto &[Source, List] : BySource) {
    std::stable_sort(List.begin(), List.end(),
                     [](const Applied &L, const Applied &R) {
                       return L.SteadyUs < R.SteadyUs;
                     });
    Report.Checked += List.size();
    for (size_t I = 1; I < List.size(); ++I)
      if (List[I].Revision < List[I - 1].Revision)
        addViolation(Report, Source.Instance.Value + ": revision " +
                                 std::to_string(List[I].Revision) + " after " +
                                 std::to_string(List[I - 1].Revision));
  }
  return Report;
}

} // namespace

std::vector<GuaranteeReport> checkHistories(const HistoryInput &Input,
                                            Duration LeavingGrace) {
  return {checkSingleStarts(Input), checkCompleteAnswers(Input),
          checkTasksRan(Input),     checkEqualAnswers(Input),
          checkNotRun(Input),       checkLeaving(Input, LeavingGrace),
          checkRevisions(Input)};
}

void addViolation(GuaranteeReport &Report, std::string Text) {
  if (++Report.Violations <= MaxExamples)
    Report.Examples.push_back(std::move(Text));
}

bool anyViolation(const std::vector<GuaranteeReport> &Reports) {
  return std::any_of(
      Reports.begin(), Reports.end(),
      [](const GuaranteeReport &Report) { return Report.Violations > 0; });
}

std::string formatReports(const std::vector<GuaranteeReport> &Reports) {
  std::string Out;
  for (const GuaranteeReport &Report : Reports) {
    Out += Report.Name + ": " + std::to_string(Report.Checked) + " checked, " +
           std::to_string(Report.Violations) + " violations\n";
    for (const std::string &Example : Report.Examples)
      Out += "  " + Example + "\n";
    if (Report.Violations > Report.Examples.size())
      Out += "  and " +
             std::to_string(Report.Violations - Report.Examples.size()) +
             " more\n";
  }
  return Out;
}

} // namespace snipeshunt
