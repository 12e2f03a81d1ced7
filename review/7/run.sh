#!/usr/bin/env bash
# With TROUBLE=0 the adapters are as small as the site's.
export TROUBLE=${TROUBLE:-1}
exec "$(dirname "$0")/../standin-2/run-case.sh" "$(dirname "$0")" memory
