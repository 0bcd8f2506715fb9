// `rushhill node`: one router on the platform, in the foreground until SIGTERM.
#pragma once

namespace rushhill::command {

// The exit code; throws what main turns into a plain line.
int node();

}  // namespace rushhill::command
