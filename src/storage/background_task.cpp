#include "storage/background_task.h"

#include <csignal>
#include <system_error>
#include <thread>
#include <utility>

namespace rushhill::storage {
namespace {

// Blocks all signals in the calling thread during its lifetime. A thread that is started meanwhile inherits
// the mask, so that signals go to the event loop's thread and interrupt its wait at once.
class SignalBlocker {
 public:
  SignalBlocker() {
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &previous_mask_);
  }
  ~SignalBlocker() { pthread_sigmask(SIG_SETMASK, &previous_mask_, nullptr); }
  SignalBlocker(const SignalBlocker&) = delete;
  SignalBlocker& operator=(const SignalBlocker&) = delete;

 private:
  sigset_t previous_mask_{};
};

std::future<Failure> ready_future(Failure failure) {
  std::promise<Failure> promise;
  promise.set_value(failure);
  return promise.get_future();
}

}  // namespace

std::future<Failure> run_on_thread(Task task) {
  std::packaged_task<Failure()> packaged(std::move(task));
  std::future<Failure> result = packaged.get_future();
  try {
    const SignalBlocker signal_blocker;
    std::thread(std::move(packaged)).detach();
  } catch (const std::system_error& error) {
    return ready_future(StorageError{Operation::start, error.code().value()});
  }
  return result;
}

std::future<Failure> run_inline(Task task) { return ready_future(task()); }

}  // namespace rushhill::storage
