#!/usr/bin/env bash
# Plays the regression test with the operators' kit: each panel in turn and by name, or only those that are named.
#
#     tools/regression.sh [--quick] [ops] [earlier] [fleet] [module]
#
# Ends with 0 only if every run came to its end with no rule broken, no fault, and each gate passed. Not for CI,
# which has no kit. KIT names the kit's folder where it is not beside the repository.
set -uo pipefail
cd "$(dirname "$0")/.."
kit=${KIT:-../given/kit}
site=$kit/sites/jackson-claims.toml
quick=()
panels=()
for word in "$@"; do
    case $word in
        --quick) quick=(--quick) ;;
        ops | earlier | fleet | module) panels+=("$word") ;;
        *) echo "regression: '$word' is none of --quick, ops, earlier, fleet, module" >&2; exit 2 ;;
    esac
done
[ ${#panels[@]} -gt 0 ] || panels=(ops earlier fleet module)

command_of() {
    case $1 in
        ops) echo "$kit/more/ops/bin/lbreal" score "$site" ;;
        earlier) echo "$kit/more/ops/bin/lbreal" score "$site" --panel later ;;
        fleet) echo "$kit/more/mass/bin/lbreal" score "$site" ;;
        module) echo "$kit/bin/lbsim" score "$site" ;;
    esac
}

for panel in "${panels[@]}"; do
    read -r program _ <<< "$(command_of "$panel")"
    if [ ! -x "$program" ] || [ ! -f "$site" ]; then
        echo "regression: no kit: $program or $site is missing; KIT may name its folder" >&2
        exit 2
    fi
done

# What the bench says where a day counts for nothing.
bad='BROKEN|[Bb]roken|FAULT|crashed|GATE failed'
output=$(mktemp)
trap 'rm -f "$output"' EXIT
failed=()
for panel in "${panels[@]}"; do
    echo "== $panel"
    read -ra words <<< "$(command_of "$panel")"
    "${words[@]}" "${quick[@]}" --why "Regression test: the panel '$panel'" 2>&1 | tee "$output"
    status=${PIPESTATUS[0]}
    if [ "$status" -ne 0 ]; then
        failed+=("$panel (the run ended with $status)")
    elif grep -qE "$bad" "$output"; then
        failed+=("$panel ($(grep -oE "$bad" "$output" | head -1))")
    elif [ "$panel" = fleet ] && ! grep -q 'GATE passed' "$output"; then
        failed+=("$panel (no gate passed)")
    fi
done

if [ ${#failed[@]} -gt 0 ]; then
    printf 'regression: FAILED: %s\n' "${failed[@]}" >&2
    exit 1
fi
echo "regression: passed: ${panels[*]}"
