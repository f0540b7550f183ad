/// \file Command line, process use and report of the load program.
#ifndef SNIPESHUNT_LOAD_LOAD_FUNC_H
#define SNIPESHUNT_LOAD_LOAD_FUNC_H

#include "core/error_type.h"
#include "load/load_type.h"

#include <json/json.h>

#include <optional>

namespace snipeshunt {

/// Reads the command line. The remedy of an error is the help text.
Result<LoadOptions> parseLoadOptions(int Argc, char **Argv);
/// Returns the help text.
const char *loadHelp();

/// Returns CPU time and memory of process \p Id; nothing if it has ended.
std::optional<ProcessUse> readProcessUse(pid_t Id);
/// Parses the Prometheus text format; returns values without labels by name.
std::map<std::string, double> parseMetrics(const std::string &Text);

/// Returns the \p Share quantile of \p Sorted by the nearest-rank method; 0 if
/// it is empty.
double quantile(const std::vector<double> &Sorted, double Share);

/// Builds the report of a measurement. The names of its fields end in their
/// units.
Json::Value loadReport(const LoadOptions &Options, const LoadResult &Result);
/// Formats the report as one line of JSON, with three decimals.
std::string loadReportJson(const Json::Value &Report);
/// Formats the report with one line for each figure.
std::string loadReportText(const Json::Value &Report);

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_LOAD_FUNC_H
