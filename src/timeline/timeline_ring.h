/// \file Ring buffer of timeline events.
#ifndef SNIPESHUNT_TIMELINE_TIMELINE_RING_H
#define SNIPESHUNT_TIMELINE_TIMELINE_RING_H

#include "timeline/timeline_type.h"

#include <cstdint>
#include <vector>

namespace snipeshunt {

/// Holds the newest events; when full, each new event overwrites the oldest.
class TimelineRing {
public:
  /// \p Capacity is the number of events held; 0 counts as 1.
  explicit TimelineRing(size_t Capacity = 65536);

  /// Adds the newest event.
  void record(TimelineEvent Event);
  /// Events held, from oldest to newest.
  std::vector<TimelineEvent> events() const;
  /// Event \p I of these.
  const TimelineEvent &event(size_t I) const {
    return Events[(Oldest + I) % Events.size()];
  }
  /// Number of events held.
  size_t size() const { return Events.size(); }
  /// Number of events overwritten since construction.
  uint64_t dropped() const { return Dropped; }

private:
  size_t Capacity;      ///< Number of events, at least 1.
  size_t Oldest = 0;    ///< Index of the oldest event once the ring is full.
  uint64_t Dropped = 0; ///< Number of events overwritten.
  std::vector<TimelineEvent> Events;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_TIMELINE_TIMELINE_RING_H
