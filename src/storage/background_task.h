// Runs blocking storage calls outside the event loop, since a sync may take seconds.
#pragma once

#include <functional>
#include <future>

#include "storage/file_system.h"

namespace rushhill::storage {

using Task = std::function<Failure()>;
// Starts a task and returns its result as a future, which the caller polls. The task must own everything that
// it uses, since it may outlive the caller.
using Execute = std::function<std::future<Failure>(Task)>;

// Runs the task on a new thread that blocks all signals. Destroying the future does not wait for the task.
std::future<Failure> run_on_thread(Task task);
// Runs the task before returning, for tests in virtual time.
std::future<Failure> run_inline(Task task);

}  // namespace rushhill::storage
