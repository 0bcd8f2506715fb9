#!/usr/bin/env bash
exec "$(dirname "$0")/../standin/run.sh" "$(dirname "$0")"
