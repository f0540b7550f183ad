/// \file Retention, eviction and transfer of the answers of ended jobs.
#include "jobs/retention_cmd.h"

#include "jobs/answer_func.h"
#include "jobs/job_cmd.h"

#include <algorithm>
#include <utility>

namespace snipeshunt {

namespace {

// Bounds the number of answers imported for one departed instance; the byte
// limit of retained answers does not cover them.
constexpr size_t MaxImportedPerInstance = 1 << 20;
// The sweep visits every imported answer, so it is not done at each tick.
constexpr Duration ImportedSweepInterval = std::chrono::seconds(5);

/// Reduces the oldest answers to their outcome while all together exceed the
/// byte limit.
void enforceByteLimit(InstanceState &State) {
  // The transfer counts positions. Only rejections, which are small, are still
  // added at this stage.
  if (State.Drain && State.Drain->Successor)
    return;
  size_t Limit = static_cast<size_t>(State.Settings.Limits.RetainedAnswerBytes);
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
    // A rejection is kept: it is small, and `not_run` must not become
    // `unknown`.
    if (Answer->Result != Outcome::NotRun) {
      std::string Ended(outcomeName(Answer->Result));
      Answer = errorAnswer(
          Outcome::Unknown, "",
          {ErrorKind::AnswerNotKept,
           "the job ended with outcome " + Ended +
               "; its answer is no longer retained",
           "query the job sooner after its end, or raise kept_answer_bytes"});
    }
  }
}

/// Evicts the imported answers that have expired.
void evictImportedAnswers(InstanceState &State, SteadyTime Now) {
  for (auto It = State.Jobs.ImportedAnswers.begin();
       It != State.Jobs.ImportedAnswers.end();) {
    auto &Answers = It->second;
    for (auto Item = Answers.begin(); Item != Answers.end();)
      Item =
          Item->second.ExpiresAt < Now ? Answers.erase(Item) : std::next(Item);
    It = Answers.empty() ? State.Jobs.ImportedAnswers.erase(It) : std::next(It);
  }
}

} // namespace

void retainAnswer(InstanceState &State, TicketSequence Sequence,
                  TicketRecord &Record, StoredAnswerPtr Answer,
                  SteadyTime Now) {
  Record.Answer = std::move(Answer);
  // The ticket was issued before now, so it has expired by then.
  Record.ExpiresAt = Now + State.Settings.Limits.TicketLifetime;
  State.Jobs.Expirations.insert({Record.ExpiresAt, Sequence});
  State.Jobs.Retained.push_back(Sequence);
  Record.CountedBytes = Record.Answer->Body.size();
  State.Jobs.RetainedBytes += Record.CountedBytes;
  enforceByteLimit(State);
}

void evictExpiredAnswers(InstanceState &State, SteadyTime Now) {
  auto Limit = static_cast<size_t>(State.Settings.Limits.MaxUsedTickets);
  while (!State.Jobs.Expirations.empty()) {
    auto [Expires, Sequence] = *State.Jobs.Expirations.begin();
    bool OverLimit = State.Jobs.Expirations.size() > Limit;
    if (Expires >= Now && !OverLimit)
      break;
    State.Jobs.Expirations.erase(State.Jobs.Expirations.begin());
    auto It = State.Jobs.Records.find(Sequence);
    // Without its record, a late copy of the submission would run the job
    // again.
    if (Expires >= Now)
      State.Jobs.ExpiredUpTo =
          std::max(State.Jobs.ExpiredUpTo, It->second.IssuedAt);
    State.Jobs.RetainedBytes -= It->second.CountedBytes;
    State.Jobs.Records.erase(It);
  }
  // Evicted records leave stale numbers at the front. While draining, positions
  // must not move: the transfer counts them.
  while (!State.Drain && !State.Jobs.Retained.empty() &&
         !State.Jobs.Records.count(State.Jobs.Retained.front()))
    State.Jobs.Retained.pop_front();
  auto &Order = State.Jobs.ImportOrder;
  while (!State.Drain && !Order.empty() &&
         !findImportedAnswer(State, Order.front().first, Order.front().second))
    Order.pop_front();
  if (Now >= State.Jobs.NextImportedSweep) {
    State.Jobs.NextImportedSweep = Now + ImportedSweepInterval;
    evictImportedAnswers(State, Now);
  }
}

const ImportedAnswer *findImportedAnswer(const InstanceState &State,
                                         IncarnationId From,
                                         TicketSequence Sequence) {
  auto Table = State.Jobs.ImportedAnswers.find(From);
  if (Table == State.Jobs.ImportedAnswers.end())
    return nullptr;
  auto Item = Table->second.find(Sequence);
  return Item == Table->second.end() ? nullptr : &Item->second;
}

size_t exportableAnswerCount(const InstanceState &State) {
  return State.Jobs.Retained.size() + State.Jobs.ImportOrder.size();
}

std::vector<AnswersReceived::RetainedAnswer>
exportAnswers(const InstanceState &State, size_t First, size_t MaxBytes,
              SteadyTime Now) {
  std::vector<AnswersReceived::RetainedAnswer> Chunk;
  size_t Bytes = 0;
  size_t Own = State.Jobs.Retained.size();
  for (size_t I = First; I < exportableAnswerCount(State); ++I) {
    AnswersReceived::RetainedAnswer Item;
    // Evicted records are exported empty, so that positions stay stable.
    auto Fill = [&](const auto &Stored) {
      Item.BodyHash = Stored.BodyHash;
      Item.ExpiresIn = std::chrono::duration_cast<std::chrono::milliseconds>(
          Stored.ExpiresAt - Now);
      Item.Answer = *Stored.Answer;
    };
    std::tie(Item.Home, Item.Sequence) =
        I < Own ? std::make_pair(State.Incarnation, State.Jobs.Retained[I])
                : State.Jobs.ImportOrder[I - Own];
    auto It = State.Jobs.Records.find(Item.Sequence);
    if (I < Own && It != State.Jobs.Records.end() && It->second.Answer)
      Fill(It->second);
    else if (auto *Stored = findImportedAnswer(State, Item.Home, Item.Sequence))
      Fill(*Stored);
    Bytes += Item.Answer.Body.size() + 64;
    if (Bytes > MaxBytes && !Chunk.empty())
      break;
    Chunk.push_back(std::move(Item));
  }
  return Chunk;
}

void importAnswers(InstanceState &State, const AnswersReceived &Event,
                   SteadyTime Now) {
  for (const AnswersReceived::RetainedAnswer &Item : Event.Answers) {
    auto &Table = State.Jobs.ImportedAnswers[Item.Home];
    if (Item.Answer.Body.empty() || Table.size() >= MaxImportedPerInstance)
      continue;
    ImportedAnswer Stored;
    Stored.BodyHash = Item.BodyHash;
    Stored.ExpiresAt =
        Now + std::clamp(Item.ExpiresIn, std::chrono::milliseconds(0),
                         State.Settings.Limits.TicketLifetime);
    Stored.Answer = std::make_shared<StoredAnswer>(Item.Answer);
    if (Table.insert_or_assign(Item.Sequence, std::move(Stored)).second)
      State.Jobs.ImportOrder.emplace_back(Item.Home, Item.Sequence);
  }
}

} // namespace snipeshunt
