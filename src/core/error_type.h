/// \file Errors, and the type of a result that may be an error.
#ifndef SNIPESHUNT_CORE_ERROR_TYPE_H
#define SNIPESHUNT_CORE_ERROR_TYPE_H

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace snipeshunt {

/// Kinds of errors, as reported to callers and operators.
enum class ErrorKind {
  MalformedJson,    ///< A text is not valid JSON.
  InvalidField,     ///< A field is missing, unknown, of a wrong type or range.
  BodyTooLarge,     ///< A request body exceeds its limit.
  NotFound,         ///< No such path or object.
  MethodNotAllowed, ///< The path does not support the HTTP method.
  TicketInvalid,    ///< A ticket's text or HMAC is wrong.
  TicketExpired,    ///< The ticket's lifetime has passed.
  TicketConflict,   ///< The ticket was used before with another body.
  HomeNotKnown,     ///< The ticket's address is not in the roster.
  HomeUnreachable,  ///< The home's process has ended or is unresponsive.
  Draining,         ///< The instance is shutting down.
  QueueFull,        ///< The queue of waiting tasks is full.
  PatienceTooShort, ///< The job can't finish within its patience.
  NeverFits,        ///< No upstream has the resources of a task.
  QuotaExceeded,    ///< The team's quota is used up.
  TaskFailed,       ///< A task failed.
  TaskLost,         ///< It is not known how a task ended.
  DeadlineExceeded, ///< The job's patience ran out.
  Cancelled,        ///< The caller cancelled the job.
  AnswerTooLarge,   ///< The answer exceeds its limit.
  AnswerNotKept,    ///< The job ended; its answer is no longer retained.
  WrongIncarnation, ///< A message was for an earlier process at this address.
  RevisionConflict, ///< The configuration was changed by someone else first.
  Unavailable,      ///< A service or port can't be used.
  Internal,         ///< A bug in this program.
};

/// An error, with advice on how to resolve it.
struct Error {
  ErrorKind Kind = ErrorKind::Internal; ///< Machine-readable kind.
  std::string Message;                  ///< What happened.
  std::string Remedy;                   ///< What the reader can do about it.
};

/// Returns the name of \p Kind in protocols, for instance `ticket_expired`.
std::string_view errorKindName(ErrorKind Kind);

/// Either a value or an error.
template <typename T> using Result = std::variant<T, Error>;

/// Value of a result that has nothing to return.
struct Ok {};

/// Returns true if \p R is an error.
template <typename T> bool failed(const Result<T> &R) {
  return std::holds_alternative<Error>(R);
}
/// Returns the error in \p R, which must be one.
template <typename T> const Error &errorOf(const Result<T> &R) {
  return *std::get_if<Error>(&R);
}
/// Returns the value in \p R, which must not be an error.
template <typename T> T &valueOf(Result<T> &R) { return *std::get_if<T>(&R); }
template <typename T> const T &valueOf(const Result<T> &R) {
  return *std::get_if<T>(&R);
}

} // namespace snipeshunt

#endif // SNIPESHUNT_CORE_ERROR_TYPE_H
