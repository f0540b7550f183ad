/// \file Retained answers: how long, how many, and their transfer.
#include "jobs/retention_cmd.h"

#include "jobs/answer_func.h"
#include "jobs/job_cmd.h"

#include <algorithm>
#include <utility>

namespace snipeshunt {

namespace {

// Bounds what departing instances can leave here, beside the byte limit.
constexpr size_t MaxInheritedPerInstance = 1 << 20;
// The sweep visits every inherited answer, so it is not done at each tick.
constexpr Duration InheritedSweepPause = std::chrono::seconds(5);

/// Keeps the outcome of the oldest answers but not their outputs while all
/// together exceed the limit.
void enforceByteLimit(InstanceState &State) {
  // The transfer counts positions; only refusals, which are small, join now.
  if (State.Drain && State.Drain->Heir)
    return;
  size_t Limit = static_cast<size_t>(State.Settings.Limits.KeptAnswerBytes);
  // While draining, positions must not move: the transfer counts them.
  while (!State.Drain && State.Jobs.RetainedBytes > Limit &&
         !State.Jobs.Retained.empty()) {
    TicketSequence Oldest = State.Jobs.Retained.front();
    State.Jobs.Retained.pop_front();
    auto It = State.Jobs.Records.find(Oldest);
    if (It == State.Jobs.Records.end() || !It->second.Answer)
      continue;
    StoredAnswerPtr &Answer = It->second.Answer;
    State.Jobs.RetainedBytes -= std::exchange(It->second.CountedBytes, 0);
    // A refusal stays a refusal: it is small and must stay true.
    if (Answer->Result != Outcome::NotRun) {
      std::string Ended(outcomeName(Answer->Result));
      Answer = plainAnswer(
          Outcome::Unknown, "",
          {ErrorKind::AnswerNotKept,
           "the job ended with outcome " + Ended +
               "; its answer is no longer held",
           "ask sooner after the job's end, or raise kept_answer_bytes"});
    }
  }
}

void forgetInherited(InstanceState &State, SteadyTime Now) {
  for (auto It = State.Jobs.Inherited.begin();
       It != State.Jobs.Inherited.end();) {
    auto &Answers = It->second;
    for (auto Entry = Answers.begin(); Entry != Answers.end();)
      Entry = Entry->second.ForgetAfter < Now ? Answers.erase(Entry)
                                              : std::next(Entry);
    It = Answers.empty() ? State.Jobs.Inherited.erase(It) : std::next(It);
  }
}

} // namespace

void retainAnswer(InstanceState &State, TicketSequence Sequence,
                  TicketRecord &Record, StoredAnswerPtr Answer,
                  SteadyTime Now) {
  Record.Answer = std::move(Answer);
  // The ticket can't be younger than now, so this is never too early.
  Record.ForgetAfter = Now + State.Settings.Limits.TicketLifetime;
  State.Jobs.Forgetting.insert({Record.ForgetAfter, Sequence});
  State.Jobs.Retained.push_back(Sequence);
  Record.CountedBytes = Record.Answer->Body.size();
  State.Jobs.RetainedBytes += Record.CountedBytes;
  enforceByteLimit(State);
}

void forgetExpiredAnswers(InstanceState &State, SteadyTime Now) {
  while (!State.Jobs.Forgetting.empty() &&
         State.Jobs.Forgetting.begin()->first < Now) {
    TicketSequence Sequence = State.Jobs.Forgetting.begin()->second;
    State.Jobs.Forgetting.erase(State.Jobs.Forgetting.begin());
    auto It = State.Jobs.Records.find(Sequence);
    State.Jobs.RetainedBytes -= It->second.CountedBytes;
    State.Jobs.Records.erase(It);
  }
  // Forgotten records leave stale entries at the front. While draining,
  // positions must not move: the transfer counts them.
  while (!State.Drain && !State.Jobs.Retained.empty() &&
         !State.Jobs.Records.count(State.Jobs.Retained.front()))
    State.Jobs.Retained.pop_front();
  auto &Order = State.Jobs.InheritedOrder;
  while (!State.Drain && !Order.empty() &&
         !inheritedAnswer(State, Order.front().first, Order.front().second))
    Order.pop_front();
  if (Now >= State.Jobs.NextInheritedSweep) {
    State.Jobs.NextInheritedSweep = Now + InheritedSweepPause;
    forgetInherited(State, Now);
  }
}

const InheritedAnswer *inheritedAnswer(const InstanceState &State,
                                       IncarnationId From,
                                       TicketSequence Sequence) {
  auto Table = State.Jobs.Inherited.find(From);
  if (Table == State.Jobs.Inherited.end())
    return nullptr;
  auto Entry = Table->second.find(Sequence);
  return Entry == Table->second.end() ? nullptr : &Entry->second;
}

size_t answersToExport(const InstanceState &State) {
  return State.Jobs.Retained.size() + State.Jobs.InheritedOrder.size();
}

std::vector<AnswersReceived::Entry> exportAnswers(const InstanceState &State,
                                                  size_t First, size_t MaxBytes,
                                                  SteadyTime Now) {
  std::vector<AnswersReceived::Entry> Entries;
  size_t Bytes = 0;
  size_t Own = State.Jobs.Retained.size();
  for (size_t I = First; I < answersToExport(State); ++I) {
    AnswersReceived::Entry Entry;
    // Forgotten records still take a place, so that positions stay stable.
    auto Fill = [&](const auto &Kept) {
      Entry.BodyHash = Kept.BodyHash;
      Entry.ForgetIn = std::chrono::duration_cast<std::chrono::milliseconds>(
          Kept.ForgetAfter - Now);
      Entry.Answer = *Kept.Answer;
    };
    std::tie(Entry.Home, Entry.Sequence) =
        I < Own ? std::make_pair(State.Incarnation, State.Jobs.Retained[I])
                : State.Jobs.InheritedOrder[I - Own];
    auto It = State.Jobs.Records.find(Entry.Sequence);
    if (I < Own && It != State.Jobs.Records.end() && It->second.Answer)
      Fill(It->second);
    else if (auto *Kept = inheritedAnswer(State, Entry.Home, Entry.Sequence))
      Fill(*Kept);
    Bytes += Entry.Answer.Body.size() + 64;
    if (Bytes > MaxBytes && !Entries.empty())
      break;
    Entries.push_back(std::move(Entry));
  }
  return Entries;
}

void importAnswers(InstanceState &State, const AnswersReceived &Event,
                   SteadyTime Now) {
  for (const AnswersReceived::Entry &Entry : Event.Entries) {
    auto &Table = State.Jobs.Inherited[Entry.Home];
    if (Entry.Answer.Body.empty() || Table.size() >= MaxInheritedPerInstance)
      continue;
    InheritedAnswer Kept;
    Kept.BodyHash = Entry.BodyHash;
    Kept.ForgetAfter =
        Now + std::clamp(Entry.ForgetIn, std::chrono::milliseconds(0),
                         State.Settings.Limits.TicketLifetime);
    Kept.Answer = std::make_shared<StoredAnswer>(Entry.Answer);
    if (Table.insert_or_assign(Entry.Sequence, std::move(Kept)).second)
      State.Jobs.InheritedOrder.emplace_back(Entry.Home, Entry.Sequence);
  }
}

} // namespace snipeshunt
