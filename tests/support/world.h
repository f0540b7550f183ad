/// \file Instances, callers and upstreams joined by messages held as data.
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

/// What can happen next; the numbers of a step choose to whom.
enum class Op {
  TakeTicket,
  Submit,
  SubmitOtherBody,
  Query,
  Cancel,
  Disconnect,
  Deliver,
  LoseRequest,
  LoseReply,
  DeliverTwice,
  RefuseConnection,
  DeliverOldCopy,
  DeliverOldHeartbeat,
  DeliverReply,
  EndAttempt,
  ShortTime,
  TimeBeyondDead,
  TimeBeyondTicket,
  CutOrHeal,
  PauseOrResume,
  Kill,
  Restart,
  Drain,
};

/// One step of a run.
struct Step {
  Op What = Op::ShortTime;
  uint32_t A = 0;
  uint32_t B = 0;
};

/// A fleet without processes. Every effect becomes a pending delivery.
class World {
public:
  explicit World(size_t Instances);

  void apply(const Step &S);
  /// Heals everything, lets all time limits pass and checks what is left.
  void settle();
  /// The first broken rule; empty when all hold.
  const std::string &fault() const { return Rules.fault(); }

private:
  struct Node {
    Address Endpoint;
    DataCentre Centre;
    std::unique_ptr<InstanceState> State; ///< Null while dead.
    bool Paused = false;
    bool Exiting = false;
  };
  /// A process, by the place of its node and its incarnation.
  struct Process {
    size_t Index = 0;
    IncarnationId Incarnation;
  };
  struct Call {
    Process From;
    Address To;
    Effect Message;
  };
  struct Reply {
    Process To;
    EventBody Body;
  };
  struct RunningAttempt {
    Process StartedBy;
    StartTask Start;
    bool OverSlots = false;
  };
  /// A request that an instance has open with a caller or another instance.
  struct PendingRequest {
    Process At;
    JobVerb Verb = JobVerb::Submit;
    std::string Ticket;
    std::string Body;
    bool Ignored = false; ///< A copy whose answer nobody waits for.
    std::optional<std::pair<Process, RequestId>> ForwardOf;
  };
  struct IssuedTicket {
    std::string Text;
    size_t Home;
    size_t Number;
  };
  struct EffectVisitor;

  void start(size_t Index);
  void kill(size_t Index);
  bool alive(const Process &P) const;
  bool ready(size_t Index) const;
  size_t indexOf(const Address &Where) const;
  Process processAt(size_t Index) const;
  EffectList feed(size_t Index, EventBody Body);

  void sendRequest(size_t Index, JobVerb Verb, const IssuedTicket &T,
                   size_t Variant);
  void openRequest(PendingRequest A, bool Forwarded, bool Wait);
  void disconnectCaller(uint32_t Choice);
  void answerRequest(RequestId Request, const StoredAnswer &Answer);

  void stepOnCall(Op What, uint32_t Choice);
  /// Hands a message over; gives the receiver's answer if it comes at once.
  std::optional<EventBody> deliver(const Call &C, bool Copy);
  void replyTo(const Call &C, std::optional<EventBody> Body);
  void deliverReply(uint32_t Choice);
  void deliverOldCopy(const std::vector<Call> &Copies, uint32_t Choice);
  void endAttempt(uint32_t Choice, uint32_t How);
  void flushHeartbeats();
  void passTime(std::chrono::milliseconds Part, int Parts);
  void flushAll();
  void checkNothingLeft();

  HistoryRules Rules;
  SteadyTime Now{std::chrono::hours(1)};
  uint64_t Counter = 0; ///< Source of seeds, request ids and incarnations.
  std::vector<Node> Nodes;
  std::vector<Call> Calls;
  std::vector<Call> Heartbeats;
  std::vector<Call> CallCopies; ///< Copies that may arrive again.
  std::vector<Call> HeartbeatCopies;
  std::vector<Reply> Replies;
  std::vector<RunningAttempt> Attempts;
  std::map<Address, uint32_t> Busy; ///< Running tasks by upstream.
  std::map<RequestId, PendingRequest> PendingRequests;
  std::vector<IssuedTicket> Tickets;
  std::set<std::pair<size_t, size_t>> CutLinks;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_TESTS_SUPPORT_WORLD_H
