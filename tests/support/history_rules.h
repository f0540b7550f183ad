/// \file The promises that are checked against everything that happens.
#ifndef SNIPESHUNT_TESTS_SUPPORT_HISTORY_RULES_H
#define SNIPESHUNT_TESTS_SUPPORT_HISTORY_RULES_H

#include "reducer/effect_type.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace snipeshunt {

/// Records starts and answers of all jobs; keeps the first broken promise.
class HistoryRules {
public:
  using JobId = std::pair<IncarnationId, TicketSequence>;

  void noteStart(const TaskKey &Key);
  /// \p NeverStarted tells that the attempt has certainly not started the task.
  void noteEnd(const TaskKey &Key, bool NeverStarted);
  /// A receiver says that the task has not started and never will.
  void noteRevoked(const TaskKey &Key);
  /// \p Body is what the caller sent; empty for queries and cancellations.
  void noteAnswer(const std::string &TicketText, const std::string &Body,
                  const StoredAnswer &Answer);
  void fail(const std::string &Text);
  const std::string &fault() const { return Fault; }

private:
  void checkComplete(const std::string &Body, const StoredAnswer &Answer);

  std::map<TaskKey, int> Starts; ///< Less those proved not to have started.
  std::set<TaskKey> Revoked;
  std::set<JobId> Started;
  std::set<JobId> NotRun;
  std::map<std::string, std::string> FinalAnswers; ///< By ticket.
  std::string Fault;
};

/// Key of the fleet that tickets are signed with.
extern const char *const TestFleetKey;

} // namespace snipeshunt

#endif // SNIPESHUNT_TESTS_SUPPORT_HISTORY_RULES_H
