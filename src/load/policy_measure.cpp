/// \file Figures of a simulated run; the formulas are in measurements.md.
#include "load/policy_measure.h"

#include <algorithm>
#include <cmath>

namespace snipeshunt {

namespace {

// Length of the windows by which peaks of the load are found, in seconds.
constexpr double Window = 0.5;
// A job is in time up to this multiple of its ideal response time.
constexpr double PeakStretch = 3;

double quantile(std::vector<double> Values, double Q) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  size_t At = static_cast<size_t>(Q * static_cast<double>(Values.size()));
  return Values[std::min(At, Values.size() - 1)];
}

double ratio(double Part, double Whole) { return Whole > 0 ? Part / Whole : 0; }

void addQuantiles(PolicyFigures &F, const std::string &Name,
                  const std::vector<double> &Values) {
  F.push_back({Name + " p50", quantile(Values, 0.5)});
  F.push_back({Name + " p99", quantile(Values, 0.99)});
  F.push_back({Name + " p99.9", quantile(Values, 0.999)});
}

void addResponses(PolicyFigures &F, const PolicyWorkload &W,
                  const PolicyRecord &R) {
  std::vector<double> All;
  std::vector<double> BySize[3];
  constexpr size_t Sizes[] = {1, 20, 200};
  for (size_t I = 0; I < W.Jobs.size(); ++I) {
    if (R.Ends[I] != PolicyEnd::Complete || W.Jobs[I].At < PolicyWarmUp)
      continue;
    double Ratio = R.Responses[I] / idealResponse(W, W.Jobs[I]);
    All.push_back(Ratio);
    for (size_t S = 0; S < 3; ++S)
      if (W.Jobs[I].Tasks.size() == Sizes[S])
        BySize[S].push_back(Ratio);
  }
  addQuantiles(F, "response/ideal all", All);
  for (size_t S = 0; S < 3; ++S)
    addQuantiles(F, "response/ideal " + std::to_string(Sizes[S]), BySize[S]);
}

/// Marks the tenth of the windows in which the most work was submitted.
std::vector<bool> peakWindows(const PolicyWorkload &W, double Seconds) {
  size_t First = static_cast<size_t>(PolicyWarmUp / Window);
  size_t Count = static_cast<size_t>(Seconds / Window);
  std::vector<double> Offered(Count);
  for (const PolicyJob &Job : W.Jobs) {
    size_t At = static_cast<size_t>(Job.At / Window);
    if (At < Count)
      for (const PolicyTask &T : Job.Tasks)
        Offered[At] += T.Base;
  }
  std::vector<double> Sorted(Offered.begin() + static_cast<long>(First),
                             Offered.end());
  double Limit = quantile(Sorted, 0.9);
  std::vector<bool> Peak(Count);
  for (size_t I = First; I < Count; ++I)
    Peak[I] = Offered[I] >= Limit;
  return Peak;
}

/// Returns the work of complete jobs that was done in the chosen windows, as a
/// share of the capacity of all slots.
double slotShare(const PolicyWorkload &W, const PolicyRecord &R,
                 const std::vector<bool> &Chosen) {
  double Done = 0;
  for (const PolicyTaskRun &Run : R.Runs) {
    if (R.Ends[Run.Job] != PolicyEnd::Complete)
      continue;
    size_t First = static_cast<size_t>(Run.Started / Window);
    for (size_t I = First; I < Chosen.size(); ++I) {
      double Begin = static_cast<double>(I) * Window;
      double Overlap =
          std::min(Run.Ended, Begin + Window) - std::max(Run.Started, Begin);
      if (Overlap <= 0)
        break;
      if (Chosen[I])
        Done += Overlap * Run.Speed;
    }
  }
  double Windows =
      static_cast<double>(std::count(Chosen.begin(), Chosen.end(), true));
  return ratio(Done, Windows * Window * capacityOf(W));
}

void addPeak(PolicyFigures &F, const PolicyWorkload &W, const PolicyRecord &R,
             double Seconds) {
  std::vector<bool> Peak = peakWindows(W, Seconds);
  double Jobs = 0;
  double Admitted = 0;
  double InTime = 0;
  for (size_t I = 0; I < W.Jobs.size(); ++I) {
    size_t At = static_cast<size_t>(W.Jobs[I].At / Window);
    if (At >= Peak.size() || !Peak[At] || R.Ends[I] == PolicyEnd::Cancelled)
      continue;
    ++Jobs;
    if (R.Ends[I] != PolicyEnd::Rejected)
      ++Admitted;
    if (R.Ends[I] == PolicyEnd::Complete &&
        R.Responses[I] <= PeakStretch * idealResponse(W, W.Jobs[I]))
      ++InTime;
  }
  F.push_back({"crest in time, % of all", 100 * ratio(InTime, Jobs)});
  F.push_back({"crest in time, % of admitted", 100 * ratio(InTime, Admitted)});
  F.push_back({"crest work, % of slots", 100 * slotShare(W, R, Peak)});
  std::vector<bool> Whole(Peak.size());
  for (size_t I = static_cast<size_t>(PolicyWarmUp / Window); I < Whole.size();
       ++I)
    Whole[I] = true;
  F.push_back({"work, % of slots", 100 * slotShare(W, R, Whole)});
}

void addMessages(PolicyFigures &F, const PolicyRecord &R) {
  const PolicyMessages &M = R.Messages;
  double Tasks = static_cast<double>(R.Starts);
  auto Add = [&](const char *Name, uint64_t Count) {
    F.push_back({Name, ratio(static_cast<double>(Count), Tasks)});
  };
  Add("wasted messages/task",
      M.Handovers + M.Reports + M.Revokes + M.BusyReplies + M.Announcements);
  Add("  handovers/task", M.Handovers);
  Add("  reports/task", M.Reports);
  Add("  revokes/task", M.Revokes);
  Add("  busy replies/task", M.BusyReplies);
  Add("  announcements/task", M.Announcements);
  Add("heartbeats/task", M.Heartbeats);
  Add("status polls/task", M.StatusPolls);
}

void addEnds(PolicyFigures &F, const PolicyWorkload &W, const PolicyRecord &R) {
  double Jobs = 0;
  double Rejected = 0;
  double Lost = 0;
  for (size_t I = 0; I < W.Jobs.size(); ++I) {
    if (W.Jobs[I].At < PolicyWarmUp)
      continue;
    ++Jobs;
    Rejected += R.Ends[I] == PolicyEnd::Rejected;
    Lost += R.Ends[I] == PolicyEnd::Lost || R.Ends[I] == PolicyEnd::None;
  }
  F.push_back({"jobs refused, %", 100 * ratio(Rejected, Jobs)});
  F.push_back({"jobs lost, %", 100 * ratio(Lost, Jobs)});
}

} // namespace

PolicyFigures figuresOf(const PolicyWorkload &W, const PolicyRecord &R,
                        double Seconds) {
  PolicyFigures F;
  addResponses(F, W, R);
  addMessages(F, R);
  addPeak(F, W, R, Seconds);
  F.push_back({"wait behind long, ms p50", 1000 * quantile(R.LongWaits, 0.5)});
  F.push_back({"wait behind long, ms p99", 1000 * quantile(R.LongWaits, 0.99)});
  F.push_back({"wait behind long, ms max", 1000 * quantile(R.LongWaits, 1)});
  addEnds(F, W, R);
  if (W.FailFrom) {
    uint64_t Most = 0;
    for (uint64_t Count : R.LostBeforeProbing)
      Most = std::max(Most, Count);
    F.push_back({"most lost before probing", static_cast<double>(Most)});
    F.push_back({"failed tasks", static_cast<double>(R.TaskFailures)});
  }
  return F;
}

} // namespace snipeshunt
