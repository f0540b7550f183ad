/// \file `snipeshunt-load`: sends load to a fleet of processes and measures it.
#include "load/load_driver.h"
#include "load/load_func.h"

#include <cstdio>
#include <filesystem>
#include <memory>

int main(int Argc, char **Argv) {
  using namespace snipeshunt;
  Result<LoadOptions> Parsed = parseLoadOptions(Argc, Argv);
  if (failed(Parsed)) {
    fprintf(stderr, "load: %s\n%s", errorOf(Parsed).Message.c_str(),
            errorOf(Parsed).Remedy.c_str());
    return 2;
  }
  LoadOptions &Options = valueOf(Parsed);
  std::unique_ptr<Fleet> Started;
  std::vector<Address> Targets = Options.Targets;
  std::vector<pid_t> Ids;
  if (Targets.empty()) {
    Options.Fleet.BinaryDir =
        std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
    Started = std::make_unique<Fleet>(Options.Fleet);
    Result<Ok> Outcome = Started->start();
    if (failed(Outcome)) {
      fprintf(stderr, "load: %s; %s.\n", errorOf(Outcome).Message.c_str(),
              errorOf(Outcome).Remedy.c_str());
      return 1;
    }
    for (size_t I = 0; I < Started->instances(); ++I) {
      Targets.push_back(Started->instance(I));
      Ids.push_back(Started->process(FleetRole::Instance, I).id());
    }
  }
  LoadDriver Driver(Options, Targets, Ids);
  Json::Value Report = loadReport(Options, Driver.run());
  std::string Text =
      Options.Json ? loadReportJson(Report) + "\n" : loadReportText(Report);
  fputs(Text.c_str(), stdout);
  return 0;
}
