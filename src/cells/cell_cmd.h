/// \file State changes of the membership of cells.
#ifndef SNIPESHUNT_CELLS_CELL_CMD_H
#define SNIPESHUNT_CELLS_CELL_CMD_H

#include "cells/cell_base.h"
#include "instance/instance_effect.h"

#include <functional>

namespace snipeshunt {

/// What the membership needs to know of the sender and the configuration.
struct OwnReport {
  SenderLoad Load;
  std::vector<UpstreamId> UpstreamsInUse;
  uint64_t ConfigurationVersion = 0;
};

/// Adds an instance of which the store, the settings or a peer told.
void addPeer(CellState &State, const InstanceRecord &Record, SteadyTime Now);

/// Adopts the store's list of instances.
void applyListedInstances(CellState &State,
                          const std::vector<InstanceRecord> &List,
                          SteadyTime Now);

/// Adopts a peer's ping and answers it.
void applyPing(CellState &State, const PingArrived &Event,
               const OwnReport &Report, SteadyTime Now, InstanceEffects &Out);

/// Adopts the answer to a ping, or notes that none came. Gives true when it
/// ends a doubt, so that the peer's jobs may start.
bool applyPong(CellState &State, const PingAnswered &Event, SteadyTime Now,
               InstanceEffects &Out);

/// Sends the pings that are due.
void sendPings(CellState &State, SteadyTime Now, InstanceEffects &Out);

/// Pings all peers at the next tick, for news that they need at once.
void schedulePingsNow(CellState &State, SteadyTime Now);

/// Excludes a pause of this process from the silence of its peers.
void compensateForPause(CellState &State, SteadyTime Now);

/// Result of looking at the claims once more.
struct ClaimChanges {
  std::vector<CellId> Acquired;
  std::vector<CellId> Lost;
};

/// Claims cells without a sender and gives up those with a newer one.
ClaimChanges updateClaims(CellState &State, SteadyTime Now, WallTime Wall,
                          InstanceEffects &Out);

/// Gives up a cell whose upstreams obey a newer sender.
void releaseClaim(CellState &State, const CellId &Cell, SteadyTime Now);

/// Notes a message of a peer. After a silence, it and those that come with it
/// may be old, until the peer has answered.
void recordMessage(Peer &P, SteadyTime Now);

/// Whether \p P has answered or pinged lately.
bool isReachable(const Peer &P, SteadyTime Now);

/// Whether no answer of \p P can be expected any more, which was reached at
/// \p Reached by other means.
bool isSuspected(const Peer &P, SteadyTime Reached, SteadyTime Now);

/// Whether a draining predecessor still uses the upstream.
bool isUsedByPredecessor(const CellState &State, const UpstreamId &Id,
                         SteadyTime Now);

/// Instances that jobs can be handed to, this one included.
std::vector<Address> availableSenders(const CellState &State, SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_CELLS_CELL_CMD_H
