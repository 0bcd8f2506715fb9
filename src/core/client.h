// The interface through which the core answers a front end's request.
#pragma once

#include "events/cloudevent.h"
#include "routing/types.h"

namespace rushhill::core {

// Receives exactly one of the four final answers, once, unless the client has cancelled the request.
class Client {
 public:
  Client() = default;
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  Client(Client&&) = delete;
  Client& operator=(Client&&) = delete;
  virtual ~Client() = default;

  virtual void succeeded(RequestId request, events::CloudEvent reply) = 0;
  // The request had no effect. `retry_after` is how long the client should wait before a retry; zero means
  // that no delay is advised.
  virtual void rejected(RequestId request, Duration retry_after) = 0;
  // The request may have run.
  virtual void failed(RequestId request) = 0;
  // Called instead of failed() for a duplicate: the request was not run again, because this router or another
  // one had accepted it before.
  virtual void duplicate(RequestId request) { failed(request); }

  // Whether an attempt of the request may start now. It may not while the client may have cancelled the
  // request or left, in bytes that wait to be read. Must not call the gateway.
  virtual bool may_start_attempt(RequestId) const { return true; }
  // The first bytes of an attempt were sent. Called once per attempt; must not call the gateway.
  virtual void attempt_started(RequestId) {}
};

}  // namespace rushhill::core
