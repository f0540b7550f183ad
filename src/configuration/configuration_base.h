/// \file The configuration that an instance has in force.
#ifndef SNIPESHUNT_CONFIGURATION_CONFIGURATION_BASE_H
#define SNIPESHUNT_CONFIGURATION_CONFIGURATION_BASE_H

#include "configuration/configuration_type.h"
#include "core/clock.h"
#include "core/error_type.h"

#include <optional>
#include <string>

namespace snipeshunt {

/// The configuration of an instance, and the last document that it rejected.
struct ConfigurationState {
  /// Document that applies; the built-in defaults before the first one.
  Configuration InForce;
  Revision InForceRevision; ///< Its revision, 0 before the first document.
  std::string InForceText;  ///< Its text as received, sent to peers.
  SteadyTime Since;         ///< When it came into force.
  /// Why the newest rejected document was rejected; empty once a document of a
  /// higher revision is in force.
  std::optional<Error> LastRejected;
  Revision RejectedRevision; ///< Revision of the newest rejected document.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_CONFIGURATION_CONFIGURATION_BASE_H
