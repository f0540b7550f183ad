/// \file Reads the histories of a run and checks them against the guarantees.
#ifndef SNIPESHUNT_HISTORY_HISTORY_FUNC_H
#define SNIPESHUNT_HISTORY_HISTORY_FUNC_H

#include "core/clock.h"
#include "core/error_type.h"
#include "history/history_type.h"

#include <istream>
#include <optional>
#include <string>
#include <vector>

namespace snipeshunt {

/// Appends the records of one upstream's history to \p Out, one JSON object per
/// line. Returns the first error; \p Name is the file name in its message. An
/// invalid last line is only counted, in `HistoryInput::TruncatedLastLines`,
/// because a process that was killed while writing leaves one.
std::optional<Error> readUpstreamHistory(std::istream &In,
                                         const std::string &Name,
                                         HistoryInput &Out);
/// Appends the records of one caller's history, like `readUpstreamHistory`.
std::optional<Error>
readCallerHistory(std::istream &In, const std::string &Name, HistoryInput &Out);
/// Appends the applied configurations of one instance, like
/// `readUpstreamHistory`. Each line is a timeline event or a complete answer to
/// `GET /v1/timeline`; an answer with events that can't be decoded is an error.
std::optional<Error> readTimelineHistory(std::istream &In,
                                         const std::string &Name,
                                         HistoryInput &Out);

/// Checks every guarantee and returns one report for each. A task may start on
/// an upstream until \p LeavingGrace after the upstream's first record that has
/// `Leaving` set.
std::vector<GuaranteeReport> checkHistories(const HistoryInput &Input,
                                            Duration LeavingGrace);

/// Counts a violation; keeps its text if it is one of the first 20.
void addViolation(GuaranteeReport &Report, std::string Text);
/// Returns true if any report has a violation.
bool anyViolation(const std::vector<GuaranteeReport> &Reports);
/// Formats the counts and example violations of all reports as text.
std::string formatReports(const std::vector<GuaranteeReport> &Reports);

} // namespace snipeshunt

#endif // SNIPESHUNT_HISTORY_HISTORY_FUNC_H
