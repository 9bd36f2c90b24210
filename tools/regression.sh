#!/usr/bin/env bash
# Plays the regression test with the operators' kit: each panel in turn and by name, or only those that are named.
#
#     tools/regression.sh [--quick] [ops] [earlier] [fleet] [brink] [sites] [module]
#
# `brink` plays the short days of the first site on each seed of SEEDS (one unless it is set, as "1 20 40"); `sites`
# plays them, and the fleet's quick days, on the kit's other site and on those in deploy/sites.
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
        ops | earlier | fleet | brink | sites | module) panels+=("$word") ;;
        *) echo "regression: '$word' is none of --quick, ops, earlier, fleet, brink, sites, module" >&2; exit 2 ;;
    esac
done
[ ${#panels[@]} -gt 0 ] || panels=(ops earlier fleet brink sites module)

# The runs of a panel, a line each.
runs_of() {
    local mass=$kit/more/mass/bin/lbreal other seed
    case $1 in
        ops) echo "$kit/more/ops/bin/lbreal" score "$site" "${quick[@]}" ;;
        earlier) echo "$kit/more/ops/bin/lbreal" score "$site" --panel later "${quick[@]}" ;;
        fleet) echo "$mass" score "$site" "${quick[@]}" ;;
        brink) for seed in ${SEEDS:-1}; do echo "$mass" score "$site" --panel brink --seed "$seed"; done ;;
        sites)
            for other in "$kit/more/mass/other/kelowna-main.toml" deploy/sites/*.toml; do
                echo "$mass" score "$other" --panel brink
                echo "$mass" score "$other" --quick
            done
            ;;
        module) echo "$kit/bin/lbsim" score "$site" "${quick[@]}" ;;
    esac
}

for panel in "${panels[@]}"; do
    read -r program _ <<< "$(runs_of "$panel")"
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
    while read -ra words; do
        echo "== $panel: ${words[*]:1}"
        "${words[@]}" --why "Regression test: the panel '$panel'" < /dev/null 2>&1 | tee "$output"
        status=${PIPESTATUS[0]}
        what="$panel, $(basename "${words[2]}" .toml)"
        if [ "$status" -ne 0 ]; then
            failed+=("$what (the run ended with $status)")
        elif grep -qE "$bad" "$output"; then
            failed+=("$what ($(grep -oE "$bad" "$output" | head -1))")
        elif [[ $panel =~ ^(fleet|brink|sites)$ ]] && ! grep -q 'GATE passed' "$output"; then
            failed+=("$what (no gate passed)")
        fi
    done < <(runs_of "$panel")
done

if [ ${#failed[@]} -gt 0 ]; then
    printf 'regression: FAILED: %s\n' "${failed[@]}" >&2
    exit 1
fi
echo "regression: passed: ${panels[*]}"
