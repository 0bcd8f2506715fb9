// Guards against missing, late and repeated final answers and against attempts that must not be sent. The
// tests run the gateway with the real routing policy, recording ports, and a clock that the test advances.
#include "core/gateway.h"

#include <gtest/gtest.h>

#include "core/manual_clock.h"
#include "routing/routing_policy.h"

namespace rushhill::core {
namespace {

constexpr Time second = 10'000;

// The calls that the gateway made to its ports.
struct RecordedCalls {
  struct SentAttempt {
    RequestId request;
    int attempt_number;
    EndpointId endpoint;
  };
  std::vector<SentAttempt> attempts;
  std::set<std::pair<RequestId, int>> in_flight;
  std::size_t max_in_flight = 0;
  std::vector<std::pair<RequestId, int>> cancelled_attempts;
  std::vector<std::pair<EndpointId, FunctionId>> prewarms;
  std::map<EndpointId, std::string> addresses;
  std::vector<std::string> messages, answers;
  std::vector<EndpointId> cancelled_unsent;
  bool unsent = false;  // attempts stay unsent, as while their connection is being established
  int errors = 0;
};

struct RecordingPorts final : RecordedCalls,
                              UpstreamTransport,
                              PeerMessenger,
                              EndpointListSource,
                              EventLog,
                              Client {
  void send(const AttemptCall& call) override {
    attempts.push_back({call.request, call.attempt_number, call.endpoint});
    in_flight.insert({call.request, call.attempt_number});
    max_in_flight = std::max(max_in_flight, in_flight.size());
  }
  void cancel(RequestId request, int attempt_number) override {
    cancelled_attempts.emplace_back(request, attempt_number), in_flight.erase({request, attempt_number});
  }
  bool cancel_unsent(RequestId request, int attempt_number) override {
    if (!unsent) return false;
    cancel(request, attempt_number);
    return true;
  }
  void cancel_all_unsent(const EndpointId& endpoint) override { cancelled_unsent.push_back(endpoint); }
  void probe(const EndpointId&, Duration) override {}
  void prewarm(const EndpointId& endpoint, const FunctionId& function, int, Duration) override {
    prewarms.emplace_back(endpoint, function);
  }
  void evict(const EndpointId&, const FunctionId&) override {}
  void close_idle_connections(const EndpointId&) override {}
  void set_address(const EndpointId& endpoint, const std::string& address) override {
    addresses[endpoint] = address;
  }
  void send(int, const std::string& bytes) override { messages.push_back(bytes); }
  void watch(bool) override {}
  void resync() override {}
  bool should_log(Level) const override { return true; }
  void write(Level level, const char*, Fields) override { errors += level == Level::error ? 1 : 0; }
  void succeeded(RequestId, events::CloudEvent) override { answers.emplace_back("honoured"); }
  void rejected(RequestId, Duration) override { answers.emplace_back("shed"); }
  void failed(RequestId) override { answers.emplace_back("abandoned"); }

  void clear() { static_cast<RecordedCalls&>(*this) = RecordedCalls(); }
};

class GatewayTest : public testing::Test {
 protected:
  void start(int endpoints = 3) {
    gateway = std::make_unique<Gateway>(configuration, 7,
                                        Gateway::Ports{clock, ports, ports, ports, ports, deduplication});
    source = gateway->add_source(1);
    std::vector<EndpointListEntry> entries;
    for (int i = 0; i < endpoints; ++i)
      entries.push_back(
          {{.id = std::string(1, static_cast<char>('a' + i))}, "127.0.0.1:" + std::to_string(9000 + i)});
    gateway->endpoints_updated(EndpointListForm::complete, entries);
  }
  RequestId send_request(const std::string& type = "lookup") {
    const auto id = gateway->accept(source, ports,
                                    {.request_class = type,
                                     .function = "f",
                                     .time_left = to_duration(2 * second),
                                     .load_time = to_duration(second / 10)},
                                    {.id = "one", .source = "/test", .type = type});
    return id.value_or(0);
  }
  void end_attempt(std::size_t index, AttemptOutcome outcome) {
    const RecordingPorts::SentAttempt attempt = ports.attempts.at(index);
    ports.in_flight.erase({attempt.request, attempt.attempt_number});
    gateway->attempt_ended(attempt.request, attempt.attempt_number,
                           {.outcome = outcome, .copy_state = CopyState::loaded});
    clock.run_posted_calls();
  }

  RoutingConfiguration configuration = [] {
    RoutingConfiguration d;
    d.tick = to_duration(100);
    d.request_classes = {{.name = "lookup",
                          .latency_objective = to_duration(second),
                          .deadline_span = to_duration(2 * second)},
                         {.name = "booking",
                          .latency_objective = to_duration(second),
                          .deadline_span = to_duration(2 * second),
                          .retry_safety = RetrySafety::at_most_once},
                         {.name = "form",
                          .latency_objective = to_duration(second),
                          .deadline_span = to_duration(2 * second),
                          .retry_safety = RetrySafety::keyed,
                          .deduplication_span = to_duration(5 * second)}};
    d.retries.attempt_limit = 4;
    d.open_request_limit = 100;
    d.retries.cancel_attempts = true;
    d.copies.prewarm = true;
    d.copies.state_is_reported = true;
    d.copies.keep_alive = to_duration(10 * second);
    d.copies.prewarm_timeout = to_duration(10 * second);
    d.slow_start.budget_span = to_duration(second);
    d.slow_start.warm_up_span = to_duration(10 * second);
    return d;
  }();
  ManualClock clock;
  RecordingPorts ports;
  DeduplicationLog* deduplication = nullptr;
  std::unique_ptr<Gateway> gateway;
  admission::SourceQuotas::Source source = 0;
};

TEST_F(GatewayTest, DeliversOneAnswerIfAnAttemptSucceedsAtTheDeadline) {
  start();
  send_request();
  clock.advance(2 * second - 1);  // the policy answers `configuration.tick` before the deadline
  ASSERT_EQ(ports.answers.size(), 1U);
  clock.advance(1);
  end_attempt(0, AttemptOutcome::succeeded);
  EXPECT_EQ(ports.answers.size(), 1U);
  EXPECT_EQ(gateway->open_requests(), 0U);
}

TEST_F(GatewayTest, FailsTheRequestAtTheDeadlineWithoutAPolicyDecision) {
  configuration.tick = to_duration(-20'000);  // makes the policy answer two seconds after the deadline
  start();
  send_request();
  clock.advance(2 * second);
  EXPECT_EQ(ports.answers, std::vector<std::string>{"abandoned"});
  EXPECT_EQ(gateway->tally().expired, 1U);
  EXPECT_TRUE(ports.in_flight.empty());
  clock.advance(5 * second);
  EXPECT_EQ(ports.answers.size(), 1U);
}

TEST_F(GatewayTest, TheDeadlinePrecedesAnAnswerInTheSameTick) {
  configuration.tick = to_duration(-20'000);  // the policy has not answered by the deadline
  start();
  send_request();
  clock.advance_without_firing(2 * second);
  end_attempt(0, AttemptOutcome::succeeded);
  clock.advance(second);
  EXPECT_EQ(ports.answers, std::vector<std::string>{"abandoned"});
  EXPECT_EQ(gateway->tally().succeeded, 0U);
}

TEST_F(GatewayTest, CancelsAnUnansweredAttemptBeforeTheNextOne) {
  start();
  const RequestId first = send_request();
  clock.advance(2 * second);
  ASSERT_FALSE(ports.cancelled_attempts.empty());
  EXPECT_EQ(ports.cancelled_attempts.front().first, first);
  EXPECT_EQ(ports.max_in_flight, 1U);  // the attempts never overlap
  EXPECT_EQ(ports.answers.size(), 1U);
}

TEST_F(GatewayTest, IgnoresAnswersOfCancelledAttempts) {
  start();
  send_request();
  clock.advance(2 * second);
  const std::size_t answers = ports.answers.size();
  for (std::size_t i = 0; i < ports.attempts.size(); ++i) end_attempt(i, AttemptOutcome::succeeded);
  EXPECT_EQ(ports.answers.size(), answers);
  EXPECT_EQ(gateway->tally().succeeded, 0U);
}

TEST_F(GatewayTest, FailsAnAtMostOnceRequestThatMayHaveRunWithoutARetry) {
  for (const AttemptOutcome outcome : {AttemptOutcome::error, AttemptOutcome::connection_lost}) {
    ports.clear();
    start();
    send_request("booking");
    end_attempt(0, outcome);
    EXPECT_EQ(ports.answers, std::vector<std::string>{"abandoned"});
    EXPECT_EQ(ports.attempts.size(), 1U);
  }
}

TEST_F(GatewayTest, RetriesAnAtMostOnceRequestThatDidNotRun) {
  configuration.copies.prewarm = false;
  for (const AttemptOutcome outcome :
       {AttemptOutcome::overloaded, AttemptOutcome::connect_failed, AttemptOutcome::function_missing}) {
    ports.clear();
    start();
    send_request("booking");
    end_attempt(0, outcome);
    ASSERT_EQ(ports.attempts.size(), 2U)
        << static_cast<int>(outcome) << (ports.answers.empty() ? "" : ports.answers[0]);
    EXPECT_TRUE(ports.answers.empty());
    end_attempt(1, AttemptOutcome::succeeded);
    EXPECT_EQ(ports.answers, std::vector<std::string>{"honoured"});
  }
}

TEST_F(GatewayTest, CancellationDuringAPrewarmOrderLeavesNoOpenRequest) {
  configuration.copies.missing_copy_is_reported = true;
  start();
  const RequestId id = send_request();
  for (std::size_t i = 0; i < ports.attempts.size() && ports.prewarms.empty(); ++i)
    end_attempt(i, AttemptOutcome::function_missing);
  ASSERT_EQ(ports.prewarms.size(), 1U);
  gateway->client_cancelled(id);
  clock.run_posted_calls();
  const std::size_t attempts = ports.attempts.size();
  gateway->prewarm_ended(ports.prewarms[0].first, "f", AttemptOutcome::succeeded, 1);
  clock.advance(5 * second);
  EXPECT_EQ(ports.attempts.size(), attempts);
  EXPECT_TRUE(ports.answers.empty());
  EXPECT_EQ(gateway->open_requests(), 0U);
}

TEST_F(GatewayTest, CancellationCancelsTheAttemptAndSuppressesTheAnswer) {
  start();
  const RequestId id = send_request();
  gateway->client_cancelled(id);
  clock.run_posted_calls();
  EXPECT_EQ(ports.cancelled_attempts.size(), 1U);
  end_attempt(0, AttemptOutcome::succeeded);
  clock.advance(5 * second);
  EXPECT_TRUE(ports.answers.empty());
  EXPECT_EQ(gateway->tally().cancelled, 1U);
}

TEST_F(GatewayTest, AcceptsNoRequestWhileTheOpenRequestLimitIsReached) {
  configuration.open_request_limit = 1;
  start();
  EXPECT_NE(send_request(), 0);
  EXPECT_EQ(send_request(), 0);
  end_attempt(0, AttemptOutcome::succeeded);
  EXPECT_NE(send_request(), 0);
  EXPECT_EQ(gateway->tally().not_accepted, 1U);
}

TEST_F(GatewayTest, DeliversARejectionOnlyAfterAcceptHasReturned) {
  start(0);  // no endpoints
  send_request();
  EXPECT_TRUE(ports.answers.empty());
  clock.advance(2 * second);
  EXPECT_EQ(ports.answers, std::vector<std::string>{"shed"});
}

TEST_F(GatewayTest, IgnoresASecondEndOfTheSameAttempt) {
  start();
  send_request();
  end_attempt(0, AttemptOutcome::connection_lost);
  end_attempt(0, AttemptOutcome::succeeded);
  EXPECT_TRUE(ports.answers.empty());
  EXPECT_EQ(ports.attempts.size(), 2U);
}

TEST_F(GatewayTest, CancelsAnAttemptAtItsOwnTimeout) {
  start();
  const RequestId id = send_request();
  end_attempt(0, AttemptOutcome::overloaded);
  const std::size_t attempts = ports.attempts.size();
  static_cast<RoutingHost&>(*gateway).send_attempt(id, "c", {.timeout = to_duration(second / 10)});
  clock.advance(second / 10);
  EXPECT_EQ(ports.cancelled_attempts.back(), std::pair(id, static_cast<int>(attempts)));
  EXPECT_EQ(gateway->tally().outcomes[static_cast<std::size_t>(AttemptOutcome::unanswered)], 1U);
}

TEST_F(GatewayTest, SendsNoAttemptForAConcludedRequest) {
  start();
  const RequestId id = send_request();
  static_cast<RoutingHost&>(*gateway).reject(id, Duration::zero());
  const std::size_t attempts = ports.attempts.size();
  static_cast<RoutingHost&>(*gateway).send_attempt(id, "c", {});
  clock.run_posted_calls();
  EXPECT_EQ(ports.attempts.size(), attempts);
  EXPECT_EQ(gateway->tally().outcomes[static_cast<std::size_t>(AttemptOutcome::not_sent)], 1U);
}

struct ScriptedDeduplicationLog final : DeduplicationLog {
  bool prepare_prewarm() override { return ++prewarms_prepared > 1; }
  AdmissionVerdict admit(RequestId, const std::string&, const events::CloudEvent&, Duration) override {
    return verdict;
  }
  void request_ended(const events::CloudEvent&, ExecutionCertainty certainty) override {
    certainties.push_back(certainty);
  }
  int prewarms_prepared = 0;
  AdmissionVerdict verdict = AdmissionVerdict::untracked;
  std::vector<ExecutionCertainty> certainties;
};

TEST_F(GatewayTest, SendsAPendingRequestOnlyAfterItsVerdict) {
  ScriptedDeduplicationLog deduplication_log;
  deduplication_log.verdict = AdmissionVerdict::pending;
  deduplication = &deduplication_log;
  start();
  const RequestId id = send_request("booking");
  clock.advance(second / 2);
  EXPECT_TRUE(ports.attempts.empty());
  gateway->admission_decided(id, AdmissionVerdict::tracked);
  ASSERT_EQ(ports.attempts.size(), 1U);
  end_attempt(0, AttemptOutcome::succeeded);
  EXPECT_EQ(ports.answers, std::vector<std::string>{"honoured"});
  EXPECT_EQ(deduplication_log.certainties, std::vector<ExecutionCertainty>{ExecutionCertainty::executed});
  clock.advance(2 * second);
  EXPECT_EQ(gateway->open_requests(), 0U);
}

TEST_F(GatewayTest, EndsUnavailableAndDuplicateRequestsWithoutAnAttempt) {
  ScriptedDeduplicationLog deduplication_log;
  deduplication_log.verdict = AdmissionVerdict::pending;
  deduplication = &deduplication_log;
  start();
  gateway->admission_decided(send_request("booking"), AdmissionVerdict::unavailable);
  gateway->admission_decided(send_request("booking"), AdmissionVerdict::duplicate);
  clock.run_posted_calls();
  EXPECT_EQ(ports.answers, (std::vector<std::string>{"shed", "abandoned"}));
  deduplication_log.verdict = AdmissionVerdict::duplicate;
  send_request("booking");
  clock.run_posted_calls();
  EXPECT_EQ(ports.answers.size(), 3U);
  EXPECT_EQ(ports.answers.back(), "abandoned");
  EXPECT_EQ(
      deduplication_log.certainties,
      (std::vector<ExecutionCertainty>{ExecutionCertainty::not_executed, ExecutionCertainty::not_executed}))
      << "the third request was never recorded, so its end must not be reported";
  EXPECT_TRUE(ports.attempts.empty());
  EXPECT_EQ(gateway->open_requests(), 0U);
}

TEST_F(GatewayTest, SendsNoAttemptAfterALateVerdict) {
  ScriptedDeduplicationLog deduplication_log;
  deduplication_log.verdict = AdmissionVerdict::pending;
  deduplication = &deduplication_log;
  start();
  const RequestId cancelled = send_request("booking"), slow = send_request("booking");
  gateway->client_cancelled(cancelled);
  clock.run_posted_calls();
  gateway->admission_decided(cancelled, AdmissionVerdict::tracked);
  clock.advance_without_firing(3 * second);  // as if the process had been stopped until after the deadline
  gateway->admission_decided(slow, AdmissionVerdict::tracked);
  clock.run_posted_calls();
  EXPECT_TRUE(ports.attempts.empty());
  EXPECT_EQ(ports.answers, std::vector<std::string>{"shed"});
  EXPECT_EQ(
      deduplication_log.certainties,
      (std::vector<ExecutionCertainty>{ExecutionCertainty::not_executed, ExecutionCertainty::not_executed}));
  EXPECT_EQ(ports.errors, 0);
}

TEST_F(GatewayTest, ReportsAFailedRequestWithAnAttemptAsPossiblyExecuted) {
  ScriptedDeduplicationLog deduplication_log;
  deduplication_log.verdict = AdmissionVerdict::tracked;
  deduplication = &deduplication_log;
  start();
  send_request("booking");
  clock.advance(2 * second);
  EXPECT_EQ(ports.answers, std::vector<std::string>{"abandoned"});
  EXPECT_EQ(deduplication_log.certainties,
            std::vector<ExecutionCertainty>{ExecutionCertainty::may_have_executed});
}

TEST_F(GatewayTest, DoesNotSendAPrewarmOrderThatTheDeduplicationLogRefuses) {
  ScriptedDeduplicationLog deduplication_log;
  configuration.copies.missing_copy_is_reported = configuration.copies.prewarm = true;
  deduplication = &deduplication_log;
  start();
  send_request();
  end_attempt(0, AttemptOutcome::function_missing);
  EXPECT_EQ(deduplication_log.prewarms_prepared, 1);
  EXPECT_TRUE(ports.prewarms.empty());
  EXPECT_EQ(gateway->tally().prewarms, 0U);
  // For the policy the refused order has ended. It continues and issues another order, which the log permits.
  clock.advance(second / 5);
  ASSERT_GE(ports.attempts.size(), 2U);
  end_attempt(ports.attempts.size() - 1, AttemptOutcome::function_missing);
  clock.advance(second / 5);
  EXPECT_EQ(ports.prewarms.size(), gateway->tally().prewarms);
  EXPECT_GT(ports.prewarms.size(), 0U);
}

TEST_F(GatewayTest, ClearsTheAddressOfAnEndpointMissingFromACompleteList) {
  start();
  gateway->endpoints_updated(EndpointListForm::complete, {{{.id = "b"}, "127.0.0.1:9001"}});
  EXPECT_EQ(ports.addresses.at("a"), "");
  EXPECT_EQ(ports.addresses.at("b"), "127.0.0.1:9001");
  gateway->endpoints_updated(EndpointListForm::delta, {{{.id = "b"}, "127.0.0.1:9777"}});
  EXPECT_EQ(ports.addresses.at("b"), "127.0.0.1:9777");
}

TEST_F(GatewayTest, DoesNotSendGossipLongerThan256Bytes) {
  configuration.reports.gossip = true;
  start();
  static_cast<RoutingHost&>(*gateway).send_gossip(-1, std::string(257, 'x'));
  EXPECT_TRUE(ports.messages.empty());
  static_cast<RoutingHost&>(*gateway).send_gossip(-1, std::string(256, 'x'));
  EXPECT_EQ(ports.messages.size(), 1U);
}

TEST_F(GatewayTest, TwentyThousandRequestsLeaveNoTimersAndNoOpenRequests) {
  configuration.open_request_limit = 200'000;
  start();
  const std::size_t before = clock.pending_timers();
  for (int i = 0; i < 20'000; ++i) send_request();
  clock.advance(10 * second);
  EXPECT_EQ(ports.answers.size(), 20'000U);
  EXPECT_EQ(gateway->open_requests(), 0U);
  EXPECT_LE(clock.pending_timers(), before + 1);
}

TEST_F(GatewayTest, CancelsUnsentAttemptsEvenIfSentOnesMayNotBeCancelled) {
  configuration.retries.cancel_attempts = false;
  start();
  const RequestId waiting = send_request();
  ports.unsent = true;
  gateway->client_cancelled(waiting);
  clock.run_posted_calls();
  EXPECT_EQ(ports.cancelled_attempts, (std::vector{std::pair(waiting, 0)}));
  ports.unsent = false;
  const RequestId sent = send_request();
  gateway->client_cancelled(sent);
  clock.run_posted_calls();
  EXPECT_EQ(ports.cancelled_attempts.size(), 1U)
      << "the configuration does not allow a sent attempt to be cancelled";
}

TEST_F(GatewayTest, CancelsUnsentAttemptsOnlyToDrainingOrMissingEndpoints) {
  start();
  gateway->endpoints_updated(
      EndpointListForm::delta,
      {{{.id = "b", .state = EndpointState::draining}, "127.0.0.1:9001"}, {{.id = "c"}, "127.0.0.1:9002"}});
  EXPECT_EQ(ports.cancelled_unsent, std::vector<EndpointId>{"b"});
  gateway->endpoints_updated(EndpointListForm::complete, {{{.id = "c"}, "127.0.0.1:9002"}});
  EXPECT_EQ(ports.cancelled_unsent, (std::vector<EndpointId>{"b", "a", "b"}))
      << "a complete list removes the endpoints that it does not contain";
}

TEST_F(GatewayTest, ExpireAllAnswersEveryOpenRequestOnce) {
  start();
  send_request();
  send_request("booking");
  EXPECT_TRUE(gateway->any_client_waits());
  gateway->expire_all();
  EXPECT_TRUE(gateway->any_client_waits()) << "the answers are decided but not yet delivered";
  clock.run_posted_calls();
  EXPECT_FALSE(gateway->any_client_waits());
  EXPECT_EQ(ports.answers, (std::vector<std::string>{"abandoned", "abandoned"}));
  clock.advance(3 * second);
  EXPECT_EQ(ports.answers.size(), 2U);
}

}  // namespace
}  // namespace rushhill::core
