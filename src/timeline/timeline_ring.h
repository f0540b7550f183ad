/// \file Bounded store of timeline events.
#ifndef SNIPESHUNT_TIMELINE_TIMELINE_RING_H
#define SNIPESHUNT_TIMELINE_TIMELINE_RING_H

#include "timeline/timeline_type.h"

#include <cstdint>
#include <vector>

namespace snipeshunt {

/// Keeps the newest events; the oldest are dropped and counted.
class TimelineRing {
public:
  /// \p Capacity must be at least 1.
  explicit TimelineRing(size_t Capacity = 65536);

  void record(TimelineEvent Event);
  /// Events from oldest to newest.
  std::vector<TimelineEvent> events() const;
  size_t size() const { return Events.size(); }
  /// Events overwritten since the start.
  uint64_t dropped() const { return Dropped; }

private:
  size_t Capacity;
  size_t Oldest = 0;
  uint64_t Dropped = 0;
  std::vector<TimelineEvent> Events;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_TIMELINE_TIMELINE_RING_H
