/// \file Ring buffer of timeline events.
#include "timeline/timeline_ring.h"

#include <algorithm>

namespace snipeshunt {

TimelineRing::TimelineRing(size_t Capacity)
    : Capacity(std::max<size_t>(Capacity, 1)) {}

void TimelineRing::record(TimelineEvent Event) {
  if (Events.size() < Capacity) {
    Events.push_back(std::move(Event));
    return;
  }
  Events[Oldest] = std::move(Event);
  Oldest = (Oldest + 1) % Capacity;
  ++Dropped;
}

std::vector<TimelineEvent> TimelineRing::events() const {
  std::vector<TimelineEvent> Out;
  Out.reserve(Events.size());
  for (size_t I = 0; I < Events.size(); ++I)
    Out.push_back(event(I));
  return Out;
}

} // namespace snipeshunt
