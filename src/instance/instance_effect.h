/// \file Everything that the reducer of a fleet of cells can ask for.
#ifndef SNIPESHUNT_INSTANCE_INSTANCE_EFFECT_H
#define SNIPESHUNT_INSTANCE_INSTANCE_EFFECT_H

#include "entry/entry_type.h"

#include <variant>
#include <vector>

namespace snipeshunt {

/// Part of the system that decided something.
enum class DecisionPart {
  Entry,
  Sender,
  Cells,
  Upstreams,
  Directory,
  Instance
};

/// A line for the log: one decision with what decided it.
struct LogDecision {
  DecisionPart Part = DecisionPart::Instance;
  std::string Job; ///< Id of the job, if the decision touches one.
  std::string Message;
  /// True for lines that come with each request, which give way under load.
  bool Frequent = false;
};

/// End the process; all work is done.
struct StopProcess {};

using InstanceEffect =
    std::variant<AnswerCaller, ForwardJob, AnswerJob, SendPing, AnswerPing,
                 StartRun, StopRun, RenewUpstream, ReadCollection,
                 WatchCollection, AcquireLease, PublishInstance, RenewLease,
                 EndLease, FetchSnapshot, LogDecision, StopProcess>;

using InstanceEffects = std::vector<InstanceEffect>;

} // namespace snipeshunt

#endif // SNIPESHUNT_INSTANCE_INSTANCE_EFFECT_H
