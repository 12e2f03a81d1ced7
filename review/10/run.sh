#!/usr/bin/env bash
exec "$(dirname "$0")/../standin-2/run-case.sh" "$(dirname "$0")" gone
