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

/// Keeps the outcome of the oldest answers but not their outputs while all
/// together exceed the limit.
void enforceByteLimit(InstanceState &State) {
  // The transfer counts positions; only refusals, which are small, join now.
  if (State.Drain && State.Drain->Heir)
    return;
  size_t Limit = static_cast<size_t>(State.Settings.Limits.KeptAnswerBytes);
  while (State.Jobs.RetainedBytes > Limit && !State.Jobs.Retained.empty()) {
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
  for (auto It = State.Jobs.Inherited.begin();
       It != State.Jobs.Inherited.end();) {
    auto &Answers = It->second;
    for (auto Entry = Answers.begin(); Entry != Answers.end();)
      Entry = Entry->second.ForgetAfter < Now ? Answers.erase(Entry)
                                              : std::next(Entry);
    It = Answers.empty() ? State.Jobs.Inherited.erase(It) : std::next(It);
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

std::vector<AnswersReceived::Entry> exportAnswers(const InstanceState &State,
                                                  size_t First, size_t MaxBytes,
                                                  SteadyTime Now) {
  std::vector<AnswersReceived::Entry> Entries;
  size_t Bytes = 0;
  for (size_t I = First; I < State.Jobs.Retained.size(); ++I) {
    TicketSequence Sequence = State.Jobs.Retained[I];
    auto It = State.Jobs.Records.find(Sequence);
    AnswersReceived::Entry Entry;
    Entry.Sequence = Sequence;
    // Forgotten records still take a place, so that positions stay stable.
    if (It != State.Jobs.Records.end() && It->second.Answer) {
      Entry.BodyHash = It->second.BodyHash;
      Entry.ForgetIn = std::chrono::duration_cast<std::chrono::milliseconds>(
          It->second.ForgetAfter - Now);
      Entry.Answer = *It->second.Answer;
    }
    Bytes += Entry.Answer.Body.size() + 64;
    if (Bytes > MaxBytes && !Entries.empty())
      break;
    Entries.push_back(std::move(Entry));
  }
  return Entries;
}

void importAnswers(InstanceState &State, const AnswersReceived &Event,
                   SteadyTime Now) {
  auto &Table = State.Jobs.Inherited[Event.From];
  for (const AnswersReceived::Entry &Entry : Event.Entries) {
    if (Entry.Answer.Body.empty() || Table.size() >= MaxInheritedPerInstance)
      continue;
    InheritedAnswer Kept;
    Kept.BodyHash = Entry.BodyHash;
    Kept.ForgetAfter =
        Now + std::clamp(Entry.ForgetIn, std::chrono::milliseconds(0),
                         State.Settings.Limits.TicketLifetime);
    Kept.Answer = std::make_shared<StoredAnswer>(Entry.Answer);
    Table.insert_or_assign(Entry.Sequence, std::move(Kept));
  }
}

} // namespace snipeshunt
