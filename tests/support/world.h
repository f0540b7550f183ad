/// \file Simulated fleet: instances, callers and upstreams in one process,
/// connected by messages that are held as data.
#ifndef SNIPESHUNT_TESTS_SUPPORT_WORLD_H
#define SNIPESHUNT_TESTS_SUPPORT_WORLD_H

#include "history_rules.h"
#include "reducer/reducer.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace snipeshunt {

/// Kinds of steps. The two numbers of a step choose the instance, message,
/// ticket or attempt that it concerns.
enum class Op {
  TakeTicket,          ///< An instance issues a ticket.
  Submit,              ///< A caller submits a job, or repeats a submission.
  SubmitOtherBody,     ///< The same with a body that differs.
  Query,               ///< A caller queries a job.
  Cancel,              ///< A caller cancels a job.
  Disconnect,          ///< A caller disconnects before its answer.
  Deliver,             ///< A message and its reply arrive.
  LoseRequest,         ///< A message is lost.
  LoseReply,           ///< A message arrives, its reply is lost.
  DeliverTwice,        ///< A message arrives twice.
  RefuseConnection,    ///< A connection is refused; nothing is sent.
  DeliverOldCopy,      ///< A copy of an earlier message arrives.
  DeliverOldHeartbeat, ///< A copy of an earlier heartbeat arrives.
  DeliverReply,        ///< A reply reaches its process.
  EndAttempt,          ///< An attempt on an upstream ends.
  ShortTime,           ///< Up to 60 ms pass.
  TimeBeyondDead,      ///< More than the `dead_ms` of the fleet pass.
  TimeBeyondTicket,    ///< More than the lifetime of a ticket passes.
  CutOrHeal,           ///< A link in one direction is cut or healed.
  PauseOrResume,       ///< A process is paused or resumed.
  Kill,                ///< A process is killed.
  Restart,             ///< A process is replaced by a new one.
  Drain,               ///< An instance starts a graceful shutdown.
};

/// One step of a simulation.
struct Step {
  Op What = Op::ShortTime;
  uint32_t A = 0;
  uint32_t B = 0;
};

/// A fleet of reducers without processes, sockets or real time. Every effect
/// becomes a pending delivery, which a later step completes, loses or repeats.
class World {
public:
  explicit World(size_t Instances);

  void apply(const Step &S);
  /// Heals all links, resumes all processes, lets all time limits pass, and
  /// checks that every request was answered and no state is left.
  void settle();
  /// Returns the first violation of a rule; empty if there is none.
  const std::string &fault() const { return Rules.fault(); }

private:
  struct Node {
    Address Endpoint;
    DataCentre Centre;
    std::unique_ptr<InstanceState> State; ///< Null while no process runs.
    bool Paused = false;
    bool Exiting = false; ///< It has requested its end.
  };
  /// A process, by the index of its node and its incarnation.
  struct Process {
    size_t Index = 0;
    IncarnationId Incarnation;
  };
  /// A message that has not been delivered.
  struct Call {
    Process From;
    Address To;
    Effect Message;
  };
  /// An event that has not reached its process.
  struct Reply {
    Process To;
    EventBody Body;
  };
  /// An attempt on an upstream that has not ended.
  struct RunningAttempt {
    Process StartedBy;
    StartTask Start;
    bool OverSlots = false; ///< The upstream had no free slot; ends as busy.
  };
  /// A request that an instance has open with a caller or another instance.
  struct PendingRequest {
    Process At;
    JobVerb Verb = JobVerb::Submit;
    std::string Ticket;
    std::string Body;
    bool Ignored = false; ///< A copy; nobody waits for its answer.
    /// The request of which this one is the forwarded form.
    std::optional<std::pair<Process, RequestId>> ForwardOf;
  };
  struct IssuedTicket {
    std::string Text;
    size_t Home;   ///< Index of the node that issued it.
    size_t Number; ///< Chooses its team, patience and tasks.
  };
  struct EffectVisitor;

  void start(size_t Index);
  void kill(size_t Index);
  bool alive(const Process &P) const;
  /// Returns true if a process runs at the node and is not paused.
  bool ready(size_t Index) const;
  size_t indexOf(const Address &Endpoint) const;
  Process processAt(size_t Index) const;
  EffectList feed(size_t Index, EventBody Body);

  void sendRequest(size_t Index, JobVerb Verb, const IssuedTicket &T,
                   size_t Variant);
  void openRequest(PendingRequest A, bool Forwarded, bool Wait);
  void disconnectCaller(uint32_t Choice);
  void answerRequest(RequestId Request, const StoredAnswer &Answer);

  /// Delivers, loses or repeats one message.
  void stepOnCall(Op What, uint32_t Choice);
  /// Applies a message at its receiver. Returns the event with the reply for
  /// the sender, if the receiver replied at once.
  std::optional<EventBody> deliver(const Call &C, bool Copy);
  void replyTo(const Call &C, std::optional<EventBody> Body);
  void deliverReply(uint32_t Choice);
  void deliverOldCopy(const std::vector<Call> &Copies, uint32_t Choice);
  void endAttempt(uint32_t Choice, uint32_t How);
  /// Delivers all heartbeats and statuses.
  void flushHeartbeats();
  /// Advances the time by \p Part as many times as \p Parts, with a tick each
  /// time.
  void passTime(std::chrono::milliseconds Part, int Parts);
  /// Delivers all messages and ends all attempts, until none are left.
  void flushAll();
  /// Checks that no instance has jobs, tasks, answers or records left.
  void checkNothingLeft();

  HistoryRules Rules;
  SteadyTime Now{std::chrono::hours(1)};
  uint64_t Counter = 0; ///< Source of seeds, request ids and incarnations.
  std::vector<Node> Nodes;
  std::vector<Call> Calls;
  std::vector<Call> Heartbeats;
  std::vector<Call> CallCopies; ///< Messages that may arrive again.
  std::vector<Call> HeartbeatCopies;
  std::vector<Reply> Replies;
  std::vector<RunningAttempt> Attempts;
  std::map<Address, uint32_t> Busy; ///< Running tasks by upstream.
  std::map<RequestId, PendingRequest> PendingRequests;
  std::vector<IssuedTicket> Tickets;
  /// Links on which all messages are lost, by the indices of sender and
  /// receiver.
  std::set<std::pair<size_t, size_t>> CutLinks;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_TESTS_SUPPORT_WORLD_H
