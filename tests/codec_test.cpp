/// \file Tests of encoding and decoding: what is encoded can be decoded again,
/// and corrupted messages, submissions and tickets do no harm.
#include "core/json_func.h"
#include "jobs/answer_func.h"
#include "rpc/rpc_codec.h"
#include "tickets/ticket_func.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace snipeshunt {
namespace {

constexpr std::string_view FleetKey = "a key of sixteen bytes or more";

std::string drawText() {
  return *rc::gen::container<std::string>(rc::gen::inRange<char>(32, 127));
}

HandoverMessage drawHandover() {
  HandoverMessage Message;
  Message.Home.Value = *rc::gen::arbitrary<uint64_t>();
  Message.HomeAddress.Value = "10.0.0.1:7070";
  Message.Receiver.Value = *rc::gen::arbitrary<uint64_t>();
  Message.Sequence.Value = *rc::gen::arbitrary<uint64_t>();
  Message.SettledBelow.Value = *rc::gen::arbitrary<uint64_t>();
  for (int I = *rc::gen::inRange(0, 4); I > 0; --I) {
    HandoverTask Task;
    auto Spec = std::make_shared<TaskSpec>();
    Spec->Kind.Value = "kind";
    Spec->Payload = drawText();
    Task.Spec = Spec;
    Task.Owner.Value = "team";
    Task.Job.Value = *rc::gen::arbitrary<uint64_t>();
    Task.Index.Value = *rc::gen::arbitrary<uint32_t>();
    Task.StartWithin = std::chrono::milliseconds(*rc::gen::inRange(0, 1000));
    Message.Tasks.push_back(std::move(Task));
  }
  return Message;
}

/// Returns \p Text with up to four bytes changed, removed or doubled.
std::string damage(std::string Text) {
  for (int I = *rc::gen::inRange(1, 5); I > 0 && !Text.empty(); --I) {
    size_t At = *rc::gen::inRange<size_t>(0, Text.size());
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
      Text[At] = *rc::gen::arbitrary<char>();
      break;
    case 1:
      Text.erase(At, 1);
      break;
    default:
      Text.insert(At, 1, Text[At]);
    }
  }
  return Text;
}

// Guards against a field that is encoded but not decoded, or the reverse.
RC_GTEST_PROP(CodecTest, HandoverRoundTrips, ()) {
  HandoverMessage Message = drawHandover();
  Json::Value Encoded = encodeHandover(Message);
  auto Decoded = decodeHandover(valueOf(parseJson(writeJson(Encoded))));
  RC_ASSERT(!failed(Decoded));
  RC_ASSERT(encodeHandover(valueOf(Decoded)) == Encoded);
}

// Guards against crashes by corrupted messages, which may be decoded or
// rejected.
RC_GTEST_PROP(CodecTest, DamagedMessagesDoNotCrash, ()) {
  std::string Text = damage(writeJson(encodeHandover(drawHandover())));
  Result<Json::Value> Parsed = parseJson(Text);
  if (failed(Parsed))
    return;
  (void)decodeHandover(valueOf(Parsed));
  (void)decodeHandoverReply(valueOf(Parsed));
  (void)decodeReport(valueOf(Parsed));
  (void)decodeReportReply(valueOf(Parsed));
  (void)decodeRevoke(valueOf(Parsed));
  (void)decodeRevokeReply(valueOf(Parsed));
  (void)decodeHeartbeat(valueOf(Parsed));
  (void)decodeConfiguration(valueOf(Parsed));
  (void)decodeAnswers(valueOf(Parsed));
  (void)decodeRpcResponse(Text);
}

// Guards against crashes by corrupted submissions.
RC_GTEST_PROP(CodecTest, DamagedSubmissionsDoNotCrash, ()) {
  std::string Body = R"({"team":"t","patience_ms":10,"tasks":[)"
                     R"({"kind":"k","payload":"p","expected_ms":5}]})";
  (void)parseSubmission(damage(Body), {});
}

// Guards against accepting a ticket that was changed in any byte or that was
// made with another key.
RC_GTEST_PROP(CodecTest, DamagedTicketsAreRejected, ()) {
  Ticket T;
  T.Centre.Value = "dc-1";
  T.Home.Value = "10.0.0.1:7070";
  T.Incarnation.Value = *rc::gen::arbitrary<uint64_t>();
  T.Sequence.Value = *rc::gen::arbitrary<uint64_t>();
  T.IssuedAt = std::chrono::milliseconds(*rc::gen::inRange(0, 1000000));
  std::string Text = encodeTicket(T, FleetKey);
  Result<Ticket> Read = decodeTicket(Text, FleetKey);
  RC_ASSERT(!failed(Read));
  RC_ASSERT(valueOf(Read).Home == T.Home);
  RC_ASSERT(valueOf(Read).Centre == T.Centre);
  RC_ASSERT(valueOf(Read).Incarnation == T.Incarnation);
  RC_ASSERT(valueOf(Read).Sequence == T.Sequence);
  RC_ASSERT(valueOf(Read).IssuedAt == T.IssuedAt);
  std::string Damaged = damage(Text);
  RC_PRE(Damaged != Text);
  RC_ASSERT(failed(decodeTicket(Damaged, FleetKey)));
  RC_ASSERT(failed(decodeTicket(Text, "another key of enough bytes")));
}

} // namespace
} // namespace snipeshunt
