// The clients of a day: sends events in CloudEvents' binary mode at their planned times, follows each to its
// one final answer, and records everything that is seen on the sockets.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "mqtt/packets.h"
#include "simulation/client_connection.h"
#include "simulation/client_request.h"
#include "simulation/day.h"
#include "simulation/record.h"
#include "simulation/request_plan.h"
#include "simulation/request_publisher.h"
#include "transport/http.h"
#include "transport/numbered.h"
#include "transport/reactor.h"

namespace rushhill::simulation {

// All clients of a day in one process.
class Clients final : public ClientConnectionOwner {
 public:
  // `over` is called once every request has ended and nothing more has come for a while after it.
  // `broker`: where that share of the requests is published instead; empty: none.
  Clients(transport::Reactor& reactor, const Day& day, std::vector<transport::Address> routers,
          Record& record, std::function<void()> over, const std::string& broker = "", double mqtt_share = 0);
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;
  Clients(Clients&&) = delete;
  Clients& operator=(Clients&&) = delete;
  ~Clients() override;

  void play(Time start);

 private:
  void plan_next();
  ClientRequest& add_request();
  void await_answer(ClientRequest& request);
  void send(ClientRequest& request);
  void send_duplicate(ClientRequest& request, const std::string& bytes);
  void start_patience(ClientRequest& request);
  ClientConnection& connect(std::size_t router);
  ClientConnection* idle_connection(std::size_t router);
  void publish(ClientRequest& request);
  void publish_answered(const mqtt::Packet& packet);
  void send_once_more(ClientRequest& request, ClientOutcome first_outcome, std::int64_t answered_ns);
  void end(ClientRequest& request, ClientOutcome outcome, std::int64_t ended_ns);

  std::string bytes_of(const ClientRequest& request) const override;
  void answered(ClientRequest& request, const transport::HttpResponse& response, Time age) override;
  void attempt_failed(ClientRequest& request, ClientAttemptEnd attempt_end) override;
  void unexpected_bytes(const std::string& request_id, std::size_t count) override;
  void connection_idle(ClientConnection& connection) override;
  void connection_ended(ClientConnection& connection) override;

  transport::Reactor& reactor_;
  Day day_;
  std::vector<transport::Address> routers_;
  Record& record_;
  std::function<void()> over_;
  RequestPlan plan_;
  std::string source_;                                                         // of the events
  std::unordered_map<std::int64_t, std::unique_ptr<ClientRequest>> requests_;  // by number
  std::map<ClientConnection*, std::shared_ptr<ClientConnection>, transport::ByNumber> connections_;
  std::vector<std::vector<ClientConnection*>> idle_;  // by router
  std::unique_ptr<RequestPublisher> publisher_;
  double mqtt_share_ = 0;
  std::unordered_map<std::string, std::string> published_outcomes_;  // of answered ones, by id
  std::unordered_map<std::string, std::int64_t> published_;          // numbers of open ones, by id
  Time start_ = 0;
  std::int64_t sent_count_ = 0;
  std::int64_t ended_count_ = 0;
};

}  // namespace rushhill::simulation
