/// \file The kinds of faults that a soak test of a fleet of cells injects.
#ifndef SNIPESHUNT_SOAK_CELL_SOAK_TABLE_H
#define SNIPESHUNT_SOAK_CELL_SOAK_TABLE_H

#include "soak/cell_soak_type.h"

namespace snipeshunt {

/// Pauses and cuts may exceed the 900 ms after which a sender is replaced and
/// the 1 s of a lease; the delay of a link exceeds the 150 ms time limit of an
/// order.
inline constexpr CellFault CellFaults[] = {
    {"kill", FaultTarget::Process, FaultAction::Kill, 8, 50, 3000},
    {"pause", FaultTarget::Process, FaultAction::Pause, 10, 50, 3000},
    {"end", FaultTarget::Process, FaultAction::End, 8, 50, 1000},
    {"hang_up", FaultTarget::Process, FaultAction::HangUp, 4, 0, 0},
    {"kill_all", FaultTarget::AllProcesses, FaultAction::Kill, 1, 50, 1500},
    {"peers_delay", FaultTarget::PeersLink, FaultAction::Delay, 5, 500, 4000},
    {"peers_cut", FaultTarget::PeersLink, FaultAction::Cut, 6, 300, 4000},
    {"peers_unheard", FaultTarget::PeersLink, FaultAction::CutForward, 5, 300,
     4000},
    {"peers_unanswered", FaultTarget::PeersLink, FaultAction::CutBackward, 5,
     300, 4000},
    {"peers_reset", FaultTarget::PeersLink, FaultAction::Reset, 5, 0, 0},
    {"peers_silence", FaultTarget::PeersLink, FaultAction::Silence, 5, 0, 0},
    {"store_delay", FaultTarget::StoreLink, FaultAction::Delay, 3, 500, 4000},
    {"store_cut", FaultTarget::StoreLink, FaultAction::Cut, 4, 500, 6000},
    {"store_unanswered", FaultTarget::StoreLink, FaultAction::CutBackward, 3,
     500, 4000},
    {"store_reset", FaultTarget::StoreLink, FaultAction::Reset, 3, 0, 0},
    {"store_silence", FaultTarget::StoreLink, FaultAction::Silence, 3, 0, 0},
    {"store_down", FaultTarget::AllStores, FaultAction::Cut, 3, 500, 6000},
    {"runner_delay", FaultTarget::RunnerLink, FaultAction::Delay, 6, 300, 3000},
    {"runner_cut", FaultTarget::RunnerLink, FaultAction::Cut, 6, 300, 3000},
    {"runner_unanswered", FaultTarget::RunnerLink, FaultAction::CutBackward, 6,
     300, 3000},
    {"runner_reset", FaultTarget::RunnerLink, FaultAction::Reset, 6, 0, 0},
    {"runner_silence", FaultTarget::RunnerLink, FaultAction::Silence, 6, 0, 0},
};

/// Delay of all bytes on a link under a delay fault, in each direction.
constexpr Duration LinkDelay = std::chrono::milliseconds(220);

} // namespace snipeshunt

#endif // SNIPESHUNT_SOAK_CELL_SOAK_TABLE_H
