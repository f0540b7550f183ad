/// \file Invariants over all starts and answers, checked by simulation tests.
#include "history_rules.h"

#include "core/json_func.h"
#include "tickets/ticket_func.h"

namespace snipeshunt {

const char *const TestFleetKey = "a-fleet-key-for-tests-only-0123456789";

void HistoryRules::fail(const std::string &Text) {
  if (Fault.empty())
    Fault = Text;
}

void HistoryRules::recordStart(const TaskKey &Key) {
  if (++Starts[Key] > 1)
    fail("started twice: " + taskText(Key));
  if (Revoked.count(Key))
    fail("started after it was revoked: " + taskText(Key));
  if (NotRun.count({Key.Home, Key.Job}))
    fail("started after not_run: " + taskText(Key));
  Started.insert({Key.Home, Key.Job});
}

void HistoryRules::recordEnd(const TaskKey &Key, bool NeverStarted) {
  if (NeverStarted)
    --Starts[Key];
}

void HistoryRules::recordRevoked(const TaskKey &Key) {
  Revoked.insert(Key);
  if (Starts[Key] > 0)
    fail("revoked after its start: " + taskText(Key));
}

void HistoryRules::recordAnswer(const std::string &TicketText,
                                const std::string &Body,
                                const StoredAnswer &Answer) {
  if (Answer.Result == Outcome::Unknown || Answer.Result == Outcome::Running)
    return;
  auto [Final, First] = FinalAnswers.emplace(TicketText, Answer.Body);
  if (!First && Final->second != Answer.Body)
    fail("two answers to one ticket: " + Final->second + " and " + Answer.Body);
  if (Answer.Result == Outcome::Complete)
    checkComplete(Body, Answer);
  if (Answer.Result != Outcome::NotRun)
    return;
  Result<Ticket> T = decodeTicket(TicketText, TestFleetKey);
  JobId Job{valueOf(T).Incarnation, valueOf(T).Sequence};
  NotRun.insert(Job);
  if (Started.count(Job))
    fail("not_run after a start: " + jobText(Job.first, Job.second));
}

void HistoryRules::checkComplete(const std::string &Body,
                                 const StoredAnswer &Answer) {
  if (Body.empty())
    return;
  Json::Value Requested = valueOf(parseJson(Body))["tasks"];
  Json::Value Returned = valueOf(parseJson(Answer.Body))["results"];
  bool Matches = Requested.size() == Returned.size();
  for (Json::ArrayIndex I = 0; Matches && I < Requested.size(); ++I)
    Matches = Returned[I]["index"].asUInt() == I &&
              Returned[I]["output"].asString() ==
                  "echo:" + Requested[I]["payload"].asString();
  if (!Matches)
    fail("complete answer without all results of its job: " + Body + " got " +
         Answer.Body);
}

} // namespace snipeshunt
