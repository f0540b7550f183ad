/// \file Process use and report of the load program.
#include "load/load_func.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iterator>
#include <sstream>

namespace snipeshunt {

namespace {

// Above these bounds on the load program's own CPU use and on the p99 of its
// send delay, the figures describe the load program, not the fleet.
constexpr double MaxCallerCpuShare = 0.8;
constexpr double MaxCallerLateMs = 5;

/// Rounds to three decimals; no measurement here is more precise.
double rounded(double Value) { return std::round(Value * 1000) / 1000; }

double difference(const LoadResult &Result, const std::string &Name) {
  double Sum = 0;
  for (size_t I = 0; I < Result.After.Metrics.size(); ++I) {
    auto Value = [&](const Snapshot &S) {
      auto It = S.Metrics[I].find("snipeshunt_" + Name);
      return It == S.Metrics[I].end() ? 0.0 : It->second;
    };
    Sum += Value(Result.After) -
           (I < Result.Before.Metrics.size() ? Value(Result.Before) : 0.0);
  }
  return Sum;
}

double sumAfter(const LoadResult &Result, const std::string &Name) {
  double Sum = 0;
  for (const auto &Metrics : Result.After.Metrics) {
    auto It = Metrics.find("snipeshunt_" + Name);
    Sum += It == Metrics.end() ? 0 : It->second;
  }
  return Sum;
}

Json::Value quantiles(std::vector<double> Samples) {
  std::sort(Samples.begin(), Samples.end());
  Json::Value V(Json::objectValue);
  V["p50"] = rounded(quantile(Samples, 0.5));
  V["p99"] = rounded(quantile(Samples, 0.99));
  V["p99_9"] = rounded(quantile(Samples, 0.999));
  return V;
}

Json::Value instanceReport(const LoadResult &Result, size_t I, double Seconds) {
  const ProcessUse &After = Result.After.Instances[I];
  double Cpu = After.CpuSeconds - Result.Before.Instances[I].CpuSeconds;
  Json::Value V(Json::objectValue);
  V["cpu_seconds"] = rounded(Cpu);
  V["cpu_percent_of_core"] = rounded(100 * Cpu / Seconds);
  V["resident_kb"] = Json::UInt64(After.ResidentBytes / 1024);
  return V;
}

void addMessages(Json::Value &V, const LoadResult &Result, double Started,
                 double Seconds) {
  double Rpc = difference(Result, "rpc_requests_total");
  double Bytes = difference(Result, "rpc_bytes_sent_total") +
                 difference(Result, "rpc_bytes_received_total");
  double Instances =
      std::max<double>(1, static_cast<double>(Result.After.Metrics.size()));
  V["tasks_started"] = rounded(Started);
  V["tasks_handed_over"] =
      rounded(difference(Result, "tasks_handed_over_total"));
  V["attempts_not_run"] = rounded(difference(Result, "tasks_not_run_total"));
  V["rpc_requests"] = rounded(Rpc);
  V["rpc_bytes_per_second_per_instance"] = rounded(Bytes / Seconds / Instances);
  if (Started > 0) {
    double Handover = difference(Result, "handover_messages_total") +
                      difference(Result, "report_messages_total");
    V["handover_and_report_messages_per_task"] = rounded(Handover / Started);
    V["requests_per_task"] = rounded(
        (Started + Rpc + static_cast<double>(Result.Counts.Sent)) / Started);
  }
}

} // namespace

std::optional<ProcessUse> readProcessUse(pid_t Id) {
  std::ifstream Stat("/proc/" + std::to_string(Id) + "/stat");
  std::string Text;
  if (!std::getline(Stat, Text))
    return std::nullopt;
  // The process name in parentheses may contain spaces; the fields follow it.
  std::istringstream Fields(Text.substr(Text.rfind(')') + 2));
  std::vector<std::string> Words{std::istream_iterator<std::string>(Fields),
                                 std::istream_iterator<std::string>()};
  constexpr size_t UserField = 11;
  constexpr size_t SystemField = 12;
  constexpr size_t ResidentField = 21;
  if (Words.size() <= ResidentField)
    return std::nullopt;
  ProcessUse Use;
  Use.CpuSeconds =
      (std::stod(Words[UserField]) + std::stod(Words[SystemField])) /
      static_cast<double>(sysconf(_SC_CLK_TCK));
  Use.ResidentBytes = std::stoull(Words[ResidentField]) *
                      static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
  return Use;
}

std::map<std::string, double> parseMetrics(const std::string &Text) {
  std::map<std::string, double> Values;
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);) {
    size_t Space = Line.find(' ');
    if (Line.empty() || Line[0] == '#' || Space == std::string::npos)
      continue;
    Values[Line.substr(0, Space)] = strtod(Line.c_str() + Space, nullptr);
  }
  return Values;
}

double quantile(const std::vector<double> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  double Rank = std::ceil(Share * static_cast<double>(Sorted.size()));
  return Sorted[std::min(Sorted.size(),
                         static_cast<size_t>(std::max(Rank, 1.0))) -
                1];
}

Json::Value loadReport(const LoadOptions &Options, const LoadResult &Result) {
  const CallerCounts &C = Result.Counts;
  double Seconds =
      std::chrono::duration<double>(Result.After.At - Result.Before.At).count();
  auto PerSecond = [&](uint64_t Count) {
    return rounded(static_cast<double>(Count) / Seconds);
  };
  Json::Value V(Json::objectValue);
  V["seed"] = Json::UInt64(Options.Seed);
  V["seconds"] = rounded(Seconds);
  V["jobs_per_second"]["sent"] = PerSecond(C.Sent);
  V["jobs_per_second"]["completed"] = PerSecond(C.Completed);
  V["jobs_per_second"]["refused"] = PerSecond(C.Rejected);
  V["jobs_per_second"]["failed"] = PerSecond(C.Failed);
  V["jobs_per_second"]["no_answer"] = PerSecond(C.NoAnswer);
  V["tasks_per_second"]["completed"] =
      PerSecond(C.Completed * Options.TasksPerJob);
  V["response_ms"] = quantiles(C.ResponseMs);
  V["added_ms"] = quantiles(C.AddedMs);
  double Started = difference(Result, "tasks_started_total");
  addMessages(V, Result, Started, Seconds);
  double Cpu = 0;
  for (size_t I = 0; I < Result.After.Instances.size(); ++I) {
    Json::Value Instance = instanceReport(Result, I, Seconds);
    Cpu += Instance["cpu_seconds"].asDouble();
    V["instances"].append(std::move(Instance));
  }
  if (Started > 0 && Cpu > 0) {
    V["cpu_us_per_task"] = rounded(1e6 * Cpu / Started);
    V["starts_per_second_per_core"] = rounded(Started / Cpu);
  }
  V["tasks_waiting"] = sumAfter(Result, "tasks_waiting");
  V["used_tickets"] = sumAfter(Result, "used_tickets");
  double Busy =
      (Result.After.Caller.CpuSeconds - Result.Before.Caller.CpuSeconds) /
      Seconds;
  Json::Value Late = quantiles(C.LateMs);
  V["caller"]["cpu_share"] = rounded(Busy);
  V["caller"]["late_ms"] = Late;
  V["caller"]["is_bottleneck"] =
      Busy > MaxCallerCpuShare || Late["p99"].asDouble() > MaxCallerLateMs;
  return V;
}

std::string loadReportJson(const Json::Value &Report) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  Builder["precision"] = 3;
  Builder["precisionType"] = "decimal";
  return Json::writeString(Builder, Report);
}

std::string loadReportText(const Json::Value &Report) {
  std::ostringstream Out;
  std::function<void(const Json::Value &, const std::string &)> Print =
      [&](const Json::Value &V, const std::string &Name) {
        if (V.isObject()) {
          for (const std::string &Key : V.getMemberNames())
            Print(V[Key], Name.empty()
                              ? Key
                              : std::string(Name).append(".").append(Key));
        } else if (V.isArray()) {
          for (Json::ArrayIndex I = 0; I < V.size(); ++I)
            Print(V[I], std::string(Name)
                            .append("[")
                            .append(std::to_string(I))
                            .append("]"));
        } else {
          Out << std::left << std::setw(44) << Name << loadReportJson(V)
              << "\n";
        }
      };
  Print(Report, "");
  if (Report["caller"]["is_bottleneck"].asBool())
    Out << "The callers are the bottleneck: lower --rate, or run several "
           "with --instance.\n";
  return Out.str();
}

} // namespace snipeshunt
