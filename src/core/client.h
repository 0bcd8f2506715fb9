// A front end's side of one request, which the core answers.
#pragma once

#include "events/cloudevent.h"
#include "routing/types.h"

namespace rushhill::core {

// Gets exactly one of the four final answers, once.
class Client {
 public:
  Client() = default;
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  Client(Client&&) = delete;
  Client& operator=(Client&&) = delete;
  virtual ~Client() = default;

  virtual void succeeded(RequestId request, events::CloudEvent reply) = 0;
  // It had no effect. `retry_after`: when the client may come back; zero: no advice.
  virtual void rejected(RequestId request, Duration retry_after) = 0;
  // It may have run.
  virtual void failed(RequestId request) = 0;
  // Instead of failed: it did not run here, but was accepted before, here or by another router.
  virtual void duplicate(RequestId request) { failed(request); }

  // An attempt has started; may come several times, and must not be answered with a call of the gateway.
  virtual void attempt_started(RequestId) {}
};

}  // namespace rushhill::core
