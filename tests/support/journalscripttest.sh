#!/usr/bin/env bash
# Checks that scripts/check-journal names new entries of runs that did not finish, and no others.
set -euo pipefail
cd "$(dirname "$0")/../.."
data=$(mktemp -d)
trap 'rm -rf "$data"' EXIT
mkdir -p "$data/journal" "$data/scripts/lib"
git -C "$data" init -q
entry() {
    printf '{"v":1,"why":"%s",\n"ok":%s,"error":%s,\n"days":[]}\n' "$2" "$3" "$4" > "$data/journal/$1.json"
}
failed=0

# Checks the exit code, and the entries that are named.
check() {
    local expected=$1 code=0
    shift
    git -C "$data" add .
    scripts/check-journal "$data" 2> "$data/.git/out" || code=$?
    printf '%s\n' "$@" | sed '/^$/d' > "$data/.git/expected"
    if [ "$code" != "$expected" ] || ! sed -n '/^journal\//p' "$data/.git/out" | cmp -s - "$data/.git/expected"; then
        echo "wrong: exit code $code, not $expected"
        cat "$data/.git/out"
        failed=1
    fi
}

unfinished='"the run did not finish"'
: > "$data/scripts/lib/unfinished-entries.txt"
check 0 ''
entry finished 'a hunt' true null
entry broken 'after \"the run did not finish\"' false '"the day broke a rule"'
check 0 ''
entry older 'a hunt' false "$unfinished"
check 1 journal/older.json
echo journal/older.json > "$data/scripts/lib/unfinished-entries.txt"
check 0 ''
entry newer 'a hunt' false "$unfinished"
entry newest 'a hunt' false "$unfinished"
check 1 journal/newer.json journal/newest.json
entry newer 'a hunt' true null
check 1 journal/newest.json
entry newest 'a hunt' true null
check 0 ''
# The entry of a run that is going, which is not added yet.
entry going 'a hunt' false "$unfinished"
scripts/check-journal "$data" || { echo "wrong: an entry that git does not track"; failed=1; }
check 1 journal/going.json
exit "$failed"
