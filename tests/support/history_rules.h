/// \file Invariants over all starts and answers, checked by simulation tests.
#ifndef SNIPESHUNT_TESTS_SUPPORT_HISTORY_RULES_H
#define SNIPESHUNT_TESTS_SUPPORT_HISTORY_RULES_H

#include "reducer/effect_type.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace snipeshunt {

/// Records the starts and answers of all jobs of a simulation and checks the
/// guarantees on them. Keeps the text of the first violation.
class HistoryRules {
public:
  using JobId = std::pair<IncarnationId, TicketSequence>;

  /// Called when an instance requests a start of the task from an upstream. The
  /// task must not have been started or revoked before, and its job must not
  /// have been answered `not_run`.
  void recordStart(const TaskKey &Key);
  /// Called when an attempt ends. \p NeverStarted is true if the attempt has
  /// certainly not started the task, so that it may start again.
  void recordEnd(const TaskKey &Key, bool NeverStarted);
  /// Called when a receiver reports that the task has not started and never
  /// will.
  void recordRevoked(const TaskKey &Key);
  /// Called for each answer to a caller. \p Body is the job body that the
  /// caller sent; empty for queries and cancellations.
  void recordAnswer(const std::string &TicketText, const std::string &Body,
                    const StoredAnswer &Answer);
  /// Records a violation; only the first one is kept.
  void fail(const std::string &Text);
  /// Returns the text of the first violation; empty if there is none.
  const std::string &fault() const { return Fault; }

private:
  void checkComplete(const std::string &Body, const StoredAnswer &Answer);

  /// Starts by task, minus the attempts that ended without starting it.
  std::map<TaskKey, int> Starts;
  std::set<TaskKey> Revoked;
  std::set<JobId> Started; ///< Jobs with a task that has started.
  std::set<JobId> NotRun;  ///< Jobs answered `not_run`.
  std::map<std::string, std::string> FinalAnswers; ///< Body by ticket.
  std::string Fault;                               ///< The first violation.
};

/// Fleet key with which the tests sign tickets.
extern const char *const TestFleetKey;

} // namespace snipeshunt

#endif // SNIPESHUNT_TESTS_SUPPORT_HISTORY_RULES_H
