/// \file What this instance knows of its peers.
#ifndef SNIPESHUNT_CELLS_PEER_FUNC_H
#define SNIPESHUNT_CELLS_PEER_FUNC_H

#include "cells/cell_base.h"

namespace snipeshunt {

/// Returns true if \p P is of the data centre of this instance.
bool isInOwnCentre(const CellState &State, const Peer &P);

/// Period of the pings to peers of the own data centre that are no senders.
Duration localIdlePeriod(const CellState &State);
/// Period of the pings to peers of other data centres that are not followed.
Duration remoteIdlePeriod(const CellState &State);

/// Returns true if \p P, of the own data centre, accepts connections, is not
/// draining, and was heard of within the period of its pings and
/// `CandidateMaxSilence`.
bool isWorking(const CellState &State, const Peer &P, SteadyTime Now);

/// Returns true if \p P accepts connections, and the last ping that it answered
/// or its last message is less than `SuspectAfter` old.
bool isReachable(const Peer &P, SteadyTime Now);

/// Returns true if \p P refuses connections, or has answered no ping for
/// `SuspectAfter` and wasn't reached by other means since then. \p Reached is
/// when it last was, such as by a forwarded job.
bool isSuspected(const Peer &P, SteadyTime Reached, SteadyTime Now);

/// Returns true if \p P, provided that it does not answer, starts no tasks: the
/// store has listed the instances without it since
/// it was heard of; or senders with newer claims have its cells; or it was
/// shutting down, and reported no runs then or must have ended since. \p Grace
/// is the time limit of a shutdown.
bool isGone(const CellState &State, const Address &Endpoint, const Peer &P,
            Duration Grace, SteadyTime Now);

/// Returns the peers that may have a job open that another entry forwarded to
/// them: senders, former ones, those that are shutting down, and listed ones
/// that have not been heard of yet. Those that are silent and gone are left
/// out.
std::vector<Address> possibleSenders(const CellState &State, Duration Grace,
                                     SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_CELLS_PEER_FUNC_H
