// The log through which routers know which requests were accepted before, by themselves or by another router.
#pragma once

#include <string>

#include "events/cloudevent.h"
#include "routing/types.h"

namespace rushhill::core {

// What the log says of a request before the routing policy sees it.
enum class AdmissionVerdict {
  untracked,   // go on; nothing is recorded
  tracked,     // go on; its end is to be reported
  pending,     // wait for Gateway::admission_decided, which brings one of the others
  duplicate,   // it was accepted before, here or elsewhere, and may have run
  unavailable  // reject: its record cannot be replicated, or this router may have forgotten it
};

// What is certain about the execution of a request when it ends.
enum class ExecutionCertainty { not_executed, may_have_executed, executed };

// Records what must outlive this router with other routers, before the router acts on it.
class DeduplicationLog {
 public:
  DeduplicationLog() = default;
  DeduplicationLog(const DeduplicationLog&) = delete;
  DeduplicationLog& operator=(const DeduplicationLog&) = delete;
  DeduplicationLog(DeduplicationLog&&) = delete;
  DeduplicationLog& operator=(DeduplicationLog&&) = delete;
  virtual ~DeduplicationLog() = default;

  // A prewarm order is about to be sent. False: it must not be.
  virtual bool prepare_prewarm() = 0;
  virtual AdmissionVerdict admit(RequestId request, const std::string& request_class,
                                 const events::CloudEvent& message, Duration time_left) = 0;
  // The end of a tracked request.
  virtual void request_ended(const events::CloudEvent& message, ExecutionCertainty certainty) = 0;
};

}  // namespace rushhill::core
