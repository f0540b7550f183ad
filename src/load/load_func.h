/// \file Command line, process use and report of the load program.
#ifndef SNIPESHUNT_LOAD_LOAD_FUNC_H
#define SNIPESHUNT_LOAD_LOAD_FUNC_H

#include "core/error_type.h"
#include "load/load_type.h"

#include <json/json.h>

#include <optional>

namespace snipeshunt {

/// Reads the command line; an error's remedy names the option.
Result<LoadOptions> parseLoadOptions(int Argc, char **Argv);
const char *loadHelp();

/// CPU time and memory of process \p Id; nothing when it has ended.
std::optional<ProcessUse> readProcessUse(pid_t Id);
/// Unlabelled values of a text in the form of Prometheus.
std::map<std::string, double> parseMetrics(const std::string &Text);

/// The value below which \p Share of \p Sorted lies; 0 when it is empty.
double quantile(const std::vector<double> &Sorted, double Share);

/// The report of a run; all fields are named with their units.
Json::Value loadReport(const LoadOptions &Options, const LoadResult &Result);
/// The report on one line, with three decimals.
std::string loadReportJson(const Json::Value &Report);
/// The report with one line for each figure.
std::string loadReportText(const Json::Value &Report);

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_LOAD_FUNC_H
