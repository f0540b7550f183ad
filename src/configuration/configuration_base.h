/// \file The configuration that an instance has in force.
#ifndef SNIPESHUNT_CONFIGURATION_CONFIGURATION_BASE_H
#define SNIPESHUNT_CONFIGURATION_CONFIGURATION_BASE_H

#include "configuration/configuration_type.h"
#include "core/clock.h"
#include "core/error_type.h"

#include <optional>
#include <string>

namespace snipeshunt {

/// What an instance knows of the configuration.
struct ConfigurationState {
  Configuration InForce;    ///< Built-in defaults before the first document.
  Revision InForceRevision; ///< 0 before the first document.
  std::string InForceText;  ///< Document as received, for peers.
  SteadyTime Since;         ///< When the document came into force.
  /// Why a document newer than the one in force is not in force.
  std::optional<Error> LastRejected;
  Revision RejectedRevision; ///< Revision that \p LastRejected is about.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_CONFIGURATION_CONFIGURATION_BASE_H
