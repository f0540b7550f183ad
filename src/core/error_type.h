/// \file Typed errors and the result type that carries them.
#ifndef SNIPESHUNT_CORE_ERROR_TYPE_H
#define SNIPESHUNT_CORE_ERROR_TYPE_H

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace snipeshunt {

/// What went wrong, as callers and operators see it.
enum class ErrorKind {
  MalformedJson,    ///< Text is not JSON.
  InvalidField,     ///< A field is missing, unknown, mistyped or out of range.
  BodyTooLarge,     ///< A request body exceeds its limit.
  NotFound,         ///< No such path or object.
  MethodNotAllowed, ///< The path exists, the HTTP method does not.
  TicketInvalid,    ///< Wrong text or HMAC.
  TicketExpired,    ///< Older than the home remembers tickets.
  TicketConflict,   ///< Used before with another body.
  HomeNotKnown,     ///< The ticket's address is not in the roster.
  HomeUnreachable,  ///< The home's incarnation is gone or does not answer.
  Draining,         ///< The instance is shutting down.
  QueueFull,        ///< Too many tasks wait.
  PatienceTooShort, ///< The job can't finish within its patience.
  NeverFits,        ///< No upstream has what a task needs.
  QuotaExceeded,    ///< The team's quota is used up.
  TaskFailed,       ///< A task ended with a failure.
  TaskLost,         ///< A task's fate is not known.
  DeadlineExceeded, ///< The job's patience ran out.
  Cancelled,        ///< The caller cancelled the job.
  AnswerTooLarge,   ///< The answer exceeds its limit.
  AnswerNotKept,    ///< The job ended; its answer is no longer held.
  WrongIncarnation, ///< A message is for an earlier process at this address.
  RevisionConflict, ///< Another change of the configuration came first.
  Unavailable,      ///< A service does not answer.
  Internal,         ///< A fault of this program.
};

/// An error with the step that resolves it.
struct Error {
  ErrorKind Kind = ErrorKind::Internal; ///< Machine-readable kind.
  std::string Message;                  ///< What happened.
  std::string Remedy;                   ///< What to do about it.
};

/// Name of \p Kind in protocols, for instance `ticket_expired`.
std::string_view errorKindName(ErrorKind Kind);

/// Either a value or an error.
template <typename T> using Result = std::variant<T, Error>;

/// Success without a value.
struct Ok {};

template <typename T> bool failed(const Result<T> &R) {
  return std::holds_alternative<Error>(R);
}
template <typename T> const Error &errorOf(const Result<T> &R) {
  return *std::get_if<Error>(&R);
}
template <typename T> T &valueOf(Result<T> &R) { return *std::get_if<T>(&R); }
template <typename T> const T &valueOf(const Result<T> &R) {
  return *std::get_if<T>(&R);
}

} // namespace snipeshunt

#endif // SNIPESHUNT_CORE_ERROR_TYPE_H
