/// \file State changes of peers and of claims to cells.
#ifndef SNIPESHUNT_CELLS_CELL_CMD_H
#define SNIPESHUNT_CELLS_CELL_CMD_H

#include "cells/cell_base.h"
#include "instance/instance_effect.h"

#include <functional>

namespace snipeshunt {

/// State of this instance's sender and configuration, as pongs report it.
struct OwnReport {
  SenderLoad Load;
  std::vector<UpstreamId> UpstreamsInUse;  ///< Upstreams with runs of its own.
  uint64_t ConfigurationVersion = 0;       ///< 0 without a configuration.
  std::optional<EvacuationSet> Evacuation; ///< Absent if it is not known.
};

/// Adds an instance from the store's list, the settings or a message of a peer.
/// The record of a known peer is replaced only while it has no data centre.
void addPeer(CellState &State, const InstanceRecord &Record, SteadyTime Now);

/// Applies the store's list of instances. Called whenever it has been read.
void applyListedInstances(CellState &State,
                          const std::vector<InstanceRecord> &List,
                          SteadyTime Now);

/// Applies a peer's ping and answers it.
void applyPing(CellState &State, const PingArrived &Event,
               const OwnReport &Report, SteadyTime Now, InstanceEffects &Out);

/// Applies the answer to a ping, or its failure. Returns true if the answer
/// confirms an unconfirmed peer, or jobs of it, so that these may start.
bool applyPong(CellState &State, const PingAnswered &Event, SteadyTime Now,
               InstanceEffects &Out);

/// Sends the pings that are due and removes expired peers. Called after each
/// event.
void sendPings(CellState &State, SteadyTime Now, InstanceEffects &Out);

/// Makes the next ping to \p P due at \p When, unless it is due earlier.
void pingBy(CellState &State, Peer &P, SteadyTime When);

/// Records whether this instance has a list of upstreams. The peers of the own
/// data centre are pinged at once if that changes, since it makes this instance
/// a candidate.
void recordUpstreamList(CellState &State, bool HasList, SteadyTime Now);

/// Makes pings to all peers due now, so that they receive a change of this
/// instance's claims or its shutdown without delay.
void schedulePingsNow(CellState &State, SteadyTime Now);

/// Detects that this process was paused, and shifts the times of its peers'
/// last messages by the pause, so that they aren't suspected for it. Called
/// with each tick.
void compensateForPause(CellState &State, SteadyTime Now);

/// Returns a time since which the messages that are handled now have arrived.
SteadyTime readBound(const CellState &State, SteadyTime Now);

/// Returns true if this process is behind: messages that it handles now may
/// have waited in its sockets for `PauseThreshold` or longer.
bool isLagging(const CellState &State, SteadyTime Now);

/// Records that \p P no longer awaits the jobs \p Cancelled here. Those that
/// arrive later are not started.
void recordCancelledJobs(Peer &P, const std::vector<CancelledJob> &Cancelled,
                         SteadyTime Now);

/// Returns true if \p P has cancelled the job \p Id with the number \p Number.
bool isCancelledHere(const Peer &P, const JobId &Id, uint64_t Number);

/// Records the arrival of a ping or job of a peer; see
/// `Peer::UnconfirmedSince`.
void recordMessage(Peer &P, SteadyTime Now);

/// Returns true if a draining peer still has runs on the upstream.
bool isUsedByPredecessor(const CellState &State, const UpstreamId &Id,
                         SteadyTime Now);

/// Records the evacuated data centres. The senders whose data centre is
/// affected are pinged at once, since their load is out of date.
void applyEvacuatedCentres(CellState &State,
                           const std::set<DataCentre> &Evacuated,
                           SteadyTime Now);

/// Returns true if the own data centre and those of all peers are evacuated.
bool areAllCentresEvacuated(const CellState &State);

/// Returns the senders that answer, this instance included.
std::vector<Address> reachableSenders(const CellState &State, SteadyTime Now);

/// Returns the senders that jobs can be forwarded to, this instance included:
/// the reachable ones whose data centre is not evacuated.
std::vector<Address> availableSenders(const CellState &State, SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_CELLS_CELL_CMD_H
