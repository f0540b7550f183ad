/// \file Bounded store of timeline events.
#include "timeline/timeline_ring.h"

#include <algorithm>

namespace snipeshunt {

TimelineRing::TimelineRing(size_t Capacity)
    : Capacity(std::max<size_t>(Capacity, 1)) {}

void TimelineRing::record(TimelineEvent Event) {
  if (Slots.size() < Capacity) {
    Slots.push_back(std::move(Event));
    return;
  }
  Slots[Oldest] = std::move(Event);
  Oldest = (Oldest + 1) % Capacity;
  ++Dropped;
}

std::vector<TimelineEvent> TimelineRing::events() const {
  std::vector<TimelineEvent> Out;
  Out.reserve(Slots.size());
  for (size_t I = 0; I < Slots.size(); ++I)
    Out.push_back(Slots[(Oldest + I) % Slots.size()]);
  return Out;
}

} // namespace snipeshunt
