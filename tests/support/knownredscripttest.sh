#!/usr/bin/env bash
# Checks that ctest passes over the listed cases alone, and that an entry which names nothing fails the run.
# knownredscripttest.sh SAMPLE SEEDED..., with the paths of knownredsample and of the programs that run by seed
set -euo pipefail
sample=$1
shift
cd "$(dirname "$0")/../.."
data=$(mktemp -d)
trap 'rm -rf "$data"' EXIT
cat > "$data/CTestTestfile.cmake" <<END
add_test(sample "$sample" --jobs 1)
set_tests_properties(sample PROPERTIES ENVIRONMENT GYPSUMTALLY_CTEST=sample)
add_test(plain true)
END
failed=0
wrong() {
    echo "wrong: $1"
    cat "$data/list" "$data/out"
    failed=1
}

# Runs the sample with the list on standard input, as scripts/test does. Its output is in $data/out.
run() {
    cat > "$data/list"
    scripts/known-red "$data/list" "$data" > "$data/cases" 2> "$data/out" || return 1
    GYPSUMTALLY_KNOWN_RED=$(cat "$data/cases") ctest --test-dir "$data" --verbose > "$data/out" 2>&1
}

# Checks that exactly these cases ran.
ran() {
    grep -o ' ran .*' "$data/out" | sed 's/^ ran //; s/ $//' | sort > "$data/ran"
    printf '%s\n' "$@" | sort | cmp -s - "$data/ran" || wrong "ran $(paste -sd, "$data/ran")"
}

passedOver() {
    sed -n 's/.*known red, passed over: //p' "$data/out" | sort > "$data/over"
    printf '%s\n' "$@" | sort | cmp -s - "$data/over" || wrong "passed over $(paste -sd, "$data/over")"
}

others=('row first' 'row last' 'row twin' 'row twin' 'number 10' 'number 11' 'single only' neighbour)

run <<< '' && wrong "the sample passes"
ran "${others[@]}" 'row broken, of 3' known

run <<'END' && wrong "a finding passes over its test"
sample: a finding, its test runs
  and has a second line
END
ran "${others[@]}" 'row broken, of 3' known

run <<'END' && wrong "the other failure is hidden"
row: seed 1
  passes over: sample / Sample/rows / broken, of 3
END
ran "${others[@]}" known
passedOver 'Sample/rows / broken, of 3'

run <<'END' || wrong "two cases"
both: seed 1
  passes over: sample / Sample/rows / broken, of 3
  more of the text
  passes over: sample / Sample/known
END
ran "${others[@]}"
passedOver 'Sample/rows / broken, of 3' Sample/known

run <<'END' || wrong "rows without names and all rows of a table"
several: seed 1
  passes over: sample / Sample/rows / broken, of 3
  passes over: sample / Sample/known

others: seed 2
  passes over: sample / Sample/numbers / row 1
  passes over: sample / Sample/single / only
END
ran 'row first' 'row last' 'row twin' 'row twin' 'number 10' neighbour
passedOver 'Sample/rows / broken, of 3' Sample/known 'Sample/numbers / row 1' 'Sample/single / only'

# Each line names nothing that a run can pass over; both failing cases are listed beside it.
while IFS= read -r line; do
    run <<END && wrong "accepted: $line"
both: seed 1
  passes over: sample / Sample/rows / broken, of 3
  passes over: sample / Sample/known
$line
END
    if grep -q ' ran ' "$data/out"; then wrong "ran in spite of: $line"; fi
done <<'END'
  passes over: sampel / Sample/neighbour
  passes over: plain / Sample/neighbour
  passes over: sample / Sample/neighbor
  passes over: sample / Sampel/neighbour
  passes over: sample / Sample/row / first
  passes over: sample / Sample/rows / fisrt
  passes over: sample / Sample/rows / First
  passes over: sample / Sample/rows / row 0
  passes over: sample / Sample/rows / twin
  passes over: sample / Sample/rows
  passes over: sample / Sample/numbers / row 2
  passes over: sample / Sample/neighbour / first
  passes over: sample / seed 1
  passes over: sample
  passes over: sample / neighbour
  passes over sample / Sample/neighbour
  pass over: sample / Sample/neighbour
  passed over: sample / Sample/neighbour
  Passes over: sample / Sample/neighbour
passes over: sample / Sample/neighbour
 passes over: sample / Sample/neighbour
  passes over: sample / Sample/rows / first, 
unnamed entry
END

for program; do
    options=(--first_seed=7)
    if [ "${program##*/}" = process-sweep ]; then options+=(--scenario=undisturbed); fi
    code=0
    GYPSUMTALLY_CTEST=seeded GYPSUMTALLY_KNOWN_RED='seeded / seed 7' "$program" "${options[@]}" > "$data/out" 2>&1 \
        || code=$?
    [ "$code" = 77 ] || wrong "$program with its only seed listed: exit code $code"
    passedOver 'seed 7'
    if GYPSUMTALLY_CTEST=seeded GYPSUMTALLY_KNOWN_RED='seeded / seed 8' "$program" "${options[@]}" > "$data/out" 2>&1 \
        || ! grep -q 'no case "seed 8"' "$data/out"; then
        wrong "$program accepted a seed that it does not run"
    fi
done

run <<'END' && wrong "a case without an entry"
  passes over: sample / Sample/known
END
exit "$failed"
