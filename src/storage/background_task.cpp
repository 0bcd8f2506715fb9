#include "storage/background_task.h"

#include <csignal>
#include <system_error>
#include <thread>
#include <utility>

namespace rushhill::storage {
namespace {

// Signals are for the event loop, which notices them sooner where they interrupt its wait. The mask is
// inherited by a thread that is started meanwhile.
class SignalsBlocked {
 public:
  SignalsBlocked() {
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before_);
  }
  ~SignalsBlocked() { pthread_sigmask(SIG_SETMASK, &before_, nullptr); }
  SignalsBlocked(const SignalsBlocked&) = delete;
  SignalsBlocked& operator=(const SignalsBlocked&) = delete;

 private:
  sigset_t before_{};
};

std::future<Failure> finished(Failure failure) {
  std::promise<Failure> promise;
  promise.set_value(failure);
  return promise.get_future();
}

}  // namespace

std::future<Failure> run_on_thread(Task task) {
  std::packaged_task<Failure()> packaged(std::move(task));
  std::future<Failure> result = packaged.get_future();
  try {
    const SignalsBlocked blocked;
    std::thread(std::move(packaged)).detach();
  } catch (const std::system_error& error) {
    return finished(StorageError{Operation::start, error.code().value()});
  }
  return result;
}

std::future<Failure> run_inline(Task task) { return finished(task()); }

}  // namespace rushhill::storage
