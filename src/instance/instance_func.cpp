/// \file What the parts of an instance need of each other.
#include "instance/instance_func.h"

#include "sender/capacity_func.h"

#include <utility>

namespace snipeshunt {

EntryContext entryContext(FleetInstance &State, SteadyTime Now) {
  const QueueShares &Shares = State.Sender.Shares;
  return {State.Cells, [&State, Now] { return senderLoad(State.Sender, Now); },
          Shares.Enabled ? std::optional(Shares.TopPriority) : std::nullopt};
}

void logInstance(InstanceEffects &Out, std::string Message) {
  Out.push_back(LogDecision{DecisionPart::Instance, "", std::move(Message)});
}

} // namespace snipeshunt
