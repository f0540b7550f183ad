/// \file One instance that receives events, and a log of its effects.
#ifndef SNIPESHUNT_TESTS_SUPPORT_SESSION_H
#define SNIPESHUNT_TESTS_SUPPORT_SESSION_H

#include "reducer/reducer.h"

#include <sstream>
#include <string>

namespace snipeshunt {

inline const Address OwnEndpoint{"127.0.0.1:7100"};
inline const Address PeerEndpoint{"127.0.0.2:7100"};
inline const Address UpstreamEndpoint{"127.0.1.1:8100"};
inline constexpr IncarnationId OwnIncarnation{0xa1};
inline constexpr IncarnationId PeerIncarnation{0xb1};

/// Applies events to one instance and logs the effects as text, which the
/// golden tests compare.
class Session {
public:
  /// Without an upstream of its own the instance hands all tasks over.
  explicit Session(bool SenderUpstream = true);

  /// Applies an event, which the log shows as \p Name, and returns its effects.
  EffectList feed(const std::string &Name, EventBody Body);
  /// Advances the clock by \p After, then ticks.
  EffectList tick(std::chrono::milliseconds After);
  /// The upstream reports two slots.
  EffectList status();
  /// The peer sends a heartbeat.
  EffectList heartbeat(IncarnationId Id, uint32_t FreeSlots,
                       MemberState As = MemberState::Live);
  /// The process at the peer's address replies to a heartbeat.
  EffectList heartbeatAnswer(IncarnationId Id, uint32_t FreeSlots);
  /// Submits a job with one task per character of \p Payloads.
  EffectList submit(uint64_t Sequence, const std::string &Payloads,
                    int PatienceMs = 5000);
  EffectList cancel(uint64_t Sequence);
  EffectList attemptEnded(uint64_t Attempt, AttemptEnd End,
                          const std::string &Output);
  EffectList handoverAnswered(std::optional<HandoverReply> Reply,
                              uint64_t Sequence = 1);
  /// The peer reports that a task has finished.
  EffectList report(uint64_t Sequence, uint32_t Index,
                    const std::string &Output);
  /// Returns a handover of \p Tasks tasks of job 7 of \p Home to this instance.
  static HandoverMessage handoverOf(IncarnationId Home, uint64_t Sequence,
                                    uint32_t Tasks);

  RequestId nextRequest() { return RequestId{NextRequest++}; }
  std::string text() const { return Text.str(); }

  InstanceState State;
  FakeClock Time;

private:
  static JobRequested request(uint64_t Sequence);

  uint64_t NextRequest = 1;
  std::ostringstream Text;
};

/// Returns the first effect of type \p T, or null.
template <typename T> const T *find(const EffectList &Effects) {
  for (const Effect &E : Effects)
    if (const T *Found = std::get_if<T>(&E))
      return Found;
  return nullptr;
}

} // namespace snipeshunt

#endif // SNIPESHUNT_TESTS_SUPPORT_SESSION_H
