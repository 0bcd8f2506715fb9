// The log that tells a router which requests it or another router has accepted before.
#pragma once

#include <string>

#include "events/cloudevent.h"
#include "routing/types.h"

namespace rushhill::core {

// The log's decision on a request, made before the routing policy sees the request.
enum class AdmissionVerdict {
  untracked,   // proceed; nothing is recorded
  tracked,     // proceed; the end of the request must be reported with request_ended()
  pending,     // wait for Gateway::admission_decided(), which is called with another verdict
  duplicate,   // this router or another one accepted the request before; it may have run
  unavailable  // reject: the record cannot be replicated, or this router may have lost it
};

// What is known about the execution of a request when it ends.
enum class ExecutionCertainty { not_executed, may_have_executed, executed };

// Records requests and prewarm orders with other routers before this router acts on them, so that the records
// survive its restart.
class DeduplicationLog {
 public:
  DeduplicationLog() = default;
  DeduplicationLog(const DeduplicationLog&) = delete;
  DeduplicationLog& operator=(const DeduplicationLog&) = delete;
  DeduplicationLog(DeduplicationLog&&) = delete;
  DeduplicationLog& operator=(DeduplicationLog&&) = delete;
  virtual ~DeduplicationLog() = default;

  // Records a prewarm order that is about to be sent. Returns false if the order must not be sent.
  virtual bool prepare_prewarm() = 0;
  // Decides whether a new request may proceed. `time_left` is the time until the request's deadline.
  virtual AdmissionVerdict admit(RequestId request, const std::string& request_class,
                                 const events::CloudEvent& message, Duration time_left) = 0;
  // Called at the end of each request whose verdict was `tracked` or `pending`.
  virtual void request_ended(const events::CloudEvent& message, ExecutionCertainty certainty) = 0;
};

}  // namespace rushhill::core
