/// \file The kinds of faults that a soak test injects.
#ifndef SNIPESHUNT_LOAD_SOAK_TABLE_H
#define SNIPESHUNT_LOAD_SOAK_TABLE_H

#include "load/soak_type.h"

namespace snipeshunt {

/// Pauses may exceed the 3 s after which a peer is considered dead. Relay
/// delays may exceed the 1 s after which a message is repeated.
inline constexpr SoakFault SoakFaults[] = {
    {"kill_instance", SoakAction::KillInstance, "", "", 6, 100, 5000},
    {"pause_instance", SoakAction::PauseInstance, "", "", 8, 500, 6000},
    {"drain_instance", SoakAction::DrainInstance, "", "", 6, 1000, 4000},
    {"cut_centres", SoakAction::CutCentres, "", "", 4, 500, 6000},
    {"cut_instances", SoakAction::CutInstances, "", "", 5, 500, 6000},
    {"cut_one_way", SoakAction::CutOneWay, "", "", 4, 500, 6000},
    {"rpc_duplicate", SoakAction::RelayFault, "duplicate", "/rpc", 5, 1000,
     6000},
    {"rpc_late_copy", SoakAction::RelayFault, "late_copy", "/rpc", 5, 1000,
     6000},
    {"rpc_drop_request", SoakAction::RelayFault, "drop_request", "/rpc", 4,
     1000, 6000},
    {"rpc_drop_reply", SoakAction::RelayFault, "drop_reply", "/rpc", 4, 1000,
     6000},
    {"rpc_delay", SoakAction::RelayFault, "delay", "/rpc", 4, 1000, 6000},
    {"jobs_duplicate", SoakAction::RelayFault, "duplicate", "/v1/jobs", 5, 1000,
     6000},
    {"jobs_late_copy", SoakAction::RelayFault, "late_copy", "/v1/jobs", 5, 1000,
     6000},
    {"jobs_drop_request", SoakAction::RelayFault, "drop_request", "/v1/jobs", 3,
     1000, 6000},
    {"jobs_drop_reply", SoakAction::RelayFault, "drop_reply", "/v1/jobs", 4,
     1000, 6000},
    {"jobs_delay", SoakAction::RelayFault, "delay", "/v1/jobs", 4, 1000, 6000},
    {"upstream_fail_all", SoakAction::UpstreamMode, "fail_all", "", 3, 500,
     4000},
    {"upstream_refuse", SoakAction::UpstreamMode, "refuse", "", 4, 500, 4000},
    {"upstream_cut_before_start", SoakAction::UpstreamMode, "cut_before_start",
     "", 3, 500, 4000},
    {"upstream_cut_after_start", SoakAction::UpstreamMode, "cut_after_start",
     "", 3, 500, 4000},
    {"upstream_freeze", SoakAction::UpstreamMode, "freeze", "", 4, 500, 6000},
    {"upstream_leaving", SoakAction::UpstreamLeaves, "leaving", "", 2, 0, 0},
    {"upstream_kill", SoakAction::KillUpstream, "", "", 5, 100, 4000},
    {"platform_outage", SoakAction::Platform, R"({"outage":true})", "", 2, 1000,
     8000},
    {"platform_slow", SoakAction::Platform, R"({"delay_ms":1500})", "", 2, 1000,
     8000},
    {"platform_lost_answers", SoakAction::Platform, R"({"lose_answers":true})",
     "", 2, 1000, 8000},
    {"operator_race", SoakAction::OperatorRace, "", "", 6, 0, 0},
};

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_SOAK_TABLE_H
