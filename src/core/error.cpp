/// \file Names of error kinds in protocols.
#include "core/error_type.h"

namespace snipeshunt {

std::string_view errorKindName(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::MalformedJson:
    return "malformed_json";
  case ErrorKind::InvalidField:
    return "invalid_field";
  case ErrorKind::BodyTooLarge:
    return "body_too_large";
  case ErrorKind::NotFound:
    return "not_found";
  case ErrorKind::MethodNotAllowed:
    return "method_not_allowed";
  case ErrorKind::TicketInvalid:
    return "ticket_invalid";
  case ErrorKind::TicketExpired:
    return "ticket_expired";
  case ErrorKind::TicketConflict:
    return "ticket_conflict";
  case ErrorKind::HomeNotKnown:
    return "home_not_known";
  case ErrorKind::HomeUnreachable:
    return "home_unreachable";
  case ErrorKind::Draining:
    return "draining";
  case ErrorKind::QueueFull:
    return "queue_full";
  case ErrorKind::PatienceTooShort:
    return "patience_too_short";
  case ErrorKind::NeverFits:
    return "never_fits";
  case ErrorKind::QuotaExceeded:
    return "quota_exceeded";
  case ErrorKind::TaskFailed:
    return "task_failed";
  case ErrorKind::TaskLost:
    return "task_lost";
  case ErrorKind::DeadlineExceeded:
    return "deadline_exceeded";
  case ErrorKind::Cancelled:
    return "cancelled";
  case ErrorKind::AnswerTooLarge:
    return "answer_too_large";
  case ErrorKind::AnswerNotKept:
    return "answer_not_kept";
  case ErrorKind::WrongIncarnation:
    return "wrong_incarnation";
  case ErrorKind::RevisionConflict:
    return "revision_conflict";
  case ErrorKind::Unavailable:
    return "unavailable";
  case ErrorKind::Internal:
    return "internal";
  }
  return "internal";
}

} // namespace snipeshunt
