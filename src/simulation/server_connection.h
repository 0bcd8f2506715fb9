// One router's connection to a simulated server: reads a request after another and answers by docs/servers.md
// and the faults that are active.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "events/cloudevent.h"
#include "simulation/exchange_record.h"
#include "simulation/group_deduplication.h"
#include "simulation/server_answers.h"
#include "simulation/simulated_server.h"
#include "transport/http.h"
#include "transport/numbered.h"
#include "transport/reactor.h"

namespace rushhill::simulation {

class ServerConnection final : public transport::StreamHandler,
                               public transport::Numbered,
                               public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(SimulatedServer& server, ServerEnvironment& environment,
                   const transport::PendingConnection& pending);
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;
  ServerConnection(ServerConnection&&) = delete;
  ServerConnection& operator=(ServerConnection&&) = delete;
  ~ServerConnection() override;

  void on_data(std::string_view bytes) override;
  void on_closed(transport::CloseReason reason) override;

  // Ends the connection; what is open on it is recorded.
  void close(ExchangeEnd end);

 private:
  void read_request();
  std::int64_t arrival_time_ns() const;
  std::int64_t end_time_ns(ExchangeEnd end) const;
  void begin_record(const transport::HttpRequest& request);
  void handle(const transport::HttpRequest& request);
  void handle_attempt(const transport::HttpRequest& request);
  void handle_repository(const transport::HttpRequest& request);
  void prewarm(const FunctionSpec& function, const transport::HttpRequest& request);
  bool ended_by_fault();
  void run_once(const Job& job, const events::CloudEvent& event, const RequestClassSpec& request_class);
  void run(const Job& job, const events::CloudEvent& event, const KeyedRequestPointer& keyed_request);
  void answer_duplicate(const events::CloudEvent& event, const KeyedRequestPointer& keyed_request);
  void answer(ServerAnswer answer);
  bool write_truncated(const std::string& bytes, std::size_t head_size);
  void write_byte_by_byte(const std::string& bytes, std::size_t from, ExchangeEnd end);
  void stop_answering(const char* fault);
  void finish(ExchangeEnd end);
  void write_record(ExchangeEnd end);
  // The call as one that does nothing once the connection has ended.
  template <typename Call>
  auto while_open(Call call);

  SimulatedServer& server_;
  ServerEnvironment& environment_;
  std::shared_ptr<transport::Stream> stream_;
  transport::HttpRequestReader reader_;
  std::string input_;
  std::int64_t input_arrived_ns_ = 0;   // the last part of it
  std::int64_t exchange_ended_ns_ = 0;  // the last one; 0: none
  ExchangeRecord record_;
  ServerModel::JobId job_ = 0;  // 0: none
  KeyedRequestPointer keyed_request_;
  int request_count_ = 0;
  bool busy_ = false;         // a request is being answered
  bool record_open_ = false;  // it has not been recorded yet
  bool closed_ = false;
  bool job_ended_ = false;
};

}  // namespace rushhill::simulation
