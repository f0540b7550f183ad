/// \file Times of the evacuation of data centres.
#ifndef SNIPESHUNT_DIRECTORY_EVACUATION_TABLE_H
#define SNIPESHUNT_DIRECTORY_EVACUATION_TABLE_H

#include "core/clock.h"

namespace snipeshunt {

/// A pause of this process after which the evacuations are read anew before a
/// start. After a shorter one, the watch's answer lies in the socket and is
/// handled within `ResumeDelay`; a read after each would cost a call to the
/// store whenever the machine is short of processor time.
constexpr Duration ReturnPause = std::chrono::milliseconds(1000);
/// Silence of all peers that is taken for a network cut of this instance. Peers
/// ping a sender at least each 700 ms, and 350 ms pass for a lost ping, so two
/// lost ones in a row don't count.
constexpr Duration ReturnSilence = std::chrono::milliseconds(2000);
/// Time for which jobs wait at a sender that doesn't know the evacuations yet.
/// A read takes some 4 ms, and up to 60 times as long in a slow store; longer,
/// the jobs are served earlier by another sender.
constexpr Duration MaxStartPause = std::chrono::milliseconds(300);

} // namespace snipeshunt

#endif // SNIPESHUNT_DIRECTORY_EVACUATION_TABLE_H
