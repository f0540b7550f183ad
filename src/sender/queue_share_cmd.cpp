/// \file Shares of queues in a sender's capacity during overload.
#include "sender/queue_share_cmd.h"

#include "core/duration_func.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace snipeshunt {

namespace {

// Time constant of the sums. A burst of 2.6 times the usual load is noticed
// within 0.2 s, and the sums are back within a second of its end.
constexpr double ShareDecaySeconds = 0.5;
// Period of the computation of shares; bounds its cost with many queues.
constexpr Duration SharePeriod = std::chrono::milliseconds(50);
// Part of the capacity that each queue gets if it offers as much. With more
// than ten queues, each gets an equal part instead.
constexpr double FloorShare = 0.1;
// The overload ends once the offered work is below this part of the usable
// capacity or capacity has not been short for `CalmTime`. Jobs of few seconds
// of work make the offered rate of one sender vary by 15 %.
constexpr double EndPart = 0.85;
constexpr Duration CalmTime = std::chrono::milliseconds(100);
// Backlog with which an overload can begin. At three quarters of the capacity,
// chance arrivals give backlogs of up to 100 ms.
constexpr Duration BeginBacklog = std::chrono::milliseconds(150);
// Backlog below which capacity is not short.
constexpr Duration MinBacklog = std::chrono::milliseconds(10);
// Backlog from which all that fits is taken to be in use. With 150 ms, short
// overloads teach nothing, and shares stay too small.
constexpr Duration LearningBacklog = std::chrono::milliseconds(30);
// Weight of one observation of `QueueShares::UsablePart`: it follows a change
// of the task sizes within a second.
constexpr double UsableLearningRate = 0.1;
// Limit below `QueueShares::UsablePart`: with tasks of just over half of an
// upstream, about half of the capacity stays unused.
constexpr double MinUsablePart = 0.4;
// Limit on the credit of a group, in jobs of the present size, in either
// direction: neither a pause of the group nor its use of free capacity changes
// its part for longer than a few jobs.
constexpr double MaxCreditJobs = 2;
// Step of the estimated quantiles of job sizes, relative to their value.
constexpr double QuantileStep = 0.05;
// Rate of offered work, in thousandths of a core, below which a queue is idle
// and gets no floor.
constexpr double MinOfferedRate = 1;

/// Moves an estimate of the quantile \p Share by one sample.
void updateQuantile(double &Estimate, double Share, double Sample) {
  if (Estimate == 0)
    Estimate = Sample;
  Estimate *= std::exp(QuantileStep * (Sample > Estimate ? Share : Share - 1));
}

size_t sizeClass(const QueueShare &Queue, double Work) {
  if (Work > Queue.LargestTenth)
    return 2;
  return Work > Queue.LargestThird ? 1 : 0;
}

double &creditOf(QueueShare &Queue, const OfferedJob &Job) {
  return Queue.Credits[Job.Centre][sizeClass(Queue, Job.Work)];
}

/// A queue's rate of offered work, in the computation of shares.
struct Demand {
  QueueShare *Queue;
  double Offered;
};

/// Distributes \p Usable over the queues: the floors first, then the rest by
/// rising priority value.
void distribute(std::vector<Demand> &Demands, double Usable) {
  double Floor =
      Usable * std::min(FloorShare, 1 / static_cast<double>(Demands.size()));
  double Rest = Usable;
  for (Demand &D : Demands) {
    D.Queue->Share = std::min(D.Offered, Floor);
    Rest -= D.Queue->Share;
  }
  std::sort(Demands.begin(), Demands.end(),
            [](const Demand &L, const Demand &R) {
              return L.Queue->Priority < R.Queue->Priority;
            });
  for (auto First = Demands.begin(); First != Demands.end();) {
    auto End = std::find_if(First, Demands.end(), [&](const Demand &D) {
      return D.Queue->Priority != First->Queue->Priority;
    });
    double Missing = 0;
    for (auto D = First; D != End; ++D)
      Missing += D->Offered - D->Queue->Share;
    double Part = Missing > Rest ? std::max(0.0, Rest) / Missing : 1;
    for (; First != End; ++First)
      First->Queue->Share += (First->Offered - First->Queue->Share) * Part;
    Rest -= Missing * Part;
  }
  for (Demand &D : Demands)
    D.Queue->AdmittedPart = D.Offered > 0 ? D.Queue->Share / D.Offered : 1;
}

/// Forgets what the shares were distributed by.
void endOverload(QueueShares &Shares) {
  Shares.Overloaded = false;
  for (auto &[Name, Queue] : Shares.Queues)
    Queue.Credits.clear();
}

} // namespace

void applyRoutePriorities(QueueShares &Shares,
                          const FleetConfiguration &Configuration) {
  const std::vector<Route> &Routes = Configuration.Routes;
  // Queue names come and go with the configuration, so the table would grow
  // without a limit.
  for (auto It = Shares.Queues.begin(); It != Shares.Queues.end();)
    It = std::any_of(Routes.begin(), Routes.end(),
                     [&](const Route &R) { return R.Name == It->first; })
             ? std::next(It)
             : Shares.Queues.erase(It);
  bool Differ = std::any_of(Routes.begin(), Routes.end(), [&](const Route &R) {
    return R.Priority != Routes.front().Priority;
  });
  if (Differ != Shares.Enabled)
    Shares = {};
  Shares.Enabled = Differ;
  Shares.ConfigurationVersion = Configuration.Version;
  Shares.TopPriority = INT32_MAX;
  for (const Route &R : Routes)
    Shares.TopPriority = std::min(Shares.TopPriority, R.Priority);
}

bool isShareUpdateDue(const QueueShares &Shares, SteadyTime Now) {
  return Shares.Enabled && Now >= Shares.NextUpdate;
}

int32_t rankPriority(const QueueShares &Shares, int32_t Priority, bool LateSoon,
                     bool Started) {
  if (!Shares.Overloaded)
    return 0;
  int32_t Top = Shares.TopPriority;
  if (Priority <= Top || (LateSoon && Started))
    return Top;
  // Jobs in question all have a higher value than `Top`, so this is above it.
  return LateSoon ? Top + 1 : Priority;
}

void updateShares(QueueShares &Shares, const ShareCapacity &Capacity,
                  SteadyTime Now, InstanceEffects &Out) {
  Shares.NextUpdate = Now + SharePeriod;
  double Usable = Capacity.Total * Shares.UsablePart;
  Duration Backlog = Usable > 0 ? fromSeconds(Capacity.WaitingWork / Usable)
                                : Duration::zero();
  if (Backlog >= MinBacklog)
    Shares.LastBusy = Now;
  if (Backlog >= LearningBacklog) {
    // All that fits is in use while so much waits.
    Shares.UsablePart += (Capacity.Busy / Capacity.Total - Shares.UsablePart) *
                         UsableLearningRate;
    Shares.UsablePart = std::clamp(Shares.UsablePart, MinUsablePart, 1.0);
  }
  std::vector<Demand> Demands;
  double Offered = 0;
  for (auto &[Name, Queue] : Shares.Queues) {
    double Rate =
        decayedValue(Queue.Offered, Now, ShareDecaySeconds) / ShareDecaySeconds;
    Queue.Share = Rate;
    Queue.AdmittedPart = 1;
    if (Rate < MinOfferedRate)
      continue;
    Offered += Rate;
    Demands.push_back({&Queue, Rate});
  }
  bool Was = Shares.Overloaded;
  if (!Was && Backlog >= BeginBacklog && Offered > Usable) {
    Shares.Overloaded = true;
    Shares.Begun = Now;
    ++Shares.Overloads;
  } else if (Was && (Usable <= 0 || Offered < Usable * EndPart ||
                     Now - Shares.LastBusy >= CalmTime)) {
    endOverload(Shares);
  }
  if (Shares.Overloaded)
    distribute(Demands, Usable);
  if (Was == Shares.Overloaded)
    return;
  std::string Text = Shares.Overloaded ? "overload begins" : "overload ends";
  Text += ", offered_cores=" + std::to_string(std::lround(Offered / 1000)) +
          " usable_cores=" + std::to_string(std::lround(Usable / 1000));
  if (Was)
    Text += " lasted_ms=" + std::to_string(toMilliseconds(Now - Shares.Begun));
  Out.push_back(LogDecision{DecisionPart::Sender, "", std::move(Text)});
}

bool offerJob(QueueShares &Shares, const OfferedJob &Job, SteadyTime Now) {
  QueueShare &Queue = Shares.Queues[Job.Queue];
  Queue.Priority = Job.Priority;
  addDecaying(Queue.Offered, Job.Work, Now, ShareDecaySeconds);
  updateQuantile(Queue.LargestTenth, 0.9, Job.Work);
  updateQuantile(Queue.LargestThird, 0.7, Job.Work);
  if (!Shares.Overloaded)
    return true;
  Queue.OfferedTotal += Job.Work;
  double &Credit = creditOf(Queue, Job);
  Credit = std::min(Credit + Job.Work * Queue.AdmittedPart,
                    Job.Work * MaxCreditJobs);
  // Half of the work rounds the admitted number of equal jobs to the nearest.
  return Credit >= Job.Work / 2;
}

void recordShareOutcome(QueueShares &Shares, const OfferedJob &Job,
                        bool Admitted) {
  if (!Shares.Overloaded)
    return;
  QueueShare &Queue = Shares.Queues[Job.Queue];
  (Admitted ? Queue.AdmittedTotal : Queue.RejectedTotal) += Job.Work;
  if (!Admitted)
    return;
  double &Credit = creditOf(Queue, Job);
  Credit = std::max(Credit - Job.Work, -Job.Work * MaxCreditJobs);
}

} // namespace snipeshunt
