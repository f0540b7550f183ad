/// \file The effects that the reducer of a fleet of cells can return.
#ifndef SNIPESHUNT_INSTANCE_INSTANCE_EFFECT_H
#define SNIPESHUNT_INSTANCE_INSTANCE_EFFECT_H

#include "entry/entry_type.h"

#include <variant>
#include <vector>

namespace snipeshunt {

/// Part of the system that made a decision; names the logger.
enum class DecisionPart {
  Entry,
  Sender,
  Cells,
  Upstreams,
  Directory,
  Instance
};

/// Write a log line: a decision and the values behind it.
struct LogDecision {
  DecisionPart Part = DecisionPart::Instance;
  std::string Job; ///< Id of the job; empty if the decision concerns none.
  std::string Message;
  /// True for lines written for each request, which are dropped under load.
  bool Frequent = false;
};

/// End the process: the shutdown is complete, or its time limit is near.
struct StopProcess {};

using InstanceEffect =
    std::variant<AnswerCaller, ForwardJob, AbandonForward, AnswerJob,
                 SendResultQuery, AnswerResultQuery, SendOpenJobQuery,
                 AnswerOpenJobQuery, SendPing, AnswerPing, StartRun, StopRun,
                 RenewUpstream, ReadCollection, WatchCollection, AcquireLease,
                 PublishInstance, RenewLease, EndLease, FetchSnapshot,
                 LogDecision, StopProcess>;

using InstanceEffects = std::vector<InstanceEffect>;

/// Logs a decision on a job, as one of the lines that are dropped under load.
inline void logJob(InstanceEffects &Out, DecisionPart Part, const JobId &Id,
                   std::string Message) {
  Out.push_back(
      LogDecision{Part, Id.Value, std::move(Message), /*Frequent=*/true});
}

} // namespace snipeshunt

#endif // SNIPESHUNT_INSTANCE_INSTANCE_EFFECT_H
