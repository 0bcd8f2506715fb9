// Where blocking storage calls run: a sync may take seconds, in which the event loop must go on.
#pragma once

#include <functional>
#include <future>

#include "storage/file_system.h"

namespace rushhill::storage {

using Task = std::function<Failure()>;
// Starts a task; its result is polled. The task owns all it uses, since it may outlive the caller.
using Execute = std::function<std::future<Failure>(Task)>;

// On a thread of its own, which takes no signals. Destroying the future does not wait for it.
std::future<Failure> run_on_thread(Task task);
// Before it returns, for tests in virtual time.
std::future<Failure> run_inline(Task task);

}  // namespace rushhill::storage
