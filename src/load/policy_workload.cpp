/// \file Seeded workloads for comparing scheduling policies.
#include "load/policy_workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace snipeshunt {

namespace {

using Generator = std::mt19937_64;

// Caller to instance and back (2 ms), instance to upstream and back (1 ms).
constexpr double RoundTrip = 0.003;
constexpr uint32_t Teams = 4;
// Once in each period, jobs arrive at BurstFactor times the mean rate for
// BurstLength. Period and length are in seconds.
constexpr double BurstPeriod = 20;
constexpr double BurstLength = 2;
constexpr double BurstFactor = 5;

/// Parameters of a workload. Times are in seconds at speed 1.
struct Shape {
  std::string_view Name;
  double SlowestToFastest = 1; ///< Ratio of the extreme speeds.
  double Share20 = 0.1;        ///< Share of jobs of 20 tasks.
  double Share200 = 0;         ///< Share of jobs of 200 tasks.
  double ShareLong = 0.02;     ///< Share of jobs of one task of 2 to 10 s.
  double ShortMin = 0.05;      ///< Bounds of the other tasks.
  double ShortMax = 0.25;
  uint32_t Kinds = 8;
  bool Bursts = false;
  bool Misdeclared = false;
  bool Cancels = false;
  bool Fails = false;
};

constexpr Shape Shapes[] = {
    {"rawahel", 4, 0.3, 0.005, 0.005, 0.05, 1.0, 8, true},
    {"otjomuise", 1, 0.1, 0, 0.02, 0.05, 0.25, 8},
    {"cancel", 1, 0.2, 0.01, 0.005, 0.05, 1.0, 8, false, false, true},
    {"sizes", 1, 0.17, 0.03, 0, 0.05, 1.0, 8},
    {"declared", 4, 0.2, 0.01, 0.01, 0.05, 1.0, 200, false, true},
    {"failing", 1, 0.2, 0, 0.005, 0.05, 1.0, 8, false, false, false, true},
};

double uniform(Generator &Random, double Low, double High) {
  return std::uniform_real_distribution<double>(Low, High)(Random);
}

/// Generates a short task of a random kind. The kinds' middle run times are
/// spread evenly on a logarithmic scale; each task is within 20 % of its
/// kind's.
PolicyTask shortTask(const Shape &S, Generator &Random) {
  uint32_t Kind = static_cast<uint32_t>(uniform(Random, 0, S.Kinds));
  double Middle =
      S.ShortMin * std::pow(S.ShortMax / S.ShortMin, (Kind + 0.5) / S.Kinds);
  PolicyTask T;
  T.Kind = "short" + std::to_string(Kind);
  T.Base = Middle * uniform(Random, 0.8, 1.2);
  return T;
}

PolicyJob drawJob(const Shape &S, Generator &Random) {
  PolicyJob Job;
  Job.Team = static_cast<uint32_t>(uniform(Random, 0, Teams));
  double Which = uniform(Random, 0, 1);
  if (Which < S.ShareLong) {
    Job.Tasks.push_back({"long", uniform(Random, 2, 10), 0});
  } else {
    size_t Count = 1;
    if (Which > 1 - S.Share200)
      Count = 200;
    else if (Which > 1 - S.Share200 - S.Share20)
      Count = 20;
    for (size_t I = 0; I < Count; ++I)
      Job.Tasks.push_back(shortTask(S, Random));
  }
  for (PolicyTask &T : Job.Tasks) {
    double Factor = 1;
    if (S.Misdeclared)
      Factor = uniform(Random, 0, 1) < 0.5 ? 0.1 : 10;
    T.DeclaredMs = std::max<int64_t>(1, std::llround(T.Base * Factor * 1000));
  }
  return Job;
}

double workOf(const PolicyJob &Job) {
  return std::accumulate(
      Job.Tasks.begin(), Job.Tasks.end(), 0.0,
      [](double Sum, const PolicyTask &T) { return Sum + T.Base; });
}

double meanWork(const Shape &S) {
  // The same sample for every seed, so that the arrival rate depends on the
  // load only.
  Generator Random(1);
  constexpr int Samples = 20000;
  double Sum = 0;
  for (int I = 0; I < Samples; ++I)
    Sum += workOf(drawJob(S, Random));
  return Sum / Samples;
}

/// Rate of arrivals at \p At relative to the mean.
double relativeRate(const Shape &S, double At) {
  if (!S.Bursts)
    return 1;
  double Phase = std::fmod(At + BurstPeriod / 2, BurstPeriod);
  if (Phase < BurstLength)
    return BurstFactor;
  return (BurstPeriod - BurstLength * BurstFactor) /
         (BurstPeriod - BurstLength);
}

/// Adds a wave of cancellations every 5 s: half of the jobs submitted in the
/// second before it.
void addCancellations(PolicyWorkload &W, Generator &Random) {
  for (PolicyJob &Job : W.Jobs) {
    double Phase = std::fmod(Job.At, 5);
    if (Phase > 4 && uniform(Random, 0, 1) < 0.5)
      Job.CancelAt = Job.At + 5 - Phase;
  }
}

const Shape *findShape(std::string_view Name) {
  for (const Shape &S : Shapes)
    if (S.Name == Name)
      return &S;
  return nullptr;
}

} // namespace

std::optional<PolicyWorkload> makeWorkload(std::string_view Name, double Load,
                                           double Seconds, uint64_t Seed) {
  const Shape *S = findShape(Name);
  if (!S)
    return std::nullopt;
  Generator Random(Seed);
  PolicyWorkload W;
  for (uint32_t I = 0; I < PolicyUpstreams; ++I)
    W.Speeds.push_back(1 +
                       (S->SlowestToFastest - 1) * I / (PolicyUpstreams - 1));
  std::shuffle(W.Speeds.begin(), W.Speeds.end(), Random);
  double Rate = Load * capacityOf(W) / meanWork(*S);
  double At = 0;
  while (true) {
    double Gap = std::exponential_distribution<double>(Rate)(Random);
    At += Gap / relativeRate(*S, At);
    if (At >= Seconds)
      break;
    W.Jobs.push_back(drawJob(*S, Random));
    W.Jobs.back().At = At;
  }
  if (S->Cancels)
    addCancellations(W, Random);
  if (S->Fails)
    W.FailFrom = Seconds / 2;
  return W;
}

double capacityOf(const PolicyWorkload &W) {
  return PolicySlots * std::accumulate(W.Speeds.begin(), W.Speeds.end(), 0.0);
}

double idealResponse(const PolicyWorkload &W, const PolicyJob &Job) {
  double Longest = 0;
  for (const PolicyTask &T : Job.Tasks)
    Longest = std::max(Longest, T.Base);
  double Fastest = *std::max_element(W.Speeds.begin(), W.Speeds.end());
  return RoundTrip + std::max(Longest / Fastest, workOf(Job) / capacityOf(W));
}

} // namespace snipeshunt
